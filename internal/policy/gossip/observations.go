package gossip

import "slices"

// pendingObservation is an observation of this router that not all owners have been sent.
type pendingObservation struct {
	observation
	reportedAt float64
	sentTo     [3]int // by the owner's place in targetOwners: the router that was sent it, plus one; 0: none
}

// Report handles the observations that the balancer has for other routers, three bytes each: the low 16 bits of a
// server's identifier, and a relative time or refusalByte, as the balancer's messages have it.
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

// sendObservations sends this router's observations to the servers' owners. An owner that has given no sign is
// probed, and the observation waits for its answer.
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

// complete reports whether the owners that have to know it were sent the observation.
func (p *pendingObservation) complete() bool {
	if p.sentTo[0] == 0 {
		return false
	}
	return p.sentTo[1] != 0 || !p.refusal()
}

// sendToOwners sends an observation to those owners that have not been sent it. The second owner receives the group
// sum of the first; only a refusal is sent to it directly.
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
		case g.understands(owner):
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

// targetOwners returns the owners that observations of a server are sent to: two from its base rank on that are not
// unresponsive; where the first of these is not the first of all, also that one, which so learns of the server once
// it is back.
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

// replaceSilentOwners turns to the next two owners of a server once no summary comes from those that observations are
// sent to.
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
