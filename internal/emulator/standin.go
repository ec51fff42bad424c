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
	Name     string
	Share    float64 // relative weight among all arrivals
	Write    bool
	Effect   balancer.Idempotency
	Group    balancer.DeduplicationScope
	Window   float64 // deduplication window in seconds, of idempotency-keyed requests
	Work     float64 // mean seconds on a core of speed 1
	Spread   float64 // coefficient of variation of the work: standard deviation divided by mean
	Size     int     // bytes of a value, at most meta.MaxLongValueBytes
	Promised float64 // latency objective in seconds
	HardStop float64
	Benefit  float64
	Tenant   string
	Scheme   tiles.Scheme // address scheme, if the type requests tiles; empty: it requests keys

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

// How is how an execution ended at a cache server.
type How int

// The ends of an execution, as recorded by the cache server.
const (
	Open       How = iota // still in progress
	Answered              // answered with the value or receipt made for it
	TurnedAway            // rejected before any of it ran
	Failed                // answered with an error or by a reset, after it may have run
	Spoilt                // answered with a malformed answer, which a router must not pass to a client
	Cancelled             // its connection ended before its answer, and its work was cancelled
)

func (h How) String() string {
	return [...]string{"open", "answered", "turned away", "failed", "spoilt", "cancelled"}[h]
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
	How            How
	Miss           bool
	Cold           bool   // the cache server was not warm when the command arrived
	Effect         bool   // a write took effect
	Repeat         bool   // a write whose idempotency key was known, and which had no effect of its own
	Made           uint32 // checksum of the answer's value or receipt
	Work           float64
	Length         int     // bytes of the long value in its answer; 0: not a long value
	Whole          float64 // when the kernel had taken that value's last byte; 0: never
	Broke          float64 // when the server interrupted a value that may not be fully received; 0: never
	Damaged        string  // what was wrong with the long value of a write; empty: nothing
}

// MayHaveRun reports whether the command may have run, which is so unless the cache server rejected it.
func (x *Execution) MayHaveRun() bool { return x.How != TurnedAway }

// Book holds the records of a fleet. Only the fleet's event loop may access it while it runs.
type Book struct {
	Executions []*Execution
	Probes     int
	Fetches    []Fetch
	Accepts    []Accept
	Falls      []Fall
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

// Fall is the collapse of a cold cache server under overload.
type Fall struct {
	At     float64
	Server *Server
}

// Halt is a stop of the origin under overload. ColdPart is the fraction of the recent calls that were misses at cold
// cache servers.
type Halt struct {
	At       float64
	ColdPart float64
}

// Join adds the records of another book.
func (b *Book) Join(o *Book) {
	b.Executions = append(b.Executions, o.Executions...)
	b.Fetches = append(b.Fetches, o.Fetches...)
	b.Accepts = append(b.Accepts, o.Accepts...)
	b.Falls = append(b.Falls, o.Falls...)
	b.Halts = append(b.Halts, o.Halts...)
	b.Probes += o.Probes
	b.Overflow = b.Overflow || o.Overflow
}

func (b *Book) open(execution *Execution) {
	if len(b.Executions) >= maxRecords {
		b.Overflow = true
		return
	}
	b.Executions = append(b.Executions, execution)
}
