package service

import (
	"cmp"
	"maps"
	"slices"

	"bendtrestle/internal/broker"
	"bendtrestle/internal/config"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/frontend/tileserver"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/tiles"
	"bendtrestle/internal/upstream"
	"bendtrestle/internal/upstream/tileclient"
)

// contract takes the operators' pools and contracts. What is open ends under the old ones.
func (s *Service) contract(set Setup) {
	f, terms := set.Operators, set.Operators.Terms()
	s.operators = f
	for i := range terms {
		terms[i].FlatCost = set.Flat
	}
	if s.broker.Revision() == 0 && len(f.Teams) == 0 && len(f.Pools) == 0 {
		return // as the platform has it
	}
	if s.broker.Revision() == 0 {
		s.loop.After(talking, s.talk)
	}
	var enough bool
	s.conf, enough = s.conf.Apart(named(f))
	s.scarce(enough)
	s.loop.Limit(s.conf.Connections)
	s.limit()
	c := s.bounds()
	parts := 0.0
	stay := map[string]bool{}
	for _, p := range f.Pools {
		parts += p.Connections
		stay[p.Name] = true
	}
	all := []broker.Pool{{Core: s.platform.router, Connections: share(c.Caches, 1-parts)}}
	s.platform.fleet.Limit(share(c.Caches, 1-parts))
	for _, f := range f.Pools {
		connections := share(c.Caches, f.Connections)
		p := s.pools[f.Name]
		if p == nil {
			connect := f.ConnectTimeout(c.ConnectTimeout)
			p = s.newPool(f.Name, f.Settings(c.Settings), connections, connect, f.Stall(stall(connect)), f.ConnIdle(c.ConnIdle),
				f.Streams(c.PerConnection), s.wire(f))
			s.pools[f.Name] = p
			for id := range s.out {
				p.bar(discovery.ID(id), true)
			}
			s.zones.apply(p)
		}
		p.fleet.Limit(connections)
		p.follow(f.Discovery)
		all = append(all, broker.Pool{Name: f.Name, Core: p.router, Capacity: f.Capacity, Connections: connections})
	}
	lines := s.broker.Configure(all, terms, f.Others())
	for _, line := range lines {
		s.log.Info().Int("revision", s.broker.Revision()).Str("change", line).Msg("contracts")
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		if !stay[name] { // its list is followed until what is open there has ended
			s.leaving = append(s.leaving, s.pools[name])
			delete(s.pools, name)
			s.loop.After(1, s.letGo)
		}
	}
	maps.DeleteFunc(s.seen, func(team string, _ uint64) bool { return !s.broker.HasTeam(team) })
	s.listen(f)
}

// named is how many descriptors are set apart for what the operators' file names: teams' listeners, and watches of pools' lists.
func named(f operatorconfig.File) (n int) {
	n = len(f.Pools) * config.PerWatch
	for _, t := range f.Teams {
		if t.Listen != "" {
			n += config.PerListener
		}
	}
	return n
}

// scarce warns where descriptors do not suffice for what is named: listeners and calls to list services may fail.
func (s *Service) scarce(enough bool) {
	if !enough {
		s.log.Warn().Int("sockets", s.conf.Sockets).Msg("limits.sockets is too low for the listeners and pools of the operators' file")
	}
}

const (
	largestTile = 1024 // kilobytes; ten times a large one
	probePath   = "/"
)

// wire gives what a pool's servers speak.
func (s *Service) wire(p operatorconfig.Pool) func(upstream.Link) upstream.Wire {
	if p.Protocol != "tiles" {
		return upstream.Memcache
	}
	servers := &tileclient.Servers{Scheme: tiles.Scheme(cmp.Or(p.Scheme, string(tiles.XYZ))), Host: cmp.Or(p.Host, p.Name),
		Probe: cmp.Or(p.Probe, probePath), Largest: cmp.Or(p.LargestKB, largestTile) << 10, Most: s.conf.Held}
	return servers.Wire
}

// share is a part of the connections to servers, one at the least.
func share(all int, part float64) int { return max(1, int(float64(all)*part)) }

// letGo drops pools that are no longer named once nothing of theirs is open.
func (s *Service) letGo() {
	s.leaving = slices.DeleteFunc(s.leaving, func(p *pool) bool {
		if p.router.OpenRequests() > 0 {
			return false
		}
		p.stop()
		p.fleet.Close()
		s.sent += p.fleet.Sends()
		for why, n := range p.fleet.Cut() {
			s.cut[why] += n
		}
		return true
	})
	if len(s.leaving) > 0 && s.phase != Ended {
		s.loop.After(1, s.letGo)
	}
}

// listen opens and closes the teams' listeners. One that cannot be opened is logged, and its team has none until the next
// change.
func (s *Service) listen(f operatorconfig.File) {
	if s.phase == Starting && s.beside > 0 {
		return // the process before this one takes their clients
	}
	wanted := map[string]bool{}
	for _, t := range f.Teams {
		if t.Listen != "" {
			wanted[t.Listen] = true
		}
	}
	speak := map[string]operatorconfig.TileFront{}
	for _, t := range f.TileFronts() {
		speak[t.Listen] = t
	}
	for addr, l := range s.listeners {
		t, http := speak[addr]
		if server := s.tiles[addr]; http && server != nil { // what is open goes on
			server.Change(t.Service, t.Kind, t.WaitHeader)
		}
		if !wanted[addr] || http != (s.tiles[addr] != nil) {
			l.Close()
			delete(s.listeners, addr)
			delete(s.tiles, addr)
		}
	}
	for addr := range wanted {
		if s.listeners[addr] != nil || s.phase >= Finishing {
			continue
		}
		protocol := frontend.Memcache
		if t, http := speak[addr]; http {
			s.tiles[addr] = tileserver.New(t.Service, t.Kind, t.WaitHeader)
			protocol = s.tiles[addr].Protocol
		}
		l, err := s.listenAt(addr, protocol)
		if err != nil {
			s.log.Error().Err(err).Str("listen", addr).Msg("a team's listener cannot be opened")
			delete(s.tiles, addr)
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
	for _, words := range s.broker.QuotaMessages() {
		s.peers.Broadcast(words)
	}
	s.loop.After(talking, s.talk)
}
