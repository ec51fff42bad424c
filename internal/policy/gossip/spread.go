package gossip

import "slices"

// spreadState counts how often a router still forwards the held summary of a server.
type spreadState struct {
	transmitsLeft       int  // transmissions left
	urgentTransmitsLeft int  // those of them that are sent without delay
	queued              bool // whether the server is in Gossiper.spreading
}

// numPriorities is one more than the highest priority of a summary.
const numPriorities = 2 * (urgentTransmits + 1)

// firstUrgentPriority is the lowest priority of summaries that are sent without delay.
const firstUrgentPriority = urgentTransmits + 1

// start sets the numbers of transmissions of a summary that was just accepted.
func (p *spreadState) start(held *summary, now float64) {
	p.transmitsLeft = summaryTransmits
	p.urgentTransmitsLeft = 0
	switch {
	case held.urgent:
		p.transmitsLeft = urgentTransmits
		p.urgentTransmitsLeft = urgentTransmits
	case held.originatedAt == now: // published by this router
		p.transmitsLeft = ownerTransmits
		p.urgentTransmitsLeft = ownerTransmits
	case now-held.originatedAt <= freshAge:
		p.urgentTransmitsLeft = freshTransmits
	}
}

// onDuplicate handles the receipt of the held version from another router. It reduces the transmissions left, so that
// the spread ends once many routers have the version. Those of an urgent summary are not reduced.
func (p *spreadState) onDuplicate(urgent bool) {
	if p.transmitsLeft > 0 && !urgent {
		p.transmitsLeft--
	}
}

// onTransmit counts a transmission.
func (p *spreadState) onTransmit() {
	p.transmitsLeft--
	p.urgentTransmitsLeft = max(0, p.urgentTransmitsLeft-1)
}

// stop ends the spread.
func (p *spreadState) stop() { *p = spreadState{} }

// priority returns the priority by which summaries are forwarded, highest first: those to be sent without delay, then
// those with the most transmissions left.
func (p *spreadState) priority() int {
	if p.urgentTransmitsLeft > 0 {
		return firstUrgentPriority + min(p.urgentTransmitsLeft, urgentTransmits)
	}
	return min(p.transmitsLeft, urgentTransmits)
}

// priorityCounts is the number of waiting summaries of each priority.
type priorityCounts [numPriorities]int

func (c *priorityCounts) urgent() (n int) {
	for _, count := range c[firstUrgentPriority:] {
		n += count
	}
	return n
}

// lowest returns the lowest priority among the n summaries with the highest priorities, and how many of these n have
// that priority.
func (c *priorityCounts) lowest(n int) (priority, count int) {
	priority = len(c) - 1
	sum := c[priority]
	for sum < n {
		priority--
		sum += c[priority]
	}
	return priority, n - (sum - c[priority])
}

// spreadSummaries forwards summaries to random routers of the group, one datagram after another, until the budget is
// used up.
func (g *Gossiper) spreadSummaries() {
	g.dropExpiredSpreads()
	for len(g.spreading) > 0 {
		var waiting priorityCounts
		for _, s := range g.spreading {
			waiting[s.spread.priority()]++
		}
		to := g.randomPeer()
		if to < 0 {
			return
		}
		size := g.batchSize(&waiting)
		if size == 0 {
			return
		}
		g.send(to, g.nextBatch(&waiting, size))
		g.spreading = slices.DeleteFunc(g.spreading, func(s *serverState) bool {
			s.spread.queued = s.spread.transmitsLeft > 0
			return !s.spread.queued
		})
	}
}

// dropExpiredSpreads stops forwarding summaries that have expired or have no transmissions left.
func (g *Gossiper) dropExpiredSpreads() {
	g.spreading = slices.DeleteFunc(g.spreading, func(s *serverState) bool {
		if s.spread.transmitsLeft <= 0 || s.held.expired(g.now) {
			s.spread.stop()
		}
		return s.spread.transmitsLeft <= 0
	})
}

// batchSize returns the number of summaries in the next datagram and takes its cost from the budget; 0 if none is sent
// now. Urgent summaries are sent in datagrams of their own without delay; others wait up to batchDelay until they fill
// a datagram.
func (g *Gossiper) batchSize(waiting *priorityCounts) int {
	urgent := min(waiting.urgent(), maxSummaries)
	urgentBytes := summariesDatagramBytes(urgent)
	if urgent > 0 && g.takeFromBucket(&g.budgets.urgent, urgentRateDivisor, urgentBurstDivisor, float64(urgentBytes)) {
		g.charge(urgentBytes)
		return urgent
	}
	size := min(len(g.spreading), maxSummaries)
	waitForMore := urgent == 0 && size < maxSummaries && g.now-g.batchSentAt < batchDelay
	if waitForMore || !g.takeTotal(float64(summariesDatagramBytes(size))) {
		return 0
	}
	g.batchSentAt = g.now
	return size
}

// nextBatch encodes a message with the summaries of the highest priorities. If not all summaries of the lowest included
// priority fit, it selects them in list order from a random position on.
func (g *Gossiper) nextBatch(waiting *priorityCounts, size int) []byte {
	lowest, lowestLeft := waiting.lowest(size)
	message := newMessage(kindSummaries)
	start := g.random.Intn(len(g.spreading))
	for i := range g.spreading {
		s := g.spreading[(i+start)%len(g.spreading)]
		priority := s.spread.priority()
		if priority < lowest || priority == lowest && lowestLeft == 0 {
			continue
		}
		if priority == lowest {
			lowestLeft--
		}
		message = appendSummary(message, s.id, s.held, g.now)
		s.spread.onTransmit()
	}
	return appendChecksum(message)
}
