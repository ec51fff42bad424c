package scale

import "slices"

// idle measures a router that has nothing to do.
func idle(b *bench) error {
	most := slices.Max(b.plan.Servers)
	look := func(servers, peers int, c setup, take func(s spent)) error {
		b.say("idle before %d servers, %d peers", servers, peers)
		c.peers = b.others(peers)
		return b.with(servers, c, func(_ *stage, p *process) error {
			s, err := b.watch(p)
			if err == nil {
				take(s)
			}
			return err
		})
	}
	for _, n := range b.plan.Servers {
		err := look(n, 0, setup{}, func(s spent) {
			b.add("idle.core.servers", float64(n), s.rate(), s.loop)
			b.add("idle.memory.servers", float64(n), s.resident, 0)
			b.add("idle.wakeups.servers", float64(n), s.wakeups/s.seconds, 0)
			if n == most {
				b.add("idle.core.peers", 0, s.rate(), s.loop)
				b.add("idle.memory.peers", 0, s.resident, 0)
				b.add("idle.core.plain", 0, s.rate(), s.loop)
				b.add("idle.wakeups.plain", 0, s.wakeups/s.seconds, 0)
			}
		})
		if err != nil {
			return err
		}
	}
	for _, n := range b.plan.Routers {
		err := look(most, n, setup{words: true}, func(s spent) {
			b.add("idle.core.peers", float64(n), s.rate(), s.loop)
			b.add("idle.memory.peers", float64(n), s.resident, 0)
		})
		if err != nil {
			return err
		}
	}
	for name, c := range map[string]setup{"door": {door: true}, "zones": {zones: true}, "recovery": {recovery: true}, "teams": {teams: 100}} {
		if err := look(most, 0, c, func(s spent) { b.add("idle.core."+name, 0, s.rate(), s.loop) }); err != nil {
			return err
		}
	}
	all := setup{door: true, zones: true, recovery: true, teams: 100, words: true}
	return look(most, slices.Max(b.plan.Routers), all, func(s spent) {
		b.add("idle.core.all", 0, s.rate(), s.loop)
		b.add("idle.wakeups.all", 0, s.wakeups/s.seconds, 0)
		b.add("idle.memory.all", 0, s.resident, 0)
		b.add("idle.memory.all.most", 0, s.most, 0)
	})
}
