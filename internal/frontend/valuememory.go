package frontend

import "slices"

// This file limits the memory of values that are held because answers are given in the order of the commands. A
// connection with a pending answer reads no further command while there is no memory for one more value: the command
// waits in the socket, where the time until the answers before it are written does not count. A command with no pending
// answer before it is always read.

// lacksMemory reports whether the connection reads no further command for lack of memory. Requests that are rejected
// need none.
func (c *ClientConn) lacksMemory() bool {
	if len(c.answers) == 0 || c.rejectsSince > 0 || c.overLimit {
		return false
	}
	return !c.frontend.values.MayPipeline()
}

// pauseForMemory has the connection wait until there is memory for its next command.
func (c *ClientConn) pauseForMemory() {
	if c.pausedForMemory || c.closing {
		return
	}
	f := c.frontend
	c.pausedForMemory = true
	f.paused = append(f.paused, c)
	f.values.Counts.Paused++
}

// stopWaitingForMemory removes a connection that has ended from those that wait for memory.
func (c *ClientConn) stopWaitingForMemory() {
	if !c.pausedForMemory {
		return
	}
	f := c.frontend
	c.pausedForMemory = false
	f.paused = slices.DeleteFunc(f.paused, func(other *ClientConn) bool { return other == c })
}

// resumePaused lets connections that wait for memory read on, as long as there is some. It is called after memory was
// released.
func (f *Frontend) resumePaused() {
	for len(f.paused) > 0 && f.values.MayPipeline() {
		c := f.paused[0]
		f.paused[0] = nil
		f.paused = f.paused[1:]
		c.pausedForMemory = false
		if !c.closing && !c.isFull() {
			c.resumeReading()
			c.resumeInput()
		}
	}
	f.resumeScheduled = false
}

// scheduleResume calls resumePaused after the current callback, if a connection waits and there is memory.
func (f *Frontend) scheduleResume() {
	if f.resumeScheduled || len(f.paused) == 0 || !f.values.MayPipeline() {
		return
	}
	f.resumeScheduled = true
	f.loop.Defer(f.resumePaused)
}

// promiseValue counts the expected value of a read, until its answer is complete.
func (a *answer) promiseValue() { a.promisedBytes = a.conn.frontend.values.Promise() }

// withdrawPromise ends the count of an expected value. Without one it does nothing.
func (a *answer) withdrawPromise() {
	f := a.conn.frontend
	f.values.Withdraw(a.promisedBytes)
	a.promisedBytes = 0
	f.scheduleResume()
}
