package balancer

import (
	"cmp"
	"slices"
)

// serverState is the state of one server, a cache or one of the origin's. It is kept while the list contains the
// server or an operator has disabled it.
type serverState struct {
	Endpoint
	size         float64    // largest weight since it started
	virtualNodes int        // on the ring
	keyShare     float64    // fraction of its virtual nodes that it answers for, from 0 to 1
	disabled     bool       // by an operator
	inFlight     []*attempt // attempts of this router, the earliest first
	latency      observedLatency
	reported     reportedLoad
	health       health
	slowStart    slowStart
	originLimit  originLimit
}

// serverSet holds the servers of the endpoint list.
type serverSet struct {
	byID         map[uint64]*serverState // includes draining and disabled servers
	ready        []*serverState          // caches that may be sent requests, by id
	origins      []*serverState          // servers of the origin that may be sent requests, by id
	meanSize     float64                 // of the ready caches
	allWarmingUp bool                    // no ready cache was warm when the ring was last rebuilt
}

// newServer returns the state of a server without observations, which counts as average.
func newServer() *serverState {
	return &serverState{
		keyShare: 1,
		latency:  observedLatency{slowness: 1},
		reported: reportedLoad{slowness: 1},
	}
}

// OnEndpoints is called with each update of the endpoint list. UpdateFailed has no entries, and the list is polled
// for again after a backoff.
func (b *Balancer) OnEndpoints(now float64, update EndpointUpdate, entries []Endpoint) {
	b.now = now
	if update == UpdateFailed {
		b.retryPolling()
		return
	}
	if update != UpdateSaved {
		b.polling = endpointPolling{}
	}
	listed := map[*serverState]bool{}
	changed := false
	for _, entry := range entries {
		server := b.listedServer(entry.ID)
		serverChanged := b.updateServer(server, entry)
		changed = changed || serverChanged
		listed[server] = true
	}
	removed := b.removeServers(update, listed)
	if changed || removed {
		b.rebuildRing()
	}
	if b.settings.WeightMode == WeightsLive {
		b.rebalanceKeyShares(min(now-b.totalLoad.loadAt, 1))
	}
}

// listedServer returns the record of a server in the list, and adds one if there is none; resetServer fills it when
// the server becomes ready.
func (b *Balancer) listedServer(id uint64) *serverState {
	server := b.servers.byID[id]
	if server == nil {
		server = &serverState{originLimit: originLimit{attempts: initialOriginLimit}}
		b.servers.byID[id] = server
	}
	return server
}

// updateServer applies an entry of the list to a server, and reports whether the ring has to be rebuilt.
func (b *Balancer) updateServer(server *serverState, entry Endpoint) (changed bool) {
	changed = server.State != entry.State || server.StartedAt != entry.StartedAt
	restarted := entry.StartedAt > server.StartedAt || server.State != Ready
	if entry.State == Ready && restarted {
		b.resetServer(server, entry.StartedAt)
	}
	size := entry.Capacity
	if b.settings.WeightMode == WeightsLive {
		size = max(size, server.size) // its weight without load; a smaller weight states its load
	}
	if size != server.size {
		changed = true
	}
	server.Endpoint = entry
	server.size = size
	if b.settings.WeightMode == WeightsLive && entry.Capacity > 0 {
		server.reported.load = size/entry.Capacity - 1
		server.reported.loadAt = b.now
	}
	return changed
}

// resetServer discards the observations of a server that has started or is ready again. startedAt is the start time
// in the list, in seconds.
func (b *Balancer) resetServer(server *serverState, startedAt float64) {
	reset := newServer()
	reset.inFlight = server.inFlight
	reset.disabled = server.disabled
	reset.originLimit.attempts = server.originLimit.attempts
	reset.slowStart = slowStart{
		startedAt:  b.latestStartTime(startedAt),
		refilledAt: b.now,
		budget:     b.random.Float64(),
	}
	*server = *reset
}

// removeServers removes the servers that an update marks as removed or, unless it is a delta, does not contain. It
// reports whether there were any. Attempts in flight there keep their record, and disabled servers stay in byID, so
// that a list that contains them again does not enable them.
func (b *Balancer) removeServers(update EndpointUpdate, listed map[*serverState]bool) (removed bool) {
	for id, server := range b.servers.byID {
		if server.State != Removed && (update == UpdateDelta || listed[server]) {
			continue
		}
		server.State = Removed
		if server.disabled {
			continue
		}
		removed = true
		delete(b.servers.byID, id)
	}
	return removed
}

// SetDisabled disables a server on behalf of an operator, regardless of the list, or enables it again. An enabled
// server counts as warming up: it may have restarted while it was disabled, before the list reports the restart.
func (b *Balancer) SetDisabled(now float64, id uint64, disabled bool) {
	b.now = now
	server := b.servers.byID[id]
	if server == nil {
		server = newServer()
		b.servers.byID[id] = server
	}
	if server.disabled && !disabled {
		b.restartSlowStart(server)
		server.health.consecutiveFailures = 0
		server.health.refusesConnections = false
	}
	server.disabled = disabled
	b.rebuildRing()
}

// rebuildRing collects the servers that may be sent requests, and places their virtual nodes on the ring.
func (b *Balancer) rebuildRing() {
	set := &b.servers
	set.ready = nil
	set.origins = nil
	set.allWarmingUp = true
	largestSize := 0.0
	for _, server := range set.byID {
		if server.State != Ready || server.disabled {
			continue
		}
		if b.isOrigin(server) {
			set.origins = append(set.origins, server)
			continue
		}
		set.ready = append(set.ready, server)
		largestSize = max(largestSize, server.size)
		if b.warmFraction(server) >= 1 {
			set.allWarmingUp = false
		}
	}
	byID := func(a, b *serverState) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(set.ready, byID)
	slices.SortFunc(set.origins, byID)
	set.meanSize = 0
	for _, server := range set.ready {
		set.meanSize += server.size / float64(len(set.ready))
		server.virtualNodes = virtualNodesOf(server.size, largestSize, b.settings.WeightMode)
	}
	b.ring.rebuild(set.ready)
}
