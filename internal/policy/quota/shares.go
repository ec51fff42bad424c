package quota

import (
	"cmp"
	"math"
	"slices"
)

const (
	messageInterval = 0.5 // seconds between two messages: several within the decay of the demand
	peerLifetime    = 2.0 // seconds after which a router's demand expires: four messages were lost, or it has stopped

	// evenFraction is the fraction of a quota that is divided equally among the routers regardless of demand. It serves
	// a team whose clients switch to another router until the other routers have received the new demand.
	evenFraction = 0.1

	// minDemand is the smallest demand, in seconds of load per second, that is broadcast and that determines shares.
	minDemand = 1e-6
)

// Shares computes this router's share of each quota, so that the sum over all routers stays within the quota. The share
// is this router's fraction of the demand of all routers. It belongs to the goroutine of its Limiter.
type Shares struct {
	limiter        *Limiter
	self           int
	routers        int
	sentAt         float64                         // caller's time
	peerDemands    map[teamHash]map[int]peerDemand // by team and router
	lastReceivedAt map[int]float64                 // by router
	nextEntry      int                             // index of the first team in the next message, if not all fit
}

// peerDemand is a team's demand as received from another router.
type peerDemand struct {
	rate       float64
	receivedAt float64
}

// NewShares returns the shares of the router with index self among the given number of routers. Shares are equal until
// messages from the other routers have been received.
func NewShares(l *Limiter, self, routers int) *Shares {
	return &Shares{
		limiter:        l,
		self:           self,
		routers:        max(1, routers),
		peerDemands:    map[teamHash]map[int]peerDemand{},
		lastReceivedAt: map[int]float64{},
	}
}

// Recompute sets this router's share of all quotas from the received demands of the others. The caller must call it
// after a change of quotas; Message calls it as well.
func (s *Shares) Recompute(now float64) {
	for _, b := range s.limiter.Buckets() {
		s.limiter.SetShare(now, b, s.shareOf(now, b))
	}
	s.limiter.SetUnreservedShare(now, s.equalShare())
}

func (s *Shares) equalShare() float64 { return 1 / float64(s.routers) }

// shareOf returns this router's share of a team's quota.
func (s *Shares) shareOf(now float64, b *Bucket) float64 {
	own := b.Demand.Rate(s.limiter.clock.now)
	others := 0.0
	reported := false
	for _, demand := range s.peerDemands[hashOfTeam(b.Team)] {
		if now-demand.receivedAt < peerLifetime {
			others += demand.rate
			reported = true
		}
	}
	if !reported || others+own < minDemand {
		return s.shareWithoutReports(now)
	}
	return evenFraction*s.equalShare() + (1-evenFraction)*own/(others+own)
}

// shareWithoutReports returns this router's share of a team's quota if no other router has reported demand for the
// team. If messages from all other routers were received, they have no demand, and this router gets all but their even
// fractions. Otherwise the share is equal.
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

// Message returns the message that is to be broadcast to all other routers now, or nil if none is due. It also
// recomputes the shares.
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

// OnMessage handles a datagram of another router. It returns false if the datagram is not a message of this package.
// Messages with invalid contents are ignored.
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
				return true // too many teams without a quota here, possibly of other pools, whose messages arrive here too
			}
			s.peerDemands[team] = map[int]peerDemand{}
		}
		s.peerDemands[team][received.from] = peerDemand{rate: rate, receivedAt: now}
	}
	return true
}

// maxTeams returns the largest number of teams whose demands are kept. It is a multiple of the teams with a quota here,
// because messages of all pools arrive here, plus some for the time while configurations of routers differ.
func (s *Shares) maxTeams() int { return 4*len(s.limiter.buckets) + 64 }

// dropExpired removes demands and routers that were last received longer than peerLifetime ago.
func (s *Shares) dropExpired(now float64) {
	for team, demands := range s.peerDemands {
		for from, demand := range demands {
			if now-demand.receivedAt >= peerLifetime {
				delete(demands, from)
			}
		}
		if len(demands) == 0 {
			delete(s.peerDemands, team)
		}
	}
	for from, at := range s.lastReceivedAt {
		if now-at >= peerLifetime {
			delete(s.lastReceivedAt, from)
		}
	}
}

// LivePeers returns the routers from which a message was received within peerLifetime. It helps to explain a share.
func (s *Shares) LivePeers(now float64) (routers []int) {
	for from, at := range s.lastReceivedAt {
		if now-at < peerLifetime {
			routers = append(routers, from)
		}
	}
	slices.SortFunc(routers, cmp.Compare[int])
	return routers
}

// Demands are packed into 16 bits as logarithms, with a relative precision of a thousandth.
const (
	demandLogScale  = 1000
	demandLogOffset = 14
)

// packDemand packs a demand. The range is from a millionth to more than a million seconds of load per second.
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
