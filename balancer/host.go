package balancer

import "strings"

// Host is what the module acts through. Whoever runs an instance hands it one at start; ids are those of
// the calls into the module. Times are seconds.
type Host interface {
	// StartAttempt begins an execution, given up after limit, or where it has not been written after within.
	StartAttempt(operation, server uint64, limit, within float64)
	CancelAttempt(operation uint64, n int)                         // stop waiting for the operation's n-th execution
	Reject(operation uint64, retryAfter float64, why RejectReason) // final answer: trying again is harmless
	Fail(operation uint64)                                         // final answer: promises nothing
	Gossip(words []byte)                                           // send a short message to every peer
	Probe(server uint64)                                           // look at a server
	SetTimer(delay float64, name string)                           // call Wake with name after delay
	WatchEndpoints(on bool)                                        // ask for list changes from now on
}

// RejectReason tells why an operation was declined.
type RejectReason int

// The reasons.
const (
	ReasonOverloaded RejectReason = iota // its server takes too long for what it is worth
	ReasonNoEndpoint                     // none may execute it, or execute it again
	ReasonNoTime                         // what is left is less than an execution should take, or all that may be repeated is
)

// Outcome tells how an execution or a probe ended.
type Outcome int

// The outcomes. OutcomeUnknown stands for any that is not on the list and is taken as 'may have run'.
const (
	OutcomeUnknown Outcome = iota
	Succeeded
	ServerError
	Overloaded
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotAttempted
	CacheMiss
)

// Idempotency is what a repeat of an operation does.
type Idempotency int

// The kinds of traffic type. What is not known to be harmless counts as AtMostOnce.
const (
	AtMostOnce Idempotency = iota
	IdempotencyKeyed
	Idempotent
)

// DeduplicationScope tells which cache servers drop a numbered operation's repeats.
type DeduplicationScope int

// The groups. What is not known counts as the cell, the narrowest.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// EndpointState is what the list says of a cache server.
type EndpointState int

// The modes.
const (
	Removed EndpointState = iota
	Draining
	Ready
)

// EndpointUpdate tells what a list update holds.
type EndpointUpdate int

// The kinds of update.
const (
	UpdateDelta EndpointUpdate = iota
	UpdateFull
	UpdateSaved
	UpdateFailed
)

// WeightMode tells what the list's weights mean.
type WeightMode int

// The meanings. What is not known counts as WeightsIgnored.
const (
	WeightsIgnored WeightMode = iota
	WeightsStatic
	WeightsLive // the size over one more than the executions held a core, of some time before
)

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	ID          uint64
	State       EndpointState
	Capacity    float64 // for comparison with others only
	Zone        string
	Cell        uint64
	MachineType string
	StartedAt   float64 // 0: long ago
}

// TrafficClass holds the settings of one traffic type.
type TrafficClass struct {
	Name                string
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow float64 // how long repeats of a numbered operation are dropped
	LatencyObjective    float64
	Deadline            float64
	PriorityWeight      float64
	LateValue           float64 // part of the benefit that an answer after the promised time brings
	Stream              bool
	AllowedZones        []string // the zones to which alone it may be sent; nil: all
	AllowedMachineTypes []string // the kinds of machine to which alone it may be sent; nil: all
}

// PlacementRules words where alone a type may be sent, for people; empty if that is anywhere.
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
	Name  string
	Quota float64 // operations a second over all routers
}

// Settings is what an instance is told at start.
type Settings struct {
	Seed                  uint32
	RouterIndex           int
	RouterCount           int
	EventInterval         float64    // events come no more often than this
	OrderedConnections    bool       // an execution waits for those sent to its server before it
	CacheAside            bool       // a cache that lacks a key says so, and the router asks the origin
	OriginMachineType     string     // the origin's servers, in the list, are of this kind; "": it is not in the list
	PollEndpoints         bool       // the list comes only when asked for
	SlowStartSharedUpTo   float64    // routers; beyond so many each keeps a request for a cold server, 0: 64
	RetryBudgetPerTenant  bool       // each realm has further executions of its own
	WeightMode            WeightMode // what Member.Capacity tells
	MaxAttempts           int
	HedgingAllowed        bool
	CancellationAllowed   bool
	MaxRetryAfter         float64 // 0: clients are not told when to come back
	OverQuotaWeight       float64 // what traffic beyond a tenant's share is worth, as a part of the usual
	PollInterval          float64
	ProbesAllowed         bool    // servers may be probed
	GossipAllowed         bool    // peers may be told
	GossipPrice           float64 // price of a message of 256 bytes for each operation
	OverloadWindow        float64
	OverloadFactor        float64
	WarmupStartCapacity   float64
	WarmupDuration        float64
	StartTimeError        float64 // by which Member.Started may be off, in either direction
	TrafficClasses        []TrafficClass
	Tenants               []Tenant
	InitialCompletionRate float64 // executions a second that caches finished of late, before this process; 0: not known
}

