package service

import (
	"maps"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
)

// applyList passes an endpoint list, or a delta, to the connections, the balancer and the adapters. Servers that a
// later list has withdrawn stay withdrawn until the list service had the time to catch up.
func (p *pool) applyList(update balancer.EndpointUpdate, list discovery.EndpointList) {
	p.recordWithdrawals(update, list)
	list = p.holdOutdated(update, list)
	if update == balancer.UpdateFull || update == balancer.UpdateSaved {
		p.clearList()
	}
	var endpoints []balancer.Endpoint
	for _, entry := range list.Instances {
		p.applyEntry(entry)
		endpoints = append(endpoints, entry.Endpoint)
	}
	p.core.OnEndpoints(update, endpoints) // after the addresses are set, which the balancer's attempts need
	p.service.onEndpointsChanged(p, update)
	maps.DeleteFunc(p.ready, func(id uint64, ready bool) bool {
		if !ready {
			p.servers.RemoveEndpoint(id)
		}
		return !ready
	})
	if p.service.lifecycle.phase == Starting && len(p.ready) > 0 {
		p.service.startServing()
	}
	if len(list.Instances) > 0 {
		p.log.Info().Uint64("generation", list.Generation).Int("changes", len(list.Instances)).Int("ready", len(p.ready)).
			Msg("list")
	}
}

// clearList removes all servers from the list before a full list is applied.
func (p *pool) clearList() {
	for id := range p.ready {
		p.ready[id] = false
	}
	for id := range p.known {
		p.known[id] = false
	}
	clear(p.endpoints)
}

func (p *pool) applyEntry(entry discovery.Instance) {
	removed := entry.State == balancer.Removed
	p.ready[entry.ID] = entry.State == balancer.Ready
	p.setListed(entry.ID, !removed)
	if removed {
		delete(p.endpoints, entry.ID)
	} else {
		p.endpoints[entry.ID] = entry
	}
	p.servers.SetEndpoint(entry.ID, entry.Addr)
}

// onEndpointsChanged notifies the adapters of a pool's list.
func (s *Service) onEndpointsChanged(p *pool, update balancer.EndpointUpdate) {
	confirmed := update == balancer.UpdateFull || update == balancer.UpdateDelta // a failed poll confirms nothing
	s.zones.onEndpoints()
	s.gossip.onEndpoints()
	s.startup.onEndpoints(p, confirmed)
}
