package startup

import "fmt"

// Phase is a phase of a router's start, as admin.Status and the log show it. It differs from service.Phase, the phase
// of the process between its start and its exit.
type Phase uint8

// The phases, in order. A router may skip phases and never goes back: a later failure is a fault and no part of the
// start.
const (
	Listening          Phase = iota // no server is known: all requests are rejected
	EndpointsCached                 // servers are known, for example from a record that the list service has not confirmed
	EndpointsConfirmed              // the list service has returned the endpoint list
	WarmingUp                       // servers answer; some requests are late or rejected
	FullService                     // the usual fraction of requests is completed
)

// phaseTexts are the phases' names in logs and in the admin server's answers. Operators and dashboards match them, so
// they must not change.
var phaseTexts = [...]string{
	Listening:          "listening",
	EndpointsCached:    "listed",
	EndpointsConfirmed: "confirmed",
	WarmingUp:          "learning",
	FullService:        "full",
}

// waitTexts describe what each phase waits for.
var waitTexts = [...]string{
	Listening:          "a list of servers",
	EndpointsCached:    "the list service",
	EndpointsConfirmed: "answers of servers",
	WarmingUp:          "nineteen in twenty operations finished in a second",
	FullService:        "nothing",
}

// String returns the phase's name in logs and in the admin server's answers.
func (p Phase) String() string { return phaseTexts[p] }

// WaitsFor returns a text for operators about what the phase waits for.
func (p Phase) WaitsFor() string { return waitTexts[p] }

const (
	// windowSeconds is the minimum time over which completed requests are compared with received ones.
	windowSeconds = 1
	// fullServiceFraction is the minimum fraction of a window's requests that is completed in full service. Also in
	// normal operation retries and bursts leave a few requests uncompleted in a window.
	fullServiceFraction = 0.95
	// minWindowRequests is the number of requests below which a window is quiet and its fraction is not used.
	minWindowRequests = 5
	// maxQuietWindows is the number of quiet windows in a row after which a router is in full service, because it
	// receives hardly any requests that it could serve badly.
	maxQuietWindows = 5
	// maxStartupSeconds is the maximum duration of the start. If the fraction of completed requests is still too low
	// after it, the cause is not the start.
	maxStartupSeconds = 60
	// minFullServiceSeconds is the minimum reported time to full service, because 0 means that full service is not
	// reached yet.
	minFullServiceSeconds = 1e-3
)

// Change is a transition between phases, for the log.
type Change struct {
	From, To Phase
	Reason   string
}

// Tracker tracks the phase of one router process from its start.
type Tracker struct {
	began              float64
	phase              Phase
	since              float64 // when the phase began
	fullServiceSeconds float64 // time from the start to full service; 0: not reached yet
	endpointsKnown     bool
	endpointsConfirmed bool
	window             requestWindow
}

// requestWindow is the current window and the number of quiet windows before it.
type requestWindow struct {
	began        float64
	received     uint64 // requests received from the start of the process to the beginning of the window
	completed    uint64 // requests completed, likewise
	quietWindows int    // in a row
}

// NewTracker returns a Tracker for a process that starts now.
func NewTracker(now float64) *Tracker {
	return &Tracker{began: now, since: now, window: requestWindow{began: now}}
}

// Phase returns the current phase, the time when it began, and the seconds from the start to full service, 0 while it
// is not reached.
func (t *Tracker) Phase() (phase Phase, since, fullServiceSeconds float64) {
	return t.phase, t.since, t.fullServiceSeconds
}

// OnEndpoints handles an endpoint list with a number of ready servers. The list is confirmed if the list service has
// returned it to this process; otherwise it is a cached one.
func (t *Tracker) OnEndpoints(ready int, confirmed bool) {
	if ready <= 0 {
		return
	}
	t.endpointsKnown = true
	t.endpointsConfirmed = t.endpointsConfirmed || confirmed
}

// Tick handles the number of requests received and completed since the start, and returns the changes of phase in
// order. Call it several times a second.
func (t *Tracker) Tick(now float64, received, completed uint64) []Change {
	var changes []Change
	if t.endpointsKnown {
		changes = t.advance(changes, now, EndpointsCached, "an endpoint list has ready servers")
	}
	if t.endpointsConfirmed {
		changes = t.advance(changes, now, EndpointsConfirmed, "the list service has returned the endpoint list")
	}
	if t.phase >= EndpointsCached && completed > 0 {
		changes = t.advance(changes, now, WarmingUp, "servers answer requests")
	}
	if t.phase == FullService || now-t.window.began < windowSeconds {
		return changes
	}
	if reason := t.endWindow(now, received, completed); reason != "" {
		changes = t.advance(changes, now, FullService, reason)
	}
	if now-t.began > maxStartupSeconds {
		reason := fmt.Sprintf("too few requests are completed after %d s; the cause is not the start", maxStartupSeconds)
		changes = t.advance(changes, now, FullService, reason)
	}
	return changes
}

// advance moves to a later phase and appends the change. It does nothing if the phase is already reached.
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

// endWindow ends the current window and begins the next. It returns the reason why the router is in full service, or ""
// if this window doesn't show that it is.
func (t *Tracker) endWindow(now float64, received, completed uint64) (reason string) {
	windowReceived := received - t.window.received
	windowCompleted := completed - t.window.completed
	t.window.began = now
	t.window.received = received
	t.window.completed = completed
	quiet := windowReceived < minWindowRequests
	if !quiet || !t.endpointsConfirmed {
		t.window.quietWindows = 0
	}
	if !t.endpointsConfirmed {
		return ""
	}
	if quiet {
		t.window.quietWindows++
		if t.window.quietWindows >= maxQuietWindows {
			return "hardly any requests were received for five seconds"
		}
		return ""
	}
	if float64(windowCompleted) >= fullServiceFraction*float64(windowReceived) {
		return fmt.Sprintf("%d of %d requests were completed in a second", windowCompleted, windowReceived)
	}
	return ""
}
