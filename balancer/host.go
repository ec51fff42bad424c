package balancer

// Host is what a balancer acts through; whoever makes a balancer hands it one. The balancer calls it from
// inside the call that the action follows from, on the same goroutine, and the host must not call the balancer
// back before that returns. Ids are those that the balancer was told. Times are seconds.
type Host interface {
	// StartAttempt sends a request to a server. The attempt ends with OnAttemptEnd: after timeout at the
	// latest, or without having been sent where it could not be written within writeTimeout.
	StartAttempt(request, server uint64, timeout, writeTimeout float64)
	// CancelAttempt stops waiting for the number-th attempt of a request, from 0. OnAttemptEnd is still called.
	CancelAttempt(request uint64, number int)
	// Reject is a final answer: trying again is harmless. The client is to wait for retryAfter; 0 says nothing
	// of that.
	Reject(request uint64, retryAfter float64, reason RejectReason)
	// Fail is a final answer: the request may have taken effect.
	Fail(request uint64)
	// Gossip sends a message to every peer, whose hosts hand it to OnGossip. The bytes are valid until Gossip
	// returns.
	Gossip(message []byte)
	// Probe checks the health of a server. It ends with OnProbeResult. The balancer does not use it now.
	Probe(server uint64)
	// SetTimer has OnTimer called with a name after a delay. A timer replaces no other.
	SetTimer(delay float64, name string)
	// WatchEndpoints polls for the endpoint list, or stops that.
	WatchEndpoints(on bool)
}

// RejectReason is why a request was rejected.
type RejectReason int

// The reasons.
const (
	// ReasonOverloaded: load was shed. Its server would take too long for what the request is worth, or the
	// origin fails.
	ReasonOverloaded RejectReason = iota
	// ReasonNoEndpoint: there is no server for an attempt, or for another one. Either none is ready, allowed by the
	// traffic class and untried, or those that are have no slow-start budget or, at the origin, no capacity; or the
	// request may not be attempted (again) anywhere: its deadline is over, it has had Settings.MaxAttempts, or a
	// repeat might take effect twice.
	ReasonNoEndpoint
	// ReasonNoTime: there is a server for a retry, but either less time is left than an attempt there should take, or
	// the retry budget is spent. New requests are not rejected for it.
	ReasonNoTime
)

// Outcome is how an attempt or a health check ended.
type Outcome int

// The outcomes. OutcomeUnknown stands for any other: the server may have executed the request.
const (
	OutcomeUnknown Outcome = iota
	Succeeded
	ServerError    // the server answered with an error
	Overloaded     // the server rejected it for lack of capacity
	TimedOut       // no answer within the timeout
	ConnectFailed  // the connection was refused, or could not be made
	ConnectionLost // the connection ended before the answer
	Cancelled      // after Host.CancelAttempt
	NotAttempted   // never written to the server
	CacheMiss      // the server does not hold the key
)

// EndpointState is what the list says of a server.
type EndpointState int

// The states.
const (
	Removed  EndpointState = iota // not in the list, or no more
	Draining                      // it ends what it has, and takes nothing new
	Ready
)

// EndpointUpdate is the kind of an update of the endpoint list.
type EndpointUpdate int

// The kinds of update.
const (
	UpdateDelta  EndpointUpdate = iota // the servers that changed
	UpdateFull                         // all servers
	UpdateSaved                        // all servers, as they were saved by an earlier process
	UpdateFailed                       // nothing: the list could not be had
)

// WeightMode is the meaning of the weights in the endpoint list.
type WeightMode int

// The meanings. What is not known counts as WeightsIgnored.
const (
	WeightsIgnored WeightMode = iota
	WeightsStatic             // the size of a server
	WeightsLive               // its size over one more than the requests that it held a core, of some time before
)

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	ID          uint64
	State       EndpointState
	Capacity    float64 // a weight, for comparison with others only (WeightMode)
	Zone        string
	Cell        uint64 // the group of servers that shares a deduplication table
	MachineType string
	StartedAt   float64 // seconds; 0: long ago
}
