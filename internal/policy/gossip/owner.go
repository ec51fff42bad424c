package gossip

import "math"

// maxAnsweringTime is the relative time below which an attempt counts as evidence that the server answers.
const maxAnsweringTime = 4.0

// timeUnit is the encoded value of a relative time of 1 in observations and summaries.
const timeUnit = 32

// observationSum accumulates the observations of a server that the routers of a group have reported to an owner.
type observationSum struct {
	load       float64 // sum of relative times, decayed with loadDecay
	timeSum    float64 // sum of relative times, decayed with meanDecay
	count      float64 // number of observations, decayed with meanDecay
	updatedAt  float64 // 0: never
	refusedAt  float64
	answeredAt float64
}

// ownerState is the state that a router keeps for a server as one of its owners.
type ownerState struct {
	sum                observationSum
	groupSums          map[int]summary         // the newest of each other group
	groupSumReceivedAt [ownersPerGroup]float64 // when the owner of each rank in this group last sent its group sum
	groupSumAt         float64                 // when this router last sent a group sum
	groupSumsSent      uint8                   // number of group sums sent, modulo 256
	reportedRefusing   bool                    // whether refusals were reported when this router last acted as owner
	publishedAt        float64
	version            uint8 // of the last summary that it published
}

// add adds an observation.
func (o *observationSum) add(now float64, relativeTime byte) {
	if relativeTime == refusalByte {
		o.refusedAt = now
		return
	}
	value := float64(relativeTime) / timeUnit
	o.load = o.load*math.Exp((o.updatedAt-now)/loadDecay) + value
	decay := math.Exp((o.updatedAt - now) / meanDecay)
	o.timeSum = o.timeSum*decay + value
	o.count = o.count*decay + 1
	o.updatedAt = now
	if value < maxAnsweringTime {
		o.answeredAt = now
	}
}

// addObservation adds an observation to the sum that this router keeps as an owner.
func (g *Gossiper) addObservation(s *serverState, relativeTime byte) {
	s.owner.sum.add(g.now, relativeTime)
}

// ownRank returns this router's rank among the owners of a server in its group, or ownersPerGroup if it is not one of
// them.
func (g *Gossiper) ownRank(s *serverState) int {
	chosen := g.view.ownersOf(g.group, s.id)
	for rank, router := range chosen {
		if int(router) == g.settings.Self {
			return rank
		}
	}
	return ownersPerGroup
}

// active reports whether observations or group sums of the server were received within summaryLifetime.
func (o *ownerState) active(now float64) bool {
	neverReported := o.sum.updatedAt == 0 && math.IsInf(o.sum.refusedAt, -1) && len(o.groupSums) == 0
	if neverReported {
		return false
	}
	lastReported := max(o.sum.updatedAt, o.sum.refusedAt, o.newestGroupSum())
	return now-lastReported <= summaryLifetime
}

// newestGroupSum returns the time at which the newest group sum of other groups originated.
func (o *ownerState) newestGroupSum() float64 {
	newest := math.Inf(-1)
	for _, sum := range o.groupSums {
		newest = max(newest, sum.originatedAt)
	}
	return newest
}

// actAsOwner performs the duties of an owner of the server: it sends its group sum to other owners and publishes
// summaries in its group.
func (g *Gossiper) actAsOwner(s *serverState) {
	owner := &s.owner
	if !owner.active(g.now) {
		return
	}
	rank := g.ownRank(s)
	if rank == ownersPerGroup {
		return // not an owner: a router with another view sent it observations
	}
	own := g.ownGroupSum(s, rank)
	total := g.mergeGroupSums(s, own)
	newRefusal := own.unavailable() && !(s.held.unavailable() && g.now-s.held.originatedAt < changedSummaryInterval)
	if g.earlierOwnerActive(s, rank) {
		takesOver := newRefusal && g.now-owner.sum.refusedAt > secondaryRefusalDelay
		if !takesOver {
			return
		}
	}
	sinceGroupSum := g.now - owner.groupSumAt
	changed := own.refusing != owner.reportedRefusing || newRefusal
	if sinceGroupSum >= groupSumInterval || changed && sinceGroupSum >= changedSummaryInterval/2 {
		g.sendGroupSum(s, own, rank)
	}
	owner.reportedRefusing = own.refusing
	g.publishIfDue(s, total)
}

