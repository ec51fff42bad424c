package emulator

import (
	"slices"

	"bendtrestle/internal/eventloop"
)

// processor is the cores of one machine. It runs one job per core, first come, first served.
type processor struct {
	loop    *eventloop.Loop
	cores   int
	rate    float64 // seconds of work that each core does per second; 0: stalled
	running []*job
	waiting []*job
}

// job is a unit of work. onStart is called when a core is free for it, and drops the job if it returns false. onDone is
// called when the job is complete.
type job struct {
	remaining, updatedAt float64
	timer                *eventloop.Timer
	onStart              func() bool
	onDone               func()
}

func (p *processor) add(work float64, begin func() bool, done func()) *job {
	j := &job{remaining: work, onStart: begin, onDone: done}
	j.timer = p.loop.Timer(func() { p.finish(j) })
	p.waiting = append(p.waiting, j)
	p.startWaiting()
	return j
}

// startWaiting starts waiting jobs on free cores. A stalled machine starts none.
func (p *processor) startWaiting() {
	for p.rate > 0 && len(p.running) < p.cores && len(p.waiting) > 0 {
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !j.onStart() {
			continue
		}
		j.updatedAt = p.loop.Now()
		p.running = append(p.running, j)
		j.timer.Set(j.updatedAt + j.remaining/p.rate)
	}
}

func (p *processor) finish(j *job) {
	if i := slices.Index(p.running, j); i >= 0 {
		p.running = slices.Delete(p.running, i, i+1)
		p.startWaiting()
		j.onDone()
	}
}

// cancel removes a job, whether it waits or runs.
func (p *processor) cancel(j *job) {
	j.timer.Stop()
	if i := slices.Index(p.waiting, j); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	} else if i := slices.Index(p.running, j); i >= 0 {
		p.running = slices.Delete(p.running, i, i+1)
		p.startWaiting()
	}
}

// cancelAll removes all jobs.
func (p *processor) cancelAll() {
	for _, j := range p.running {
		j.timer.Stop()
	}
	p.running, p.waiting = nil, nil
}

// setRate changes the speed. Running jobs continue at the new speed.
func (p *processor) setRate(rate float64) {
	now := p.loop.Now()
	for _, j := range p.running {
		j.remaining, j.updatedAt = max(0, j.remaining-(now-j.updatedAt)*p.rate), now
		if j.timer.Stop(); rate > 0 {
			j.timer.Set(now + j.remaining/rate)
		}
	}
	p.rate = rate
	p.startWaiting()
}
