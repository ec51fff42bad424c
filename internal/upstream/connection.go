package upstream

import (
	"math"
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// connection is one connection to a server. It is being dialled until established is set; then it is idle or has
// attempts in flight. It is closed once it is not among its pool's connections any more. It is the eventloop.Handler of
// its socket and the ReplyHandler of its codec.
type connection struct {
	pool          *serverPool
	addr          netip.AddrPort // of the server
	socket        *eventloop.Conn
	timer         *eventloop.Timer // the connect timeout; the stall timeout once the connection is established
	established   bool
	codec         Codec
	inFlight      []*attempt  // sent or being sent here and not answered, in the order of their replies
	body          *bodyStream // of the first attempt in flight; nil: no body is being forwarded
	bufferedBytes uint64      // bytes that were passed to the socket's buffer since the connection was established
	idleSince     float64     // on the loop's clock
	stalled       bool        // the reply that has begun has stalled, and it will not be awaited any longer once the timer fires
	memoryWait    memoryWait
	lastReplyAt   float64 // when the last complete reply was read, on the loop's clock
}

// Opened is called once the connection is established.
func (c *connection) Opened() {
	c.timer.Stop()
	c.timer = c.pool.pools.loop.Timer(c.onStallTimeout)
	c.established = true
	c.pool.connecting--
	if !c.socket.HasNoInput() && c.addr == c.pool.addr && len(c.pool.waiting) > 0 {
		// The server closed the connection, or sent unrequested bytes, as soon as it was established. Without a failed
		// attempt the pool would dial again and again, as fast as it can, with the same result.
		c.pool.failFirstWaiting(balancer.ConnectFailed)
		c.fail(ServerClosed)
		return
	}
	c.pool.release(c)
	c.pool.assignWaiting()
}

// onConnectTimeout handles a connection that was not established in time.
func (c *connection) onConnectTimeout() {
	c.socket.Close()
	c.pool.closeIdle() // these lead to the same machine: an attempt there would wait for its whole timeout
	c.Closed()
}

// Closed is called when the connection has ended or could not be established. In the latter case the attempt that has
// waited longest fails.
func (c *connection) Closed() {
	if !c.established && len(c.pool.waiting) > 0 {
		c.pool.failFirstWaiting(balancer.ConnectFailed)
	}
	if c.established && !c.socket.EndedByReset() {
		c.codec.OnServerClose() // a close may complete a reply; a reset does not
	}
	c.fail(ServerClosed)
}

// acceptsPipelined reports whether one more attempt may be pipelined behind those in flight.
func (c *connection) acceptsPipelined() bool {
	return c.established && c.addr == c.pool.addr && c.body == nil && !c.memoryWait.active &&
		len(c.inFlight) < c.pool.pools.limits.MaxInFlightPerConnection
}

// send assigns an attempt to the connection and writes as much of its command as the kernel accepts.
func (c *connection) send(a *attempt) {
	c.pool.removeIdle(c)
	a.connection = c
	a.endOffset = math.MaxUint64
	c.inFlight = append(c.inFlight, a)
	a.unbuffered = c.codec.Encode(a.request, a.deadline-c.pool.pools.loop.Now())
	c.writePending()
	a.countIfSent()
}

// Flushed is called when the kernel has accepted more bytes. It continues with the commands that wait to be written.
func (c *connection) Flushed() {
	c.dropExpired() // before writePending, which could begin to write an expired attempt
	c.writePending()
	for _, a := range c.inFlight {
		a.countIfSent()
		if !a.countedSent && a.request != nil {
			break // attempts behind it cannot be written either
		}
	}
}

// dropExpired settles and removes the expired attempts whose commands have not begun to be written.
func (c *connection) dropExpired() {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(a *attempt) bool {
		expired := len(a.unbuffered) > 0 && !a.buffered && a.expired()
		if expired {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
		return expired
	})
}

// writePending passes the commands that are not buffered yet to the socket, one at a time. The buffer never holds the
// beginning of a second command, so that a command of which nothing is written can still be withdrawn.
func (c *connection) writePending() {
	for _, a := range c.inFlight {
		if len(a.unbuffered) == 0 {
			continue
		}
		if !a.buffered && c.socket.Unsent() > 0 {
			return
		}
		if !a.buffered {
			a.buffered = true
			a.startOffset = c.bufferedBytes
		}
		complete := c.bufferCommand(a)
		if !complete {
			return
		}
		a.endOffset = c.bufferedBytes
	}
}

// bufferCommand passes as much of the rest of a command to the socket as its buffer has room for, and reports whether
// that was all of it.
func (c *connection) bufferCommand(a *attempt) bool {
	for len(a.unbuffered) > 0 {
		written := c.socket.Write(a.unbuffered[0])
		c.bufferedBytes += uint64(written)
		a.unbuffered[0] = a.unbuffered[0][written:]
		if len(a.unbuffered[0]) > 0 {
			return false
		}
		a.unbuffered = a.unbuffered[1:]
	}
	return true
}

// withdraw removes an attempt of which nothing is written from the connection. It returns false if a part is written.
func (c *connection) withdraw(a *attempt) bool {
	i := slices.Index(c.inFlight, a)
	if i < 0 || a.partlyWritten() {
		return false
	}
	if a.buffered { // the buffer holds nothing else then, see writePending
		c.socket.DropUnsent()
		c.bufferedBytes = a.startOffset
	}
	a.unbuffered = nil
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	if len(c.inFlight) == 0 {
		c.pool.release(c)
	} else {
		c.writePending()
	}
	return true
}

// cancelUnsent withdraws and settles the attempts on the connection of which nothing is written.
func (c *connection) cancelUnsent() {
	for _, a := range slices.Clone(c.inFlight) {
		if a.settled {
			continue
		}
		withdrawn := c.withdraw(a)
		if withdrawn {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
	}
}

// hasPendingExcept reports whether an attempt other than except is in flight on the connection and not settled. If
// except is nil, any attempt counts.
func (c *connection) hasPendingExcept(except *attempt) bool {
	return slices.ContainsFunc(c.inFlight, func(a *attempt) bool { return a != except && !a.settled })
}

// removeFirstInFlight removes the attempt whose reply is complete.
func (c *connection) removeFirstInFlight() {
	c.inFlight[0] = nil // the array of the slice must not keep the request in memory
	c.inFlight = c.inFlight[1:]
	c.memoryWait.over = false
}

// expectsReply reports whether a client or a probe waits for a reply on the connection, or for the rest of a body.
func (c *connection) expectsReply() bool {
	return c.hasPendingExcept(nil) || c.body != nil && c.body.wanted()
}

// fail settles all attempts in flight on the connection and closes it. If a reply is expected there, the reason is
// counted; a body that is cut off is logged.
func (c *connection) fail(reason CloseReason) {
	if c.expectsReply() {
		c.pool.pools.closeCounts[reason]++
	}
	if c.body != nil && c.body.wanted() && reason != ClientDisconnected {
		c.logBrokenBody(reason)
	}
	for _, a := range c.inFlight {
		outcome := balancer.ConnectFailed
		if a.fullyWritten() {
			outcome = balancer.ConnectionLost
		}
		a.settle(outcome, requestcore.Result{})
	}
	c.inFlight = nil
	c.abortBody()
	if c.socket != nil {
		// The kernel must not deliver the abandoned commands when a machine becomes reachable again seconds later: their
		// requests have ended by then.
		c.socket.DropUnackedOnClose()
	}
	c.close()
	c.pool.assignWaiting()
}

// logBrokenBody logs that the rest of a body is lost, and what that means for its client.
func (c *connection) logBrokenBody(reason CloseReason) {
	message := "connection ended within a value; the client gets an incomplete value"
	if c.body.sink == nil || !c.body.sink.HasBegun() {
		message = "connection ended within a value of which the client has received nothing; its attempt fails"
	}
	c.pool.pools.log.Warn().Stringer("server", c.addr).Str("why", CloseReasons[reason]).
		Int("length", c.body.length).
		Msg(message)
}

// isOpen reports whether the connection has not been closed.
func (c *connection) isOpen() bool { return slices.Contains(c.pool.connections, c) }

// close closes the connection and removes it from its pool. Further calls have no effect.
func (c *connection) close() {
	pool := c.pool
	i := slices.Index(pool.connections, c)
	if i < 0 {
		return
	}
	pool.connections = slices.Delete(pool.connections, i, i+1)
	pool.pools.connectionCount--
	if !c.established {
		pool.connecting--
	}
	pool.removeIdle(c)
	c.endMemoryWait()
	c.timer.Stop()
	c.socket.Close()
	c.codec.Release()
}
