package service

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/hotrestart"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/zonefailover"
)

const (
	// zoneStepSeconds is the time between two steps: a third of the shortest latency objectives, and far above what a
	// step takes.
	zoneStepSeconds = 0.05
	// maxCollisionsLogged bounds the zones that are logged for a name that collides.
	maxCollisionsLogged = 100
)

// zoneAdapter brings what this process observes of zones, and what other routers say of them, to the failover
// decision, and the zones' shares to all pools. A nil one does nothing: zone failover is off.
type zoneAdapter struct {
	service          *Service
	controller       *zonefailover.Controller
	file             *disabledservers.Registry // zones that an operator has evacuated, for all processes of this router
	evacuated        map[string]bool           // of these, those that are evacuated here
	loggedCollisions map[string]bool           // zones that were logged for a name that collides
}

// openZones makes the adapter where the operators want it.
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
		s.log.Warn().Msg("zone failover is on, but no other router can be heard: zones are evacuated by operators alone")
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

// reconfigure applies the operators' file anew.
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

// applyChanges applies the decisions to the pools.
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

// applyShare sets what part of a pool's keys a zone serves now. What waits for a connection to an evacuated zone
// was never sent, and is attempted elsewhere as such.
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

// logCollision logs once that a zone takes no part.
func (a *zoneAdapter) logCollision(zone string) {
	if a.loggedCollisions[zone] || len(a.loggedCollisions) >= maxCollisionsLogged {
		return
	}
	a.loggedCollisions[zone] = true
	a.service.log.Warn().Str("zone", zone).
		Msg("this zone's name collides with another's in messages, or there are too many: it is never evacuated")
}

// onMessage takes another router's message; false if it is not about zones.
func (a *zoneAdapter) onMessage(message []byte) bool {
	return a != nil && a.controller.OnMessage(a.now(), message)
}

// AttemptStarted handles the start of an attempt at a server of a zone. within is the seconds in which an answer is
// expected; the result is for AttemptEnded.
func (a *zoneAdapter) AttemptStarted(zone string, within float64) uint64 {
	return a.controller.OnAttemptStart(a.now(), zone, within)
}

// AttemptEnded handles the outcome of an attempt that took so many seconds, of those in which an answer was expected.
func (a *zoneAdapter) AttemptEnded(zone string, mark uint64, outcome balancer.Outcome, took, within float64) {
	a.controller.OnAttemptEnd(a.now(), zone, mark, zoneEvidence(outcome, took, within))
}

// zoneEvidence is what an attempt's outcome says about its zone. An error is an answer, too. A request whose client
// was in a hurry says nothing by its timeout, nor does what was never sent.
func zoneEvidence(outcome balancer.Outcome, took, within float64) zonefailover.Outcome {
	switch outcome {
	case balancer.Succeeded, balancer.ServerError, balancer.CacheMiss:
		if took > within {
			return zonefailover.Late
		}
		return zonefailover.Answered
	case balancer.Overloaded:
		return zonefailover.Overloaded
	case balancer.TimedOut:
		if took >= within {
			return zonefailover.NoAnswer
		}
	case balancer.ConnectFailed, balancer.ConnectionLost:
		return zonefailover.NoAnswer
	}
	return zonefailover.Inconclusive
}

// applyEvacuated applies the whole set of zones that operators have evacuated.
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
			Msg("an operator has evacuated this zone, but it stays in use, as no other would remain")
	}
	for zone := range a.evacuated {
		if !wanted[zone] {
			a.controller.SetOperatorOverride(a.now(), zone, false)
			delete(a.evacuated, zone)
		}
	}
	a.applyChanges()
}

// writeMetrics writes the figures of zones. Dashboards read their names, which stay as they have always been:
//
//	figure           what it counts
//	zones_left       zones that are evacuated, or probed
//	zones_returning  zones that are recovering
//	zone_moves       evacuations and recoveries begun since the start
//	zone_words       gossip messages on zones that were sent since the start
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
