package upstream

import (
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// Input is called when more bytes have been received. It decodes replies until no further one can be decoded.
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
			break // the sink of a body has no room
		}
		if !c.isOpen() {
			return // a reply closed the connection
		}
	}
	c.setReplyTimer()
}

// setReplyTimer sets the time by which further bytes of a reply that has begun must arrive.
func (c *connection) setReplyTimer() {
	c.stalled = false
	switch {
	case c.memoryWait.active: // the timer is set to the end of the wait
	case c.body != nil:
		c.setTimer(bodyStallSeconds)
	case c.codec.ReplyBegun():
		c.setTimer(c.pool.pools.limits.StallTimeout)
	default:
		c.timer.Stop()
	}
}

// setTimer sets the timer to fire after the given number of seconds.
func (c *connection) setTimer(seconds float64) {
	c.timer.Set(c.pool.pools.loop.Now() + seconds)
}

// onStallTimeout handles a reply, or a body, whose rest has not arrived in time. Bytes that the sink has no room for, or
// that the loop has not read yet, are no stall.
func (c *connection) onStallTimeout() {
	switch {
	case c.memoryWait.active:
		c.onMemoryTimeout()
	case c.body != nil && c.socket.In.Len() > 0 && !c.waitingBodyStalled():
		c.setTimer(bodyStallSeconds)
	case c.socket.Unread():
		c.setTimer(c.pool.pools.limits.StallTimeout)
	case c.body == nil && !c.stalled && c.hasPendingExcept(nil):
		c.onReplyStalled()
	case c.body == nil && c.hasPendingExcept(nil) && !c.stalledReplyWouldBeRetried():
		c.setTimer(c.pool.pools.limits.StallTimeout)
	default:
		c.failOnReply("a part", ReplyStalled)
	}
}

// onReplyStalled notifies the attempts in flight that the first reply has stalled. The server may have announced more
// bytes than it has, or it may have paused: servers take seconds to write, in pieces of any size, and must not be cut off.
// Therefore the connection stays open until an attempt's deadline. Only where hedging is not allowed, the connection is
// closed earlier, for a retry, if there would be one.
func (c *connection) onReplyStalled() {
	for _, a := range c.inFlight {
		if !a.settled {
			c.pool.pools.loop.Defer(a.observer.OnReplyStalled)
		}
	}
	if c.pool.pools.limits.HedgingAllowed {
		c.setTimer(c.pool.pools.limits.StallTimeout)
		return
	}
	c.stalled = true
	timeLeft := c.inFlight[0].deadline - c.pool.pools.loop.Now()
	c.setTimer(min(timeLeft*stalledFraction, maxStalledSeconds))
}

// stalledReplyWouldBeRetried reports whether another attempt would follow for any of those that wait on the connection,
// if it were closed.
func (c *connection) stalledReplyWouldBeRetried() bool {
	return slices.ContainsFunc(c.inFlight, func(a *attempt) bool {
		return !a.settled && a.observer.WouldBeRetried()
	})
}

// waitingBodyStalled reports whether the server has stopped sending a body that waits for its client: the buffer has
// room for more, and nothing is unread.
func (c *connection) waitingBodyStalled() bool {
	return c.body.isWaiting() && c.socket.In.Room() > 0 && !c.socket.Unread()
}

// OnUnexpectedReply handles bytes that no server should have sent. The state of the connection is unknown, so it is
// closed.
func (c *connection) OnUnexpectedReply(reply string) { c.failOnReply(reply, UnexpectedReply) }

func (c *connection) failOnReply(reply string, reason CloseReason) {
	c.pool.pools.log.Warn().Stringer("server", c.pool.addr).Str("reply", reply).
		Msg("unexpected or stalled reply of a cache server; the connection is closed")
	c.fail(reason)
}

// OnReply settles the first attempt in flight. A reply that arrives with no attempt in flight, or before its command is
// fully written, leaves the connection in an unknown state, so it is closed.
func (c *connection) OnReply(outcome balancer.Outcome, result requestcore.Result, reusable bool) {
	if len(c.inFlight) == 0 {
		c.fail(UnexpectedReply)
		return
	}
	first := c.inFlight[0]
	c.removeFirstInFlight()
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

// mayBeDuplicate reports whether a rejection may be a duplicate of the previous reply. A rejection carries no request
// id, so right behind another reply it does not prove that the attempt was not executed. That matters only for requests
// that must not be executed twice.
func (c *connection) mayBeDuplicate(outcome balancer.Outcome, a *attempt, now float64) bool {
	return outcome == balancer.Overloaded && a.request != nil && a.request.NotIdempotent &&
		now-c.lastReplyAt < duplicateReplySeconds
}

// PendingRequest returns the request whose reply is due, nil for a probe; due is false if no reply is due.
func (c *connection) PendingRequest() (request *requestcore.Request, due bool) {
	if len(c.inFlight) == 0 {
		return nil, false
	}
	return c.inFlight[0].request, true
}
