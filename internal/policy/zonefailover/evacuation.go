package zonefailover

import "fmt"

// evacuateFailing evacuates the zones that have had enough votes against them for evacuationDelay, unless no other zone
// would serve all of its keys.
func (c *Controller) evacuateFailing(now float64) {
	failing, remaining := c.failingZones(now)
	for _, z := range failing {
		if remaining == 0 {
			if z.state == Serving {
				c.transition(now, z, Suspected, 1, reasonLastZone)
			}
			continue
		}
		votes := c.countVotes(now, z)
		if now-z.evidence.sufficientSince >= evacuationDelay {
			reason := fmt.Sprintf("%d of %d routers have had no answer there, %d have",
				votes.against, votes.routers, votes.inFavour)
			c.evacuate(now, z, reason)
		}
	}
}

// failingZones returns the zones in use with enough votes against them, sorted by name, and the number of other zones
// that serve all of their keys.
func (c *Controller) failingZones(now float64) (failing []*zone, remaining int) {
	isolated := c.isolated(now)
	for _, name := range c.names {
		z := c.find(name)
		if z.operatorOverride || z.state.evacuated() {
			continue
		}
		votes := c.countVotes(now, z)
		if isolated || !c.votesSuffice(now, z, votes) {
			z.evidence.sufficientSince = 0
			c.updateSuspicion(now, z, votes)
			if z.servers > 0 && z.share == 1 {
				remaining++
			}
			continue
		}
		if z.evidence.sufficientSince == 0 {
			z.evidence.sufficientSince = now
		}
		if z.servers > 0 {
			failing = append(failing, z)
		}
	}
	return failing, remaining
}

// votesSuffice reports whether the votes against a zone suffice to evacuate it. They have to be a quorum, or minVotes
// if the zone failed recently, and at least votesAgainstPerVoteFor times the votes for it.
func (c *Controller) votesSuffice(now float64, z *zone, votes tally) bool {
	needed := c.quorum(votes.routers)
	if z.failedRecently(now) {
		needed = c.minVotes()
	}
	return votes.against >= needed && votesAgainstPerVoteFor*votes.inFavour <= votes.against
}

// updateSuspicion moves a zone without enough votes for an evacuation between Serving and Suspected.
func (c *Controller) updateSuspicion(now float64, z *zone, votes tally) {
	switch z.state {
	case Suspected:
		if votes.against == 0 || votes.inFavour > 0 {
			c.transition(now, z, Serving, 1, reasonAnswers)
		}
	case Serving:
		if votes.against >= c.minVotes() && votes.inFavour == 0 && z.servers > 0 {
			reason := fmt.Sprintf("%d of %d routers have had no answer there", votes.against, votes.routers)
			c.transition(now, z, Suspected, 1, reason)
		}
	}
}

func (c *Controller) evacuate(now float64, z *zone, reason string) {
	if now-z.history.recoveredAt > historyRetention && z.state != Recovering {
		z.history.evacuations = 0
	}
	z.history.evacuations = min(z.history.evacuations+1, maxHoldDoublings+1)
	c.transition(now, z, Evacuated, 0, reason)
}

// followPeers adopts the decision of a quorum of peers where this router lacks evidence, for example because it has
// just started, was stalled or missed their messages.
func (c *Controller) followPeers(now float64) {
	for _, name := range c.names {
		z := c.find(name)
		if z.operatorOverride {
			continue
		}
		votes := c.countVotes(now, z)
		switch z.state {
		case Serving, Suspected:
			c.followPeersFromServing(now, z, votes)
		case Evacuated, Probing:
			c.followPeersIntoRecovery(now, z, votes)
		}
	}
}

// followPeersFromServing evacuates a zone that serves all of its keys, or begins its recovery, if most peers have done
// so. It does nothing if this router itself has had an answer there within ownAnswerWindow.
func (c *Controller) followPeersFromServing(now float64, z *zone, votes tally) {
	if now-z.evidence.lastAnswer <= ownAnswerWindow {
		return
	}
	quorum := c.quorum(votes.routers)
	servingPeers := votes.serving - 1
	mostEvacuated := votes.evacuated >= quorum && votes.evacuated > servingPeers+votes.recovering
	if mostEvacuated && c.otherZoneServes(z) {
		c.evacuate(now, z, fmt.Sprintf("%d of %d routers have left it", votes.evacuated, votes.routers))
		return
	}
	if votes.recovering >= quorum && votes.recovering > servingPeers && votes.share < 1 {
		c.transition(now, z, Recovering, votes.share, recoveringElsewhere(votes))
	}
}

// followPeersIntoRecovery begins the recovery of an evacuated zone that is already recovering at a quorum of routers.
func (c *Controller) followPeersIntoRecovery(now float64, z *zone, votes tally) {
	quorum := c.quorum(votes.routers)
	mostRecovering := votes.recovering >= quorum && votes.recovering+votes.serving >= votes.evacuated
	heldLongEnough := now > z.history.evacuatedAt+z.holdTime()/2
	if mostRecovering && heldLongEnough && c.mayRecover(z) {
		c.transition(now, z, Recovering, min(votes.share, maxFollowedShare), recoveringElsewhere(votes))
	}
}

func recoveringElsewhere(votes tally) string {
	return fmt.Sprintf("%d of %d routers let it return", votes.recovering, votes.routers)
}

// otherZoneServes reports whether another zone serves all of its keys. Evacuating the last one is not allowed: if all
// zones fail, the cause lies elsewhere.
func (c *Controller) otherZoneServes(z *zone) bool {
	for _, other := range c.zones {
		if other != z && other.servers > 0 && other.share == 1 {
			return true
		}
	}
	return false
}

// ensureOneZoneServes keeps at least one zone serving all of its keys, also when an endpoint list drops the others. If
// there is none, the recovering zone with the largest share gets all of its keys, or without a recovering zone all
// zones that were evacuated by evidence.
func (c *Controller) ensureOneZoneServes(now float64) {
	var mostRecovered *zone
	var evacuated []*zone
	for _, name := range c.names {
		z := c.find(name)
		if z.servers == 0 || z.operatorOverride {
			continue
		}
		if z.share == 1 {
			return
		}
		if z.state != Recovering {
			evacuated = append(evacuated, z)
			continue
		}
		if mostRecovered == nil || z.share > mostRecovered.share {
			mostRecovered = z
		}
	}
	if mostRecovered != nil {
		evacuated = []*zone{mostRecovered}
	}
	for _, z := range evacuated {
		c.transition(now, z, Recovering, 1, reasonNoOtherZone)
	}
}
