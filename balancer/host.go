package balancer

// Host carries out the actions of a balancer; New receives it. The balancer calls it synchronously, from the call
// that causes the action and on the same goroutine, and the host must not call the balancer before that
// call returns. Ids are those that were passed to the balancer. Times are in seconds.
type Host interface {
	// StartAttempt sends a request to a server. The attempt ends with OnAttemptEnd: after timeout at the latest, or
	// unsent if it could not be written within writeTimeout.
	StartAttempt(request, server uint64, timeout, writeTimeout float64)
	// CancelAttempt stops waiting for the number-th attempt of a request, from 0. OnAttemptEnd is still called.
	CancelAttempt(request uint64, number int)
	// Reject sends a final answer after which a retry by the client is harmless. The client should wait for
	// retryAfter before the retry; 0 states no delay.
	Reject(request uint64, retryAfter float64, reason RejectReason)
	// Fail sends a final answer for a request that may have taken effect.
	Fail(request uint64)
	// Gossip sends a message to every peer, whose host passes it to OnGossip. The bytes are valid until Gossip
	// returns.
	Gossip(message []byte)
	// Probe checks the health of a server and ends with OnProbeResult. The balancer does not use it now.
	Probe(server uint64)
	// SetTimer causes a call of OnTimer with the name after the delay. A timer does not replace another.
	SetTimer(delay float64, name string)
	// WatchEndpoints starts or stops polling for the endpoint list.
	WatchEndpoints(on bool)
}

// RejectReason is the reason why a request was rejected.
type RejectReason int

// The reject reasons.
const (
	// ReasonOverloaded: load was shed. The server would take too long for the value of the request, or the origin
	// is failing.
	ReasonOverloaded RejectReason = iota
	// ReasonNoEndpoint: there is no server for an attempt or for another one. Either no server is ready, allowed by
	// the traffic class and untried; or those that are have no slow-start budget or, at the origin, no capacity; or
	// the request may not be attempted (again) anywhere, because its deadline has passed, it has had
	// Settings.MaxAttempts, or a repeat might take effect twice.
	ReasonNoEndpoint
	// ReasonNoTime: there is a server for a retry, but either the time left is shorter than the expected latency
	// there, or the retry budget is spent. New requests are not rejected for this reason.
	ReasonNoTime
)

// Outcome is the result of an attempt or a health check.
type Outcome int

// The outcomes. OutcomeUnknown is any other outcome: the server may have executed the request.
const (
	OutcomeUnknown Outcome = iota
	Succeeded
	ServerError    // the server answered with an error
	Overloaded     // the server rejected the attempt for lack of capacity
	TimedOut       // no answer within the timeout
	ConnectFailed  // the connection was refused or could not be established
	ConnectionLost // the connection ended before the answer
	Cancelled      // ended by Host.CancelAttempt
	NotAttempted   // never written to the server
	CacheMiss      // the cache does not hold the key
)

// EndpointState is the state of a server in the endpoint list.
type EndpointState int

// The endpoint states.
const (
	Removed  EndpointState = iota // not in the list, or no longer
	Draining                      // it finishes the requests that it has, and takes no new ones
	Ready
)

// EndpointUpdate is the kind of an update of the endpoint list.
type EndpointUpdate int

// The kinds of update.
const (
	UpdateDelta  EndpointUpdate = iota // the servers that changed
	UpdateFull                         // all servers
	UpdateSaved                        // all servers, as saved by an earlier process
	UpdateFailed                       // nothing: the list could not be fetched
)

// WeightMode is the meaning of the weights in the endpoint list.
type WeightMode int

// The meanings. WeightsIgnored is the default: it applies where the meaning is not known.
const (
	WeightsIgnored WeightMode = iota
	WeightsStatic             // the size of a server
	WeightsLive               // the size over one more than the requests in flight per core, measured some time ago
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          uint64
	State       EndpointState
	Capacity    float64 // a weight, only comparable with other weights (WeightMode)
	Zone        string
	Cell        uint64 // the group of servers that share a deduplication table
	MachineType string
	StartedAt   float64 // seconds; 0: so long ago that the server is warm
}
