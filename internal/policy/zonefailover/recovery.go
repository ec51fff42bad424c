package zonefailover

import "fmt"

// mayRecover reports whether a zone may begin its recovery now. In a region one zone recovers at a time, because the
// loads of simultaneous recoveries add up at the origin and the neighbouring zones.
func (c *Controller) mayRecover(z *zone) bool {
	for _, name := range c.regions[z.name] {
		other := c.find(name)
		if other != nil && other != z && other.state == Recovering {
			return false
		}
	}
	return true
}

// stepTime returns how long a recovering zone stays at a share before it is doubled, in seconds.
func (c *Controller) stepTime() float64 {
	return min(max(c.settings.WarmupSeconds/stepsPerWarmup, minStepTime), maxStepTime)
}

// stepResult is the result of the current step of a recovery across all routers.
type stepResult struct {
	counts   stepCounts
	routers  int // routers with a degraded attempt
	degraded bool
}

// fleetStep sums up this router's current step and the last steps reported by peers, because each router alone has few
// attempts in the zone.
func (c *Controller) fleetStep(now float64, z *zone) stepResult {
	own := z.step.counts
	sum := stepResult{counts: own}
	if own.degraded > 0 {
		sum.routers++
	}
	for _, p := range c.peers {
		r, reported := p.reports[z.hash]
		if !reported || r.state != Recovering || p.isolated || !c.heardRecently(now, p) {
			continue
		}
		sum.counts.answered += r.lastStep.answered
		sum.counts.degraded += r.lastStep.degraded
		if r.lastStep.degraded > 0 {
			sum.routers++
		}
	}
	enoughRouters := sum.routers >= c.minVotes() || own.isDegraded()
	sum.degraded = sum.counts.isDegraded() && enoughRouters
	return sum
}

// advanceRecovery updates the share of a recovering zone at the end of each step.
func (c *Controller) advanceRecovery(now float64, z *zone) {
	step := c.fleetStep(now, z)
	stepTime := c.stepTime()
	if step.degraded {
		stepTime /= 2
	}
	if now-z.step.began < stepTime {
		return
	}
	share, reason := c.nextShare(z, c.countVotes(now, z).share, step)
	switch {
	case share == 1 && z.share == 1:
		c.transition(now, z, Serving, 1, reasonRecovered)
	case share == z.share:
		z.beginStep(now)
	default:
		c.transition(now, z, Recovering, share, reason)
	}
}

// nextShare returns the share of a recovering zone's next step: doubled as long as its attempts are answered in time,
// halved after a degraded step, and kept close to the fleet's share (tally.share).
func (c *Controller) nextShare(z *zone, fleetShare float64, step stepResult) (share float64, reason string) {
	doubled := min(2*z.share, max(2*fleetShare, z.share))
	switch {
	case step.degraded:
		share = max(z.share/2, minShare)
		reason = fmt.Sprintf("%d executions there were late, turned away or without an answer, and %d were answered",
			step.counts.degraded, step.counts.answered)
	case fleetShare < z.share/2:
		share, reason = z.share, reasonHeldBack
	case fleetShare > z.share && c.settings.RouterCount > 1:
		share, reason = max(doubled, fleetShare), reasonOthersAhead
	default:
		share, reason = doubled, reasonInTime
	}
	return min(share, 1), reason
}
