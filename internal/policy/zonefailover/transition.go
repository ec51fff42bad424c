package zonefailover

// transition sets a zone's state and share and records the change. It does nothing if both stay the same.
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

// enterRecovery also discards earlier failures: they are no evidence in the recovery.
func (z *zone) enterRecovery(now float64) {
	z.evidence.failingSince = 0
	z.history.recoveryBegan = now
	z.transitions++
	z.step.counts = stepCounts{}
	z.announcement.pendingMessages = transitionAnnouncements
}
