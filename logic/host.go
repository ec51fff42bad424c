package logic

// Host is what the module acts through. Whoever runs an instance hands it one at start; ids are those of
// the calls into the module. Times are seconds.
type Host interface {
	Execute(operation, server uint64, limit float64) // begin an execution, given up after limit
	Withdraw(operation uint64, n int)                // stop waiting for the operation's n-th execution
	Decline(operation uint64, retryAfter float64)    // final answer: trying again is harmless
	Terminate(operation uint64)                      // final answer: promises nothing
	Close(server uint64)                             // close the idle connections to a server
	Tell(words []byte)                               // send a short message to every peer
	Probe(server uint64)                             // look at a server
	SetTimer(delay float64, name string)             // call Wake with name after delay
	Watch(on bool)                                   // ask for list changes from now on
}

// Outcome tells how an execution or a probe ended.
type Outcome int

// The outcomes. Unknown stands for any that is not on the list and is taken as 'may have run'.
const (
	Unknown Outcome = iota
	Finished
	Error
	TurnedAway
	NoAnswer
	NoConnection
	ConnectionLost
	Withdrawn
	NotSent
	NotStored
)

// Effect is what a repeat of an operation does.
type Effect int

// The kinds of traffic type. What is not known to be harmless counts as AtMostOnce.
const (
	AtMostOnce Effect = iota
	Numbered
	Reissuable
)

// Group tells which cache servers drop a numbered operation's repeats.
type Group int

// The groups. What is not known counts as the cell, the narrowest.
const (
	Cell Group = iota
	Zone
	All
)

// Mode is what the list says of a cache server.
type Mode int

// The modes.
const (
	Gone Mode = iota
	Draining
	InService
)

// ListKind tells what a list update holds.
type ListKind int

// The kinds of update.
const (
	Diff ListKind = iota
	Snapshot
	Disk
	Failed
)

// Member is one entry of the list of servers.
type Member struct {
	ID       uint64
	Mode     Mode
	Capacity float64 // for comparison with others only
	Zone     string
	Cell     uint64
	Kind     string
	Started  float64 // 0: long ago
}

// TrafficType holds the settings of one traffic type.
type TrafficType struct {
	Name           string
	Effect         Effect
	Group          Group
	Window         float64 // how long repeats of a numbered operation are dropped
	PromisedTime   float64
	HardStop       float64
	Benefit        float64
	OverdueBenefit float64 // part of the benefit that an answer after the promised time brings
	Stream         bool
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	Name  string
	Quota float64 // operations a second over all routers
}

// Settings is what an instance is told at start.
type Settings struct {
	Seed           uint32
	Me             int
	Routers        int
	Step           float64 // events come no more often than this
	Aside          bool    // the router, not the cache, asks the origin
	OriginKind     string
	OnRequest      bool // the list comes only when asked for
	HintsFixed     bool // Member.Capacity is a size, not a load
	MostExecutions int
	SecondCopies   bool
	Cancelling     bool
	RetryAfter     bool
	MaxRetryAfter  float64
	OverBenefit    float64 // what traffic beyond a tenant's share is worth, as a part of the usual
	AskWithin      float64
	Probes         bool    // servers may be probed
	Peers          bool    // peers may be told
	Probing        float64 // price of a probe for each operation
	Telling        float64 // price of a message of 256 bytes for each operation
	Opening        float64 // price of a new connection for each operation
	Holding        float64 // price of 100 open connections a server
	Fall           float64
	TipMultiple    float64
	StartCapacity  float64
	WarmWithin     float64
	TrafficTypes   []TrafficType
	Tenants        []Tenant
}
