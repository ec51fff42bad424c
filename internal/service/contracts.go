package service

import (
	"maps"
	"slices"

	"bendtrestle/internal/broker"
	"bendtrestle/internal/caches"
	"bendtrestle/internal/front"
	"bendtrestle/internal/operators"
)

// contract takes the operators' pools and contracts. What is open ends under the old ones.
func (s *Service) contract(set Setup) {
	f, terms := set.Operators, set.Operators.Terms()
	for i := range terms {
		terms[i].Flat = set.Flat
	}
	if s.broker.Revision() == 0 && len(f.Teams) == 0 && len(f.Pools) == 0 {
		return // as the platform has it
	}
	if s.broker.Revision() == 0 {
		s.loop.After(talking, s.talk)
	}
	c := &s.conf
	parts := 0.0
	named := map[string]bool{}
	for _, p := range f.Pools {
		parts += p.Connections
		named[p.Name] = true
	}
	all := []broker.Pool{{Core: s.platform.router, Connections: share(c.Caches, 1-parts)}}
	s.platform.fleet.Limit(share(c.Caches, 1-parts))
	for _, f := range f.Pools {
		connections := share(c.Caches, f.Connections)
		p := s.pools[f.Name]
		if p == nil {
			p = s.newPool(f.Name, f.Settings(c.Settings), connections, f.ConnectTimeout(c.ConnectTimeout), f.ConnIdle(c.ConnIdle),
				f.Streams(c.PerConnection), caches.Memcache)
			s.pools[f.Name] = p
		}
		p.fleet.Limit(connections)
		p.follow(f.Discovery)
		all = append(all, broker.Pool{Name: f.Name, Core: p.router, Capacity: f.Capacity, Connections: connections})
	}
	lines := s.broker.Change(all, terms, f.Others())
	for _, line := range lines {
		s.log.Info().Int("revision", s.broker.Revision()).Str("change", line).Msg("contracts")
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		if !named[name] { // its list is followed until what is open there has ended
			s.leaving = append(s.leaving, s.pools[name])
			delete(s.pools, name)
			s.loop.After(1, s.letGo)
		}
	}
	maps.DeleteFunc(s.seen, func(team string, _ uint64) bool { return !s.broker.Has(team) })
	s.listen(f)
}

// share is a part of the connections to servers, one at the least.
func share(all int, part float64) int { return max(1, int(float64(all)*part)) }

// letGo drops pools that are no longer named once nothing of theirs is open.
func (s *Service) letGo() {
	s.leaving = slices.DeleteFunc(s.leaving, func(p *pool) bool {
		if p.router.Open() > 0 {
			return false
		}
		p.stop()
		p.fleet.Close()
		return true
	})
	if len(s.leaving) > 0 && s.phase != Ended {
		s.loop.After(1, s.letGo)
	}
}

// listen opens and closes the teams' listeners. One that cannot be opened is logged, and its team has none until the next
// change.
func (s *Service) listen(f operators.File) {
	wanted := map[string]bool{}
	for _, t := range f.Teams {
		if t.Listen != "" {
			wanted[t.Listen] = true
		}
	}
	for addr, l := range s.listeners {
		if !wanted[addr] {
			l.Close()
			delete(s.listeners, addr)
		}
	}
	for addr := range wanted {
		if s.listeners[addr] != nil || s.phase >= Finishing {
			continue
		}
		l, err := s.loop.Listen(addr, s.front.Room, s.front.At(addr, front.Memcache))
		if err != nil {
			s.log.Error().Err(err).Str("listen", addr).Msg("a team's listener cannot be opened")
			continue
		}
		s.listeners[addr] = l
	}
}

// talk tells the other routers what load is asked of this one.
func (s *Service) talk() {
	if s.phase == Ended {
		return
	}
	for _, words := range s.broker.Words() {
		s.peers.Tell(words)
	}
	s.loop.After(talking, s.talk)
}
