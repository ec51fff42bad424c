package eventloop

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// writeBuffers gives netpoll what waits to be written. The second result is always false: no zero copy.
func (c *Conn) writeBuffers(slices [][]byte) ([][]byte, bool) {
	if c.closed {
		return nil, false
	}
	return c.out.Held(slices[:0]), false
}

// onWritten takes from netpoll how many bytes the kernel has taken.
func (c *Conn) onWritten(n int) error {
	c.loop.dispatch(func() { c.dropWritten(n) })
	return nil
}

// dropWritten lets go of n bytes that the kernel has taken, and notifies the handler.
func (c *Conn) dropWritten(n int) {
	if c.closed || c.finishTimer != nil || n <= 0 {
		return
	}
	c.out.Drop(n)
	c.sent += uint64(n)
	c.handler.Flushed()
	if !c.closed {
		c.updateWriteInterest()
	}
}

// updateWriteInterest has netpoll watch for the socket to take more while there is more, and then no longer.
func (c *Conn) updateWriteInterest() {
	more := c.out.Len() > 0
	if more == c.awaitsWritable {
		return
	}
	if !c.open || c.paused || c.closed || c.writeFailed || c.peerEnded {
		return
	}
	c.awaitsWritable = more
	event := netpoll.PollRW2R
	if more {
		event = netpoll.PollR2RW
	}
	c.loop.poll.Control(c.op, event)
}

// Write takes as much of p as the kernel and the buffer hold, and returns how many bytes that was; if not all,
// Flushed follows. A failure is notified by Closed, not before the present callback is over. Where nothing waits
// before it, p goes to the kernel as it is, and only what that does not take is copied.
func (c *Conn) Write(p []byte) (taken int) {
	if len(p) > 0 && c.out.Len() == 0 && c.open && !c.closed && !c.writeFailed {
		taken = c.writeToKernel(p)
		p = p[taken:]
	}
	if !c.closed && !c.writeFailed {
		taken += c.out.Write(p)
	}
	c.updateWriteInterest()
	return taken
}

// writeToKernel hands bytes to the kernel and returns how many it took.
func (c *Conn) writeToKernel(p []byte) int {
	n, err := unix.Write(c.fd, p)
	if n > 0 {
		c.sent += uint64(n)
		return n
	}
	if err != unix.EAGAIN && err != unix.EINTR {
		c.writeFailed = true
		c.resetSeen = true // the kernel may tell of it here alone
		c.loop.Later(c.onPeerEnd)
	}
	return 0
}

// Sent counts the bytes that the kernel has taken.
func (c *Conn) Sent() uint64 { return c.sent }

// Unsent is how many bytes wait to be taken by the kernel.
func (c *Conn) Unsent() int { return c.out.Len() }

// Untaken is how many bytes the other side has still to take: those that wait here, and as far as the kernel tells
// those that it holds.
func (c *Conn) Untaken() int {
	queued, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if c.closed || err != nil {
		queued = 0
	}
	return c.out.Len() + queued
}

// TakeBack drops what the kernel has not taken.
func (c *Conn) TakeBack() {
	c.out.Drop(c.out.Len())
	c.updateWriteInterest()
}

// Deepen lets the kernel hold so many bytes that the other side has not read, as far as it allows: it goes on sending
// them when this process has ended.
func (c *Conn) Deepen(bytes int) {
	if !c.closed {
		unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
	}
}
