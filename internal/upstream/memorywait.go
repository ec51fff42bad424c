package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// This file has a value wait in its server's socket as long as there is no memory for it.

// memoryWait is the state of a connection whose value waits for memory.
type memoryWait struct {
	active bool    // the socket is not read
	since  float64 // on the loop's clock
	over   bool    // the value that begins must not wait any longer
}

// AnswerIsNext reports whether the reply that is due would be passed on to a client at once.
func (c *connection) AnswerIsNext() bool {
	return len(c.inFlight) > 0 && c.inFlight[0].observer.AnswerIsNext()
}

// AwaitMemory pauses reading and reports true, or reports false if the connection may not wait for memory.
func (c *connection) AwaitMemory() bool {
	if c.memoryWait.active {
		return true
	}
	if !c.mayAwaitMemory() {
		return false
	}
	c.memoryWait.active = true
	c.memoryWait.since = c.pool.pools.loop.Now()
	c.pool.pools.awaitingMemory++
	c.pool.pools.loop.Defer(c.inFlight[0].observer.OnReplyDelayed)
	c.socket.Pause()
	c.setTimer(c.memoryWaitSeconds())
	return true
}

// mayAwaitMemory reports whether the value that begins may wait: its attempt has time left, and enough connections remain
// for the attempts of other clients.
func (c *connection) mayAwaitMemory() bool {
	pools := c.pool.pools
	if len(c.inFlight) == 0 || c.inFlight[0].settled || c.memoryWait.over {
		return false
	}
	return c.memoryWaitSeconds() > 0 && pools.awaitingMemory < pools.limits.MaxConnections/2
}

// memoryWaitSeconds returns for how long the value that begins may wait: until shortly before its attempt's deadline, but
// where other attempts wait for their replies behind it no longer than a reply may pause.
func (c *connection) memoryWaitSeconds() float64 {
	first := c.inFlight[0]
	seconds := first.deadline - memoryWaitMarginSeconds - c.pool.pools.loop.Now()
	if c.hasPendingExcept(first) {
		seconds = min(seconds, c.pool.pools.limits.StallTimeout)
	}
	return seconds
}

// OnMemory reads on: there may be memory for the value that waits.
func (c *connection) OnMemory() {
	c.endMemoryWait()
	c.Input()
}

// onMemoryTimeout ends the wait for memory because it has taken too long. The client is answered at once, and the value
// is skipped if there still is no memory for it.
func (c *connection) onMemoryTimeout() {
	c.memoryWait.over = true
	c.endMemoryWait()
	c.inFlight[0].settle(balancer.Succeeded, requestcore.Result{ValueRefused: true})
	c.Input()
}

// endMemoryWait resumes reading, and records for how long the replies were delayed. Without a wait it does nothing.
func (c *connection) endMemoryWait() {
	if !c.memoryWait.active {
		return
	}
	c.memoryWait.active = false
	for _, a := range c.inFlight {
		a.delaySeconds += c.pool.pools.loop.Now() - c.memoryWait.since
	}
	c.pool.pools.awaitingMemory--
	c.socket.Resume()
}
