package upstream

import (
	"math"
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// attempt is one execution, or a probe where op is nil.
type attempt struct {
	pool               *serverPool
	request            *requestcore.Request
	onEnd              func(balancer.Outcome, requestcore.Result)
	deadline           float64
	timer              *eventloop.Timer
	awaitsSendDeadline bool        // its timer is for when it is to be written, which is before that
	sendDeadline       float64     // it is not written from then on
	stillWanted        func() bool // its operation still waits for it; nil: a probe
	connection         *connection // nil while it waits for one
	unbuffered         [][]byte    // of its command, not in its connection's buffer yet
	buffered           bool        // some of it is or was there
	startOffset        uint64      // where its first byte stands in what its connection is sent
	endOffset          uint64      // and where its last byte does
	countedSent        bool        // it is counted as written
	settled            bool
}

// settle tells how it ended, after the present callback.
func (a *attempt) settle(how balancer.Outcome, with requestcore.Result) {
	if !a.settled {
		a.settled = true
		a.timer.Stop()
		a.pool.logHealthChange(how)
		a.pool.pools.loop.Later(func() { a.onEnd(how, with) })
	}
}

// fullyWritten tells whether its last byte was: else it never ran.
func (a *attempt) fullyWritten() bool {
	return a.connection != nil && a.connection.socket.Sent() >= a.endOffset
}

// countIfSent counts it once it is written.
func (a *attempt) countIfSent() {
	if !a.countedSent && a.request != nil && a.fullyWritten() {
		a.countedSent = true
		a.pool.pools.sentAttempts++
	}
}

// partlyWritten tells whether any of it was written.
func (a *attempt) partlyWritten() bool {
	return a.connection != nil && a.buffered && a.connection.socket.Sent() > a.startOffset
}

// onTimer gives it up at its limit, or where it was to be written by now and is not.
func (a *attempt) onTimer() {
	switch {
	case !a.fullyWritten():
		a.abandon(balancer.NotAttempted)
	case a.awaitsSendDeadline:
		a.awaitsSendDeadline = false
		a.timer.Set(a.deadline)
	default:
		a.abandon(balancer.TimedOut)
		a.pool.closeIdle() // a machine cut off would be silent there too; a new connection tells within its timeout
	}
}

// expired tells that it must not be written any more, though the loop, which may have been stopped, has not heard of that yet: the
// time in which it was to be written is over, or its client has left.
func (a *attempt) expired() bool {
	return a.pool.pools.loop.Now() >= a.sendDeadline || a.stillWanted != nil && !a.stillWanted()
}

// Cancel gives it up.
func (a *attempt) Cancel() { a.abandon(balancer.Cancelled) }

// CancelIfUnsent gives it up if it still waits for a connection, or on one whose kernel takes no more: its operation is answered, or
// its client has gone, and what is sent later is for nobody. One that has begun to leave goes on where that would end others.
func (a *attempt) CancelIfUnsent() {
	if !a.fullyWritten() && (!a.partlyWritten() || !a.connection.awaitedBesides(a)) {
		a.abandon(balancer.NotAttempted)
	}
}

// abandon ends its connection, which tells the cache server; what is piped there ends with it. What has not left is only taken
// back, and a client that leaves does not end the executions of others.
func (a *attempt) abandon(how balancer.Outcome) {
	if a.settled {
		return
	}
	if how == balancer.NotAttempted && a.partlyWritten() && a.connection.body != nil {
		how = balancer.Cancelled // its rest goes on to leave, and it may run
	}
	a.settle(how, requestcore.Result{})
	switch l := a.connection; {
	case l == nil:
		a.pool.removeWaiting(a)
	case l.withdraw(a):
	case l.body != nil: // a long value is before it, which must not be cut off
	case how == balancer.Cancelled && l.awaitedBesides(a):
	default:
		l.fail(AttemptAbandoned)
	}
}

// connection is one connection to a cache server.
type connection struct {
	pool          *serverPool
	addr          netip.AddrPort // where it leads
	socket        *eventloop.Conn
	timer         *eventloop.Timer // until it is up, then until a reply that has begun must have gone on
	established   bool
	codec         Codec
	inFlight      []*attempt  // out, in the order of their answers
	body          *bodyStream // of the first of them
	bufferedBytes uint64      // of all that its buffer was given
	idleSince     float64     // idle since then
	lastReplyAt   float64     // when the last whole reply was read
}

// send writes an attempt's command.
func (l *connection) send(a *attempt) {
	s := l.pool
	if i := slices.Index(s.idle, l); i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
	}
	a.connection, a.endOffset = l, math.MaxUint64
	l.inFlight = append(l.inFlight, a)
	a.unbuffered = l.codec.Encode(a.request, a.deadline-s.pools.loop.Now())
	l.writePending()
	a.countIfSent()
}

