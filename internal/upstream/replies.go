package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// Input is called when more bytes have come: it decodes replies until the bytes give no further one.
func (c *connection) Input() {
	in := c.socket.In
	for in.Len() > 0 {
		before := in.Len()
		_, err := c.codec.Decode(in)
		if err != nil {
			c.OnUnexpectedReply(err.Error())
			return
		}
		if in.Len() == before {
			break // a body whose taker has no room now
		}
		if !c.isOpen() {
			return // a reply ended it
		}
	}
	c.setReplyTimer()
}

// setReplyTimer sets by when a reply that has begun must go on.
func (c *connection) setReplyTimer() {
	switch {
	case c.body != nil:
		c.setTimer(bodyStallSeconds)
	case c.codec.ReplyBegun():
		c.setTimer(c.pool.pools.limits.StallTimeout)
	default:
		c.timer.Stop()
	}
}

// setTimer lets the timer end so many seconds from now.
func (c *connection) setTimer(seconds float64) {
	c.timer.Set(c.pool.pools.loop.Now() + seconds)
}

// onStallTimeout takes that a reply does not go on: one that announces more bytes than it has would be waited for
// until the deadline. What its taker has no room for, and what the loop has not come to read, is no stall.
func (c *connection) onStallTimeout() {
	switch {
	case c.body != nil && c.socket.In.Len() > 0:
		c.setTimer(bodyStallSeconds)
	case c.socket.Unread():
		c.setTimer(c.pool.pools.limits.StallTimeout)
	default:
		c.failOnReply("a part", ReplyStalled)
	}
}

// OnUnexpectedReply takes what no server should have sent: the connection cannot be relied on any more.
func (c *connection) OnUnexpectedReply(reply string) { c.failOnReply(reply, UnexpectedReply) }

func (c *connection) failOnReply(reply string, reason CloseReason) {
	c.pool.pools.log.Warn().Stringer("server", c.pool.addr).Str("reply", reply).Msg("a reply out of order")
	c.fail(reason)
}

// OnReply settles the attempt whose turn it is. A reply with none in flight, or to one that is not written yet,
// leaves the connection in no known state, and it ends.
func (c *connection) OnReply(outcome balancer.Outcome, result requestcore.Result, reusable bool) {
	if len(c.inFlight) == 0 {
		c.fail(UnexpectedReply)
		return
	}
	first := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	written := first.fullyWritten()
	now := c.pool.pools.loop.Now()
	if c.mayBeDuplicate(outcome, first, now) {
		outcome = balancer.OutcomeUnknown
	}
	c.lastReplyAt = now
	first.settle(outcome, result)
	if !written || !reusable {
		c.fail(PrematureReply)
		return
	}
	if len(c.inFlight) == 0 {
		c.pool.release(c)
	}
}

// mayBeDuplicate tells whether a rejection may be the reply before, sent twice: it names no request, and right behind
// another reply it does not prove that an attempt that must not run twice never ran.
func (c *connection) mayBeDuplicate(outcome balancer.Outcome, a *attempt, now float64) bool {
	return outcome == balancer.Overloaded && a.request != nil && a.request.NotIdempotent &&
		now-c.lastReplyAt < duplicateReplySeconds
}

// PendingRequest gives the request whose reply is due, nil for a probe; false if none is due.
func (c *connection) PendingRequest() (request *requestcore.Request, due bool) {
	if len(c.inFlight) == 0 {
		return nil, false
	}
	return c.inFlight[0].request, true
}
