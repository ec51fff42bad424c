package emulator

import (
	"math/rand/v2"

	"bendtrestle/internal/eventloop"
)

// OriginSpec describes the origin and its overload rule: if the offered load exceeds Multiple times the capacity for
// OverloadSeconds, the origin stops for HaltSeconds.
type OriginSpec struct {
	Concurrency     int     // calls that it works on concurrently
	MeanSeconds     float64 // for one call
	Multiple        float64 // of the capacity
	OverloadSeconds float64
	HaltSeconds     float64
}

// Origin is the emulated origin. It is slow, works on few calls concurrently, and stops for a while when it is
// overloaded.
type Origin struct {
	loop        *eventloop.Loop
	spec        OriginSpec
	processor   processor
	overload    OverloadDetector
	rng         *rand.Rand
	records     *ServerRecords
	halted      bool
	stalled     int
	slowFactors []float64
	recent      []Fetch // calls within the last spec.OverloadSeconds
}

func newOrigin(loop *eventloop.Loop, spec OriginSpec, records *ServerRecords, rng *rand.Rand) *Origin {
	return &Origin{loop: loop, spec: spec, records: records, rng: rng,
		overload:  OverloadDetector{Multiple: spec.Multiple, Seconds: spec.OverloadSeconds},
		processor: processor{loop: loop, cores: max(1, spec.Concurrency), rate: 1}}
}

// fetch calls done when the origin has answered. If the job is cancelled before, done is not called.
func (o *Origin) fetch(server *Server, done func()) *job { return o.call(server, false, done) }

// write sends a write to the origin. It costs as much as a fetch, and the server does not wait for it.
func (o *Origin) write(server *Server) { o.call(server, true, func() {}) }

func (o *Origin) call(server *Server, write bool, done func()) *job {
	now := o.loop.Now()
	f := Fetch{At: now, Server: server, Cold: !write && server.capacityFraction(now) < 1, Write: write}
	o.records.Fetches = append(o.records.Fetches, f)
	o.recent = append(o.recent, f)
	for len(o.recent) > 0 && o.recent[0].At < now-o.spec.OverloadSeconds {
		o.recent = o.recent[1:]
	}
	work := o.spec.MeanSeconds * (0.5 + o.rng.Float64())
	if o.overload.Add(now, work, float64(o.processor.cores)) && !o.halted {
		o.halt(now)
	}
	return o.processor.add(work, func() bool { return true }, done)
}

// halt stops the origin for spec.HaltSeconds.
func (o *Origin) halt(now float64) {
	cold := 0
	for _, f := range o.recent {
		if f.Cold {
			cold++
		}
	}
	o.records.Halts = append(o.records.Halts, Halt{At: now, ColdFraction: float64(cold) / float64(max(1, len(o.recent)))})
	o.halted = true
	o.updateRate()
	o.loop.After(o.spec.HaltSeconds, func() {
		o.halted = false
		o.overload.Reset()
		o.updateRate()
	})
}

func (o *Origin) updateRate() {
	rate := 1.0
	for _, f := range o.slowFactors {
		rate /= f
	}
	if o.halted || o.stalled > 0 {
		rate = 0
	}
	o.processor.setRate(rate)
}
