package service

import (
	"errors"
	"hash/crc32"
	"os"
	"slices"
	"strconv"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/hotrestart"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/zonefailover"
)

// looking is the time between two looks at the zones: a third of the shortest times that are promised, and far above what a look takes.
const looking = 0.05

// zoneWatch brings what this process sees of zones, and what others say of them, to the decision, and its shares to all pools. A nil
// one does nothing: zones are off.
type zoneWatch struct {
	s     *Service
	fleet *zonefailover.Controller
	bans  *disabledservers.Registry // zones that are left by hand
	hand  map[string]bool
	twins map[string]bool // names that were logged as not to be told apart
}

// openZones makes the watch where the operators want it.
func (s *Service) openZones(f operatorconfig.File) {
	if !f.Zones.On {
		return
	}
	c := s.conf
	life := crc32.ChecksumIEEE([]byte(time.Now().String() + strconv.Itoa(os.Getpid())))
	w := &zoneWatch{s: s, hand: map[string]bool{}, twins: map[string]bool{}}
	w.fleet = zonefailover.New(zonefailover.Settings{RouterIndex: c.Settings.RouterIndex, RouterCount: c.Settings.RouterCount, Incarnation: uint16(life), WarmupSeconds: c.Settings.WarmupDuration,
		Regions: f.Groups()})
	s.zones = w
	if c.Settings.RouterCount > 1 && (s.peers == nil || !c.Settings.GossipAllowed) {
		s.log.Warn().Msg("zones are on, and no other router can be heard: none is left but by hand")
	}
}

func (w *zoneWatch) begin() {
	if w == nil {
		return
	}
	bans, names := disabledservers.Open(hotrestart.Path(w.s.conf.Shared, w.s.conf.Listen, "zones"),
		func(names []string) { w.s.loop.Post(func() { w.byHand(names) }) }, w.s.log)
	w.bans = bans
	w.byHand(names)
	w.tick()
}

func (w *zoneWatch) close() {
	if w != nil {
		w.bans.Close()
	}
}

// reconfigure takes the operators' file anew.
func (w *zoneWatch) reconfigure(f operatorconfig.File) {
	if w == nil {
		return
	}
	w.fleet.SetRegions(f.Groups())
}

func (w *zoneWatch) now() float64 { return w.s.loop.Now() }

func (w *zoneWatch) tick() {
	if w.s.phase == Ended {
		return
	}
	w.fleet.Tick(w.now())
	w.act()
	if words := w.fleet.NextMessage(w.now()); words != nil && w.s.conf.Settings.GossipAllowed { // else the platform allows none
		w.s.peers.Broadcast(words)
	}
	w.s.loop.After(looking, w.tick)
}

// act takes the decisions to the pools.
func (w *zoneWatch) act() {
	changed := map[string]bool{}
	for _, c := range w.fleet.TakeChanges() {
		w.s.log.Info().Str("zone", c.Zone).Stringer("from", c.From).Stringer("to", c.To).Float64("share", c.Share).Str("why", c.Reason).Msg("zone")
		if !changed[c.Zone] {
			changed[c.Zone] = true
			w.share(w.s.platform, c.Zone)
			for _, p := range w.s.pools {
				w.share(p, c.Zone)
			}
		}
	}
	if len(changed) > 0 {
		w.s.publish()
	}
}

// share tells a pool what a zone serves now. What waits for a connection there was never sent, and goes elsewhere as such.
func (w *zoneWatch) share(p *pool, zone string) {
	x := w.fleet.Share(zone)
	if x == 0 {
		for id, e := range p.entries {
			if e.Zone == zone {
				p.fleet.LetGo(id)
			}
		}
	}
	p.router.SetZoneShare(zone, x)
}

// apply tells a new pool of all zones.
func (w *zoneWatch) apply(p *pool) {
	if w == nil {
		return
	}
	for _, z := range w.fleet.Statuses(w.now()) {
		if z.Share < 1 {
			w.share(p, z.Zone)
		}
	}
}

// listed takes the lists of all pools.
func (w *zoneWatch) listed() {
	if w == nil {
		return
	}
	servers, ids := map[string]int{}, map[uint16]bool{}
	take := func(p *pool) {
		for id, e := range p.entries {
			if ids[uint16(id)] = true; e.Zone != "" && e.State == balancer.Ready {
				servers[e.Zone]++
			}
		}
	}
	take(w.s.platform)
	for _, p := range w.s.pools {
		take(p)
	}
	for _, name := range w.fleet.OnEndpoints(w.now(), servers, ids) {
		if !w.twins[name] && len(w.twins) < 100 {
			w.twins[name] = true
			w.s.log.Warn().Str("zone", name).Msg("this zone cannot be told from another in words, or there are too many: it is never left")
		}
	}
}

// heard takes another router's words; false if they are not of zones.
func (w *zoneWatch) heard(words []byte) bool { return w != nil && w.fleet.OnMessage(w.now(), words) }

// AttemptStarted takes that an execution begins.
func (w *zoneWatch) AttemptStarted(zone string, within float64) uint64 {
	return w.fleet.OnAttemptStart(w.now(), zone, within)
}

