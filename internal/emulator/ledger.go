package emulator

import (
	"math/rand/v2"

	"bendtrestle/internal/eventloop"
)

// LedgerSpec describes the origin and its overload rule: if the offered load exceeds Multiple times the capacity for
// Time seconds, the origin stops for Halt seconds.
type LedgerSpec struct {
	AtOnce   int     // calls that it works on concurrently
	Takes    float64 // mean seconds for one call
	Multiple float64 // of the capacity
	Time     float64 // seconds
	Halt     float64 // seconds
}

// Ledger is the origin. It is slow, works on few calls concurrently, and stops for a while when it is overloaded.
type Ledger struct {
	loop        *eventloop.Loop
	spec        LedgerSpec
	processor   processor
	overload    OverloadDetector
	rng         *rand.Rand
	records     *ServerRecords
	halted      bool
	stalled     int
	slowFactors []float64
	recent      []Fetch // calls within the last spec.Time seconds
}

func newLedger(loop *eventloop.Loop, spec LedgerSpec, book *ServerRecords, rng *rand.Rand) *Ledger {
	return &Ledger{loop: loop, spec: spec, records: book, rng: rng,
		overload:  OverloadDetector{Multiple: spec.Multiple, Time: spec.Time},
		processor: processor{loop: loop, cores: max(1, spec.AtOnce), rate: 1}}
}

// fetch calls done when the origin has answered. If the job is cancelled before, done is not called.
func (l *Ledger) fetch(server *Server, done func()) *job { return l.call(server, false, done) }

// write sends a write to the origin. It costs as much as a fetch, and the server does not wait for it.
func (l *Ledger) write(server *Server) { l.call(server, true, func() {}) }

func (l *Ledger) call(server *Server, write bool, done func()) *job {
	now := l.loop.Now()
	f := Fetch{At: now, Server: server, Cold: !write && server.capacityFraction(now) < 1, Write: write}
	l.records.Fetches = append(l.records.Fetches, f)
	l.recent = append(l.recent, f)
	for len(l.recent) > 0 && l.recent[0].At < now-l.spec.Time {
		l.recent = l.recent[1:]
	}
	takes := l.spec.Takes * (0.5 + l.rng.Float64())
	if l.overload.Add(now, takes, float64(l.processor.cores)) && !l.halted {
		l.halt(now)
	}
	return l.processor.add(takes, func() bool { return true }, done)
}

// halt stops the origin for spec.Halt seconds.
func (l *Ledger) halt(now float64) {
	cold := 0
	for _, f := range l.recent {
		if f.Cold {
			cold++
		}
	}
	l.records.Halts = append(l.records.Halts, Halt{At: now, ColdPart: float64(cold) / float64(max(1, len(l.recent)))})
	l.halted = true
	l.updateRate()
	l.loop.After(l.spec.Halt, func() {
		l.halted = false
		l.overload.Reset()
		l.updateRate()
	})
}

func (l *Ledger) updateRate() {
	rate := 1.0
	for _, f := range l.slowFactors {
		rate /= f
	}
	if l.halted || l.stalled > 0 {
		rate = 0
	}
	l.processor.setRate(rate)
}
