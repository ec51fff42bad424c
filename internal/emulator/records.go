// Package emulator emulates the systems around a router: cache servers, their origin, the list service and clients, on
// real sockets and in real time, with injected faults. It records all requests, attempts and executions, so that a
// checker can verify the rules without relying on a router's own data. Its cache servers follow the published protocol
// page.
package emulator

import (
	"math"
	"math/rand/v2"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/tiles"
)

// TrafficType is one type of request, as clients send it and cache servers execute it.
type TrafficType struct {
	Name               string
	Share              float64 // relative weight among all arrivals
	Write              bool
	Idempotency        balancer.Idempotency
	DeduplicationScope balancer.DeduplicationScope
	Window             float64 // deduplication window in seconds, of idempotency-keyed requests
	Work               float64 // mean seconds on a core of speed 1
	Spread             float64 // coefficient of variation of the work: standard deviation divided by mean
	Size               int     // bytes of a value, at most meta.MaxLongValueBytes
	LatencyObjective   float64 // latency objective in seconds
	Deadline           float64
	Benefit            float64
	Tenant             string
	Scheme             tiles.Scheme // address scheme, if the type requests tiles; empty: it requests keys

	RunsIn, AllowedOn []string // the only zones and machine types to which it may be sent; nil: all
}

// Open reports whether the type may be sent to a server.
func (t *TrafficType) Open(server *Server) bool {
	return (t.RunsIn == nil || slices.Contains(t.RunsIn, server.Zone)) &&
		(t.AllowedOn == nil || slices.Contains(t.AllowedOn, server.Machine))
}

// drawWork draws an execution's work. It is log-normal, so that it is never below 0 and has a long tail.
func (t *TrafficType) drawWork(rng *rand.Rand) float64 {
	if t.Spread <= 0 {
		return t.Work
	}
	sigma := math.Sqrt(math.Log(1 + t.Spread*t.Spread))
	return t.Work * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// Outcome is how an execution ended at a cache server.
type Outcome int

// The ends of an execution, as recorded by the cache server.
const (
	Open              Outcome = iota // still in progress
	Answered                         // answered with the value or receipt made for it
	RejectedExecution                // rejected before any of it ran
	Failed                           // answered with an error or by a reset, after it may have run
	MalformedAnswer                  // answered with a malformed answer, which a router must not pass to a client
	Cancelled                        // its connection ended before its answer, and its work was cancelled
)

func (o Outcome) String() string {
	return [...]string{"open", "answered", "turned away", "failed", "spoilt", "cancelled"}[o]
}

// Execution is a cache server's record of one command.
type Execution struct {
	ID             string // the client's ID, unique for each attempt
	IdempotencyKey string // of an idempotency-keyed request; empty for others
	Server         *Server
	Type           *TrafficType
	First, Last    float64 // when its first and its last byte were read
	Began          float64 // when a core started it; 0: never
	End            float64
	Outcome        Outcome
	Miss           bool
	Cold           bool   // the cache server was not warm when the command arrived
	Effect         bool   // a write took effect
	Repeat         bool   // a write whose idempotency key was known, and which had no effect of its own
	AnswerSum      uint32 // checksum of the answer's value or receipt
	Work           float64
	Length         int     // bytes of the long value in its answer; 0: not a long value
	SentAt         float64 // when the kernel had taken that value's last byte; 0: never
	InterruptedAt  float64 // when the server interrupted a value that may not be fully received; 0: never
	Damaged        string  // what was wrong with the long value of a write; empty: nothing
}

// MayHaveRun reports whether the command may have run, which is so unless the cache server rejected it.
func (x *Execution) MayHaveRun() bool { return x.Outcome != RejectedExecution }

// ServerRecords holds the records of a fleet. Only the fleet's event loop may access it while it runs.
type ServerRecords struct {
	Executions []*Execution
	Probes     int
	Fetches    []Fetch
	Accepts    []Accept
	Collapses  []Collapse
	Halts      []Halt
	Overflow   bool // there were more executions than the limit: the run is void
}

const maxRecords = 2_000_000 // enough for 20 minutes at some 1,600 executions per second, about 400 MB

// Fetch is one call of a cache server to the origin.
type Fetch struct {
	At     float64
	Server *Server
	Cold   bool
	Write  bool // a write that the server forwarded, not a read
}

// Accept is a connection that a cache server accepted.
type Accept struct {
	At     float64
	Server *Server
}

// Collapse is the collapse of a cold cache server under overload.
type Collapse struct {
	At     float64
	Server *Server
}

// Halt is a stop of the origin under overload. ColdFraction is the fraction of the recent calls that were misses at
// cold cache servers.
type Halt struct {
	At           float64
	ColdFraction float64
}

// Join adds the records of another fleet.
func (r *ServerRecords) Join(other *ServerRecords) {
	r.Executions = append(r.Executions, other.Executions...)
	r.Fetches = append(r.Fetches, other.Fetches...)
	r.Accepts = append(r.Accepts, other.Accepts...)
	r.Collapses = append(r.Collapses, other.Collapses...)
	r.Halts = append(r.Halts, other.Halts...)
	r.Probes += other.Probes
	r.Overflow = r.Overflow || other.Overflow
}

func (r *ServerRecords) open(execution *Execution) {
	if len(r.Executions) >= maxRecords {
		r.Overflow = true
		return
	}
	r.Executions = append(r.Executions, execution)
}
