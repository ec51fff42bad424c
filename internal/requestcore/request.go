package requestcore

import "bendtrestle/balancer"

// Request is a request that a front end has read from a client.
type Request struct {
	Class, Tenant, Key string
	ID                 string // chosen by the front end; a reply must carry the same id
	Flags, Parameters  string // passed to the upstream; not interpreted by this package
	Write              bool
	Value              []byte        // of a write
	TimeLeft           float64       // seconds until the client's deadline
	NotIdempotent      bool          // a repeated attempt may have a further effect; set by Core.Submit
	Usage              UsageObserver // nil: its usage is not recorded
}

// UsageObserver is notified of the resource usage and the end of a request, on the event loop's goroutine. If an event
// also answers the client, the client is called first.
type UsageObserver interface {
	// AttemptEnded is called for each attempt, including those that end after the answer, with the seconds for which the
	// attempt was outstanding.
	AttemptEnded(seconds float64)
	// Answered is called once. The reason is NoReason unless the request was rejected.
	Answered(end RequestEnd, reason RejectReason)
	// RequestDone is called once, as the last call, when no attempt is outstanding any more.
	RequestDone()
}

// RequestEnd is how a request ended.
type RequestEnd int

// The ways in which a request ends. All but ClientDisconnected are answers to the client.
const (
	Succeeded          RequestEnd = iota
	Rejected                      // the request was not executed; a retry is safe
	Failed                        // whether the request was executed is unknown
	ClientDisconnected            // the client disconnected before it was answered
)

// RejectReason is why a request was rejected.
type RejectReason int

// The reasons of all components that can reject a request.
const (
	NoReason         RejectReason = iota
	ReasonOverloaded              // from the balancer: load is shed, see balancer.ReasonOverloaded
	ReasonNoEndpoint              // from the balancer: no endpoint for an attempt or retry, see balancer.ReasonNoEndpoint
	ReasonNoTime                  // from the balancer: too little time or no retry budget is left for a retry
	ReasonQuota                   // the team has exceeded its quota
	ReasonNoCapacity              // the bulkhead is full: its maximum number of requests is open
)

// ReasonNames are the names of the reasons in logs. They must not change, because operators and dashboards rely on
// them.
var ReasonNames = [...]string{
	NoReason:         "none",
	ReasonOverloaded: "strain",    // overloaded
	ReasonNoEndpoint: "no server", // no endpoint for an attempt or a retry
	ReasonNoTime:     "no time",   // or no retry budget
	ReasonQuota:      "budget",    // the team's quota, not the retry budget
	ReasonNoCapacity: "place",     // the bulkhead is full
}

// rejectReasons maps the balancer's reasons to those of this package.
var rejectReasons = map[balancer.RejectReason]RejectReason{
	balancer.ReasonOverloaded: ReasonOverloaded,
	balancer.ReasonNoEndpoint: ReasonNoEndpoint,
	balancer.ReasonNoTime:     ReasonNoTime,
}

// Client receives the final answer to a request: exactly one of Succeeded, Rejected and Failed is called, once, on the
// event loop's goroutine. None is called after Core.OnClientDisconnected.
type Client interface {
	Succeeded(Result)
	// Rejected is called when the request was not executed. A retry is reasonable after retryAfter seconds.
	Rejected(retryAfter float64)
	Failed()

	// AwaitTurn reports whether a value that is still being received would be passed on at once. Otherwise the answers to
	// earlier requests of the connection are not written yet, and onTurn is called once, after the callback in which they
	// are.
	AwaitTurn(onTurn func()) (now bool)
	// IsNext reports whether the answers to earlier requests of the connection are written.
	IsNext() bool
	// HasAnswersBehind reports whether the client has sent further requests, whose answers come after this one.
	HasAnswersBehind() bool

	// Disconnected reports whether the client's connection has ended. The core may not have been notified yet, for
	// example after the event loop was stopped for a while; Core.OnClientDisconnected then follows after the current
	// callback.
	Disconnected() bool
}

// Result is the result of an attempt that succeeded at a cache server.
type Result struct {
	Value       []byte
	Receipt     string // of a write; forwarded unchanged
	Status      int    // if the protocol has status codes
	HeaderLines string // header lines that are forwarded with the value, in the protocol's format
	// ValueRefused is set if the server gave a value for which there was no memory.
	ValueRefused bool
	// DelaySeconds is for how long the server's reply was left unread for lack of memory.
	DelaySeconds float64
	Body         BodyStream // replaces Value if the value is too long to be held in memory; nil: Value is complete
}
