package zonefailover

// quorum returns how many of the routers heard from, including this one, have to agree on a decision:
//
//	quorum = max(minVotes, a quarter of routersHeard, rounded up)
//
// Examples: 2 of 3 routers, 2 of 8, 3 of 9, 25 of 100. In a fleet of several routers the observations of a single one
// change nothing.
func (c *Controller) quorum(routersHeard int) int {
	return max(c.minVotes(), (routersHeard+quorumDivisor-1)/quorumDivisor)
}

// minVotes returns the minimum number of routers for a decision: two, or one in a fleet of one router.
func (c *Controller) minVotes() int { return min(minFailureVotes, c.settings.RouterCount) }

// isolated reports whether this router's own network connection is failing rather than the zones: it receives messages
// from no other router, or most zones fail and it has heard from less than half of the routers since that began.
func (c *Controller) isolated(now float64) bool {
	if c.settings.RouterCount == 1 {
		return false
	}
	inUse, failing := 0, 0
	failingSince := now
	for _, z := range c.zones {
		neverUsed := z.evidence.lastAnswer == 0 && z.evidence.failingSince == 0
		if z.state.evacuated() || neverUsed {
			continue
		}
		inUse++
		if z.evidence.failingSince > 0 {
			failing++
			failingSince = min(failingSince, z.evidence.failingSince)
		}
	}
	heardRecently, heardSince := 1, 1
	for _, p := range c.peers {
		if c.heardRecently(now, p) {
			heardRecently++
		}
		if p.lastHeard > failingSince {
			heardSince++
		}
	}
	mostFail := 2*failing > inUse
	return heardRecently == 1 || mostFail && 2*heardSince < c.settings.RouterCount
}