// Flushed goes on with what waits.
func (l *connection) Flushed() {
	l.inFlight = slices.DeleteFunc(l.inFlight, func(a *attempt) bool { // before fill, which would begin the next of them
		late := len(a.unbuffered) > 0 && !a.buffered && a.expired()
		if late {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
		return late
	})
	l.writePending()
	for _, a := range l.inFlight {
		if a.countIfSent(); !a.countedSent && a.request != nil {
			break // nor are those behind it
		}
	}
}

// writePending gives the connection's buffer what waits, one command at a time: while none of it has left it can still be taken back.
func (l *connection) writePending() {
	for _, a := range l.inFlight {
		if len(a.unbuffered) == 0 {
			continue
		}
		if !a.buffered && l.socket.Unsent() > 0 {
			return
		}
		if !a.buffered {
			a.buffered, a.startOffset = true, l.bufferedBytes
		}
		for len(a.unbuffered) > 0 {
			n := l.socket.Write(a.unbuffered[0])
			l.bufferedBytes += uint64(n)
			if a.unbuffered[0] = a.unbuffered[0][n:]; len(a.unbuffered[0]) > 0 {
				return
			}
			a.unbuffered = a.unbuffered[1:]
		}
		a.endOffset = l.bufferedBytes
	}
}

// withdraw takes an attempt of which nothing has left from what is to be sent; false if some of it has.
func (l *connection) withdraw(a *attempt) bool {
	i := slices.Index(l.inFlight, a)
	if i < 0 || a.partlyWritten() {
		return false
	}
	if a.buffered { // then the buffer holds nothing else
		l.socket.TakeBack()
		l.bufferedBytes = a.startOffset
	}
	a.unbuffered = nil
	if l.inFlight = slices.Delete(l.inFlight, i, i+1); len(l.inFlight) == 0 {
		l.pool.release(l)
	} else {
		l.writePending()
	}
	return true
}

// awaitedBesides tells whether somebody waits for another execution on the connection.
func (l *connection) awaitedBesides(but *attempt) bool {
	return slices.ContainsFunc(l.inFlight, func(a *attempt) bool { return a != but && !a.settled })
}

// Opened takes the end of a dial.
func (l *connection) Opened() {
	l.timer.Stop()
	l.timer = l.pool.pools.loop.Timer(l.onStallTimeout)
	l.established = true
	l.pool.connecting--
	if !l.socket.Quiet() && l.addr == l.pool.addr && len(l.pool.waiting) > 0 {
		// It ended or spoke as it came up: another at once would fare no better, nor would all that follow, as fast as they can be made.
		a := l.pool.waiting[0]
		l.pool.removeWaiting(a)
		a.settle(balancer.ConnectFailed, requestcore.Result{})
		l.fail(ServerClosed)
		return
	}
	l.pool.release(l)
	l.pool.assignWaiting()
}

// onConnectTimeout takes the time by which a connection should have come up.
func (l *connection) onConnectTimeout() {
	l.socket.Close()
	l.pool.closeIdle() // they lead to the same machine, and would tell nothing for an execution's whole limit
	l.Closed()
}

// Closed takes a connection's end, or that it never came up: then the longest waiting attempt failed.
func (l *connection) Closed() {
	s := l.pool
	if !l.established && len(s.waiting) > 0 {
		a := s.waiting[0]
		s.removeWaiting(a)
		a.settle(balancer.ConnectFailed, requestcore.Result{})
	}
	if l.established && !l.socket.ByReset() {
		l.codec.OnServerClose() // it may end an answer as it should; a reset is no end
	}
	l.fail(ServerClosed)
}

// fail settles all that is out on a connection and closes it. Where something is owed on it, the reason is counted, and a value that
// is cut off is logged.
func (l *connection) fail(why CloseReason) {
	if l.owesReply() {
		l.pool.pools.closeCounts[why]++
	}
	if l.body != nil && l.body.awaited() && why != ClientDisconnected {
		l.pool.pools.log.Warn().Stringer("server", l.addr).Str("why", CloseReasons[why]).Int("length", l.body.length).Msg("a value is cut off")
	}
	for _, a := range l.inFlight {
		if a.fullyWritten() {
			a.settle(balancer.ConnectionLost, requestcore.Result{})
		} else {
			a.settle(balancer.ConnectFailed, requestcore.Result{})
		}
	}
	l.inFlight = nil
	l.breakBody()
	if l.socket != nil { // what was given up must not reach a machine that was cut off seconds later, when its operation has long ended
		l.socket.Forget()
	}
	l.close()
	l.pool.assignWaiting()
}

// close forgets the connection.
func (l *connection) close() {
	s := l.pool
	i := slices.Index(s.connections, l)
	if i < 0 {
		return
	}
	s.connections = slices.Delete(s.connections, i, i+1)
	s.pools.connectionCount--
	if !l.established {
		s.connecting--
	}
	if i := slices.Index(s.idle, l); i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
	}
	l.timer.Stop()
	l.socket.Close()
	l.codec.Release()
}

