package gossip

import (
	"cmp"
	"math"
	"slices"

	"bendtrestle/internal/seedhash"
)

// Datagram is a datagram to be sent to a router of the view.
type Datagram struct {
	To    int // index in the view
	Bytes []byte
}

// Counters count events since the start.
type Counters struct {
	DatagramsSent       uint64
	BytesSent           uint64 // including UDP and IP headers
	BytesReceived       uint64 // including UDP and IP headers
	DatagramsDropped    uint64 // damaged, implausible, or beyond the rate limit of their sender
	ObservationsLimited uint64 // received, but beyond the rate limit of their sender
	ObservationsUnsent  uint64 // of this router, dropped because it may not send more
}

// Gossiper runs the gossip protocol for one router. It belongs to one goroutine.
type Gossiper struct {
	settings Settings
	now      float64 // seconds, from the most recent call
	random   seedhash.Sequence

	view                           *View
	group                          int // of this router
	groupFrom, groupTo             int // first router of the group, and the first one after it
	startedAt, ignoreMessagesUntil float64

	serverByID map[uint16]*serverState
	servers    []*serverState // sorted by identifier

	peerByRouter map[int]*peerState
	responsive   []int // routers of the group that supported the protocol when last checked
	probes       probeSchedule
	pulledAt     float64

	unsentObservations []pendingObservation
	reportRate         tokenBucket

	spreading   []*serverState // servers whose summaries still have to be forwarded
	batchSentAt float64        // when summaries that are not urgent were last sent

	synthesizedAt       float64
	synthesizedFraction float64 // fraction of the loads that is passed to the balancer

	budgets  budgets
	outgoing []Datagram

	Counters Counters
}

// serverState is the state kept for one server.
type serverState struct {
	id          uint16
	held        summary // the summary that currently takes precedence
	spread      spreadState
	owner       ownerState
	synthesized synthesizedState

	baseRank     int     // rank of the first owner that observations are sent to
	missingSince float64 // time since which the owners from baseRank on have published no summary
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
		synthesized: synthesizedState{refusalAt: never},
	}
}

// New returns a Gossiper for the router settings.Self, which the view must contain.
func New(now float64, settings Settings, view *View) *Gossiper {
	g := &Gossiper{
		settings:            settings,
		now:                 now,
		random:              seedhash.NewSequence(settings.Seed),
		serverByID:          map[uint16]*serverState{},
		peerByRouter:        map[int]*peerState{},
		probes:              probeSchedule{dueAt: now},
		pulledAt:            now,
		batchSentAt:         now,
		synthesizedAt:       now,
		synthesizedFraction: 1,
		budgets:             newBudgets(now),
	}
	g.SetView(view)
	return g
}

// SetView replaces the view. The state of servers is kept. Which routers support the protocol has to be probed again,
// because their indexes may differ.
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
		s.owner.groupSumReceivedAt = [ownersPerGroup]float64{}
	}
}

// SetServers sets the low 16 bits of the identifiers of all servers. Observations of other servers are ignored. At most
// maxServers are tracked; further ones are not added.
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
			s.spread.transmitsLeft = 0
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

// Tick returns the datagrams that are to be sent now. It is called every 50 ms.
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

// observeTime records the time. After a stall, messages that were buffered in the socket are outdated, but the ages in
// them do not include the time in the buffer. They are ignored, and unsent observations are dropped.
func (g *Gossiper) observeTime(now float64) {
	if now-g.now > stallThreshold {
		g.ignoreMessagesUntil = now + stallThreshold
		g.unsentObservations = g.unsentObservations[:0]
	}
	g.now = now
}

// Summary returns the held summary of a server: the decayed sum of relative times over the fleet, their mean, and the
// age of the summary in seconds. ok is false if there is none or it has expired.
func (g *Gossiper) Summary(now float64, id uint16) (load, mean, age float64, ok bool) {
	s := g.serverByID[id]
	if s == nil || s.held.expired(now) {
		return 0, 0, 0, false
	}
	return s.held.load, s.held.mean, now - s.held.originatedAt, true
}

// ownIncarnation returns this process's incarnation as encoded in summaries.
func (g *Gossiper) ownIncarnation() uint8 {
	return byte(seedhash.Mix(g.view.hashes[g.settings.Self], uint64(g.settings.Incarnation)))
}
