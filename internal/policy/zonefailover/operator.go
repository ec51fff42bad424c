package zonefailover

// SetOperatorOverride evacuates a zone at this router until the override is removed, which begins the zone's recovery.
// A zone that no endpoint list contains yet is evacuated from the start when a list adds it. SetOperatorOverride
// returns false and does nothing if the zone can't be tracked, or if no other zone would serve all of its keys.
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

// StartRecovery begins the recovery of a zone that was evacuated by evidence, without waiting for its hold time. It
// returns false if the zone is not evacuated, or is evacuated by an operator.
func (c *Controller) StartRecovery(now float64, name string) bool {
	z := c.find(name)
	if z == nil || z.operatorOverride || !z.state.evacuated() {
		return false
	}
	c.transition(now, z, Recovering, firstRecoveryShare, reasonOperator)
	return true
}
