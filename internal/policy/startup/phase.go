package startup

import "fmt"

// Phase is a named part of a router's way to full service, as admin.Status and the log show it. It is not
// service.Phase, which is where the process stands between its start and its exit.
type Phase uint8

// The phases, in their order. A router may skip some, and does not go back: what fails later is a fault, not a start.
const (
	Listening          Phase = iota // it knows no server: all requests are rejected
	EndpointsCached                 // it knows servers from a record, which no list service has confirmed
	EndpointsConfirmed              // the list service has told the endpoint list
	WarmingUp                       // servers answer; a part of the requests is late or rejected
	FullService                     // as many requests are served as is usual
)

// phaseTexts are the phases' names in logs and in the admin server's answers, where they stay as they have always been.
var phaseTexts = [...]string{
	Listening:          "listening",
	EndpointsCached:    "listed",
	EndpointsConfirmed: "confirmed",
	WarmingUp:          "learning",
	FullService:        "full",
}

// waitTexts say what each phase waits for.
var waitTexts = [...]string{
	Listening:          "a list of servers",
	EndpointsCached:    "the list service",
	EndpointsConfirmed: "answers of servers",
	WarmingUp:          "nineteen in twenty operations finished in a second",
	FullService:        "nothing",
}

// String returns the phase's name as logs and the admin server have it.
func (p Phase) String() string { return phaseTexts[p] }

// WaitsFor says what the phase waits for, for operators.
func (p Phase) WaitsFor() string { return waitTexts[p] }

const (
	// windowSeconds is the least time over which completed requests are compared with those that came.
	windowSeconds = 1
	// fullServiceFraction is the part of a window's requests that are completed in full service; retries and a burst
	// leave the rest on a good day.
	fullServiceFraction = 0.95
	// minWindowRequests is the number of requests below which a window says nothing.
	minWindowRequests = 5
	// maxQuietWindows is the number of such windows in a row after which a router is in full service: nobody comes who
	// could be served badly.
	maxQuietWindows = 5
	// maxStartupSeconds is the time after which requests that are still not served as usual are no matter of the start.
	maxStartupSeconds = 60
	// minFullServiceSeconds is the least time told as that to full service: 0 stands for a service that is not there
	// yet.
	minFullServiceSeconds = 1e-3
)

// Change is one from a phase to another, for the log.
type Change struct {
	From, To Phase
	Reason   string
}

// Tracker follows one process of a router from its start.
type Tracker struct {
	began              float64
	phase              Phase
	since              float64 // when the phase began
	fullServiceSeconds float64 // from the start; 0: not there yet
	endpointsKnown     bool
	endpointsConfirmed bool
	window             requestWindow
}

// requestWindow is the present window, and the quiet ones before it.
type requestWindow struct {
	began        float64
	taken        uint64 // requests since the start, at its beginning
	completed    uint64 // likewise
	quietWindows int    // in a row
}

// NewTracker makes a Tracker of a process that starts now.
func NewTracker(now float64) *Tracker {
	return &Tracker{began: now, since: now, window: requestWindow{began: now}}
}

// Phase returns the phase, when it began, and the seconds that full service took, 0 while it is not reached.
func (t *Tracker) Phase() (phase Phase, since, fullServiceSeconds float64) {
	return t.phase, t.since, t.fullServiceSeconds
}

// OnEndpoints handles that so many servers are ready, by a list that the list service has told in this process's life,
// or by a cached one.
func (t *Tracker) OnEndpoints(ready int, confirmed bool) {
	if ready <= 0 {
		return
	}
	t.endpointsKnown = true
	t.endpointsConfirmed = t.endpointsConfirmed || confirmed
}

// Tick takes how many requests were taken and completed since the start, and returns the changes of phase in their
// order. It is to be called several times a second.
func (t *Tracker) Tick(now float64, taken, completed uint64) []Change {
	var changes []Change
	if t.endpointsKnown {
		changes = t.advance(changes, now, EndpointsCached, "servers are known from before")
	}
	if t.endpointsConfirmed {
		changes = t.advance(changes, now, EndpointsConfirmed, "the list service has told the list")
	}
	if t.phase >= EndpointsCached && completed > 0 {
		changes = t.advance(changes, now, WarmingUp, "servers answer")
	}
	if t.phase == FullService || now-t.window.began < windowSeconds {
		return changes
	}
	if reason := t.endWindow(now, taken, completed); reason != "" {
		changes = t.advance(changes, now, FullService, reason)
	}
	if now-t.began > maxStartupSeconds {
		reason := fmt.Sprintf("not as usual after %d s, which is no matter of the start any more", maxStartupSeconds)
		changes = t.advance(changes, now, FullService, reason)
	}
	return changes
}

// advance moves to a later phase and notes the change; from that phase on it does nothing.
func (t *Tracker) advance(changes []Change, now float64, to Phase, reason string) []Change {
	if to <= t.phase {
		return changes
	}
	changes = append(changes, Change{t.phase, to, reason})
	t.phase = to
	t.since = now
	if to == FullService {
		t.fullServiceSeconds = max(now-t.began, minFullServiceSeconds)
	}
	return changes
}

// endWindow ends the present window and begins the next. It says why the router is in full service; "": it is not, by
// this window.
func (t *Tracker) endWindow(now float64, taken, completed uint64) (reason string) {
	came := taken - t.window.taken
	done := completed - t.window.completed
	t.window.began = now
	t.window.taken = taken
	t.window.completed = completed
	quiet := came < minWindowRequests
	if !quiet || !t.endpointsConfirmed {
		t.window.quietWindows = 0
	}
	if !t.endpointsConfirmed {
		return ""
	}
	if quiet {
		t.window.quietWindows++
		if t.window.quietWindows >= maxQuietWindows {
			return "hardly anything came for five seconds"
		}
		return ""
	}
	if float64(done) >= fullServiceFraction*float64(came) {
		return fmt.Sprintf("%d of %d finished in a second", done, came)
	}
	return ""
}
