package zonefailover

// SetOperatorOverride evacuates a zone at this router until the override is taken back, which begins its recovery. A
// zone that is not known yet is evacuated once it is. It returns false, and does nothing, where no zone would remain
// that serves all of its keys.
func (c *Controller) SetOperatorOverride(now float64, name string, evacuate bool) bool {
	z := c.findOrAdd(name)
	if z == nil {
		return false
	}
	if z.operatorOverride == evacuate {
		return true
	}
	if evacuate && z.servers > 0 && !c.otherZoneServes(z) {
		return false
	}
	z.operatorOverride = evacuate
	if evacuate {
		c.transition(now, z, Evacuated, 0, reasonOperator)
	} else {
		c.transition(now, z, Recovering, firstRecoveryShare, reasonOperator)
	}
	return true
}

// StartRecovery begins the recovery of a zone that was evacuated by evidence, without its hold time; false if it is
// not evacuated, or by an operator.
func (c *Controller) StartRecovery(now float64, name string) bool {
	z := c.find(name)
	if z == nil || z.operatorOverride || !z.state.evacuated() {
		return false
	}
	c.transition(now, z, Recovering, firstRecoveryShare, reasonOperator)
	return true
}