// Input reads replies.
func (l *connection) Input() {
	for l.socket.In.Len() > 0 {
		held := l.socket.In.Len()
		if _, err := l.codec.Decode(l.socket.In); err != nil {
			l.OnUnexpectedReply(err.Error())
			return
		}
		if l.socket.In.Len() == held {
			break // a long value that is not taken now
		}
		if !slices.Contains(l.pool.connections, l) {
			return // a reply ended it
		}
	}
	if l.body != nil {
		l.timer.Set(l.pool.pools.loop.Now() + bodyStallTimeout)
	} else if l.codec.ReplyBegun() {
		l.timer.Set(l.pool.pools.loop.Now() + l.pool.pools.limits.StallTimeout)
	} else {
		l.timer.Stop()
	}
}

// onStallTimeout takes that a reply does not go on: one that says more than it holds would be waited for until the hard
// stop. What the loop has not come to read is no stall.
func (l *connection) onStallTimeout() {
	if l.body != nil && l.socket.In.Len() > 0 { // its taker has no room
		l.timer.Set(l.pool.pools.loop.Now() + bodyStallTimeout)
	} else if l.socket.Unread() {
		l.timer.Set(l.pool.pools.loop.Now() + l.pool.pools.limits.StallTimeout)
	} else {
		l.failOnReply("a part", ReplyStalled)
	}
}

// OnUnexpectedReply takes what no server should have sent: the connection cannot be relied on any more.
func (l *connection) OnUnexpectedReply(what string) { l.failOnReply(what, UnexpectedReply) }

func (l *connection) failOnReply(what string, why CloseReason) {
	l.pool.pools.log.Warn().Stringer("server", l.pool.addr).Str("reply", what).Msg("a reply out of order")
	l.fail(why)
}

// duplicateReplyWindow is how long after a reply another may come of the same command, in seconds: the slack that the protocol allows to all
// that is late.
const duplicateReplyWindow = 0.05

// OnReply settles the attempt whose turn it is. One that is not written yet, or a reply with none out, leaves
// the connection in no known state.
func (l *connection) OnReply(how balancer.Outcome, with requestcore.Result, more bool) {
	if len(l.inFlight) == 0 {
		l.fail(UnexpectedReply)
		return
	}
	a := l.inFlight[0]
	l.inFlight = l.inFlight[1:]
	whole, now := a.fullyWritten(), l.pool.pools.loop.Now()
	if how == balancer.Overloaded && a.request != nil && a.request.NotIdempotent && now-l.lastReplyAt < duplicateReplyWindow {
		how = balancer.OutcomeUnknown // it may be the reply before, said twice: this names no operation, and proves nothing
	}
	l.lastReplyAt = now
	a.settle(how, with)
	switch {
	case !whole || !more:
		l.fail(PrematureReply)
	case len(l.inFlight) == 0:
		l.pool.release(l)
	}
}

// PendingRequest gives the operation whose reply is due, nil for a probe; false if none is.
func (l *connection) PendingRequest() (op *requestcore.Request, due bool) {
	if len(l.inFlight) == 0 {
		return nil, false
	}
	return l.inFlight[0].request, true
}
