package zonefailover

// quorum is how many of the routers heard of, this one among them, have to say something for it to count:
//
//	quorum = max(minVotes, a quarter of routersHeard, rounded up)
//
// Example: 2 of 3 routers, 2 of 8, 3 of 9, 25 of 100. What one router of several sees alone changes
// nothing.
func (c *Controller) quorum(routersHeard int) int {
	return max(c.minVotes(), (routersHeard+quorumDivisor-1)/quorumDivisor)
}

// minVotes is the least number of routers that a verdict needs: two, or one where there is only one.
func (c *Controller) minVotes() int { return min(minFailureVotes, c.settings.RouterCount) }

// isolated reports whether this router's connection fails rather than the zones: it hears no other router, or most
// zones fail and less than half of the routers were heard since that began.
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
	heardLately, heardSince := 1, 1
	for _, p := range c.peers {
		if c.heardRecently(now, p) {
			heardLately++
		}
		if p.lastHeard > failingSince {
			heardSince++
		}
	}
	mostFail := 2*failing > inUse
	return heardLately == 1 || mostFail && 2*heardSince < c.settings.RouterCount
}
