package service

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/hotrestart"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/zonefailover"
)

const (
	// zoneStepSeconds is the time between two steps: a third of the shortest latency objectives, and far longer than a
	// step takes.
	zoneStepSeconds = 0.05
	// maxCollisionsLogged bounds the zones that are logged for a name collision.
	maxCollisionsLogged = 100
)

// zoneAdapter passes this process's observations of zones and other routers' messages to the zone failover controller,
// and the resulting zone shares to all pools. A nil adapter does nothing: zone failover is off.
type zoneAdapter struct {
	service          *Service
	controller       *zonefailover.Controller
	file             *disabledservers.Registry // zones evacuated by operators, shared by all processes of this router
	evacuated        map[string]bool           // those of them that this process has evacuated
	loggedCollisions map[string]bool           // zones that were logged for a name collision
}

// openZones creates the adapter if the operators' file turns zone failover on.
func (s *Service) openZones(operators operatorconfig.File) {
	if !operators.Zones.On {
		return
	}
	settings := s.conf.Settings
	s.zones = &zoneAdapter{
		service:          s,
		evacuated:        map[string]bool{},
		loggedCollisions: map[string]bool{},
		controller: zonefailover.New(zonefailover.Settings{
			RouterIndex:   settings.RouterIndex,
			RouterCount:   settings.RouterCount,
			Incarnation:   uint16(newIncarnation()),
			WarmupSeconds: settings.WarmupDuration,
			Regions:       operators.RegionZones(),
		}),
	}
	if settings.RouterCount > 1 && (s.peers.transport == nil || !settings.GossipAllowed) {
		s.log.Warn().Msg("zone failover is on, but no messages can be exchanged with other routers; " +
			"without them only operators can evacuate zones")
	}
}

func (a *zoneAdapter) begin() {
	if a == nil {
		return
	}
	s := a.service
	path := hotrestart.Path(s.conf.SharedFolder, s.conf.Listen, "zones")
	changed := func(zones []string) { s.loop.Post(func() { a.applyEvacuated(zones) }) }
	file, zones := disabledservers.Open(path, changed, s.log)
	a.file = file
	a.applyEvacuated(zones)
	a.step()
}

func (a *zoneAdapter) close() {
	if a != nil {
		a.file.Close()
	}
}

// reconfigure applies a new operators' file.
func (a *zoneAdapter) reconfigure(operators operatorconfig.File) {
	if a != nil {
		a.controller.SetRegions(operators.RegionZones())
	}
}

func (a *zoneAdapter) now() float64 { return a.service.loop.Now() }

func (a *zoneAdapter) step() {
	if a.service.lifecycle.phase == Ended {
		return
	}
	a.controller.Tick(a.now())
	a.applyChanges()
	message := a.controller.NextMessage(a.now())
	if message != nil && a.service.conf.Settings.GossipAllowed {
		a.service.peers.transport.Broadcast(message)
	}
	a.service.loop.After(zoneStepSeconds, a.step)
}

// applyChanges logs the zones' transitions and applies their shares to the pools.
func (a *zoneAdapter) applyChanges() {
	changed := map[string]bool{}
	for _, change := range a.controller.TakeChanges() {
		a.service.log.Info().
			Str("zone", change.Zone).
			Stringer("from", change.From).
			Stringer("to", change.To).
			Float64("share", change.Share).
			Str("why", change.Reason).
			Msg("zone")
		if changed[change.Zone] {
			continue
		}
		changed[change.Zone] = true
		for _, p := range a.service.pools.active() {
			a.applyShare(p, change.Zone)
		}
	}
	if len(changed) > 0 {
		a.service.publish()
	}
}

// applyShare sets the zone share of a pool. Attempts that still wait for a connection to an evacuated zone are
// cancelled; as they were never sent, their requests are attempted in other zones.
func (a *zoneAdapter) applyShare(p *pool, zone string) {
	share := a.controller.Share(zone)
	if share == 0 {
		for id, entry := range p.endpoints {
			if entry.Zone == zone {
				p.servers.CancelUnsent(id)
			}
		}
	}
	p.core.SetZoneShare(zone, share)
}

// applyTo applies the shares of all zones to a new pool.
func (a *zoneAdapter) applyTo(p *pool) {
	if a == nil {
		return
	}
	for _, zone := range a.controller.Statuses(a.now()) {
		if zone.Share < 1 {
			a.applyShare(p, zone.Zone)
		}
	}
}

