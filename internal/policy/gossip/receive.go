package gossip

import "math"

// balancerMessageBytes is the largest message that the balancer of a build without this package sends to all.
const balancerMessageBytes = 15

// OnDatagram takes a datagram of a router of the view. False: it is none of this package, and is to be read as what
// builds without it send; its sender is taken for such a build.
func (g *Gossiper) OnDatagram(now float64, from int, datagram []byte) bool {
	g.observeTime(now)
	g.charge(len(datagram) + datagramOverhead)
	g.Counters.BytesReceived += uint64(len(datagram) + datagramOverhead)
	if from < 0 || from >= len(g.view.hashes) || from == g.settings.Self {
		return true
	}
	switch formOf(datagram) {
	case formProbe:
		g.onProbe(from)
	case formProbeAck:
		g.onSign(from)
	case formMessage:
		g.onSealedMessage(from, datagram)
	default:
		g.onForeignDatagram(from, datagram)
		return false
	}
	return true
}

// onProbe answers a probe.
func (g *Gossiper) onProbe(from int) {
	g.onSign(from)
	if !g.takeDatagram(g.peerByRouter[from]) {
		return
	}
	g.charge(datagramOverhead + 1)
	g.enqueue(from, []byte{probeAckByte})
}

// takeDatagram bounds the datagrams of one router that are read.
func (g *Gossiper) takeDatagram(p *peerState) bool {
	return p.datagramRate.take(g.now, datagramsPerSecond, 2*datagramsPerSecond, 1)
}

// onForeignDatagram takes note of a router whose balancer sends its observations to all: it was put back to a build
// without this package.
func (g *Gossiper) onForeignDatagram(from int, datagram []byte) {
	p := g.peerByRouter[from]
	fromBalancer := len(datagram)%observationBytes == 0 && len(datagram) <= balancerMessageBytes
	if p != nil && fromBalancer {
		p.aliveUntil = 0
	}
}

// onSealedMessage takes a message, unless it is damaged, old, or more than its sender may send.
func (g *Gossiper) onSealedMessage(from int, datagram []byte) {
	received, intact := parseMessage(datagram)
	if !intact {
		g.Counters.DatagramsDropped++
		return
	}
	g.onSign(from)
	if g.now < g.deafUntil {
		return
	}
	p := g.peerByRouter[from]
	if !g.takeDatagram(p) {
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
		if g.mayBeOfGroup(from) {
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

// onObservations takes observations that this router is sent as an owner, as many as count of one router.
func (g *Gossiper) onObservations(from int, p *peerState, received receivedMessage) {
	for o := range received.observations() {
		s := g.serverByID[o.server]
		if s == nil || !g.mayBeOfGroup(from) {
			continue
		}
		if !p.observationRate.take(g.now, observationsPerSecond, observationBurst, 1) {
			g.Counters.ObservationsLimited++
			continue
		}
		g.addObservation(s, o.relativeTime)
	}
}

// mayBeOfGroup reports whether a router is of this group, or may believe to be by a list with a few routers more or
// fewer before it. Its observations count here, as it sends them nowhere else, and it may pull. Summaries are taken
// from the group alone, or those of two groups would spread in both.
func (g *Gossiper) mayBeOfGroup(router int) bool {
	return router >= g.groupFrom-groupEdgeRouters && router < g.groupTo+groupEdgeRouters
}

// onSummary takes a summary, which any router of the group may pass on. An owner that receives a version of its own
// that it has not published publishes one beyond it, which takes it back.
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
