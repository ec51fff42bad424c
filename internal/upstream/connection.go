package upstream

import (
	"math"
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// connection is one connection to a server. It is being dialled until established is set, then idle or with attempts
// in flight, and closed once it is out of its pool's connections. It is its socket's eventloop.Handler and its
// codec's ReplyHandler.
type connection struct {
	pool          *serverPool
	addr          netip.AddrPort // where it leads
	socket        *eventloop.Conn
	timer         *eventloop.Timer // the connect timeout; once it is established, that a reply that has begun goes on
	established   bool
	codec         Codec
	inFlight      []*attempt  // given to it and not answered, in the order of their replies
	body          *bodyStream // of the first of them; nil: none is being passed on
	bufferedBytes uint64      // of all that its buffer was given
	idleSince     float64     // on the loop's clock
	lastReplyAt   float64     // when the last whole reply was read, on the loop's clock
}

// Opened is called once the connection is established.
func (c *connection) Opened() {
	c.timer.Stop()
	c.timer = c.pool.pools.loop.Timer(c.onStallTimeout)
	c.established = true
	c.pool.connecting--
	if !c.socket.Quiet() && c.addr == c.pool.addr && len(c.pool.waiting) > 0 {
		// It ended, or something was sent unasked, at once: another would fare no better, nor would all that follow,
		// as fast as they can be dialled.
		c.pool.failFirstWaiting(balancer.ConnectFailed)
		c.fail(ServerClosed)
		return
	}
	c.pool.release(c)
	c.pool.assignWaiting()
}

// onConnectTimeout takes that the connection was not established in time.
func (c *connection) onConnectTimeout() {
	c.socket.Close()
	c.pool.closeIdle() // they lead to the same machine, and would be silent for an attempt's whole timeout
	c.Closed()
}

// Closed is called when the connection has ended, or was not established: then the longest waiting attempt failed.
func (c *connection) Closed() {
	if !c.established && len(c.pool.waiting) > 0 {
		c.pool.failFirstWaiting(balancer.ConnectFailed)
	}
	if c.established && !c.socket.ByReset() {
		c.codec.OnServerClose() // it may be the proper end of a reply; a reset is not
	}
	c.fail(ServerClosed)
}

// acceptsPipelined tells whether one more attempt may be put behind those in flight.
func (c *connection) acceptsPipelined() bool {
	return c.established && c.addr == c.pool.addr && c.body == nil &&
		len(c.inFlight) < c.pool.pools.limits.MaxInFlightPerConnection
}

// send puts an attempt on the connection and writes its command, as far as the kernel takes it.
func (c *connection) send(a *attempt) {
	c.pool.removeIdle(c)
	a.connection = c
	a.endOffset = math.MaxUint64
	c.inFlight = append(c.inFlight, a)
	a.unbuffered = c.codec.Encode(a.request, a.deadline-c.pool.pools.loop.Now())
	c.writePending()
	a.countIfSent()
}

// Flushed is called when the kernel has taken more bytes: what waits to be written goes on.
func (c *connection) Flushed() {
	c.dropExpired() // before writePending, which would begin the next of them
	c.writePending()
	for _, a := range c.inFlight {
		a.countIfSent()
		if !a.countedSent && a.request != nil {
			break // nor are those behind it
		}
	}
}

// dropExpired settles and takes out what has not begun to be written and must not be any more.
func (c *connection) dropExpired() {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(a *attempt) bool {
		expired := len(a.unbuffered) > 0 && !a.buffered && a.expired()
		if expired {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
		return expired
	})
}

// writePending gives the socket's buffer what is not buffered yet, one command at a time: while none of it is written
// it can still be taken back.
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

// bufferCommand gives the socket's buffer the rest of a command, as far as there is room; true once that was all of it.
func (c *connection) bufferCommand(a *attempt) bool {
	for len(a.unbuffered) > 0 {
		n := c.socket.Write(a.unbuffered[0])
		c.bufferedBytes += uint64(n)
		a.unbuffered[0] = a.unbuffered[0][n:]
		if len(a.unbuffered[0]) > 0 {
			return false
		}
		a.unbuffered = a.unbuffered[1:]
	}
	return true
}

// withdraw takes an attempt of which nothing is written out of what is to be sent; false if some of it is written.
func (c *connection) withdraw(a *attempt) bool {
	i := slices.Index(c.inFlight, a)
	if i < 0 || a.partlyWritten() {
		return false
	}
	if a.buffered { // then the buffer holds nothing else, see writePending
		c.socket.TakeBack()
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

// cancelUnsent gives up what is on the connection and has not begun to be written.
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

// hasPendingExcept tells whether somebody waits for another attempt's reply on the connection; with nil, for any
// attempt's.
func (c *connection) hasPendingExcept(except *attempt) bool {
	return slices.ContainsFunc(c.inFlight, func(a *attempt) bool { return a != except && !a.settled })
}

// expectsReply tells whether somebody waits for a reply on the connection, or for the rest of a body.
func (c *connection) expectsReply() bool {
	return c.hasPendingExcept(nil) || c.body != nil && c.body.wanted()
}

// fail settles all that is in flight on the connection and closes it. Where a reply is owed on it the reason is
// counted, and a body that is cut off is logged.
func (c *connection) fail(reason CloseReason) {
	if c.expectsReply() {
		c.pool.pools.closeCounts[reason]++
	}
	if c.body != nil && c.body.wanted() && reason != ClientDisconnected {
		c.pool.pools.log.Warn().Stringer("server", c.addr).Str("why", CloseReasons[reason]).
			Int("length", c.body.length).Msg("a value is cut off")
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
		// What was given up must not reach a machine that is cut off for seconds, when its request has long ended.
		c.socket.Forget()
	}
	c.close()
	c.pool.assignWaiting()
}

// isOpen tells that the connection was not closed.
func (c *connection) isOpen() bool { return slices.Contains(c.pool.connections, c) }

// close closes the connection and takes it out of its pool. A further call does nothing.
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
	c.timer.Stop()
	c.socket.Close()
	c.codec.Release()
}
