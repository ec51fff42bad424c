package emulator

import (
	"slices"

	"bendtrestle/internal/eventloop"
)

// processor is the cores of one machine: so many jobs at once, first come first served.
type processor struct {
	loop    *eventloop.Loop
	cores   int
	rate    float64 // work done a second by each core; 0: it stands still
	running []*job
	waiting []*job
}

// job is work to be done. begin is asked when a core takes it up: false lets it go; done follows its end.
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

// next gives free cores what waits. A machine that stands still takes nothing up.
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

// cancel takes a job back, wherever it is.
func (p *processor) cancel(j *job) {
	j.timer.Stop()
	if i := slices.Index(p.waiting, j); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	} else if i := slices.Index(p.running, j); i >= 0 {
		p.running = slices.Delete(p.running, i, i+1)
		p.startWaiting()
	}
}

// clear takes all back.
func (p *processor) cancelAll() {
	for _, j := range p.running {
		j.timer.Stop()
	}
	p.running, p.waiting = nil, nil
}

// setRate changes the speed; what runs goes on at the new one.
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