// ownGroupSum returns the sum of what the routers of this group have reported to this owner.
func (g *Gossiper) ownGroupSum(s *serverState, rank int) summary {
	sum := &s.owner.sum
	return summary{
		rank:         uint8(rank),
		incarnation:  g.ownIncarnation(),
		originatedAt: g.now,
		load:         sum.load * math.Exp((sum.updatedAt-g.now)/loadDecay),
		mean:         sum.timeSum / max(sum.count, 1e-9),
		refusing:     g.now-sum.refusedAt < refusalLifetime,
		answering:    g.now-sum.answeredAt < g.settings.LongestObjective,
	}
}

// earlierOwnerActive reports whether an owner of a smaller rank sends group sums or publishes summaries, so that this
// one does not have to.
func (g *Gossiper) earlierOwnerActive(s *serverState, rank int) bool {
	lastReceived := math.Inf(-1)
	for i := range rank {
		lastReceived = max(lastReceived, s.owner.groupSumReceivedAt[i])
	}
	if g.now-lastReceived < ownerTimeout {
		return true
	}
	silenceLimit := float64(overdueInterval)
	if rank > 1 { // routers that missed summaries may send it observations while the first two owners still publish
		silenceLimit = 1.5 * summaryLifetime
	}
	return int(s.held.rank) < rank && g.now-s.held.originatedAt < silenceLimit
}

// sendGroupSum sends this group's sum to the first owners in all other groups, and every third time or with a refusal
// also to the second owners. It also sends the sum to the next owner in this group, as a sign that this one is active.
func (g *Gossiper) sendGroupSum(s *serverState, own summary, rank int) {
	s.owner.groupSumsSent++
	own.version = s.owner.version
	message := newGroupSumMessage(s.id, own, g.now)
	cost := float64(len(message) + datagramOverhead)
	allSupported := true
	for group := range g.view.groups {
		chosen := g.view.ownersOf(group, s.id)
		receivers := chosen[:1]
		if s.owner.groupSumsSent%3 == 0 || own.refusing {
			receivers = chosen[:2]
		}
		if group == g.group {
			receivers = chosen[rank+1 : min(rank+2, ownersPerGroup)]
		}
		for _, receiver := range receivers {
			if receiver < 0 || int(receiver) == g.settings.Self {
				continue
			}
			if g.takeFromBucket(&g.budgets.groupSums, groupSumRateDivisor, groupSumBurstDivisor, cost) {
				sent := g.send(int(receiver), message)
				allSupported = sent && allSupported
			}
		}
	}
	s.owner.groupSumAt = g.now
	if !allSupported { // some receivers were probed instead; the next sum is sent sooner, after their acknowledgements
		s.owner.groupSumAt -= changedSummaryInterval
	}
}

// publishIfDue publishes a summary in this group if it differs enough from the held one or if a refresh is due.
func (g *Gossiper) publishIfDue(s *serverState, total summary) {
	change := compareContents(&s.held, &total)
	unavailable := total.unavailable()
	sincePublished := g.now - s.owner.publishedAt
	// If many summaries wait to be forwarded, changes are published less often: they would not arrive sooner and would
	// delay the other summaries.
	pause := changedSummaryInterval + float64(len(g.spreading))/maxSummaries/2
	due := sincePublished >= refreshInterval ||
		change >= significantChange && sincePublished >= pause ||
		(change == urgentChange || unavailable) && sincePublished >= changedSummaryInterval/2
	if !due {
		return
	}
	s.owner.version++
	total.version = s.owner.version
	total.urgent = change == urgentChange || unavailable
	s.owner.publishedAt = g.now
	g.accept(s, total)
}

// changeLevel classifies how much a summary differs from the held one.
type changeLevel int

const (
	minorChange       changeLevel = iota // published with the next refresh
	significantChange                    // published after changedSummaryInterval
	urgentChange                         // published without waiting for changedSummaryInterval
)

func compareContents(held, total *summary) changeLevel {
	loadDifference := math.Abs(total.load - held.load)
	refusalChanged := total.refusing && !total.answering != held.unavailable()
	slownessChanged := (total.mean > slowMean) != (held.mean > slowMean)
	if refusalChanged || slownessChanged || loadDifference > max(urgentLoadChange, held.load) {
		return urgentChange
	}
	meanDifference := math.Abs(total.mean - held.mean)
	loadDiffers := loadDifference > max(loadChange, loadChangeFraction*held.load)
	meanDiffers := meanDifference > meanChangeFraction*max(held.mean, smallMean)
	if loadDiffers || meanDiffers {
		return significantChange
	}
	return minorChange
}
