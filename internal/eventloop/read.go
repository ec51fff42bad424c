package eventloop

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// readBuffers gives netpoll the memory to read into; none: it does not read.
func (c *Conn) readBuffers(slices [][]byte) [][]byte {
	if c.closed || c.paused || c.peerEnded {
		return nil
	}
	return c.In.Free(slices[:0])
}

// onRead takes from netpoll how many bytes came; 0 at the other side's end and where there was nothing, below 0 at a
// failure.
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

// onNothingRead takes an end in the round in which it is there to be read: OnHup comes by a goroutine, which waits
// for the loop's where that has the only processor.
func (c *Conn) onNothingRead(n int) {
	if n < 0 {
		c.resetSeen = true
	}
	if !c.closed && c.Ended() {
		c.loop.dispatch(c.onPeerEnd)
	}
}

// deliverInput hands on what has come, and stops reading where there is no room for more.
func (c *Conn) deliverInput() {
	if !c.closed {
		c.handler.Input()
	}
	if !c.closed && c.In.Room() == 0 {
		c.Pause()
	}
}

// Pause stops reading, once the present callback is over.
func (c *Conn) Pause() { c.setPaused(true) }

// Resume reads on, once the present callback is over.
func (c *Conn) Resume() { c.setPaused(false) }

func (c *Conn) setPaused(paused bool) {
	if c.paused == paused || c.closed {
		return
	}
	c.paused = paused
	c.changeReadingLater()
}

// Hold tells that the handler leaves bytes in In until it has room for them (on), or does so no more: an end behind
// them waits so long.
func (c *Conn) Hold(on bool) {
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

// applyReadChange brings netpoll in line with a pause or its end. netpoll has no mode without reading, so a paused
// socket is watched for its end alone and for room to write, edge by edge.
func (c *Conn) applyReadChange() {
	if c.closed {
		return
	}
	if c.peerEnded { // it may be notified of a failed write, with netpoll still watching
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

// drainInput reads what came before the other side's end, a buffer at a time, so that the handler can make room in
// between; then it closes the connection.
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
			c.resetSeen = true
		}
		c.closeAndNotify()
		return
	}
	c.loop.Later(c.drainInput)
}