// The records that the module keeps.

// crowd is up to how many routers a part of them keeps a request for a cold server where the settings do not say. Beyond it each sees so
// few requests that what all may keep goes unused, down to a twentieth of what the server is allowed: with 300 it cost join, herd and
// roll 0.05 to 0.10 of their score.
const crowd = 64

// Balancer is one instance of the module.
type Balancer struct {
	host         Host
	set          Settings
	now          float64
	draws        uint64 // numbers drawn by chance
	rows         map[string]*row
	longest      float64 // promised time of all types
	load, loadAt float64 // of all caches, as for one
	tenants      map[string]*tenant
	quotas       float64            // of all tenants
	servers      map[uint64]*server // every server that a list has named
	ready        []*server          // the caches in service, by id
	cold         bool               // none of them was warm when they were last set up
	origins      []*server          // the origin's servers in service, by id
	left         map[string]float64 // the part of its keys that a zone does not serve now
	size         float64            // the mean of theirs
	points       []point            // of the ready caches
	orders       [slots][]point     // the points most similar to a slot, kept until membership changes
	heat, heated [slots]float64     // uses of a slot lately, and the count of uses when that was reckoned
	faulty       [slots]float64     // errors in a row at several servers of what has keys at a slot
	uses, recent float64            // uses of all slots, and those that are lately
	ops          map[uint64]*operation
	flying       int                 // executions in flight
	words        []byte              // for the peers
	voice, spare float64             // messages that may be sent to them; further executions that may be made
	purses       map[string]*float64 // the latter for each realm, where they are apart
	began        float64             // when it started
	flow, flowAt float64             // executions that caches finished a second, and when that was reckoned
	tier         float64             // routers, by the settings or as many as are heard
	among        float64             // how many caches were ready when they finished these, the mean
	lost, won    float64             // executions of late that failed, or were spared since they would, and that finished
	taken        float64             // part of the operations of late that caches finished
	timely       float64             // part of the executions of late that finished within the promised time
	value        float64             // benefit for a second's execution, the mean of what was judged lately
	asked, wait  float64             // when the list was last asked for, 0 if answered; the wait after an error

	// What is turned away teaches nothing, so of what would be shed the tenth in a row goes on: a tenth is what further
	// executions may add, too, and the term counts from 15 on. It waits for the longest promised time, in which the one
	// before it should have told, but no more than 2 s, half of the term's 4.
	turned int     // operations turned away since an execution last began
	tried  float64 // when that was
}

// row is the table of what differs by traffic type.
type row struct {
	TrafficClass
	usual      float64 // the time that clients leave for a first try
	votes      int     // for usual, less those against
	lag, heard float64 // a finished execution's mean time, as seen, and when that changed
}

type tenant struct {
	quota, tokens, at float64 // over all routers; operations within its share that may come, at that time
}

// server is all that is known of one cache server, or of one server of the origin.
type server struct {
	Endpoint
	size           float64 // the largest weight it had since it started
	points         int     // its places on the circle
	out            []*execution
	share          float64 // part of its points that it answers for, less where it is slower than others
	slow, heard    float64 // recent time of an execution over the mean of its type, and when that changed
	load, loadAt   float64 // times that all routers told of it lately, summed up, and when that was reckoned
	usual          float64 // what it held over some seconds, by live weights
	joint          float64 // as slow, by what all routers tell
	well           float64 // when peers last told of an execution that finished there
	fails          int     // failures since the last success
	until          float64 // passed over until then, after failures
	down           bool    // refused connections since it last answered
	barred         bool    // operators leave it out
	limit, lowered float64 // origin: executions it may hold of this router, and when that was lowered
	fresh          float64 // when it is taken to have started; 0: long ago
	budget, filled float64 // executions that may be sent to it while it is cold, and when that was filled
}

type point struct {
	on        *server
	at        uint32 // its slot
	rank, far int    // its number among its server's points; Hamming distance to the slot looked up
}

type operation struct {
	id              uint64
	row             *row
	hash            uint32
	spread          float64  // how many of the nearest caches share its key
	worth           float64  // part of its benefit that an answer may still bring
	paid            *tenant  // whose token it took
	purse           *float64 // what its further executions come from
	began, answered bool     // its stream has begun; its final answer is out
	due, hardStop   float64  // the ends of its promised time and of its client's patience
	executions      []*execution
}

type execution struct {
	of            *operation
	on            *server
	n             int
	sent          float64
	out, harmless bool // not settled; proved never to have run
	erred         bool // its server answered with an error
}