// AttemptEnded takes how it went.
func (w *zoneWatch) AttemptEnded(zone string, mark uint64, how balancer.Outcome, took, within float64) {
	end := zonefailover.Inconclusive
	switch how {
	case balancer.Succeeded, balancer.ServerError, balancer.CacheMiss: // also an error is an answer
		if end = zonefailover.Answered; took > within {
			end = zonefailover.Late
		}
	case balancer.Overloaded:
		end = zonefailover.Overloaded
	case balancer.TimedOut:
		if took >= within { // else its client was in a hurry
			end = zonefailover.NoAnswer
		}
	case balancer.ConnectFailed, balancer.ConnectionLost:
		end = zonefailover.NoAnswer
	}
	w.fleet.OnAttemptEnd(w.now(), zone, mark, end)
}

// byHand takes the whole set of zones that are left by hand.
func (w *zoneWatch) byHand(names []string) {
	now := map[string]bool{}
	for _, name := range names {
		now[name] = true
		if w.hand[name] {
			continue
		}
		if w.hand[name] = w.fleet.SetOperatorOverride(w.now(), name, true); !w.hand[name] {
			delete(w.hand, name)
			w.s.log.Warn().Str("zone", name).Msg("it is written down as left by hand, and stays, as no other would remain")
		}
	}
	for name := range w.hand {
		if !now[name] {
			w.fleet.SetOperatorOverride(w.now(), name, false)
			delete(w.hand, name)
		}
	}
	w.act()
}

// written tells whether a zone is to be left by hand, also one that could not be, as the last.
func (w *zoneWatch) written(zone string) bool { return slices.Contains(w.bans.IDs(), zone) }

// figures shows how zones stand.
func (w *zoneWatch) figures(say func(name string, value uint64)) {
	if w == nil {
		return
	}
	left, returning, moves := uint64(0), uint64(0), uint64(0)
	for _, z := range w.fleet.Statuses(w.now()) {
		switch moves += z.Transitions; z.State {
		case zonefailover.Evacuated, zonefailover.Probing:
			left++
		case zonefailover.Recovering:
			returning++
		}
	}
	say("zones_left", left)
	say("zones_returning", returning)
	say("zone_moves", moves)
	say("zone_words", w.fleet.MessagesSent)
}

var (
	errZonesOff = errors.New("zones are off: the operators' file is to say on = true under [zones]")
	errLastZone = errors.New("no zone would remain; the last one is not left")
)

// Zones gives all zones.
func (d *desk) Zones() (all []admin.Zone, err error) {
	if d.s.zones == nil {
		return nil, errZonesOff
	}
	err = d.do(func() error {
		now := d.s.zones.now()
		for _, z := range d.s.zones.fleet.Statuses(now) {
			all = append(all, admin.Zone{Zone: z.Zone, State: z.State.String(), Share: z.Share, StateSeconds: now - max(z.Since, d.s.began), ByOperator: z.OperatorOverride,
				Servers: z.Servers, RoutersWithoutAnswer: z.VotesAgainst, RoutersWithLaterAnswer: z.VotesFor, RoutersHeard: z.RoutersHeard, RecentEvacuations: z.Evacuations, Reason: z.Reason})
		}
		return nil
	})
	return all, err
}

// EvacuateZone leaves a zone until ReturnZone.
func (d *desk) EvacuateZone(zone string) error {
	w, until := d.s.zones, time.Now().Add(patience)
	if w == nil {
		return errZonesOff
	}
	err := d.do(func() error {
		switch {
		case !w.fleet.Known(zone):
			return admin.ErrUnknownZone
		case !w.fleet.SetOperatorOverride(w.now(), zone, true):
			return errLastZone
		}
		w.hand[zone] = true
		w.act()
		return nil
	})
	if err != nil {
		return err
	}
	err = w.bans.Update(zone, true, until)
	if errors.Is(err, disabledservers.ErrLocalOnly) {
		d.s.log.Error().Err(err).Str("zone", zone).Msg("what was called by hand cannot be kept for the next process")
	} else if err != nil { // nothing was changed, so it does not stay left
		ids := w.bans.IDs()
		d.s.loop.Post(func() { w.byHand(ids) })
	}
	return err
}

// RestoreZone lets a zone return, whoever left it.
func (d *desk) RestoreZone(zone string) error {
	w, until := d.s.zones, time.Now().Add(patience)
	if w == nil {
		return errZonesOff
	}
	if !w.written(zone) {
		return d.do(func() error {
			if !w.fleet.StartRecovery(w.now(), zone) {
				return admin.ErrUnknownZone
			}
			w.act()
			return nil
		})
	}
	if err := w.bans.Update(zone, false, until); err != nil {
		return err
	}
	late := d.do(func() error { // behind the set without it
		w.fleet.StartRecovery(w.now(), zone) // it was to be left by hand and could not be, as the last, but by itself
		w.act()
		return nil
	})
	if late != nil {
		return errWritten
	}
	return nil
}
