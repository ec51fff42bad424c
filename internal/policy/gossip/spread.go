package gossip

import "slices"

// spreadState says how often a router still passes the held summary of a server on.
type spreadState struct {
	left       int  // transmissions
	urgentLeft int  // those of them that are due at once
	queued     bool // the server is in Gossiper.spreading
}

// numPriorities is one more than the highest priority of a summary.
const numPriorities = 2 * (urgentTransmits + 1)

// firstUrgentPriority is the least priority of summaries that are due at once.
const firstUrgentPriority = urgentTransmits + 1

// begin counts the transmissions of a summary that was just accepted.
func (p *spreadState) begin(held *summary, now float64) {
	p.left = summaryTransmits
	p.urgentLeft = 0
	switch {
	case held.urgent:
		p.left = urgentTransmits
		p.urgentLeft = urgentTransmits
	case held.originatedAt == now: // published by this router
		p.left = ownerTransmits
		p.urgentLeft = ownerTransmits
	case now-held.originatedAt <= freshAge:
		p.urgentLeft = freshTransmits
	}
}

// onDuplicate takes note that another router has the version: feedback that makes the spread end.
func (p *spreadState) onDuplicate(urgent bool) {
	if p.left > 0 && !urgent {
		p.left--
	}
}

// onTransmit counts a transmission.
func (p *spreadState) onTransmit() {
	p.left--
	p.urgentLeft = max(0, p.urgentLeft-1)
}

// stop ends the spread.
func (p *spreadState) stop() { *p = spreadState{} }

// priority says which summaries are passed on first: those due at once, then those that were passed on least.
func (p *spreadState) priority() int {
	if p.urgentLeft > 0 {
		return firstUrgentPriority + min(p.urgentLeft, urgentTransmits)
	}
	return min(p.left, urgentTransmits)
}

// priorityCounts is how many summaries of each priority wait.
type priorityCounts [numPriorities]int

func (c *priorityCounts) urgent() (n int) {
	for _, count := range c[firstUrgentPriority:] {
		n += count
	}
	return n
}

// lowest returns the lowest priority among the n summaries with the highest ones, and how many of that priority are
// among them.
func (c *priorityCounts) lowest(n int) (priority, count int) {
	priority = len(c) - 1
	sum := c[priority]
	for sum < n {
		priority--
		sum += c[priority]
	}
	return priority, n - (sum - c[priority])
}

// spreadSummaries passes summaries on to random routers of the group, datagram by datagram, as far as the budget
// goes.
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
			s.spread.queued = s.spread.left > 0
			return !s.spread.queued
		})
	}
}

// dropExpiredSpreads ends the spread of summaries that no longer count.
func (g *Gossiper) dropExpiredSpreads() {
	g.spreading = slices.DeleteFunc(g.spreading, func(s *serverState) bool {
		if s.spread.left <= 0 || s.held.expired(g.now) {
			s.spread.stop()
		}
		return s.spread.left <= 0
	})
}

// batchSize says how many summaries go into the next datagram, and takes its cost from the budget; 0: none is sent
// now. Urgent ones go by themselves, at once; others wait for a while until they fill a datagram.
func (g *Gossiper) batchSize(waiting *priorityCounts) int {
	urgent := min(waiting.urgent(), maxSummaries)
	urgentBytes := summariesDatagramBytes(urgent)
	if urgent > 0 && g.takePart(&g.budgets.urgent, urgentRateDivisor, urgentBurstDivisor, float64(urgentBytes)) {
		g.charge(urgentBytes)
		return urgent
	}
	size := min(len(g.spreading), maxSummaries)
	mayWait := urgent == 0 && size < maxSummaries && g.now-g.batchSentAt < batchDelay
	if mayWait || !g.takeTotal(float64(summariesDatagramBytes(size))) {
		return 0
	}
	g.batchSentAt = g.now
	return size
}

// nextBatch makes a message of the summaries with the highest priorities; among those with the lowest of these, by
// turns from a random one on.
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
