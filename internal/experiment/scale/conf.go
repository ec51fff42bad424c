package scale

import (
	"slices"
	"syscall"
	"time"
)

const repetitions = 6 // of an action too short to measure alone; their mean is the value of one run

// measureStart measures a router's start by the number of peers in its configuration.
func measureStart(b *bench) error {
	mostServers := slices.Max(b.plan.Servers)
	for _, n := range append([]int{0}, b.plan.Routers...) {
		b.progressf("start with %d peers", n)
		err := b.withServers(mostServers, func(t *testbed) error {
			began := time.Now()
			p, err := b.startRouter(t, routerSetup{peers: b.peerAddresses(n), gossip: true})
			if err != nil {
				return err
			}
			defer p.kill()
			if err = p.waitReady(b.ctx); err != nil {
				return err
			}
			elapsed := time.Since(began)
			processor, err := cpuSeconds(p.pid())
			if err != nil {
				return err
			}
			if err = sleep(b.ctx, b.plan.Settle, p); err != nil { // a process returns unused memory late, if at all
				return err
			}
			_, peak, err := residentKiB(p.pid())
			loop := b.recordLoop(usage{loop: plainLoop()}).loop
			b.add("start.core.peers", float64(n), processor*1e6, loop)
			b.add("start.ready.peers", float64(n), elapsed.Seconds()*1e3, 0)
			b.add("start.memory.peers", float64(n), peak, 0)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureReload makes a router reload its configuration several times in a row. It returns the CPU microseconds of one
// reload, beyond what the router uses when idle, and the mean milliseconds until the configuration is in force. logLine
// is the text that the router logs then; change returns the setup of the n-th reload.
func (b *bench) measureReload(t *testbed, p *process, logLine string,
	change func(n int) routerSetup) (cpuMicros, delayMillis float64, err error) {
	idleUsage, err := b.measureWindow(p)
	if err != nil {
		return 0, 0, err
	}
	began, elapsed := time.Now(), 0.0
	before, err := cpuSeconds(p.pid())
	if err != nil {
		return 0, 0, err
	}
	for n := range repetitions {
		if err = b.configure(t, change(n)); err != nil {
			return 0, 0, err
		}
		seen, signalledAt := p.countLogLines(logLine), time.Now()
		if err = p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return 0, 0, err
		}
		if err = p.waitFor(b.ctx, "waiting for a reload of the configuration",
			func() bool { return p.countLogLines(logLine) > seen }); err != nil {
			return 0, 0, err
		}
		elapsed += time.Since(signalledAt).Seconds()
	}
	after, err := cpuSeconds(p.pid())
	if err != nil {
		return 0, 0, err
	}
	usedSeconds := after - before - idleUsage.cpuRate()/1e6*time.Since(began).Seconds()
	return usedSeconds * 1e6 / repetitions, elapsed * 1e3 / repetitions, nil
}

// Texts of the router's log lines about a reloaded configuration, a rejected one, a new endpoint list and changed
// teams.
const (
	logReloaded       = `"message":"configuration reloaded"`
	logReloadRejected = `"message":"the new configuration cannot be used; the old one stays"`
	logListInForce    = `"message":"list"`
	logContracts      = `"message":"contracts"`
)

// measureReloads measures reloads of the configuration.
func measureReloads(b *bench) error {
	mostServers := slices.Max(b.plan.Servers)
	for _, n := range append([]int{0}, b.plan.Routers...) {
		b.progressf("reload with %d peers", n)
		setup := routerSetup{peers: b.peerAddresses(n), gossip: true, teamBudget: 1}
		err := b.withRouter(mostServers, setup, func(t *testbed, p *process) error {
			loop := b.recordLoop(usage{loop: plainLoop()}).loop
			unchanged, delayMillis, err := b.measureReload(t, p, logReloaded, func(int) routerSetup { return setup })
			if err != nil {
				return err
			}
			b.add("conf.core.peers", float64(n), unchanged, loop)
			b.add("conf.force.peers", float64(n), delayMillis, 0)
			_, peak, err := residentKiB(p.pid())
			if err != nil {
				return err
			}
			b.add("conf.memory.peers", float64(n), peak, 0)
			if n == 0 {
				teamChange, _, err := b.measureReload(t, p, logContracts,
					func(k int) routerSetup { setup := setup; setup.teamBudget = 2 + k; return setup })
				if err != nil {
					return err
				}
				b.add("conf.core.contract", 0, teamChange, loop)
			}
			faulty, _, err := b.measureReload(t, p, logReloadRejected,
				func(int) routerSetup { setup := setup; setup.invalid = true; return setup })
			b.add("conf.core.faulty", float64(n), faulty, loop)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
