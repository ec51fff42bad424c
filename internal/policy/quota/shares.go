package quota

import (
	"cmp"
	"math"
	"slices"
)

const (
	messageInterval = 0.5 // seconds between two messages: several within the decay of the demand
	peerLifetime    = 2.0 // seconds after which a router's demand is forgotten: four messages were lost, or it has gone

	// evenFraction is the part of a quota that is split evenly whatever the demand: a team whose clients turn to another
	// router is served there until the others have heard of it.
	evenFraction = 0.1

	// minDemand is the least demand, in seconds of load a second, that is told and shared by.
	minDemand = 1e-6
)

// Shares decides which share of each quota this router has, so that the sum over all routers stays within it. Each
// router has the share that its own demand has of all routers' demand. It belongs to the goroutine of its Limiter.
type Shares struct {
	limiter        *Limiter
	self           int
	routers        int
	sentAt         float64                         // caller's time
	peerDemands    map[teamHash]map[int]peerDemand // by team and router
	lastReceivedAt map[int]float64                 // by router
	nextEntry      int                             // the first of the next message, where not all fit
}

// peerDemand is the demand that a router told.
type peerDemand struct {
	rate       float64
	receivedAt float64
}

// NewShares makes them for one of so many routers; each has an equal share until it has heard the others.
func NewShares(l *Limiter, self, routers int) *Shares {
	return &Shares{
		limiter:        l,
		self:           self,
		routers:        max(1, routers),
		peerDemands:    map[teamHash]map[int]peerDemand{},
		lastReceivedAt: map[int]float64{},
	}
}

// Recompute sets this router's share of all quotas, by what is known of the others' demand. It is called after a
// change of quotas; Message does so as well.
func (s *Shares) Recompute(now float64) {
	for _, b := range s.limiter.Buckets() {
		s.limiter.SetShare(now, b, s.shareOf(now, b))
	}
	s.limiter.SetUnreservedShare(now, s.equalShare())
}

func (s *Shares) equalShare() float64 { return 1 / float64(s.routers) }

// shareOf is this router's share of a team's quota.
func (s *Shares) shareOf(now float64, b *Bucket) float64 {
	own := b.Demand.Rate(s.limiter.clock.now)
	others := 0.0
	reported := false
	for _, told := range s.peerDemands[hashOfTeam(b.Team)] {
		if now-told.receivedAt < peerLifetime {
			others += told.rate
			reported = true
		}
	}
	if !reported || others+own < minDemand {
		return s.shareWithoutReports(now)
	}
	return evenFraction*s.equalShare() + (1-evenFraction)*own/(others+own)
}

// shareWithoutReports is the share where no other router told of a team: nearly all, if all others are known not to have
// demand for it, else an equal one.
func (s *Shares) shareWithoutReports(now float64) float64 {
	live := 0
	for _, at := range s.lastReceivedAt {
		if now-at < peerLifetime {
			live++
		}
	}
	if live < s.routers-1 || s.routers == 1 {
		return s.equalShare()
	}
	return evenFraction*s.equalShare() + (1 - evenFraction)
}

// Message gives what is to be broadcast to all other routers now; nil if it is not time. It recomputes the shares as
// well.
func (s *Shares) Message(now float64) []byte {
	tooSoon := now-s.sentAt < messageInterval && now >= s.sentAt
	if s.routers == 1 || tooSoon {
		return nil
	}
	s.sentAt = now
	s.dropExpired(now)
	s.Recompute(now)
	var active []*Bucket
	for _, b := range s.limiter.Buckets() {
		if b.Demand.Rate(s.limiter.clock.now) > minDemand {
			active = append(active, b)
		}
	}
	count := min(maxEntries, len(active))
	message := newDemandMessage(s.self, count)
	for i := range count {
		b := active[(s.nextEntry+i)%len(active)]
		message = appendDemand(message, b.Team, b.Demand.Rate(s.limiter.clock.now))
	}
	if len(active) > maxEntries {
		s.nextEntry = (s.nextEntry + maxEntries) % len(active)
	}
	return padDemandMessage(message)
}

// OnMessage takes a datagram of another router; false if it is no message of this package. One that is, and cannot be
// used, is ignored.
func (s *Shares) OnMessage(now float64, datagram []byte) bool {
	if !isDemandMessage(datagram) {
		return false
	}
	received := parseDemandMessage(datagram)
	if received.from == s.self || received.from >= s.routers || !received.complete() {
		return true
	}
	s.lastReceivedAt[received.from] = now
	for team, rate := range received.demands() {
		if s.peerDemands[team] == nil {
			if len(s.peerDemands) >= s.maxTeams() {
				return true // it names teams that have no quota here: other pools' messages come here, too
			}
			s.peerDemands[team] = map[int]peerDemand{}
		}
		s.peerDemands[team][received.from] = peerDemand{rate: rate, receivedAt: now}
	}
	return true
}

// maxTeams bounds the teams of which demands are kept: those with a quota here, several times over, for pools share
// the messages, and some more while configurations differ.
func (s *Shares) maxTeams() int { return 4*len(s.limiter.buckets) + 64 }

// dropExpired drops what was told too long ago.
func (s *Shares) dropExpired(now float64) {
	for team, told := range s.peerDemands {
		for from, demand := range told {
			if now-demand.receivedAt >= peerLifetime {
				delete(told, from)
			}
		}
		if len(told) == 0 {
			delete(s.peerDemands, team)
		}
	}
	for from, at := range s.lastReceivedAt {
		if now-at >= peerLifetime {
			delete(s.lastReceivedAt, from)
		}
	}
}

// LivePeers gives the routers that were heard lately, for who wants to see why a share is what it is.
func (s *Shares) LivePeers(now float64) (routers []int) {
	for from, at := range s.lastReceivedAt {
		if now-at < peerLifetime {
			routers = append(routers, from)
		}
	}
	slices.SortFunc(routers, cmp.Compare[int])
	return routers
}

// Demands are packed into 16 bits as logarithms, exact to a thousandth.
const (
	demandLogScale  = 1000
	demandLogOffset = 14
)

// packDemand packs a demand, from a millionth of a second a second to beyond a million.
func packDemand(rate float64) uint16 {
	if rate < minDemand {
		return 0
	}
	return uint16(min(math.MaxUint16, max(1, math.Round(demandLogScale*(math.Log(rate)+demandLogOffset)))))
}

func unpackDemand(packed uint16) float64 {
	if packed == 0 {
		return 0
	}
	return math.Exp(float64(packed)/demandLogScale - demandLogOffset)
}
