package gossip

// peerState is what is known of a router of the view.
type peerState struct {
	aliveUntil      float64 // it is taken to understand the protocol until then
	probedSince     float64 // since when it has given no sign; 0: it was not probed, or it has answered
	probedAt        float64 // when it was last probed
	responsive      bool    // it is in Gossiper.responsive
	observationRate tokenBucket
	datagramRate    tokenBucket
}

// probeSchedule says which router of the group is probed next.
type probeSchedule struct {
	at   float64 // when the last one was due
	next int     // how many were due since the view was set
}

// peer returns what is known of a router, from now on.
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

// understands reports whether a router has shown lately that it understands the protocol.
func (g *Gossiper) understands(router int) bool {
	if router == g.settings.Self {
		return true
	}
	p := g.peerByRouter[router]
	return p != nil && g.now < p.aliveUntil
}

// unresponsive reports whether a router was probed and gave no sign: it is of an older build, or down. Of one that
// was never probed nothing is known, and passing over it would make too many routers owners.
func (g *Gossiper) unresponsive(router int) bool {
	if g.understands(router) {
		return false
	}
	p := g.peerByRouter[router]
	return p != nil && p.probedSince > 0 && g.now-p.probedSince > probeTimeout
}

// onSign takes a sign that a router understands the protocol.
func (g *Gossiper) onSign(from int) {
	p := g.peer(from)
	p.aliveUntil = g.now + peerLifetime
	p.probedSince = 0
	inGroup := from >= g.groupFrom && from < g.groupTo
	if !p.responsive && inGroup {
		p.responsive = true
		g.responsive = append(g.responsive, from)
	}
}

// noteProbe notes that a router is probed.
func (g *Gossiper) noteProbe(router int) {
	p := g.peer(router)
	p.probedAt = g.now
	if !g.understands(router) && p.probedSince == 0 {
		p.probedSince = g.now
	}
}

// probe asks a router whether it understands the protocol.
func (g *Gossiper) probe(router int) {
	g.noteProbe(router)
	g.charge(datagramOverhead + 1)
	g.enqueue(router, []byte{probeByte})
}

// send sends a message, or probes a router that has given no sign: a build that does not know the protocol would take
// the message for something else. False: it was probed.
func (g *Gossiper) send(to int, message []byte) bool {
	if !g.understands(to) {
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

// enqueue adds a datagram to what the next tick gives out.
func (g *Gossiper) enqueue(to int, bytes []byte) {
	g.Counters.DatagramsSent++
	g.Counters.BytesSent += uint64(len(bytes) + datagramOverhead)
	g.outgoing = append(g.outgoing, Datagram{To: to, Bytes: bytes})
}

// randomPeer returns a random router of the group that understands the protocol; -1: there is none.
func (g *Gossiper) randomPeer() int {
	for len(g.responsive) > 0 {
		i := g.random.Intn(len(g.responsive))
		router := g.responsive[i]
		if g.understands(router) {
			return router
		}
		last := len(g.responsive) - 1
		g.responsive[i] = g.responsive[last]
		g.responsive = g.responsive[:last]
		g.peerByRouter[router].responsive = false
	}
	return -1
}

// probeGroup sends probes to the routers of the group in turn, so that each learns which others understand the
// protocol. In later rounds those that are known to are sent an acknowledgement, which renews what they know of this
// router and asks for no answer.
func (g *Gossiper) probeGroup() {
	routers := g.groupTo - g.groupFrom
	rate := float64(routers) / probeRound
	if g.probes.next < routers {
		rate = startupProbesPerSecond
	}
	for ; g.probes.at+1/rate <= g.now; g.probes.at += 1 / rate {
		g.probes.at = max(g.probes.at, g.now-maxProbeBacklog)
		router := g.groupFrom + (g.settings.Self-g.groupFrom+g.probes.next+1)%routers
		g.probes.next++
		if router == g.settings.Self {
			continue
		}
		firstRound := g.probes.next <= routers
		if firstRound || !g.understands(router) {
			g.probe(router)
			continue
		}
		g.charge(datagramOverhead + 1)
		g.enqueue(router, []byte{probeAckByte})
	}
}
