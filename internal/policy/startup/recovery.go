// Package startup says how far a router has come since its start, and what of what was kept from before may still be believed. It is
// stepped: what happens goes in with its time, phases come out.
package startup

import (
	"fmt"
	"slices"
)

// Phase is a named part of a router's way to full service.
type Phase uint8

// The phases, in their order. A router may skip some, and does not go back: what fails later is trouble, not a start.
const (
	Listening          Phase = iota // it knows no server: everything is declined
	EndpointsCached                 // it knows servers from what was kept, which no list service has confirmed
	EndpointsConfirmed              // the list service has told the list
	WarmingUp                       // servers answer; a part of what comes is late or declined
	FullService                     // as much is served as is usual
)

func (p Phase) String() string {
	return [...]string{"listening", "listed", "confirmed", "learning", "full"}[p]
}

// WaitsFor words what a phase waits for.
func (p Phase) WaitsFor() string {
	return [...]string{"a list of servers", "the list service", "answers of servers", "nineteen in twenty operations finished in a second", "nothing"}[p]
}

const (
	served  = 0.95 // part of a second's operations that are finished in full service: what retries and a burst leave on a good day
	few     = 5    // operations in a second, below which a second says nothing
	longest = 60   // seconds after which what is still not usual is no matter of the start
)

// Change is one from a phase to another.
type Change struct {
	From, To Phase
	Reason   string
}

// Tracker is one process of a router.
type Tracker struct {
	began, since     float64
	phase            Phase
	full             float64 // seconds to full service; 0: not there yet
	second           float64 // when the second at hand began
	taken, finished  uint64  // then
	quiet            int     // seconds in a row without enough operations
	confirmed, known bool
}

// NewTracker is when the process starts.
func NewTracker(now float64) *Tracker { return &Tracker{began: now, since: now, second: now} }

// Phase tells the phase, since when, and the seconds that full service took, 0 while it is not reached.
func (s *Tracker) Phase() (p Phase, since, full float64) { return s.phase, s.since, s.full }

// OnEndpoints takes that servers are known, confirmed by the list service or not.
func (s *Tracker) OnEndpoints(ready int, confirmed bool) {
	s.known, s.confirmed = s.known || ready > 0, s.confirmed || confirmed && ready > 0
}

// Tick takes how many operations were taken and finished since the start, and gives the changes of phase. It is to be called several
// times a second.
func (s *Tracker) Tick(now float64, taken, finished uint64) (all []Change) {
	to := func(p Phase, why string) {
		if p > s.phase {
			all = append(all, Change{s.phase, p, why})
			if s.phase, s.since = p, now; p == FullService {
				s.full = max(now-s.began, 1e-3)
			}
		}
	}
	if s.known {
		to(EndpointsCached, "servers are known from before")
	}
	if s.confirmed {
		to(EndpointsConfirmed, "the list service has told the list")
	}
	if s.phase >= EndpointsCached && finished > 0 {
		to(WarmingUp, "servers answer")
	}
	if s.phase == FullService || now-s.second < 1 {
		return all
	}
	came, done := taken-s.taken, finished-s.finished
	s.second, s.taken, s.finished = now, taken, finished
	switch enough := came >= few; {
	case enough && s.confirmed && float64(done) >= served*float64(came):
		to(FullService, fmt.Sprintf("%d of %d finished in a second", done, came))
	case !enough && s.confirmed:
		if s.quiet++; s.quiet >= 5 { // nobody comes who could be served badly
			to(FullService, "hardly anything came for five seconds")
		}
	default:
		s.quiet = 0
	}
	if now-s.began > longest {
		to(FullService, fmt.Sprintf("not as usual after %d s, which is no matter of the start any more", longest))
	}
	return all
}

// RecordKind is something that outlives a process, and what may be made of it.
type RecordKind struct {
	Name          string
	Content       string
	Rule          string  // binding: never undone by something older; or a hint
	MaxAgeSeconds float64 // seconds after which it is not used; 0: it has no age
	Fallback      string  // what is done until something newer proves or overrules it
}

// The kinds that are kept.
const (
	CompletionRate  = "rate"
	EndpointList    = "list"
	DisabledServers = "out"
)

// RecordKinds is all that is kept. What two processes could both believe to be theirs, as operations and connections, never is.
var RecordKinds = []RecordKind{
	// Traffic of some minutes ago is like today's; that of hours ago would have too much sent to cold servers.
	{CompletionRate, "executions a second that servers finished here", "hint", 300, "it allows cold servers work; what finishes now takes its place over the warm-up"},
	// An older list names servers that are long gone, each of which costs a client's try.
	{EndpointList, "the last list, where the platform gives none", "hint", 600, "its servers are used as if they had just started: which have, it cannot tell (rule 4)"},
	{DisabledServers, "servers and zones out by hand", "binding", 0, "held as they stand, in files of their own"},
}

// Usable tells whether something kept at a time, by this machine's clock, may still be used. A clock that went back makes it of the
// future: then nothing is known of its age, and it is not used.
func Usable(kind string, at, now float64) bool {
	i := slices.IndexFunc(RecordKinds, func(k RecordKind) bool { return k.Name == kind })
	if i < 0 {
		return false
	}
	age := now - at
	return RecordKinds[i].MaxAgeSeconds == 0 || age >= 0 && age <= RecordKinds[i].MaxAgeSeconds
}
