package zonefailover

import (
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

// zoneHashMask keeps the 24 bits of a name's hash that a message carries.
const zoneHashMask = 0xffffff

// Controller holds one router's state of all zones and decides on each. The package comment says how it is called.
type Controller struct {
	settings Settings
	zones    map[uint32]*zone // by the hash of their names
	names    []string         // of the zones, sorted; loops use them where the order matters
	regions  map[string][]string
	peers    map[int]*peer // by their router index
	changes  []Change      // not returned by TakeChanges yet

	lastTick        float64
	lastToken       uint64 // of an attempt
	watchedAttempts int

	gossip gossip
	// MessagesSent counts the messages returned by NextMessage since the start.
	MessagesSent uint64
}

// New returns a Controller without zones; OnEndpoints adds them.
func New(settings Settings) *Controller {
	settings.RouterCount = max(1, settings.RouterCount)
	c := &Controller{
		settings: settings,
		zones:    map[uint32]*zone{},
		peers:    map[int]*peer{},
		gossip:   gossip{marker: markers[0], sendEarly: true},
	}
	c.SetRegions(settings.Regions)
	return c
}

// SetRegions replaces the zones of each region, see Settings.Regions.
func (c *Controller) SetRegions(regions [][]string) {
	c.regions = map[string][]string{}
	for _, names := range regions {
		for _, name := range names {
			c.regions[name] = names
		}
	}
}

// NameHash returns the hash by which messages name a zone.
func NameHash(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) & zoneHashMask }

// OnEndpoints handles new endpoint lists: the number of servers in service by zone, and the low 16 bits of all servers'
// ids, which must not occur as a message's marker. It returns the zones that are never evacuated: those beyond
// maxZones, and of two zones whose names have the same hash the second by name, because messages can't distinguish
// them.
func (c *Controller) OnEndpoints(now float64, servers map[string]int, ids map[uint16]bool) (untracked []string) {
	for _, z := range c.zones {
		z.servers = 0
	}
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		z := c.findOrAdd(name)
		if z == nil {
			untracked = append(untracked, name)
			continue
		}
		z.servers = servers[name]
	}
	c.gossip.chooseMarker(ids)
	for hash, z := range c.zones {
		if c.removable(now, z) {
			delete(c.zones, hash)
		}
	}
	c.sortNames()
	return untracked
}

// removable reports whether a zone's state can be discarded: no endpoint list contains the zone, and it hasn't failed
// recently.
func (c *Controller) removable(now float64, z *zone) bool {
	if z.servers > 0 || z.state != Serving || z.operatorOverride {
		return false
	}
	return len(z.attempts.inFlight) == 0 && now-z.history.recoveredAt > historyRetention
}

// findOrAdd returns the zone with a name and adds it if necessary. It returns nil if there are too many zones or
// another zone's name has the same hash.
func (c *Controller) findOrAdd(name string) *zone {
	hash := NameHash(name)
	if c.zones[hash] == nil && len(c.zones) < maxZones {
		c.zones[hash] = newZone(name)
		c.sortNames()
	}
	return c.find(name)
}

func (c *Controller) sortNames() {
	c.names = c.names[:0]
	for _, z := range c.zones {
		c.names = append(c.names, z.name)
	}
	slices.Sort(c.names)
}

// find returns the zone with a name, or nil if there is none.
func (c *Controller) find(name string) *zone {
	z := c.zones[NameHash(name)]
	if z == nil || z.name != name {
		return nil
	}
	return z
}

// Tracked reports whether the zone is tracked: an endpoint list or an operator has named it, and it wasn't discarded
// since.
func (c *Controller) Tracked(name string) bool { return c.find(name) != nil }

// Share returns the fraction of its keys that a zone serves, 0 to 1; 1 for a zone that is not tracked.
func (c *Controller) Share(name string) float64 {
	z := c.find(name)
	if z == nil {
		return 1
	}
	return z.share
}

// TakeChanges returns the transitions since the last call, in order.
func (c *Controller) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// Statuses returns the status of all zones, sorted by name.
func (c *Controller) Statuses(now float64) []Status {
	var all []Status
	for _, name := range c.names {
		z := c.find(name)
		votes := c.countVotes(now, z)
		all = append(all, Status{
			Zone:              name,
			State:             z.state,
			Share:             z.share,
			Since:             z.since,
			Reason:            z.reason,
			OperatorOverride:  z.operatorOverride,
			Servers:           z.servers,
			VotesAgainst:      votes.against,
			VotesFor:          votes.inFavour,
			RoutersHeard:      votes.routers,
			RecentEvacuations: z.history.evacuations,
			Transitions:       z.transitions,
		})
	}
	return all
}

// Tick updates the decisions on all zones. Call it several times within the shortest latency objective.
func (c *Controller) Tick(now float64) {
	sinceLastTick := now - c.lastTick
	c.resetAfterStall(now)
	c.lastTick = now
	c.gossip.addTokens(sinceLastTick / c.messagePeriod())
	c.ageAttempts(now, sinceLastTick)
	if c.settings.RouterCount > 1 {
		c.followPeers(now)
	}
	c.evacuateFailing(now)
	for _, name := range c.names {
		c.advance(now, c.find(name))
	}
	c.ensureOneZoneServes(now)
}

// resetAfterStall discards this process's evidence if the process was stalled: its attempts in flight, the state of its
// peers and the messages queued at its socket are outdated. It sends a message early, so that the peers send theirs.
func (c *Controller) resetAfterStall(now float64) {
	if c.lastTick == 0 || now-c.lastTick <= maxTickGap {
		return
	}
	c.lastTick = now
	for _, z := range c.zones {
		z.evidence = evidence{}
		c.forgetAttempts(z)
	}
	for _, p := range c.peers {
		p.lastHeard = math.Inf(-1)
	}
	c.gossip.sendEarly = true
	c.gossip.ignoreUntil = now + staleInputWindow
}
