package balancer

import "strings"

// Settings is what a balancer is told at its start. The zero value decides, but bounds little. Unless a field
// says so, 0 is the least value. Times are seconds.
type Settings struct {
	// Seed is the seed of all chance of this router. Routers of a deployment have different ones, so that they
	// do not act in step.
	Seed uint32
	// RouterIndex is the number of this router in the deployment, from 0. The balancer does not read it.
	RouterIndex int
	// RouterCount is the number of routers in the deployment; less than 1 counts as 1. Each router takes its
	// part of quotas and of what a server that is warming up may get: a number that is too small sends such a
	// server too much, one that is too large uses it late.
	RouterCount int
	// EventInterval is how often events come at most. Answers are sent that much before a client gives up:
	// larger ones cost attempts that would just have ended in time.
	EventInterval float64

	// OrderedConnections says that an attempt waits for those sent to its server before it. Time is then no
	// sign of calm, and load is shed early.
	OrderedConnections bool
	// CacheAside says that a cache that lacks a key answers so, and the router asks the origin.
	CacheAside bool
	// OriginMachineType is the machine type of the origin's servers in the endpoint list; empty if they are not
	// in it.
	OriginMachineType string
	// PollEndpoints says that the endpoint list comes only when it is asked for (Host.WatchEndpoints).
	PollEndpoints bool
	// PollInterval is within what time the list is to be asked for again. Half of it bounds the wait for an
	// answer and the backoff after a failure: a larger one learns late of changes, a smaller one loads the list
	// service.
	PollInterval float64
	// WeightMode says what Endpoint.Capacity means.
	WeightMode WeightMode

	// MaxAttempts bounds the attempts of one request; 0 is no bound.
	MaxAttempts int
	// HedgingAllowed allows two attempts of a request in flight at once (a hedged request). The balancer never starts a
	// second attempt before the first has ended, so the setting changes none of its decisions now.
	HedgingAllowed bool
	// CancellationAllowed allows Host.CancelAttempt.
	CancellationAllowed bool
	// MaxRetryAfter bounds the time after which rejected clients are told to come back; 0: they are not told. A
	// larger one spreads their return further, a smaller one brings them back into the overload.
	MaxRetryAfter float64
	// RetryBudgetPerTenant gives each tenant a retry budget of its own: one whose attempts fail spends no
	// other's, but small tenants earn few retries.
	RetryBudgetPerTenant bool
	// OverQuotaWeight is the part, from 0 to 1, of its priority weight that a request beyond its tenant's quota
	// is worth. A smaller one sheds such requests earlier.
	OverQuotaWeight float64

	// ProbesAllowed allows Host.Probe. The balancer does not use it.
	ProbesAllowed bool
	// GossipAllowed allows Host.Gossip.
	GossipAllowed bool
	// GossipPrice is the price of a message of 256 bytes, in priority weight. The larger it is, the fewer
	// messages are sent.
	GossipPrice float64

	// OverloadWindow and OverloadFactor are the rule on servers that are warming up: within any OverloadWindow
	// all routers together send one no more than OverloadFactor times what it can do in that time. Larger
	// values load such a server sooner, at the risk of its overload. An OverloadWindow of 0 is no bound.
	OverloadWindow float64
	OverloadFactor float64
	// WarmupStartCapacity is the part of its capacity, from 0 to 1, that a server has when it starts, at least.
	// It grows evenly to the whole within WarmupDuration.
	WarmupStartCapacity float64
	// WarmupDuration is the longest time in which a server warms up; 0: servers are warm at once. A larger one
	// keeps new servers on a small slice of the keys for longer. It is also the longest ejection of a server
	// that keeps failing, and the time over which completions are counted.
	WarmupDuration float64
	// StartTimeError is by how much Endpoint.StartedAt may be off, in either direction. A server counts as cold
	// for longer by that.
	StartTimeError float64
	// SlowStartSharedUpTo is the number of routers up to which only a part of them keeps an unused attempt for
	// a server that is warming up; 0 is 64. A smaller number uses such servers sooner, and does not hold a
	// burst that comes to all routers at once.
	SlowStartSharedUpTo float64

	TrafficClasses []TrafficClass
	Tenants        []Tenant

	// InitialCompletionRate is how many attempts a second caches completed of late, before this process; 0: not
	// known. Too large a rate sends servers that are warming up too much at first.
	InitialCompletionRate float64
}

// Idempotency is what a repeat of a request does.
type Idempotency int

// The kinds of traffic class. What is not known to be harmless counts as AtMostOnce.
const (
	AtMostOnce       Idempotency = iota // a repeat may take effect a second time
	IdempotencyKeyed                    // servers drop repeats, within the deduplication scope and window
	Idempotent                          // a repeat is harmless
)

// DeduplicationScope is the group of servers that drop the repeats of a request with an idempotency key.
type DeduplicationScope int

// The scopes. What is not known counts as the cell, the narrowest.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// TrafficClass holds the settings of one class of requests. Times are seconds.
type TrafficClass struct {
	Name               string
	Idempotency        Idempotency
	DeduplicationScope DeduplicationScope
	// DeduplicationWindow is for how long, from the first attempt on, repeats are dropped. None is sent after it.
	DeduplicationWindow float64
	// LatencyObjective is the time within which an answer is in time; 0: all of Deadline. Shedding, ejections
	// and the time for which latencies are remembered follow it: a larger one sheds later and forgets later.
	LatencyObjective float64
	// Deadline is the time that clients give a request, all their tries together.
	Deadline float64
	// PriorityWeight is what an answer is worth, against other classes. The smaller, the earlier it is shed
	// under load.
	PriorityWeight float64
	// LateValue is the part of the weight, from 0 to 1, that an answer after the latency objective is worth.
	LateValue float64
	// Stream says that the answer is a stream. The balancer does not read it: it learns of a stream by OnStreamStart.
	Stream bool
	// AllowedZones are the zones to which alone it may be sent; nil: all.
	AllowedZones []string
	// AllowedMachineTypes are the types of machine to which alone it may be sent; nil: all.
	AllowedMachineTypes []string
}

// PlacementRules describes, for people, where alone a class may be sent; empty if that is anywhere.
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
	// Quota is the number of requests a second, over all routers. Requests beyond it are worth less, and so
	// shed first.
	Quota float64
}
