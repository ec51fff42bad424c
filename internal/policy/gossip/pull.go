package gossip

// pullMissing sends a pull for the summaries that are overdue here to a random router of the group.
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

// pullPause returns the seconds between two pulls, which are fewer after a start or a stall.
func (g *Gossiper) pullPause() float64 {
	started := g.now-g.startedAt < startupDuration
	resumed := g.ignoreMessagesUntil > 0 && g.now-g.ignoreMessagesUntil < startupDuration
	if started || resumed {
		return 1 / startupPullsPerSecond
	}
	return pullInterval
}

// onPull replies with those of the wanted summaries that are held here and are not overdue.
func (g *Gossiper) onPull(from int, wanted receivedMessage) {
	const maxCost = maxDatagramBytes + datagramOverhead
	if !g.takeFromBucket(&g.budgets.pullReplies, pullReplyRateDivisor, pullReplyBurstDivisor, maxCost) {
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
