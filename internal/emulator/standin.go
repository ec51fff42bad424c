// Package emulator stands in for the systems round a router: cache servers, their origin, the list service and clients,
// on real sockets and in real time, with faults on command. It keeps a book of all that it saw, from which a judge that
// trusts no router can tell whether the rules were kept. Its cache servers follow the published protocol page.
package emulator

import (
	"math"
	"math/rand/v2"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/tiles"
)

// TrafficType is one kind of operation, as clients send it and cache servers work on it.
type TrafficType struct {
	Name     string
	Share    float64 // of all arrivals, as a weight
	Write    bool
	Effect   balancer.Idempotency
	Group    balancer.DeduplicationScope
	Window   float64 // seconds for which repeats of a numbered operation are dropped
	Work     float64 // seconds of a core of speed 1, the mean
	Spread   float64 // of the work: its standard deviation over its mean
	Size     int     // bytes of a value, at most meta.LongBound
	Promised float64 // seconds
	HardStop float64
	Benefit  float64
	Tenant   string
	Scheme   tiles.Scheme // it is a tile, asked for so; else a key

	RunsIn, AllowedOn []string // zones and kinds of machine to which alone it may be sent; nil: all
}

// Open tells whether a type may be sent to a server at all.
func (t *TrafficType) Open(s *Server) bool {
	return (t.RunsIn == nil || slices.Contains(t.RunsIn, s.Zone)) && (t.AllowedOn == nil || slices.Contains(t.AllowedOn, s.Machine))
}

// draw gives an operation's work: log-normal, so that it is never below 0 and its tail is long.
func (t *TrafficType) drawWork(rng *rand.Rand) float64 {
	if t.Spread <= 0 {
		return t.Work
	}
	sigma := math.Sqrt(math.Log(1 + t.Spread*t.Spread))
	return t.Work * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// How tells what became of an execution at a cache server.
type How int

// The ends of an execution, as the cache server saw them.
const (
	Open       How = iota // nothing yet
	Answered              // with a value or a receipt made for it
	TurnedAway            // before anything of it ran
	Failed                // with an error, after it may have run
	Spoilt                // with what no client may be given
	Cancelled             // its connection went before its answer
)

func (h How) String() string {
	return [...]string{"open", "answered", "turned away", "failed", "spoilt", "cancelled"}[h]
}

// Execution is what a cache server saw of one command.
type Execution struct {
	ID             string // the client's, new with each try
	IdempotencyKey string // by which a numbered operation's repeats are known
	Server         *Server
	Type           *TrafficType
	First, Last    float64 // when its first byte was read, and its last
	Began          float64 // when a core took it up; 0: never
	End            float64
	How            How
	Miss           bool
	Cold           bool   // the cache server was not warm when it came
	Effect         bool   // a write took effect
	Repeat         bool   // a write that was known by its mark and had no effect of its own
	Made           uint32 // a checksum of the answer's value or receipt
	Work           float64
	Length         int     // bytes of the long value that it was answered with; 0: it was none
	Whole          float64 // when the kernel had taken the last byte of that; 0: never
	Broke          float64 // when the server's side ended, or ceased to give, what it might not have got across; 0: it never did
	Damaged        string  // what was wrong with the long value that a write brought
}

// MayHaveRun tells that the cache server cannot say it never ran.
func (x *Execution) MayHaveRun() bool { return x.How != TurnedAway }

// Book is what the fleet saw. It belongs to the fleet's loop.
type Book struct {
	Executions []*Execution
	Probes     int
	Fetches    []Fetch
	Accepts    []Accept
	Falls      []Fall
	Halts      []Halt
	Overflow   bool // there was more than the book holds: the run is void
}

const maxRecords = 2_000_000 // executions: 20 minutes at some 1,600 a second, about 400 MB

// Fetch is one call of the origin by a cache server.
type Fetch struct {
	At     float64
	Server *Server
	Cold   bool
	Write  bool // a write passed on, not a read
}

// Accept is a connection that a cache server took.
type Accept struct {
	At     float64
	Server *Server
}

// Fall is a cold cache server that was pushed over.
type Fall struct {
	At     float64
	Server *Server
}

// Halt is a stop of the origin, and which part of the load that caused it was misses at cold cache servers.
type Halt struct {
	At       float64
	ColdPart float64
}

// Join adds what another book holds.
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
