package zonefailover

// transition moves a zone to a state and a share of its keys, and notes the change. Without a difference it does
// nothing.
func (c *Controller) transition(now float64, z *zone, to State, share float64, reason string) {
	from := z.state
	if to == from && share == z.share {
		return
	}
	c.changes = append(c.changes, Change{z.name, from, to, share, reason})
	if to != from {
		z.since = now
	}
	switch {
	case to == Evacuated && from != Probing:
		z.enterEvacuation(now)
	case to == Recovering && from != Recovering:
		z.enterRecovery(now)
	case to == Recovering:
		z.announcement.pendingMessages = max(z.announcement.pendingMessages, 1)
	case to == Serving && from == Recovering:
		z.history.recoveredAt = now
	}
	z.state = to
	z.share = share
	z.reason = reason
	z.beginStep(now)
}

func (z *zone) enterEvacuation(now float64) {
	z.history.evacuatedAt = now
	z.evidence.sufficientSince = 0
	z.transitions++
	z.announcement.pendingMessages = transitionAnnouncements
}

// enterRecovery also forgets what failed before: it does not count in the recovery.
func (z *zone) enterRecovery(now float64) {
	z.evidence.failingSince = 0
	z.history.recoveryBegan = now
	z.transitions++
	z.step.counts = stepCounts{}
	z.announcement.pendingMessages = transitionAnnouncements
}
