package gossip

// peerState is the state kept for another router of the view.
type peerState struct {
	supportedUntil  float64 // time until which the router is assumed to support the protocol
	unansweredSince float64 // time of the first unanswered probe; 0 if not probed or answered
	probedAt        float64 // time of the last probe
	responsive      bool    // whether the router is in Gossiper.responsive
	observationRate tokenBucket
	datagramRate    tokenBucket
}

// probeSchedule determines when the next router of the group is probed, and which one.
type probeSchedule struct {
	dueAt float64 // when the last probe was due
	next  int     // number of probes that were due since the view was set
}

// peer returns the state of a router, which it creates if there is none.
func (g *Gossiper) peer(router int) *peerState {
	p := g.peerByRouter[router]
	if p == nil {
		p = &peerState{
			observationRate: tokenBucket{tokens: observationBurst, updatedAt: g.now},
			datagramRate:    tokenBucket{tokens: 2 * datagramsPerSecond, updatedAt: g.now},
		}
		g.peerByRouter[router] = p
	}
	return p
}

// supportsProtocol reports whether a router has shown within peerLifetime that it supports the protocol.
func (g *Gossiper) supportsProtocol(router int) bool {
	if router == g.settings.Self {
		return true
	}
	p := g.peerByRouter[router]
	return p != nil && g.now < p.supportedUntil
}

// unresponsive reports whether a router was probed and has not answered within probeTimeout, because it runs an older
// build or is down. A router that was never probed does not count as unresponsive: if such routers were skipped, too
// many others would have to act as owners.
func (g *Gossiper) unresponsive(router int) bool {
	if g.supportsProtocol(router) {
		return false
	}
	p := g.peerByRouter[router]
	return p != nil && p.unansweredSince > 0 && g.now-p.unansweredSince > probeTimeout
}

// markSupported records that a datagram has shown that a router supports the protocol.
func (g *Gossiper) markSupported(from int) {
	p := g.peer(from)
	p.supportedUntil = g.now + peerLifetime
	p.unansweredSince = 0
	inGroup := from >= g.groupFrom && from < g.groupTo
	if !p.responsive && inGroup {
		p.responsive = true
		g.responsive = append(g.responsive, from)
	}
}

// recordProbe records that a router is probed.
func (g *Gossiper) recordProbe(router int) {
	p := g.peer(router)
	p.probedAt = g.now
	if !g.supportsProtocol(router) && p.unansweredSince == 0 {
		p.unansweredSince = g.now
	}
}

// probe sends a probe to a router, to find out whether it supports the protocol.
func (g *Gossiper) probe(router int) {
	g.recordProbe(router)
	g.charge(datagramOverhead + 1)
	g.enqueue(router, []byte{probeByte})
}

// send sends a message to a router. If the router has not shown that it supports the protocol, send probes it instead
// and returns false, because a build without the protocol would misread the message.
func (g *Gossiper) send(to int, message []byte) bool {
	if !g.supportsProtocol(to) {
		g.probe(to)
		return false
	}
	prepaid := message[1] == kindSummaries
	if !prepaid {
		g.charge(len(message) + datagramOverhead)
	}
	g.enqueue(to, message)
	return true
}

// enqueue adds a datagram to those that the next tick returns.
func (g *Gossiper) enqueue(to int, bytes []byte) {
	g.Counters.DatagramsSent++
	g.Counters.BytesSent += uint64(len(bytes) + datagramOverhead)
	g.outgoing = append(g.outgoing, Datagram{To: to, Bytes: bytes})
}

// randomPeer returns a random router of the group that supports the protocol, or -1 if there is none.
func (g *Gossiper) randomPeer() int {
	for len(g.responsive) > 0 {
		i := g.random.Intn(len(g.responsive))
		router := g.responsive[i]
		if g.supportsProtocol(router) {
			return router
		}
		last := len(g.responsive) - 1
		g.responsive[i] = g.responsive[last]
		g.responsive = g.responsive[:last]
		g.peerByRouter[router].responsive = false
	}
	return -1
}

// probeGroup probes the routers of the group in turn, so that each router learns which others support the protocol. In
// later rounds a router that supports it is sent an acknowledgement instead, which renews its record of this router
// and requires no answer.
func (g *Gossiper) probeGroup() {
	routers := g.groupTo - g.groupFrom
	rate := float64(routers) / probeRound
	if g.probes.next < routers {
		rate = startupProbesPerSecond
	}
	for ; g.probes.dueAt+1/rate <= g.now; g.probes.dueAt += 1 / rate {
		g.probes.dueAt = max(g.probes.dueAt, g.now-maxProbeBacklog)
		router := g.groupFrom + (g.settings.Self-g.groupFrom+g.probes.next+1)%routers
		g.probes.next++
		if router == g.settings.Self {
			continue
		}
		firstRound := g.probes.next <= routers
		if firstRound || !g.supportsProtocol(router) {
			g.probe(router)
			continue
		}
		g.charge(datagramOverhead + 1)
		g.enqueue(router, []byte{probeAckByte})
	}
}
