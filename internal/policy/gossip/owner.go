package gossip

import "math"

// maxAnsweringTime is the relative time below which an attempt shows that the server answers.
const maxAnsweringTime = 4.0

// timeUnit is the relative time of 1 as observations and summaries carry it.
const timeUnit = 32

// observationSum is what the routers of its group have reported of a server to an owner.
type observationSum struct {
	load       float64 // sum of relative times, decayed with loadDecay
	timeSum    float64 // the same, decayed with meanDecay
	count      float64 // number of observations, decayed with meanDecay
	updatedAt  float64 // 0: never
	refusedAt  float64
	answeredAt float64
}

// ownerState is what a router knows of a server as one of its owners.
type ownerState struct {
	sum          observationSum
	groupSums    map[int]summary         // the newest of each other group
	heardAt      [ownersPerGroup]float64 // when the owner of each rank in this group last sent its group sum
	groupSumAt   float64                 // when this router last sent one
	groupSumTurn uint8                   // how many it has sent
	lastRefusing bool                    // whether it reported refusals when it last acted
	publishedAt  float64
	version      uint8 // of the last summary that it published
}

// add adds an observation.
func (o *observationSum) add(now float64, relativeTime byte) {
	if relativeTime == refusalByte {
		o.refusedAt = now
		return
	}
	time := float64(relativeTime) / timeUnit
	o.load = o.load*math.Exp((o.updatedAt-now)/loadDecay) + time
	fade := math.Exp((o.updatedAt - now) / meanDecay)
	o.timeSum = o.timeSum*fade + time
	o.count = o.count*fade + 1
	o.updatedAt = now
	if time < maxAnsweringTime {
		o.answeredAt = now
	}
}

// addObservation takes an observation that this router is sent as an owner.
func (g *Gossiper) addObservation(s *serverState, relativeTime byte) {
	s.owner.sum.add(g.now, relativeTime)
}

// ownRank is this router's rank among the owners of a server in its group; ownersPerGroup: it is none.
func (g *Gossiper) ownRank(s *serverState) int {
	chosen := g.view.ownersOf(g.group, s.id)
	for rank, router := range chosen {
		if int(router) == g.settings.Self {
			return rank
		}
	}
	return ownersPerGroup
}

// active reports whether anything of the server was reported to an owner lately.
func (o *ownerState) active(now float64) bool {
	neverReported := o.sum.updatedAt == 0 && math.IsInf(o.sum.refusedAt, -1) && len(o.groupSums) == 0
	if neverReported {
		return false
	}
	lastReported := max(o.sum.updatedAt, o.sum.refusedAt, o.newestGroupSum())
	return now-lastReported <= summaryLifetime
}

// newestGroupSum is when the newest group sum of other groups was originated.
func (o *ownerState) newestGroupSum() float64 {
	newest := math.Inf(-1)
	for _, sum := range o.groupSums {
		newest = max(newest, sum.originatedAt)
	}
	return newest
}

// actAsOwner does what an owner of the server has to do: it sends its group sum to other owners and publishes
// summaries in its group.
func (g *Gossiper) actAsOwner(s *serverState) {
	owner := &s.owner
	if !owner.active(g.now) {
		return
	}
	rank := g.ownRank(s)
	if rank == ownersPerGroup {
		return // a router with another view reported to it
	}
	own := g.ownGroupSum(s, rank)
	total := g.mergeGroupSums(s, own)
	newRefusal := own.unavailable() && !(s.held.unavailable() && g.now-s.held.originatedAt < changeInterval)
	if g.earlierOwnerActs(s, rank) {
		takesOver := newRefusal && g.now-owner.sum.refusedAt > secondaryRefusalDelay
		if !takesOver {
			return
		}
	}
	sinceGroupSum := g.now - owner.groupSumAt
	changed := own.refusing != owner.lastRefusing || newRefusal
	if sinceGroupSum >= groupSumInterval || changed && sinceGroupSum >= changeInterval/2 {
		g.sendGroupSum(s, own, rank)
	}
	owner.lastRefusing = own.refusing
	g.publishIfDue(s, total)
}