// onEndpoints handles the endpoint lists of all pools.
func (a *zoneAdapter) onEndpoints() {
	if a == nil {
		return
	}
	readyServers := map[string]int{}
	ids := map[uint16]bool{}
	for _, p := range a.service.pools.active() {
		for id, entry := range p.endpoints {
			ids[uint16(id)] = true
			if entry.Zone != "" && entry.State == balancer.Ready {
				readyServers[entry.Zone]++
			}
		}
	}
	for _, zone := range a.controller.OnEndpoints(a.now(), readyServers, ids) {
		a.logCollision(zone)
	}
}

// logCollision logs, once per zone, that the zone is excluded from failover.
func (a *zoneAdapter) logCollision(zone string) {
	if a.loggedCollisions[zone] || len(a.loggedCollisions) >= maxCollisionsLogged {
		return
	}
	a.loggedCollisions[zone] = true
	a.service.log.Warn().Str("zone", zone).
		Msg("the hash of this zone's name equals that of another zone, or there are too many zones; " +
			"this zone is not evacuated")
}

// onMessage handles another router's message, and reports whether it was a zone failover message.
func (a *zoneAdapter) onMessage(message []byte) bool {
	return a != nil && a.controller.OnMessage(a.now(), message)
}

// AttemptStarted handles the start of an attempt at a server of a zone. objective is the time in seconds within which
// an answer is expected; the result is the token for AttemptEnded.
func (a *zoneAdapter) AttemptStarted(zone string, objective float64) uint64 {
	return a.controller.OnAttemptStart(a.now(), zone, objective)
}

// AttemptEnded handles the outcome of an attempt. took is its duration in seconds.
func (a *zoneAdapter) AttemptEnded(zone string, token uint64, outcome balancer.Outcome, took, objective float64) {
	a.controller.OnAttemptEnd(a.now(), zone, token, zoneEvidence(outcome, took, objective))
}

// zoneEvidence returns what an attempt's outcome shows about its zone. An error reply is an answer too. A timeout
// before the objective is inconclusive, and so is an attempt that was never sent.
func zoneEvidence(outcome balancer.Outcome, took, objective float64) zonefailover.Outcome {
	switch outcome {
	case balancer.Succeeded, balancer.ServerError, balancer.CacheMiss:
		if took > objective {
			return zonefailover.Late
		}
		return zonefailover.Answered
	case balancer.Overloaded:
		return zonefailover.Overloaded
	case balancer.TimedOut:
		if took >= objective {
			return zonefailover.NoAnswer
		}
	case balancer.ConnectFailed, balancer.ConnectionLost:
		return zonefailover.NoAnswer
	}
	return zonefailover.Inconclusive
}

// applyEvacuated applies the complete set of zones that operators have evacuated.
func (a *zoneAdapter) applyEvacuated(zones []string) {
	wanted := map[string]bool{}
	for _, zone := range zones {
		wanted[zone] = true
		if a.evacuated[zone] {
			continue
		}
		if a.controller.SetOperatorOverride(a.now(), zone, true) {
			a.evacuated[zone] = true
			continue
		}
		a.service.log.Warn().Str("zone", zone).
			Msg("an operator has evacuated this zone, but it stays in use because no other zone would serve all of its keys, " +
				"its name has the hash of another zone, or there are too many zones")
	}
	for zone := range a.evacuated {
		if !wanted[zone] {
			a.controller.SetOperatorOverride(a.now(), zone, false)
			delete(a.evacuated, zone)
		}
	}
	a.applyChanges()
}

// writeMetrics writes the metrics of zones. Dashboards read their names, so they never change:
//
//	metric           what it counts
//	zones_left       zones that are evacuated or being probed
//	zones_returning  zones that are recovering
//	zone_moves       evacuations and recoveries begun since the start
//	zone_words       gossip messages on zones sent since the start
func (a *zoneAdapter) writeMetrics(write func(name string, value uint64)) {
	if a == nil {
		return
	}
	var evacuated, recovering, transitions uint64
	for _, zone := range a.controller.Statuses(a.now()) {
		transitions += zone.Transitions
		switch zone.State {
		case zonefailover.Evacuated, zonefailover.Probing:
			evacuated++
		case zonefailover.Recovering:
			recovering++
		}
	}
	write("zones_left", evacuated)
	write("zones_returning", recovering)
	write("zone_moves", transitions)
	write("zone_words", a.controller.MessagesSent)
}
