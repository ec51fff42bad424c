package requestcore

import "bendtrestle/balancer"

// The methods in this file implement balancer.Host. The balancer calls them on the event loop's goroutine.
var _ balancer.Host = (*Core)(nil)

// StartAttempt sends an open request to a server, with the time limits of Upstream.StartAttempt.
func (c *Core) StartAttempt(id, server uint64, timeout, sendWithin float64) {
	r := c.requests[id]
	a := &attempt{request: r, number: len(r.attempts), startedAt: c.deps.Clock.Now()}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	// After a panic the balancer may start an attempt for a request that is answered already: nothing is sent for it. Nor
	// is a retry sent for a client that has disconnected meanwhile. The first attempt needs no check, because it starts as
	// soon as the request is read, which shows that the client is connected.
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

// CancelAttempt cancels an attempt that has not ended.
func (c *Core) CancelAttempt(id uint64, number int) {
	r := c.requests[id]
	if r != nil && number < len(r.attempts) && r.attempts[number].pending != nil {
		r.attempts[number].pending.Cancel()
	}
}

// Reject rejects a request that was not executed. It has no effect if the request is answered already.
func (c *Core) Reject(id uint64, retryAfter float64, balancerReason balancer.RejectReason) {
	r := c.requests[id]
	if r == nil || r.client == nil {
		return
	}
	reason := rejectReasons[balancerReason]
	c.Counts.Rejected++
	c.Counts.Reasons[reason]++
	r.detachClient().Rejected(retryAfter)
	r.reportEnd(Rejected, reason)
	r.removeIfDone()
}

// Fail fails a request whose outcome is unknown: it may have been executed. It has no effect if the request is answered
// already.
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

// Gossip sends a gossip message to the peer routers.
func (c *Core) Gossip(message []byte) { c.deps.Gossip(message) }

// Probe checks the health of a server and passes the outcome to the balancer.
func (c *Core) Probe(server uint64) {
	c.deps.Upstream.Probe(server, func(outcome balancer.Outcome) {
		c.callBalancer(nil, func() { c.balancer.OnProbeResult(c.deps.Clock.Now(), server, outcome) })
	})
}

// SetTimer calls the balancer's OnTimer with the name after a delay in seconds.
func (c *Core) SetTimer(delay float64, name string) {
	c.deps.Clock.After(delay, func() {
		c.callBalancer(nil, func() { c.balancer.OnTimer(c.deps.Clock.Now(), name) })
	})
}

// WatchEndpoints starts or stops watching the endpoint list for changes.
func (c *Core) WatchEndpoints(on bool) { c.deps.WatchEndpoints(on) }