// ownGroupSum is what the routers of this group have reported to this owner.
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

// earlierOwnerActs reports whether an owner before this one (of a smaller rank) sends group sums or publishes, so that
// this one keeps silent.
func (g *Gossiper) earlierOwnerActs(s *serverState, rank int) bool {
	lastHeard := math.Inf(-1)
	for i := range rank {
		lastHeard = max(lastHeard, s.owner.heardAt[i])
	}
	if g.now-lastHeard < ownerTimeout {
		return true
	}
	patience := float64(overdueInterval)
	if rank > 1 { // routers that missed summaries may tell it what the first two owners know: it acts once these are gone
		patience = 1.5 * summaryLifetime
	}
	return int(s.held.rank) < rank && g.now-s.held.originatedAt < patience
}

// sendGroupSum sends this group's sum to the first owners in all other groups, to the second ones each third time or
// with a refusal, and to the next owner in this group, which learns by it that this one is there.
func (g *Gossiper) sendGroupSum(s *serverState, own summary, rank int) {
	s.owner.groupSumTurn++
	own.version = s.owner.version
	message := newGroupSumMessage(s.id, own, g.now)
	cost := float64(len(message) + datagramOverhead)
	allUnderstand := true
	for group := range g.view.groups {
		chosen := g.view.ownersOf(group, s.id)
		receivers := chosen[:1]
		if s.owner.groupSumTurn%3 == 0 || own.refusing {
			receivers = chosen[:2]
		}
		if group == g.group {
			receivers = chosen[rank+1 : min(rank+2, ownersPerGroup)]
		}
		for _, receiver := range receivers {
			if receiver < 0 || int(receiver) == g.settings.Self {
				continue
			}
			if g.takePart(&g.budgets.groupSums, groupSumRateDivisor, groupSumBurstDivisor, cost) {
				sent := g.send(int(receiver), message)
				allUnderstand = sent && allUnderstand
			}
		}
	}
	s.owner.groupSumAt = g.now
	if !allUnderstand { // some were probed instead: their answers are here by the next time, which comes sooner
		s.owner.groupSumAt -= changeInterval
	}
}

// publishIfDue publishes a summary in this group if it says something new, or the last one is to be refreshed.
func (g *Gossiper) publishIfDue(s *serverState, total summary) {
	change := compareContents(&s.held, &total)
	unavailable := total.unavailable()
	sincePublished := g.now - s.owner.publishedAt
	// Where many summaries wait to be passed on, changes are published less often: they would not arrive sooner, and
	// keep the others back.
	pause := changeInterval + float64(len(g.spreading))/maxSummaries/2
	due := sincePublished >= refreshInterval ||
		change >= notable && sincePublished >= pause ||
		(change == pressing || unavailable) && sincePublished >= changeInterval/2
	if !due {
		return
	}
	s.owner.version++
	total.version = s.owner.version
	total.urgent = change == pressing || unavailable
	s.owner.publishedAt = g.now
	g.accept(s, total)
}

// change says how much a summary differs from the one that is held.
type change int

const (
	minor    change = iota // published with the next refresh
	notable                // published after changeInterval
	pressing               // published at once
)

func compareContents(held, total *summary) change {
	loadDifference := math.Abs(total.load - held.load)
	refusalChanged := total.refusing && !total.answering != held.unavailable()
	slownessChanged := (total.mean > slowMean) != (held.mean > slowMean)
	if refusalChanged || slownessChanged || loadDifference > max(urgentLoadChange, held.load) {
		return pressing
	}
	meanDifference := math.Abs(total.mean - held.mean)
	loadDiffers := loadDifference > max(loadChange, loadChangePart*held.load)
	meanDiffers := meanDifference > meanChangePart*max(held.mean, smallMean)
	if loadDiffers || meanDiffers {
		return notable
	}
	return minor
}
