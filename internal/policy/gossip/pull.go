package gossip

// pullMissing asks a random router of the group for the summaries that are overdue here.
func (g *Gossiper) pullMissing() {
	if g.now-g.pulledAt < g.pullPause() || len(g.servers) == 0 {
		return
	}
	g.pulledAt = g.now
	message := newMessage(kindPull)
	start := g.random.Intn(len(g.servers))
	for i := range g.servers {
		s := g.servers[(start+i)%len(g.servers)]
		if g.now-s.held.originatedAt > pullAfter && len(message) < messageHeaderBytes+pullEntryBytes*maxSummaries {
			message = appendPulledServer(message, s.id)
		}
	}
	to := g.randomPeer()
	if to >= 0 && len(message) > messageHeaderBytes {
		g.send(to, appendChecksum(message))
	}
}

// pullPause is the time between two pulls: shorter after a start or a stall.
func (g *Gossiper) pullPause() float64 {
	started := g.now-g.startedAt < startupDuration
	resumed := g.deafUntil > 0 && g.now-g.deafUntil < startupDuration
	if started || resumed {
		return 1 / startupPullsPerSecond
	}
	return pullInterval
}

// onPull replies with those of the wanted summaries that are held and are not overdue here.
func (g *Gossiper) onPull(from int, wanted receivedMessage) {
	const maxCost = maxDatagramBytes + datagramOverhead
	if !g.takePart(&g.budgets.pullReplies, pullReplyRateDivisor, pullReplyBurstDivisor, maxCost) {
		return
	}
	reply := newMessage(kindSummaries)
	for id := range wanted.pulledServers() {
		s := g.serverByID[id]
		fits := len(reply)+summaryBytes+checksumBytes <= maxDatagramBytes
		if s != nil && fits && g.now-s.held.originatedAt < pullAfter {
			reply = appendSummary(reply, s.id, s.held, g.now)
		}
	}
	if len(reply) == messageHeaderBytes {
		return
	}
	g.charge(len(reply) + checksumBytes + datagramOverhead)
	g.send(from, appendChecksum(reply))
}
