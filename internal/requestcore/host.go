package requestcore

import "bendtrestle/balancer"

// The methods of this file are balancer.Host: the balancer calls them, on the loop's goroutine.
var _ balancer.Host = (*Core)(nil)

// StartAttempt sends an open request to a server, with the limits that Upstream.StartAttempt has.
func (c *Core) StartAttempt(id, server uint64, timeout, sendWithin float64) {
	r := c.requests[id]
	a := &attempt{request: r, number: len(r.attempts), startedAt: c.deps.Clock.Now()}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	// After a panic of the balancer nothing is sent for what was answered, nor a retry for a client that has disconnected
	// meanwhile. The first attempt starts as the request is read, which shows that the client is there.
	if r.client == nil || a.number > 0 && r.client.Disconnected() {
		c.deps.Clock.After(0, func() { a.OnAttemptEnd(balancer.NotAttempted, Result{}) })
		return
	}
	c.Counts.Attempts++
	a.zone = c.zones[server]
	if c.deps.ZoneObserver != nil && a.zone != "" {
		a.zoneToken = c.deps.ZoneObserver.AttemptStarted(a.zone, c.objectives[r.Class])
	}
	a.pending = c.deps.Upstream.StartAttempt(server, r.Request, timeout, sendWithin, a)
}

// CancelAttempt gives up an attempt that has not ended.
func (c *Core) CancelAttempt(id uint64, number int) {
	r := c.requests[id]
	if r != nil && number < len(r.attempts) && r.attempts[number].pending != nil {
		r.attempts[number].pending.Cancel()
	}
}

// Reject answers a request that was not executed; it has no effect on one that was answered.
func (c *Core) Reject(id uint64, retryAfter float64, why balancer.RejectReason) {
	r := c.requests[id]
	if r == nil || r.client == nil {
		return
	}
	reason := rejectReasons[why]
	c.Counts.Rejected++
	c.Counts.Reasons[reason]++
	r.detachClient().Rejected(retryAfter)
	r.reportEnd(Rejected, reason)
	r.removeIfDone()
}

// Fail answers a request of which nobody knows whether it was executed; it has no effect on one that was answered.
func (c *Core) Fail(id uint64) {
	r := c.requests[id]
	if r == nil || r.client == nil {
		return
	}
	c.Counts.Failed++
	r.detachClient().Failed()
	r.reportEnd(Failed, NoReason)
	r.removeIfDone()
}

// Gossip sends a message to peers.
func (c *Core) Gossip(message []byte) { c.deps.Gossip(message) }

// Probe checks the health of a server; the balancer gets the outcome.
func (c *Core) Probe(server uint64) {
	c.deps.Upstream.Probe(server, func(outcome balancer.Outcome) {
		c.callBalancer(nil, func() { c.balancer.OnProbeResult(c.deps.Clock.Now(), server, outcome) })
	})
}

// SetTimer calls the balancer's OnTimer after so many seconds.
func (c *Core) SetTimer(delay float64, name string) {
	c.deps.Clock.After(delay, func() {
		c.callBalancer(nil, func() { c.balancer.OnTimer(c.deps.Clock.Now(), name) })
	})
}

// WatchEndpoints asks for changes of the endpoint list, or no longer.
func (c *Core) WatchEndpoints(on bool) { c.deps.WatchEndpoints(on) }
