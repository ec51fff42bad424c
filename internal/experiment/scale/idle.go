package scale

import "slices"

// measureIdle measures a router without load.
func measureIdle(b *bench) error {
	mostServers := slices.Max(b.plan.Servers)
	measure := func(servers, peers int, c routerSetup, record func(s usage)) error {
		b.progressf("idle with %d servers and %d peers", servers, peers)
		c.peers = b.peerAddresses(peers)
		return b.withRouter(servers, c, func(_ *testbed, p *process) error {
			s, err := b.measureWindow(p)
			if err == nil {
				record(s)
			}
			return err
		})
	}
	for _, n := range b.plan.Servers {
		err := measure(n, 0, routerSetup{}, func(s usage) {
			b.add("idle.core.servers", float64(n), s.cpuRate(), s.loop)
			b.add("idle.memory.servers", float64(n), s.resident, 0)
			b.add("idle.wakeups.servers", float64(n), s.wakeups/s.seconds, 0)
			if n == mostServers {
				b.add("idle.core.peers", 0, s.cpuRate(), s.loop)
				b.add("idle.memory.peers", 0, s.resident, 0)
				b.add("idle.core.plain", 0, s.cpuRate(), s.loop)
				b.add("idle.wakeups.plain", 0, s.wakeups/s.seconds, 0)
			}
		})
		if err != nil {
			return err
		}
	}
	for _, n := range b.plan.Routers {
		err := measure(mostServers, n, routerSetup{gossip: true}, func(s usage) {
			b.add("idle.core.peers", float64(n), s.cpuRate(), s.loop)
			b.add("idle.memory.peers", float64(n), s.resident, 0)
		})
		if err != nil {
			return err
		}
	}
	for name, c := range map[string]routerSetup{"door": {adminServer: true}, "zones": {zoneFailover: true},
		"recovery": {recovery: true}, "teams": {teamBudget: 100}} {
		if err := measure(mostServers, 0, c, func(s usage) {
			b.add("idle.core."+name, 0, s.cpuRate(), s.loop)
		}); err != nil {
			return err
		}
	}
	all := routerSetup{adminServer: true, zoneFailover: true, recovery: true, teamBudget: 100, gossip: true}
	return measure(mostServers, slices.Max(b.plan.Routers), all, func(s usage) {
		b.add("idle.core.all", 0, s.cpuRate(), s.loop)
		b.add("idle.wakeups.all", 0, s.wakeups/s.seconds, 0)
		b.add("idle.memory.all", 0, s.resident, 0)
		b.add("idle.memory.all.most", 0, s.peak, 0)
	})
}
