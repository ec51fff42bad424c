package gossip

import "math"

// mergeGroupSums adds the newest sums of the other groups to this group's own sum. Each sum decays as if its
// observations had been sent here. Sums older than summaryLifetime are left out: during a partition each side uses only
// its own groups, and after it the other groups are included as soon as their first sum arrives.
func (g *Gossiper) mergeGroupSums(s *serverState, own summary) summary {
	total := own
	attempts := own.attempts()
	for group := range g.view.groups { // in a fixed order, on which the sum of floats depends
		sum, known := s.owner.groupSums[group]
		age := g.now - sum.originatedAt
		if !known || age >= summaryLifetime {
			continue
		}
		sum.load *= math.Exp(-max(0, age-groupSumInterval) / loadDecay)
		total.load += sum.load
		attempts += sum.attempts()
		total.refusing = total.refusing || sum.refusing && age < refusalLifetime
		total.answering = total.answering || sum.answering && age < g.settings.LongestObjective+secondaryRefusalDelay
	}
	if attempts > 0 && total.load > 0 {
		total.mean = total.load / attempts
	}
	return total
}

// onGroupSum handles a group sum. It drops sums whose sender does not own the server in its group, and limits the load
// to what the observation rate limit allows for the routers of that group.
func (g *Gossiper) onGroupSum(from int, id uint16, sum summary) {
	s := g.serverByID[id]
	group := g.view.groupOf(from)
	if s == nil || int(g.view.ownersOf(group, id)[sum.rank]) != from || g.now-sum.originatedAt > summaryLifetime {
		g.Counters.DatagramsDropped++
		return
	}
	first, end := g.view.groupBounds(group)
	maxLoad := float64(end-first) * observationsPerSecond * loadDecay * maxRelativeTime
	sum.load = min(sum.load, maxLoad)
	if group == g.group {
		g.onOwnGroupSum(s, sum)
		return
	}
	if s.owner.groupSums == nil {
		s.owner.groupSums = map[int]summary{}
	}
	held, known := s.owner.groupSums[group]
	if known && sum.rank > held.rank && g.now-held.originatedAt < ownerTimeout {
		return // an earlier owner of that group is still active
	}
	s.owner.groupSums[group] = sum
}

// onOwnGroupSum handles the sum of another owner in this router's own group. If that owner ranks before this one, its
// sum replaces the local one, because observations other than refusals are sent only to the first owner: this owner
// needs them to take over if the first one fails.
func (g *Gossiper) onOwnGroupSum(s *serverState, received summary) {
	s.owner.groupSumReceivedAt[received.rank] = g.now
	if g.ownRank(s) <= int(received.rank) {
		return
	}
	sum := &s.owner.sum
	sum.load = received.load
	sum.count = received.attempts() / loadDecay
	sum.timeSum = received.mean * sum.count
	sum.updatedAt = g.now
	if received.answering {
		sum.answeredAt = max(sum.answeredAt, received.originatedAt)
	}
}
