package balancer

import (
	"cmp"
	"slices"
)

// serverState is all that is known of one server, a cache or one of the origin's. It is kept as long as the list
// names the server or an operator has disabled it.
type serverState struct {
	Endpoint
	size         float64    // the largest weight it had since it started
	virtualNodes int        // on the ring
	keyShare     float64    // part of its virtual nodes that it answers for, from 0 to 1
	disabled     bool       // by an operator
	inFlight     []*attempt // of this router, the earliest first
	latency      observedLatency
	reported     reportedLoad
	health       health
	slowStart    slowStart
	originLimit  originLimit
}

// serverSet holds the servers that the list names.
type serverSet struct {
	byID         map[uint64]*serverState // draining and disabled ones, too
	ready        []*serverState          // the caches that may be sent requests, by id
	origins      []*serverState          // the origin's servers that may be sent requests, by id
	meanSize     float64                 // of the ready caches
	allWarmingUp bool                    // no ready cache was warm when the ring was last rebuilt
}

// newServer is a server of which nothing is known: one like the others.
func newServer() *serverState {
	return &serverState{
		keyShare: 1,
		latency:  observedLatency{slowness: 1},
		reported: reportedLoad{slowness: 1},
	}
}

// OnEndpoints is called with each update of the endpoint list. For UpdateFailed there are no entries, and the list is
// polled for again after a backoff.
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

// listedServer returns the record of a server that the list names, a new one if need be; resetServer fills it once the
// server is ready.
func (b *Balancer) listedServer(id uint64) *serverState {
	server := b.servers.byID[id]
	if server == nil {
		server = &serverState{originLimit: originLimit{attempts: initialOriginLimit}}
		b.servers.byID[id] = server
	}
	return server
}

// updateServer adopts what the list says of a server, and reports whether the ring has to be rebuilt.
func (b *Balancer) updateServer(server *serverState, entry Endpoint) (changed bool) {
	changed = server.State != entry.State || server.StartedAt != entry.StartedAt
	restarted := entry.StartedAt > server.StartedAt || server.State != Ready
	if entry.State == Ready && restarted {
		b.resetServer(server, entry.StartedAt)
	}
	size := entry.Capacity
	if b.settings.WeightMode == WeightsLive {
		size = max(size, server.size) // its weight when it held nothing; smaller ones tell its load
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

// resetServer forgets what was known of a server that started, or is back. startedAt is by the list, in seconds.
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

// removeServers removes the servers that an update removes or, if it is not a delta, does not name. It reports whether
// there were any. Attempts in flight there keep their record, and disabled servers stay in byID, so that
// a list that names them again does not enable them.
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

// SetDisabled disables a server for an operator, whatever the list says, or enables it again. An enabled server
// counts as cold: it may have restarted meanwhile, before the list says so.
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

// rebuildRing lists the servers that may be sent requests, and places their virtual nodes on the ring.
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
