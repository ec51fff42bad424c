package service

import (
	"cmp"
	"maps"

	"bendtrestle/internal/broker"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/tiles"
	"bendtrestle/internal/upstream"
	"bendtrestle/internal/upstream/tileclient"
)

const (
	quotaGossipIntervalSeconds = 0.1  // between two checks whether quota gossip is due
	defaultLargestTileKB       = 1024 // ten times the size of a large tile
	defaultHealthCheckPath     = "/"  // of tile servers
)

// applyContracts applies the operators' pools and contracts. Requests in flight are completed under the old ones.
func (s *Service) applyContracts(setup Setup) {
	operators := setup.Operators
	s.operators = operators
	if s.broker.Revision() == 0 {
		if len(operators.Teams) == 0 && len(operators.Pools) == 0 {
			return // the platform's pool alone, which the broker starts with
		}
		s.loop.After(quotaGossipIntervalSeconds, s.sendQuotaGossip)
	}
	var enough bool
	s.conf, enough = s.conf.WithReserved(reservedDescriptors(operators))
	s.warnIfDescriptorsShort(enough)
	s.loop.SetDescriptorLimit(s.conf.MaxConnections)
	s.applyLimits()
	pools := s.applyPools(operators)
	changes := s.broker.Configure(pools, contractTerms(setup), operators.UnmatchedTraffic())
	for _, change := range changes {
		s.log.Info().Int("revision", s.broker.Revision()).Str("change", change).Msg("contracts")
	}
	keep := map[string]bool{}
	for _, named := range operators.Pools {
		keep[named.Name] = true
	}
	s.retireUnnamed(keep)
	maps.DeleteFunc(s.counts.receivedByTeam, func(team string, _ uint64) bool { return !s.broker.HasTeam(team) })
	s.openTeamListeners(operators)
}

// contractTerms returns the contract terms of all teams.
func contractTerms(setup Setup) []broker.TeamConfig {
	terms := setup.Operators.Terms()
	for i := range terms {
		terms[i].FlatCost = setup.FlatCost
	}
	return terms
}

// applyPools creates the new pools, changes the others, and returns all of them in the broker's form, the platform's
// pool first.
func (s *Service) applyPools(operators operatorconfig.File) []broker.Pool {
	limits := s.processLimits()
	namedFraction := 0.0
	for _, named := range operators.Pools {
		namedFraction += named.Connections
	}
	platformConnections := connectionLimit(limits.UpstreamConnections, 1-namedFraction)
	s.pools.platform.servers.SetMaxConnections(platformConnections)
	pools := []broker.Pool{{Core: s.pools.platform.core, Connections: platformConnections}}
	for _, named := range operators.Pools {
		connections := connectionLimit(limits.UpstreamConnections, named.Connections)
		p := s.pools.named[named.Name]
		if p == nil {
			p = s.addPool(named, connections)
		}
		p.servers.SetMaxConnections(connections)
		p.watchListService(named.Discovery)
		pools = append(pools, broker.Pool{
			Name:        named.Name,
			Core:        p.core,
			Capacity:    named.Capacity,
			Connections: connections,
		})
	}
	return pools
}

// addPool creates a pool of the operators' file and applies the disabled servers and evacuated zones to it.
func (s *Service) addPool(named operatorconfig.Pool, connections int) *pool {
	limits := s.processLimits()
	connectTimeout := named.ConnectTimeout(limits.ConnectTimeout)
	p := s.newPool(poolOptions{
		name:                  named.Name,
		settings:              named.Settings(limits.Settings),
		connections:           connections,
		connectTimeout:        connectTimeout,
		stallTimeout:          named.StallTimeout(stallTimeout(connectTimeout)),
		idleTimeout:           named.IdleTimeout(limits.IdleTimeout),
		requestsPerConnection: named.AttemptsPerConnection(limits.AttemptsPerConnection),
		newCodec:              s.codecOf(named),
	})
	s.pools.named[named.Name] = p
	for id := range s.disabled.ids {
		p.setDisabled(discovery.ID(id), true)
	}
	s.zones.applyTo(p)
	return p
}

// codecOf returns the codec of the protocol that a pool's servers speak.
func (s *Service) codecOf(named operatorconfig.Pool) func(upstream.ReplyHandler) upstream.Codec {
	if named.Protocol != "tiles" {
		return upstream.MemcacheCodecs(s.memory.queue)
	}
	client := &tileclient.Client{
		Scheme:       tiles.Scheme(cmp.Or(named.Scheme, string(tiles.XYZ))),
		Host:         cmp.Or(named.Host, named.Name),
		ProbePath:    cmp.Or(named.Probe, defaultHealthCheckPath),
		MaxBodyBytes: cmp.Or(named.LargestKB, defaultLargestTileKB) << 10,
		Memory:       s.memory.tiles,
	}
	return client.NewCodec
}

// sendQuotaGossip broadcasts the load that is requested of this router, and repeats that every
// quotaGossipIntervalSeconds.
func (s *Service) sendQuotaGossip() {
	if s.lifecycle.phase == Ended {
		return
	}
	for _, message := range s.broker.QuotaMessages() {
		s.peers.transport.Broadcast(message)
	}
	s.loop.After(quotaGossipIntervalSeconds, s.sendQuotaGossip)
}
