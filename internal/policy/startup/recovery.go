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
	Listening Phase = iota // it knows no server: everything is declined
	Listed                 // it knows servers from what was kept, which no list service has confirmed
	Confirmed              // the list service has told the list
	Learning               // servers answer; a part of what comes is late or declined
	Full                   // as much is served as is usual
)

func (p Phase) String() string {
	return [...]string{"listening", "listed", "confirmed", "learning", "full"}[p]
}

// Waits words what a phase waits for.
func (p Phase) Waits() string {
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
	Why      string
}

// Start is one process of a router.
type Start struct {
	began, since     float64
	phase            Phase
	full             float64 // seconds to full service; 0: not there yet
	second           float64 // when the second at hand began
	taken, finished  uint64  // then
	quiet            int     // seconds in a row without enough operations
	confirmed, known bool
}

// Begin is when the process starts.
func Begin(now float64) *Start { return &Start{began: now, since: now, second: now} }

// Phase tells the phase, since when, and the seconds that full service took, 0 while it is not reached.
func (s *Start) Phase() (p Phase, since, full float64) { return s.phase, s.since, s.full }

// Known takes that servers are known, confirmed by the list service or not.
func (s *Start) Known(ready int, confirmed bool) {
	s.known, s.confirmed = s.known || ready > 0, s.confirmed || confirmed && ready > 0
}

// Tick takes how many operations were taken and finished since the start, and gives the changes of phase. It is to be called several
// times a second.
func (s *Start) Tick(now float64, taken, finished uint64) (all []Change) {
	to := func(p Phase, why string) {
		if p > s.phase {
			all = append(all, Change{s.phase, p, why})
			if s.phase, s.since = p, now; p == Full {
				s.full = max(now-s.began, 1e-3)
			}
		}
	}
	if s.known {
		to(Listed, "servers are known from before")
	}
	if s.confirmed {
		to(Confirmed, "the list service has told the list")
	}
	if s.phase >= Listed && finished > 0 {
		to(Learning, "servers answer")
	}
	if s.phase == Full || now-s.second < 1 {
		return all
	}
	came, done := taken-s.taken, finished-s.finished
	s.second, s.taken, s.finished = now, taken, finished
	switch enough := came >= few; {
	case enough && s.confirmed && float64(done) >= served*float64(came):
		to(Full, fmt.Sprintf("%d of %d finished in a second", done, came))
	case !enough && s.confirmed:
		if s.quiet++; s.quiet >= 5 { // nobody comes who could be served badly
			to(Full, "hardly anything came for five seconds")
		}
	default:
		s.quiet = 0
	}
	if now-s.began > longest {
		to(Full, fmt.Sprintf("not as usual after %d s, which is no matter of the start any more", longest))
	}
	return all
}

// Kind is something that outlives a process, and what may be made of it.
type Kind struct {
	Name   string
	What   string
	Rule   string  // binding: never undone by something older; or a hint
	Oldest float64 // seconds after which it is not used; 0: it has no age
	Until  string  // what is done until something newer proves or overrules it
}

// The kinds that are kept.
const (
	Rate = "rate"
	List = "list"
	Out  = "out"
)

// Kinds is all that is kept. What two processes could both believe to be theirs, as operations and connections, never is.
var Kinds = []Kind{
	// Traffic of some minutes ago is like today's; that of hours ago would have too much sent to cold servers.
	{Rate, "executions a second that servers finished here", "hint", 300, "it allows cold servers work; what finishes now takes its place over the warm-up"},
	// An older list names servers that are long gone, each of which costs a client's try.
	{List, "the last list, where the platform gives none", "hint", 600, "its servers are used as if they had just started: which have, it cannot tell (rule 4)"},
	{Out, "servers and zones out by hand", "binding", 0, "held as they stand, in files of their own"},
}

// Believe tells whether something kept at a time, by this machine's clock, may still be used. A clock that went back makes it of the
// future: then nothing is known of its age, and it is not used.
func Believe(kind string, at, now float64) bool {
	i := slices.IndexFunc(Kinds, func(k Kind) bool { return k.Name == kind })
	if i < 0 {
		return false
	}
	age := now - at
	return Kinds[i].Oldest == 0 || age >= 0 && age <= Kinds[i].Oldest
}
