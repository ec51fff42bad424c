package eventloop

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// readBuffers returns the memory that netpoll reads into; without any, netpoll does not read.
func (c *Conn) readBuffers(slices [][]byte) [][]byte {
	if c.closed || c.paused || c.peerEnded {
		return nil
	}
	return c.In.Free(slices[:0])
}

// onRead receives from netpoll the number of bytes read: 0 at the peer's end and if there was nothing to read, below 0
// after a failure.
func (c *Conn) onRead(n int) error {
	if n <= 0 {
		c.onNothingRead(n)
		return nil
	}
	c.In.Fill(n)
	if c.finishTimer != nil {
		c.In.Drop(c.In.Len())
		return nil
	}
	c.loop.dispatch(c.deliverInput)
	return nil
}

// onNothingRead handles the peer's end in the same round in which it becomes readable. netpoll calls OnHup on another
// goroutine, which does not run while the loop's goroutine occupies the only processor.
func (c *Conn) onNothingRead(n int) {
	if n < 0 {
		c.resetReported = true
	}
	if !c.closed && c.Ended() {
		c.loop.dispatch(c.onPeerEnd)
	}
}

// deliverInput notifies the handler of the bytes in In, and pauses reading if In is full afterwards.
func (c *Conn) deliverInput() {
	if !c.closed {
		c.handler.Input()
	}
	if !c.closed && c.In.Room() == 0 {
		c.Pause()
	}
}

// Pause stops reading after the current callback.
func (c *Conn) Pause() { c.setPaused(true) }

// Resume continues reading after the current callback.
func (c *Conn) Resume() { c.setPaused(false) }

func (c *Conn) setPaused(paused bool) {
	if c.paused == paused || c.closed {
		return
	}
	c.paused = paused
	c.changeReadingLater()
}

// SetInputHeld sets whether the handler deliberately leaves bytes in In until it has room for them. While it does, the
// peer's end that follows those bytes is not handled.
func (c *Conn) SetInputHeld(on bool) {
	c.inputHeld = on
	if !on && c.peerEnded {
		c.changeReadingLater()
	}
}

// changeReadingLater has applyReadChange called with the loop's next wake.
func (c *Conn) changeReadingLater() {
	c.loop.readChanges = append(c.loop.readChanges, c)
	c.loop.wake()
}

// applyReadChange applies paused or resumed reading to netpoll. netpoll has no mode without reading, so a paused
// socket is watched, edge-triggered, only for the peer's end and for writability.
func (c *Conn) applyReadChange() {
	if c.closed {
		return
	}
	if c.peerEnded { // netpoll may still watch the socket if the end was noticed by a failed write
		c.op.Control(netpoll.PollDetach)
		c.loop.call(c.drainInput)
		return
	}
	c.loop.poll.Control(c.op, netpoll.PollDetach)
	c.awaitsWritable = false
	if c.paused {
		c.loop.poll.Control(c.op, netpoll.PollWritable)
		return
	}
	c.loop.poll.Control(c.op, netpoll.PollReadable)
	c.updateWriteInterest()
}

// drainInput reads the bytes before the peer's end, one buffer at a time so that the handler can make room in between,
// and then closes the connection.
func (c *Conn) drainInput() {
	if c.closed || c.paused || c.inputHeld || c.In.Room() == 0 {
		return
	}
	var slices [2][]byte
	n, err := unix.Readv(c.fd, c.In.Free(slices[:0]))
	switch {
	case n > 0:
		c.In.Fill(n)
		c.deliverInput()
	case err != unix.EINTR:
		if err != nil && err != unix.EAGAIN {
			c.resetReported = true
		}
		c.closeAndNotify()
		return
	}
	c.loop.Defer(c.drainInput)
}
