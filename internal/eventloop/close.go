package eventloop

import "golang.org/x/sys/unix"

// onPeerEnd takes the other side's end of the connection, a dial that failed, or a write that failed. netpoll tells
// of the end of a socket that it does not read at once, whatever stands before it; where that is still wanted it is
// read first.
func (c *Conn) onPeerEnd() {
	wanted := c.drainsInput && c.open && c.finishTimer == nil
	if !wanted {
		c.closeAndNotify()
		return
	}
	if c.peerEnded || c.closed {
		return
	}
	c.peerEnded = true
	c.changeReadingLater()
}

// closeAndNotify closes the connection and, unless it was finishing, notifies the handler after the present callback.
func (c *Conn) closeAndNotify() {
	if c.closed {
		return
	}
	finishing := c.finishTimer != nil
	c.Close()
	if !finishing {
		c.loop.Later(c.handler.Closed)
	}
}

// Finish ends the sending, and the connection once the other side has ended, too, or after so many seconds: if it
// is closed with input unread, or some comes just then, the kernel resets it, and what the other side has not read
// yet may be lost to it. What still comes is dropped, and the handler hears nothing more. Where something waits to
// be written the connection is closed at once and that is lost, as by Close.
func (c *Conn) Finish(within float64) {
	if c.closed || c.finishTimer != nil {
		return
	}
	if c.writeFailed || c.out.Len() > 0 {
		c.Close()
		return
	}
	c.finishTimer = c.loop.Timer(c.Close)
	c.finishTimer.Set(c.loop.Now() + within)
	c.loop.closing.halfClosed++
	unix.Shutdown(c.fd, unix.SHUT_WR)
	c.In.Drop(c.In.Len())
	c.Resume()
}

// Close ends the connection; what it had not written is lost. The other side learns of it at once: an attempt that
// follows elsewhere must not run beside the one given up. The handler hears nothing more. Closing twice does nothing.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.finishTimer != nil {
		c.finishTimer.Stop()
		c.loop.closing.halfClosed--
	}
	unix.Shutdown(c.fd, unix.SHUT_RDWR)
	c.loop.releaseLater(c)
}

// Forget has the kernel drop what the other side has not taken when the connection ends. Without it that would go on
// being sent for minutes where nothing comes through, and would reach the other side once it is back.
func (c *Conn) Forget() {
	if !c.closed {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

// Reset ends the connection as a process that dies does: the other side gets a reset, and what it had not read is
// lost.
func (c *Conn) Reset() {
	if c.closed {
		return
	}
	c.Forget()
	c.closed = true
	c.loop.releaseLater(c)
}
