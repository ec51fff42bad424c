package gossip

import "math"

// balancerMessageBytes is the size of the largest message that the balancer broadcasts in a build without this package.
const balancerMessageBytes = 15

// OnDatagram handles a datagram from a router of the view. It returns false if the datagram does not belong to this
// package; the caller should then handle it as a message of a build without gossip. If it has the form of such a
// build's observations, its sender counts as not supporting the protocol.
func (g *Gossiper) OnDatagram(now float64, from int, datagram []byte) bool {
	g.observeTime(now)
	g.charge(len(datagram) + datagramOverhead)
	g.Counters.BytesReceived += uint64(len(datagram) + datagramOverhead)
	if from < 0 || from >= len(g.view.hashes) || from == g.settings.Self {
		return true
	}
	switch datagramTypeOf(datagram) {
	case probeDatagram:
		g.onProbe(from)
	case probeAckDatagram:
		g.markSupported(from)
	case messageDatagram:
		g.onEncodedMessage(from, datagram)
	default:
		g.onForeignDatagram(from, datagram)
		return false
	}
	return true
}

// onProbe answers a probe.
func (g *Gossiper) onProbe(from int) {
	g.markSupported(from)
	if !g.allowDatagram(g.peerByRouter[from]) {
		return
	}
	g.charge(datagramOverhead + 1)
	g.enqueue(from, []byte{probeAckByte})
}

// allowDatagram reports whether the rate limit allows another datagram of a router to be read.
func (g *Gossiper) allowDatagram(p *peerState) bool {
	return p.datagramRate.take(g.now, datagramsPerSecond, 2*datagramsPerSecond, 1)
}

// onForeignDatagram detects a router whose balancer broadcasts its observations: it was downgraded to a build without
// this package and no longer supports the protocol.
func (g *Gossiper) onForeignDatagram(from int, datagram []byte) {
	p := g.peerByRouter[from]
	fromBalancer := len(datagram)%observationBytes == 0 && len(datagram) <= balancerMessageBytes
	if p != nil && fromBalancer {
		p.supportedUntil = 0
	}
}

// onEncodedMessage decodes and handles a message. It drops messages that are damaged, arrive shortly after a stall, or
// exceed the rate limit of their sender.
func (g *Gossiper) onEncodedMessage(from int, datagram []byte) {
	received, intact := parseMessage(datagram)
	if !intact {
		g.Counters.DatagramsDropped++
		return
	}
	g.markSupported(from)
	if g.now < g.ignoreMessagesUntil {
		return
	}
	p := g.peerByRouter[from]
	if !g.allowDatagram(p) {
		g.Counters.DatagramsDropped++
		return
	}
	g.onMessage(from, p, received)
}

func (g *Gossiper) onMessage(from int, p *peerState, received receivedMessage) {
	switch received.kind {
	case kindObservations:
		g.onObservations(from, p, received)
	case kindPull:
		if g.mayBelongToGroup(from) {
			g.onPull(from, received)
		}
	case kindGroupSums:
		for id, sum := range received.summaries(g.now) {
			g.onGroupSum(from, id, sum)
		}
	case kindSummaries:
		if g.view.groupOf(from) != g.group {
			return
		}
		for id, total := range received.summaries(g.now) {
			g.onSummary(id, total)
		}
	}
}

// onObservations adds the observations that another router sends to this one as an owner, up to the sender's rate
// limit.
func (g *Gossiper) onObservations(from int, p *peerState, received receivedMessage) {
	for o := range received.observations() {
		s := g.serverByID[o.server]
		if s == nil || !g.mayBelongToGroup(from) {
			continue
		}
		if !p.observationRate.take(g.now, observationsPerSecond, observationBurst, 1) {
			g.Counters.ObservationsLimited++
			continue
		}
		g.addObservation(s, o.relativeTime)
	}
}

// mayBelongToGroup reports whether a router is in this group, or may assign itself to it because its list has a few
// routers more or fewer before it. Such a router's observations are accepted, as it sends them to no other group, and
// it may pull. Summaries are accepted only from the group itself; otherwise those of two groups would spread in both.
func (g *Gossiper) mayBelongToGroup(router int) bool {
	return router >= g.groupFrom-groupEdgeRouters && router < g.groupTo+groupEdgeRouters
}

// onSummary handles a summary, which any router of the group may forward. An owner that receives a later version of its
// own summary than it has published publishes a version beyond that one, which replaces it everywhere.
func (g *Gossiper) onSummary(id uint16, total summary) {
	s := g.serverByID[id]
	if s == nil || g.now-total.originatedAt > summaryLifetime {
		return
	}
	if int(g.view.ownersOf(g.group, id)[total.rank]) == g.settings.Self {
		ahead := int8(total.version - s.owner.version)
		if total.incarnation == g.ownIncarnation() && ahead > 0 {
			s.owner.version = total.version
			s.owner.publishedAt = math.Inf(-1)
			ahead = 0
		}
		if ahead != 0 {
			return
		}
	}
	g.accept(s, total)
}
