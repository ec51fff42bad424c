package scale

import (
	"slices"
	"syscall"
	"time"
)

const repeats = 6 // of what is over at once and is measured one after another: the mean of these is one run

// begin measures a start by the peers that the configuration names.
func begin(b *bench) error {
	most := slices.Max(b.plan.Servers)
	for _, n := range append([]int{0}, b.plan.Routers...) {
		b.say("starting with %d peers", n)
		err := b.before(most, func(s *stage) error {
			began := time.Now()
			p, err := b.router(s, setup{peers: b.others(n), words: true})
			if err != nil {
				return err
			}
			defer p.kill()
			if err = p.ready(b.ctx); err != nil {
				return err
			}
			took := time.Since(began)
			processor, err := processorOf(p.pid())
			if err != nil {
				return err
			}
			if err = sleep(b.ctx, b.plan.Settle, p); err != nil { // what is not needed any more is given back later, if at all
				return err
			}
			_, top, err := memoryOf(p.pid())
			loop := b.measured(spent{loop: plainLoop()}).loop
			b.add("start.core.peers", float64(n), processor*1e6, loop)
			b.add("start.ready.peers", float64(n), took.Seconds()*1e3, 0)
			b.add("start.memory.peers", float64(n), top, 0)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// hangUp has a router read its configuration anew, some times one after another, and gives what one time takes of the processor,
// beyond what it takes doing nothing, and by the clock until it is in force. done tells what its log says then; change makes the files.
func (b *bench) hangUp(s *stage, p *process, done string, change func(n int) setup) (each, force float64, err error) {
	idling, err := b.watch(p)
	if err != nil {
		return 0, 0, err
	}
	began, passed := time.Now(), 0.0
	before, err := processorOf(p.pid())
	if err != nil {
		return 0, 0, err
	}
	for n := range repeats {
		if err = b.configure(s, change(n)); err != nil {
			return 0, 0, err
		}
		known, told := p.said(done), time.Now()
		if err = p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return 0, 0, err
		}
		if err = p.until(b.ctx, "a changed configuration", func() bool { return p.said(done) > known }); err != nil {
			return 0, 0, err
		}
		passed += time.Since(told).Seconds()
	}
	after, err := processorOf(p.pid())
	if err != nil {
		return 0, 0, err
	}
	took := after - before - idling.rate()/1e6*time.Since(began).Seconds()
	return took * 1e6 / repeats, passed * 1e3 / repeats, nil
}

// The lines of a router's log by which a new configuration, a faulty one and a list are known.
const (
	saysAnew   = `"message":"configured anew"`
	saysFaulty = `"message":"the new configuration cannot be used; the old one stays"`
	saysList   = `"message":"list"`
	saysTeams  = `"message":"contracts"`
)

// conf measures changes of the configuration.
func conf(b *bench) error {
	most := slices.Max(b.plan.Servers)
	for _, n := range append([]int{0}, b.plan.Routers...) {
		b.say("configuring anew with %d peers", n)
		c := setup{peers: b.others(n), words: true, teams: 1}
		err := b.with(most, c, func(s *stage, p *process) error {
			loop := b.measured(spent{loop: plainLoop()}).loop
			same, force, err := b.hangUp(s, p, saysAnew, func(int) setup { return c })
			if err != nil {
				return err
			}
			b.add("conf.core.peers", float64(n), same, loop)
			b.add("conf.force.peers", float64(n), force, 0)
			_, top, err := memoryOf(p.pid())
			if err != nil {
				return err
			}
			b.add("conf.memory.peers", float64(n), top, 0)
			if n == 0 {
				changed, _, err := b.hangUp(s, p, saysTeams, func(k int) setup { c := c; c.teams = 2 + k; return c })
				if err != nil {
					return err
				}
				b.add("conf.core.contract", 0, changed, loop)
			}
			faulty, _, err := b.hangUp(s, p, saysFaulty, func(int) setup { c := c; c.garbled = true; return c })
			b.add("conf.core.faulty", float64(n), faulty, loop)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
