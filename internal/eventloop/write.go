package eventloop

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// writeBuffers returns the bytes that netpoll is to write. The second result is always false: no zero copy.
func (c *Conn) writeBuffers(slices [][]byte) ([][]byte, bool) {
	if c.closed {
		return nil, false
	}
	return c.out.Held(slices[:0]), false
}

// onWritten receives from netpoll how many bytes the kernel has accepted.
func (c *Conn) onWritten(n int) error {
	c.loop.dispatch(func() { c.dropWritten(n) })
	return nil
}

// dropWritten drops n bytes that the kernel has accepted from the buffer, and notifies the handler.
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

// updateWriteInterest has netpoll watch whether the socket is writable while, and only while, bytes wait to be written.
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

// Write accepts as much of p as the kernel and the buffer have room for, and returns that number of bytes; if it is
// less than len(p), Flushed follows. A failure is reported by Closed after the current callback. If the buffer is
// empty, p is written to the kernel directly, and only the rest that the kernel does not accept is copied.
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

// writeToKernel writes bytes to the socket and returns how many the kernel accepted.
func (c *Conn) writeToKernel(p []byte) int {
	n, err := unix.Write(c.fd, p)
	if n > 0 {
		c.sent += uint64(n)
		return n
	}
	if err != unix.EAGAIN && err != unix.EINTR {
		c.writeFailed = true
		c.resetReported = true // the kernel may report it only here
		c.loop.Defer(c.onPeerEnd)
	}
	return 0
}

// Sent returns how many bytes the kernel has accepted.
func (c *Conn) Sent() uint64 { return c.sent }

// Unsent returns how many bytes wait for the kernel to accept them.
func (c *Conn) Unsent() int { return c.out.Len() }

// Unacknowledged returns how many bytes the peer has not acknowledged: those that wait in the buffer and, if the kernel
// reports it, those in the kernel's send queue.
func (c *Conn) Unacknowledged() int {
	queued, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if c.closed || err != nil {
		queued = 0
	}
	return c.out.Len() + queued
}

// DropUnsent drops the bytes that the kernel has not accepted.
func (c *Conn) DropUnsent() {
	c.out.Drop(c.out.Len())
	c.updateWriteInterest()
}

// ExpandSendBuffer sets the size of the kernel's send buffer, up to the kernel's limit. The kernel goes on sending the
// bytes in that buffer after this process has ended.
func (c *Conn) ExpandSendBuffer(bytes int) {
	if !c.closed {
		unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
	}
}
