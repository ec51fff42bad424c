package gossip

import (
	"cmp"
	"math"
	"slices"

	"bendtrestle/internal/seedhash"
)

// Datagram is to be sent to a router of the view.
type Datagram struct {
	To    int // index in the view
	Bytes []byte
}

// Counters count what happened since the start.
type Counters struct {
	DatagramsSent       uint64
	BytesSent           uint64 // with headers
	BytesReceived       uint64 // with headers
	DatagramsDropped    uint64 // damaged, implausible, or more than one router may send
	ObservationsLimited uint64 // received, and more than counts of one router
	ObservationsUnsent  uint64 // of this router, and more than it may send
}

// Gossiper is one router's part of the protocol. It belongs to one goroutine.
type Gossiper struct {
	settings Settings
	now      float64 // seconds, as given last
	random   seedhash.Sequence

	view                 *View
	group                int // of this router
	groupFrom, groupTo   int // first router of the group, and the first one after it
	startedAt, deafUntil float64

	serverByID map[uint16]*serverState
	servers    []*serverState // sorted by identifier

	peerByRouter map[int]*peerState
	responsive   []int // routers of the group that understood the protocol when they were last seen
	probes       probeSchedule
	pulledAt     float64

	unsentObservations []pendingObservation
	reportRate         tokenBucket

	spreading   []*serverState // whose summaries are still to be passed on
	batchSentAt float64        // when summaries that are not urgent were last sent

	synthesizedAt float64
	feedFraction  float64 // of the loads, that is passed to the balancer

	budgets  budgets
	outgoing []Datagram

	Counters Counters
}

// serverState is what is known of a server.
type serverState struct {
	id     uint16
	held   summary // the newest of the group
	spread spreadState
	owner  ownerState
	feed   feedState

	baseRank     int     // rank of the first of the owners that observations are sent to
	missingSince float64 // since when no summary has come from these
}

func newServerState(id uint16) *serverState {
	never := math.Inf(-1)
	return &serverState{
		id:   id,
		held: summary{originatedAt: never},
		owner: ownerState{
			sum:         observationSum{refusedAt: never, answeredAt: never},
			publishedAt: never,
			groupSumAt:  never,
		},
		feed: feedState{refusalAt: never},
	}
}

// New starts a router's part of the protocol. The view must contain the router.
func New(now float64, settings Settings, view *View) *Gossiper {
	g := &Gossiper{
		settings:      settings,
		now:           now,
		random:        seedhash.NewSequence(settings.Seed),
		serverByID:    map[uint16]*serverState{},
		peerByRouter:  map[int]*peerState{},
		probes:        probeSchedule{at: now},
		pulledAt:      now,
		batchSentAt:   now,
		synthesizedAt: now,
		feedFraction:  1,
		budgets:       newBudgets(now),
	}
	g.SetView(view)
	return g
}

// SetView takes another view. What is known of servers stays; which routers understand the protocol has to be found
// out again, as their indexes may differ.
func (g *Gossiper) SetView(view *View) {
	g.view = view
	g.group = view.groupOf(g.settings.Self)
	g.groupFrom, g.groupTo = view.groupBounds(g.group)
	g.startedAt = g.now
	g.probes.next = 0
	clear(g.peerByRouter)
	g.responsive = nil
	view.setServers(g.serverIDs())
	for _, s := range g.servers {
		s.owner.groupSums = nil
		s.owner.heardAt = [ownersPerGroup]float64{}
	}
}

// SetServers sets the low 16 bits of the identifiers of all servers; observations of others are ignored. Beyond
// maxServers none is added.
func (g *Gossiper) SetServers(ids []uint16) {
	listed := map[uint16]bool{}
	for _, id := range ids {
		listed[id] = true
		if g.serverByID[id] == nil && len(g.serverByID) < maxServers {
			g.serverByID[id] = newServerState(id)
		}
	}
	g.servers = g.servers[:0]
	for id, s := range g.serverByID {
		if !listed[id] {
			delete(g.serverByID, id)
			s.spread.left = 0
			continue
		}
		g.servers = append(g.servers, s)
	}
	slices.SortFunc(g.servers, func(a, b *serverState) int { return cmp.Compare(a.id, b.id) })
	g.view.setServers(g.serverIDs())
}

func (g *Gossiper) serverIDs() (ids []uint16) {
	for _, s := range g.servers {
		ids = append(ids, s.id)
	}
	return ids
}

// Tick returns the datagrams that are to be sent now. It is called each 50 ms.
func (g *Gossiper) Tick(now float64) []Datagram {
	g.observeTime(now)
	g.sendObservations()
	for _, s := range g.servers {
		g.replaceSilentOwners(s)
		g.actAsOwner(s)
	}
	g.spreadSummaries()
	g.probeGroup()
	g.pullMissing()
	datagrams := g.outgoing
	g.outgoing = nil
	return datagrams
}

// observeTime notes the time. After a stall the datagrams that waited in the socket are old, and do not say so: they
// are ignored.
func (g *Gossiper) observeTime(now float64) {
	if now-g.now > stallThreshold {
		g.deafUntil = now + stallThreshold
		g.unsentObservations = g.unsentObservations[:0]
	}
	g.now = now
}

// Summary returns what is held of a server: the decayed sum of relative times over the fleet, their mean, and the age
// of the summary in seconds; false where there is none that counts.
func (g *Gossiper) Summary(now float64, id uint16) (load, mean, age float64, ok bool) {
	s := g.serverByID[id]
	if s == nil || s.held.expired(now) {
		return 0, 0, 0, false
	}
	return s.held.load, s.held.mean, now - s.held.originatedAt, true
}

// ownIncarnation is this process's incarnation as summaries carry it.
func (g *Gossiper) ownIncarnation() uint8 {
	return byte(seedhash.Mix(g.view.hashes[g.settings.Self], uint64(g.settings.Incarnation)))
}
