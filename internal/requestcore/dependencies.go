package requestcore

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/policy/valuememory"

	"github.com/rs/zerolog"
)

// Dependencies are what a Core acts through. All of them are called on the event loop's goroutine.
type Dependencies struct {
	Clock          Clock
	Upstream       Upstream
	Gossip         func(message []byte) // sends a gossip message to the peer routers
	WatchEndpoints func(on bool)        // starts or stops watching the list service for changes
	Log            zerolog.Logger
	ZoneObserver   ZoneObserver // nil: attempts are not observed by zone

	// ReadAhead is the memory for values that are read ahead of their clients, which all cores share; nil: none are.
	ReadAhead *valuememory.Reservations
}

// Clock is the time and the timers of the event loop.
type Clock interface {
	// Now returns the seconds since the Unix epoch.
	Now() float64
	// After calls a function after a delay in seconds.
	After(delay float64, call func())
}

// Upstream makes attempts and health checks at cache servers, which are identified by their ids.
type Upstream interface {
	// StartAttempt sends a request to a server. The attempt is abandoned after timeout seconds, or after sendWithin
	// seconds if it is not written by then. The observer is called exactly once, after StartAttempt has returned.
	StartAttempt(server uint64, request *Request, timeout, sendWithin float64, observer AttemptObserver) PendingAttempt
	// Probe checks a server's health and calls done once with the outcome.
	Probe(server uint64, done func(balancer.Outcome))
}

// AttemptObserver is notified of the end of an attempt.
type AttemptObserver interface {
	// OnReplyStalled is called when the server has begun its reply and has then sent nothing for a while, and again while
	// it sends nothing. The attempt goes on.
	OnReplyStalled()
	// WouldBeRetried reports whether another attempt of the request would follow if this one, whose reply has stalled, were
	// ended now.
	WouldBeRetried() bool
	// OnReplyDelayed is called when the server's reply is left unread for lack of memory: from now on its time is no
	// evidence against the server.
	OnReplyDelayed()
	OnAttemptEnd(outcome balancer.Outcome, result Result)
	// StillWanted reports whether a client still waits for the result, as far as is known now. The upstream checks this
	// before it writes an attempt that could not be written when it was started.
	StillWanted() bool
	// AnswerIsNext reports whether an answer would be written to the client at once: it waits for no earlier one.
	AnswerIsNext() bool
}

// PendingAttempt is an attempt that has not ended.
type PendingAttempt interface {
	// Cancel abandons the attempt, which ends as balancer.Cancelled.
	Cancel()
	// CancelIfUnsent abandons the attempt if it has not been sent; it then ends as balancer.NotAttempted.
	CancelIfUnsent()
}

// ZoneObserver is notified of the start and the outcome of each attempt in the zones that the endpoint list names.
type ZoneObserver interface {
	// AttemptStarted returns a token that identifies the attempt to AttemptEnded; 0: the attempt is not observed. The
	// objective is the latency objective of the request's class, in seconds.
	AttemptStarted(zone string, objective float64) (token uint64)
	// AttemptEnded is called when an observed attempt has ended, after elapsed seconds.
	AttemptEnded(zone string, token uint64, outcome balancer.Outcome, elapsed, objective float64)
}
