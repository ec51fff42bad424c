package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// attempt is one attempt at a server, or a probe where request is nil. It waits for a connection, is buffered there,
// is written, and is settled once. Offsets count the bytes that its connection was given to send since it was
// established.
type attempt struct {
	pool     *serverPool
	request  *requestcore.Request
	onEnd    func(balancer.Outcome, requestcore.Result)
	deadline float64 // on the loop's clock
	timer    *eventloop.Timer

	awaitsSendDeadline bool        // the timer is for sendDeadline, which is before deadline
	sendDeadline       float64     // it is not written from then on
	stillWanted        func() bool // its request still waits for it; nil: a probe

	connection  *connection // nil while it waits for one
	unbuffered  [][]byte    // parts of its command that are not in the connection's buffer yet
	buffered    bool        // some of its command is, or was, in the buffer
	startOffset uint64      // of its first byte
	endOffset   uint64      // behind its last byte; the greatest number until that is buffered
	countedSent bool        // it is in SentAttempts
	settled     bool
}

// settle tells how the attempt ended, after the present callback. Only the first call counts.
func (a *attempt) settle(outcome balancer.Outcome, result requestcore.Result) {
	if a.settled {
		return
	}
	a.settled = true
	a.timer.Stop()
	a.pool.logHealthChange(outcome)
	a.pool.pools.loop.Later(func() { a.onEnd(outcome, result) })
}

// fullyWritten tells whether the kernel took its last byte; else it never ran.
func (a *attempt) fullyWritten() bool {
	return a.connection != nil && a.connection.socket.Sent() >= a.endOffset
}

// partlyWritten tells whether the kernel took any byte of it.
func (a *attempt) partlyWritten() bool {
	return a.connection != nil && a.buffered && a.connection.socket.Sent() > a.startOffset
}

// countIfSent counts it among the sent attempts, once it is written.
func (a *attempt) countIfSent() {
	if !a.countedSent && a.request != nil && a.fullyWritten() {
		a.countedSent = true
		a.pool.pools.sentAttempts++
	}
}

// onTimer gives it up at its deadline, or at its send deadline where it is not written by then.
func (a *attempt) onTimer() {
	if !a.fullyWritten() {
		a.abandon(balancer.NotAttempted)
		return
	}
	if a.awaitsSendDeadline {
		a.awaitsSendDeadline = false
		a.timer.Set(a.deadline)
		return
	}
	a.abandon(balancer.TimedOut)
	a.pool.closeIdle() // a machine that is cut off would be silent there too; a new connection tells within its timeout
}

// expired tells that it must not be written any more: its send deadline is over, or its client has left. The loop,
// which may have been stopped, need not have called its timer yet.
func (a *attempt) expired() bool {
	if a.pool.pools.loop.Now() >= a.sendDeadline {
		return true
	}
	return a.stillWanted != nil && !a.stillWanted()
}

// Cancel gives it up; it ends as balancer.Cancelled.
func (a *attempt) Cancel() { a.abandon(balancer.Cancelled) }

// CancelIfUnsent gives it up if it waits for a connection, or on one whose kernel takes no more. One that is written
// in part goes on where giving it up would end attempts of others.
func (a *attempt) CancelIfUnsent() {
	if a.fullyWritten() {
		return
	}
	if a.partlyWritten() && a.connection.hasPendingExcept(a) {
		return
	}
	a.abandon(balancer.NotAttempted)
}

// abandon settles it. What becomes of its connection:
//
//	nothing of it is written     it is taken back, the connection goes on
//	a body is being passed on    the connection goes on: the body of another attempt must not be cut off
//	its client has left, and     the connection goes on; the answer is discarded when it comes
//	another attempt waits there
//	else                         the connection ends, which tells the server, and with it all that is pipelined
//	                             there: those attempts end as ConnectionLost, or ConnectFailed if not written
func (a *attempt) abandon(outcome balancer.Outcome) {
	if a.settled {
		return
	}
	if outcome == balancer.NotAttempted && a.partlyWritten() && a.connection.body != nil {
		outcome = balancer.Cancelled // its rest is still written, and it may run
	}
	a.settle(outcome, requestcore.Result{})
	c := a.connection
	if c == nil {
		a.pool.removeWaiting(a)
		return
	}
	withdrawn := c.withdraw(a)
	if withdrawn || c.body != nil {
		return
	}
	if outcome == balancer.Cancelled && c.hasPendingExcept(a) {
		return
	}
	c.fail(AttemptAbandoned)
}
