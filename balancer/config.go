package balancer

import "strings"

// Settings configures a balancer. The zero value is usable, but sets few limits. Unless a field says otherwise, 0
// is the minimum. Times are in seconds.
type Settings struct {
	// Seed seeds all random numbers of this router. Routers of a deployment have different seeds, so that they do
	// not act in step.
	Seed uint32
	// RouterIndex is the number of this router in the deployment, from 0. The balancer does not read it.
	RouterIndex int
	// RouterCount is the number of routers in the deployment; less than 1 counts as 1. Each router takes its
	// fraction of quotas and of the attempts allowed at a server that is warming up. If the number is too small,
	// such a server is sent too much; if it is too large, the server is used late.
	RouterCount int
	// EventInterval is the minimum time between events. Answers are sent that long before a client gives up, so a
	// larger interval loses attempts that would just have ended in time.
	EventInterval float64

	// OrderedConnections states that connections answer in order, so that an attempt waits for those sent to its
	// server before it. The fraction of attempts that end on time then does not indicate low load, and load is shed
	// early.
	OrderedConnections bool
	// CacheAside states that a cache that lacks a key answers with a miss, and that the router then sends the
	// request to the origin.
	CacheAside bool
	// OriginMachineType is the machine type of the origin's servers in the endpoint list; empty if the list does
	// not contain them.
	OriginMachineType string
	// PollEndpoints states that the endpoint list arrives only when it is polled for (Host.WatchEndpoints).
	PollEndpoints bool
	// PollInterval is the time within which the list must be polled for again. Half of it bounds the wait for an
	// answer and the backoff after a failure. With a larger interval changes are detected later; a smaller one puts
	// more load on the list service.
	PollInterval float64
	// WeightMode is the meaning of Endpoint.Capacity.
	WeightMode WeightMode

	// MaxAttempts is the maximum number of attempts of one request; 0 sets no limit.
	MaxAttempts int
	// HedgingAllowed allows further attempts of a request while others are in flight (a hedged request). The balancer
	// starts one only after the replies to all those in flight have stalled (OnReplyStalled).
	HedgingAllowed bool
	// CancellationAllowed allows Host.CancelAttempt.
	CancellationAllowed bool
	// MaxRetryAfter is the maximum retry-after delay of rejected clients; with 0 they get no delay. A larger value
	// spreads their return over a longer time; a smaller one brings them back during the overload.
	MaxRetryAfter float64
	// RetryBudgetPerTenant gives each tenant a retry budget of its own: a tenant whose attempts fail does not spend
	// the budget of others, but small tenants earn few retries.
	RetryBudgetPerTenant bool
	// OverQuotaWeight is the fraction, from 0 to 1, of its priority weight that a request beyond its tenant's quota
	// is worth. A smaller value sheds such requests earlier.
	OverQuotaWeight float64

	// ProbesAllowed allows Host.Probe. The balancer does not use it.
	ProbesAllowed bool
	// GossipAllowed allows Host.Gossip.
	GossipAllowed bool
	// GossipPrice is the cost of a message of 256 bytes, in units of priority weight. The higher it is, the fewer
	// messages are sent.
	GossipPrice float64

	// OverloadWindow and OverloadFactor set the overload rule for servers that are warming up: within any
	// OverloadWindow, all routers together send such a server at most OverloadFactor times what it can do in that
	// time. Larger values load the server sooner, at the risk of overloading it. An OverloadWindow of 0 sets no
	// limit.
	OverloadWindow float64
	OverloadFactor float64
	// WarmupStartCapacity is the minimum fraction of its full capacity, from 0 to 1, that a server has when it
	// starts. The capacity grows linearly to its full value within WarmupDuration.
	WarmupStartCapacity float64
	// WarmupDuration is the longest time that a server takes to warm up; with 0, servers are warm from the start. A
	// larger value restricts new servers to a small fraction of the keys for longer. It is also the maximum
	// ejection time of a server that keeps failing, and the time over which completions are counted.
	WarmupDuration float64
	// StartTimeError is the maximum error of Endpoint.StartedAt, in either direction. A server counts as warming up
	// for that much longer.
	StartTimeError float64
	// SlowStartMaxSharingRouters is the number of routers up to which only a fraction of them holds an unused attempt
	// for a server that is warming up; 0 means 64. A smaller number uses such servers sooner, but does not bound a
	// burst that reaches all routers at once.
	SlowStartMaxSharingRouters float64

	TrafficClasses []TrafficClass
	Tenants        []Tenant

	// InitialCompletionRate is the recent rate, in attempts per second, at which caches completed attempts before
	// this process started; 0 if unknown. If the rate is too high, servers that are warming up are sent too much at
	// first.
	InitialCompletionRate float64
}

// Idempotency is the effect of a repeated request.
type Idempotency int

// The kinds of traffic class. AtMostOnce is the default: it applies where a repeat is not known to be harmless.
const (
	AtMostOnce       Idempotency = iota // a repeat may take effect a second time
	IdempotencyKeyed                    // servers drop repeats, within the deduplication scope and window
	Idempotent                          // a repeat is harmless
)

// DeduplicationScope is the group of servers that drop repeats of a request with an idempotency key.
type DeduplicationScope int

// The scopes. ScopeCell, the narrowest, is the default: it applies where the scope is not known.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// TrafficClass holds the settings of one class of requests. Times are in seconds.
type TrafficClass struct {
	Name               string
	Idempotency        Idempotency
	DeduplicationScope DeduplicationScope
	// DeduplicationWindow is the time after the first attempt for which servers drop repeats. No repeat is sent
	// after it.
	DeduplicationWindow float64
	// LatencyObjective is the time within which an answer is on time; 0 means all of Deadline. Shedding, ejections
	// and the decay of observed latencies depend on it: with a larger value, load is shed later and observations
	// count for longer.
	LatencyObjective float64
	// Deadline is the time that clients allow for a request, including all of their retries.
	Deadline float64
	// PriorityWeight is the value of an answer relative to other classes. Requests with a smaller weight are shed
	// earlier under load.
	PriorityWeight float64
	// LateValue is the fraction of the weight, from 0 to 1, that an answer after the latency objective is worth.
	LateValue float64
	// Stream states that the answer is a stream. The balancer does not read it: OnStreamStart reports each stream.
	Stream bool
	// AllowedZones are the only zones that requests of the class may be sent to; nil allows all.
	AllowedZones []string
	// AllowedMachineTypes are the only machine types that requests of the class may be sent to; nil allows all.
	AllowedMachineTypes []string
}

// PlacementRules returns a readable description of the zones and machine types that a class is restricted to; empty
// if it is unrestricted.
func (t TrafficClass) PlacementRules() string {
	var all []string
	if t.AllowedZones != nil {
		all = append(all, "in "+strings.Join(t.AllowedZones, ", "))
	}
	if t.AllowedMachineTypes != nil {
		all = append(all, "on "+strings.Join(t.AllowedMachineTypes, ", "))
	}
	return strings.Join(all, " ")
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	Name string
	// Quota is the number of requests per second, over all routers. Requests beyond it are worth less, and so are
	// shed first.
	Quota float64
}
