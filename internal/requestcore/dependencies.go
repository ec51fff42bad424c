package requestcore

import (
	"bendtrestle/balancer"

	"github.com/rs/zerolog"
)

// Dependencies is all that a Core acts on. All of it is called on the loop's goroutine.
type Dependencies struct {
	Clock          Clock
	Upstream       Upstream
	Gossip         func(message []byte) // sends a message to peers
	WatchEndpoints func(on bool)        // asks the list service for changes, or no longer
	Log            zerolog.Logger
	ZoneObserver   ZoneObserver // nil: nobody wants to know
}

// Clock is the loop's time and timers.
type Clock interface {
	// Now returns seconds since the Unix epoch.
	Now() float64
	// After calls a function so many seconds later.
	After(delay float64, call func())
}

// Upstream makes attempts and health checks at cache servers, which are named by their ids.
type Upstream interface {
	// StartAttempt sends a request to a server. After timeout seconds the attempt is given up; so it is if it could not be
	// written within sendWithin seconds. The observer is called exactly once, after StartAttempt has returned.
	StartAttempt(server uint64, request *Request, timeout, sendWithin float64, observer AttemptObserver) PendingAttempt
	// Probe checks a server's health, and calls done once with the outcome.
	Probe(server uint64, done func(balancer.Outcome))
}

// AttemptObserver is notified of how an attempt ended.
type AttemptObserver interface {
	OnAttemptEnd(outcome balancer.Outcome, result Result)
	// StillWanted reports whether somebody waits for the attempt, as far as can be told now. The upstream asks before it
	// writes an attempt later than it was started.
	StillWanted() bool
}

// PendingAttempt is an attempt that has not ended.
type PendingAttempt interface {
	// Cancel gives it up; it ends as balancer.Cancelled.
	Cancel()
	// CancelIfUnsent gives it up if it was not sent; it then ends as balancer.NotAttempted.
	CancelIfUnsent()
}

// ZoneObserver is notified of how attempts go in the zones that the endpoint list names.
type ZoneObserver interface {
	// AttemptStarted returns a mark by which AttemptEnded recognises the attempt; 0: it is not observed. The objective is
	// the seconds within which the request's class is to be answered.
	AttemptStarted(zone string, objective float64) (mark uint64)
	// AttemptEnded is called for an observed attempt, with the seconds that it took.
	AttemptEnded(zone string, mark uint64, outcome balancer.Outcome, took, objective float64)
}
