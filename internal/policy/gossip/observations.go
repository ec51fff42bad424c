package gossip

import "slices"

// pendingObservation is an observation of this router that has not yet been sent to all target owners.
type pendingObservation struct {
	observation
	reportedAt float64
	sentTo     [3]int // by position in targetOwners: index of the router it was sent to, plus one; 0 if not sent
}

// Report queues the balancer's observations for other routers. Each has three bytes, as in the balancer's messages: the
// low 16 bits of a server's identifier, and a relative time or refusalByte.
func (g *Gossiper) Report(now float64, observations []byte) {
	g.observeTime(now)
	for ; len(observations) >= observationBytes; observations = observations[observationBytes:] {
		allowed := g.reportRate.take(now, observationsPerSecond, observationBurst, 1)
		if !allowed || len(g.unsentObservations) >= observationBurst {
			g.Counters.ObservationsUnsent++
			continue
		}
		pending := pendingObservation{observation: parseObservation(observations), reportedAt: now}
		g.unsentObservations = append(g.unsentObservations, pending)
	}
}

// sendObservations sends this router's observations to the servers' owners. If an owner has not shown that it supports
// the protocol, it is probed and the observation waits up to probeTimeout for its acknowledgement.
func (g *Gossiper) sendObservations() {
	waiting := g.unsentObservations[:0]
	for _, pending := range g.unsentObservations {
		s := g.serverByID[pending.server]
		if s == nil {
			continue
		}
		g.sendToOwners(s, &pending)
		if !pending.complete() && g.now-pending.reportedAt < probeTimeout {
			waiting = append(waiting, pending)
		}
	}
	g.unsentObservations = waiting
}

// complete reports whether the observation was sent to all owners that need it: the first one, and for a refusal also
// the second.
func (p *pendingObservation) complete() bool {
	if p.sentTo[0] == 0 {
		return false
	}
	return p.sentTo[1] != 0 || !p.refusal()
}

// sendToOwners sends an observation to those target owners that it has not been sent to. Only a refusal is sent to the
// second owner directly; other observations reach it in the group sum of the first.
func (g *Gossiper) sendToOwners(s *serverState, pending *pendingObservation) {
	for i, owner := range g.targetOwners(s) {
		if pending.sentTo[i] == owner+1 {
			continue
		}
		if i == 1 && !pending.refusal() {
			continue
		}
		switch {
		case owner == g.settings.Self:
			g.addObservation(s, pending.relativeTime)
		case g.supportsProtocol(owner):
			g.send(owner, newObservationMessage(pending.observation))
		default:
			if g.now-g.peer(owner).probedAt > probeRetryInterval {
				g.probe(owner)
			}
			continue
		}
		pending.sentTo[i] = owner + 1
	}
}

// targetOwners returns the owners that observations of a server are sent to: the first two from its base rank on that
// are not unresponsive. The first responsive owner of all is added if it is not among them, so that a recovered owner
// receives observations again.
func (g *Gossiper) targetOwners(s *serverState) []int {
	all := g.view.ownersOf(g.group, s.id)
	targets := make([]int, 0, 3)
	for i := range all {
		owner := int(all[(i+s.baseRank)%ownersPerGroup])
		if owner >= 0 && len(targets) < 2 && !g.unresponsive(owner) {
			targets = append(targets, owner)
		}
	}
	for _, candidate := range all {
		owner := int(candidate)
		if owner < 0 || g.unresponsive(owner) {
			continue
		}
		if !slices.Contains(targets, owner) {
			targets = append(targets, owner)
		}
		break
	}
	return targets
}

// replaceSilentOwners switches to the next two owners of a server if the owners that observations are sent to have
// published no summary for longer than summaryLifetime.
func (g *Gossiper) replaceSilentOwners(s *serverState) {
	starting := g.now-g.startedAt < startupDuration+summaryLifetime
	if !s.held.expired(g.now) || starting {
		s.missingSince = g.now - summaryLifetime/2
		return
	}
	if g.now-s.missingSince > summaryLifetime {
		s.baseRank = (s.baseRank + 2) % ownersPerGroup
		s.missingSince = g.now
	}
}
