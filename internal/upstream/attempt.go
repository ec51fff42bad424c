package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// attempt is one attempt at a server, or a probe if request is nil. It waits for a connection, its command is buffered
// and then written there, and it is settled once. Offsets count the bytes that were passed to the connection for
// sending since it was established.
type attempt struct {
	pool     *serverPool
	request  *requestcore.Request
	observer requestcore.AttemptObserver
	deadline float64 // on the loop's clock
	timer    *eventloop.Timer

	awaitsSendDeadline bool    // the timer is set to sendDeadline, which is before deadline
	sendDeadline       float64 // on the loop's clock; writing must not begin at or after it

	connection  *connection // nil while the attempt waits for one
	unbuffered  [][]byte    // parts of the command that are not in the connection's buffer yet
	buffered    bool        // a part of the command is, or was, in the buffer
	startOffset uint64      // of the first byte of the command
	endOffset   uint64      // one past the last byte of the command; the largest uint64 until that byte is buffered
	countedSent bool        // included in SentAttempts
	settled     bool

	delaySeconds float64 // for how long its reply was left unread for lack of memory
}

// settle reports the outcome of the attempt, after the current callback. Only the first call has an effect.
func (a *attempt) settle(outcome balancer.Outcome, result requestcore.Result) {
	if a.settled {
		return
	}
	a.settled = true
	a.timer.Stop()
	a.pool.logHealthChange(outcome)
	result.DelaySeconds = a.delaySeconds
	a.pool.pools.loop.Defer(func() { a.observer.OnAttemptEnd(outcome, result) })
}

// fullyWritten reports whether the kernel has accepted the last byte of the command. If not, the server cannot have
// executed it.
func (a *attempt) fullyWritten() bool {
	return a.connection != nil && a.connection.socket.Sent() >= a.endOffset
}

// partlyWritten reports whether the kernel has accepted any byte of the command.
func (a *attempt) partlyWritten() bool {
	return a.connection != nil && a.buffered && a.connection.socket.Sent() > a.startOffset
}

// countIfSent adds the attempt to the sent attempts once it is fully written.
func (a *attempt) countIfSent() {
	if !a.countedSent && a.request != nil && a.fullyWritten() {
		a.countedSent = true
		a.pool.pools.sentAttempts++
	}
}

// onTimer abandons the attempt at its deadline, or at its send deadline if it is not fully written by then.
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
	// If the server's machine is unreachable, its idle connections would time out as well. A new connection shows that
	// within the connect timeout.
	a.pool.closeIdle()
}

// expired reports whether the attempt must not be written any more, because its send deadline has passed or its client
// has disconnected. The timer may not have fired yet if the loop was stopped for a while.
func (a *attempt) expired() bool {
	if a.pool.pools.loop.Now() >= a.sendDeadline {
		return true
	}
	return !a.observer.StillWanted()
}

// Cancel abandons the attempt, which ends as balancer.Cancelled.
func (a *attempt) Cancel() { a.abandon(balancer.Cancelled) }

// CancelIfUnsent abandons the attempt if it waits for a connection, or for the kernel to accept its bytes. An attempt
// that is partly written continues if abandoning it would end other attempts on the connection.
func (a *attempt) CancelIfUnsent() {
	if a.fullyWritten() {
		return
	}
	if a.partlyWritten() && a.connection.hasPendingExcept(a) {
		return
	}
	a.abandon(balancer.NotAttempted)
}

// abandon settles the attempt before its reply has arrived. The effect on its connection is:
//
//	nothing of it is written      it is withdrawn; the connection stays open
//	a body is being forwarded     the connection stays open, so that the other attempt's body is not cut off
//	it is cancelled, and another  the connection stays open; the reply is discarded when it arrives
//	attempt waits there
//	otherwise                     the connection is closed, which the server notices; all attempts that are pipelined
//	                              there end as ConnectionLost, or as ConnectFailed if they are not fully written
func (a *attempt) abandon(outcome balancer.Outcome) {
	if a.settled {
		return
	}
	if outcome == balancer.NotAttempted && a.partlyWritten() && a.connection.body != nil {
		outcome = balancer.Cancelled // the rest of it is still written, so the server may execute it
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

// probeObserver is the observer of a probe, for which no client waits. It is the function that gets the outcome.
type probeObserver func(balancer.Outcome)

func (p probeObserver) OnAttemptEnd(outcome balancer.Outcome, _ requestcore.Result) { p(outcome) }
func (p probeObserver) StillWanted() bool                                           { return true }
func (p probeObserver) OnReplyStalled()                                             {}
func (p probeObserver) OnReplyDelayed()                                             {}
func (p probeObserver) WouldBeRetried() bool                                        { return true }
func (p probeObserver) AnswerIsNext() bool                                          { return false }
