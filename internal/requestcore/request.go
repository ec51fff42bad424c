package requestcore

import "bendtrestle/balancer"

// Request is what a front end has read from a client.
type Request struct {
	Class, Tenant, Key string
	ID                 string // its name at the front end, by which a result is recognised as its own
	Flags, Figures     string // passed on as they are; not looked at here
	Write              bool
	Value              []byte        // of a write
	TimeLeft           float64       // seconds until the client gives up
	NotIdempotent      bool          // a repeated attempt may have an effect; set by Core.Submit
	Usage              UsageObserver // nil: nobody wants to know
}

// UsageObserver is notified of what a request costs and how it ends, on the loop's goroutine, after its client.
type UsageObserver interface {
	// AttemptEnded is called for each attempt, also after the answer, with the seconds that it was outstanding.
	AttemptEnded(seconds float64)
	// Answered is called once. The reason is NoReason unless the request was rejected.
	Answered(end RequestEnd, why RejectReason)
	// RequestDone is called once, last: no attempt is outstanding any more.
	RequestDone()
}

// RequestEnd is how a request ended.
type RequestEnd int

// The ends. All but ClientGone are the client's answer.
const (
	Succeeded  RequestEnd = iota
	Rejected              // it was not executed: a retry is safe
	Failed                // whether it was executed is unknown
	ClientGone            // the client disconnected before an answer
)

// RejectReason says why a request was rejected.
type RejectReason int

// The reasons, all that there are on the way of a request.
const (
	NoReason         RejectReason = iota
	ReasonOverloaded              // the balancer: load is shed, see balancer.ReasonOverloaded
	ReasonNoEndpoint              // the balancer: no endpoint may execute it, or once more; see balancer.ReasonNoEndpoint
	ReasonNoTime                  // the balancer: too little time or no retry budget is left for a retry
	ReasonQuota                   // its team is beyond its quota
	ReasonNoCapacity              // its bulkhead is full: as many requests are open as may be
)

// ReasonNames are the reasons' names in logs, which operators and dashboards read. They stay as they have always been.
var ReasonNames = [...]string{
	NoReason:         "none",
	ReasonOverloaded: "strain",    // overloaded
	ReasonNoEndpoint: "no server", // no endpoint, or none for a repeat
	ReasonNoTime:     "no time",   // also: no retry budget
	ReasonQuota:      "budget",    // the team's quota, not the retry budget
	ReasonNoCapacity: "place",     // no capacity of a bulkhead
}

// rejectReasons gives the balancer's reasons their place among all.
var rejectReasons = map[balancer.RejectReason]RejectReason{
	balancer.ReasonOverloaded: ReasonOverloaded,
	balancer.ReasonNoEndpoint: ReasonNoEndpoint,
	balancer.ReasonNoTime:     ReasonNoTime,
}

// Client takes the one final answer to a request: one of Succeeded, Rejected and Failed is called, once, on the loop's
// goroutine. None is called after Core.OnClientGone.
type Client interface {
	Succeeded(Result)
	// Rejected: the request was not executed; a retry makes sense after so many seconds.
	Rejected(retryAfter float64)
	Failed()

	// Disconnected asks the connection whether the client has gone away. The core may not have heard of that yet, as after
	// the loop was stopped for a while; if so, Core.OnClientGone follows after the present callback.
	Disconnected() bool
}

// Result is what a cache server made of an attempt that succeeded.
type Result struct {
	Value   []byte
	Receipt string     // passed on as it is
	Status  int        // where the protocol has one
	Head    string     // passed on beside the value, as the protocol writes it
	Body    BodyStream // in place of a value that is too long to be held in memory; nil: the value is whole
}
