package eventloop

import "golang.org/x/sys/unix"

// onPeerEnd handles the peer's end of the connection, a dial that failed, or a write that failed. For a socket that
// it does not read, netpoll reports the end immediately, even if unread bytes precede it. If the connection's owner
// wants those bytes (drainsInput), they are read first.
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
	observer, observes := c.handler.(EndObserver)
	if observes {
		c.loop.Defer(observer.PeerEnded)
	}
}

// closeAndNotify closes the connection and, unless it was finishing, notifies the handler after the current callback.
func (c *Conn) closeAndNotify() {
	if c.closed {
		return
	}
	finishing := c.finishTimer != nil
	c.Close()
	if !finishing {
		c.loop.Defer(c.handler.Closed)
	}
}

// Finish half-closes the connection for writing. It closes the connection when the peer has ended it, too, or after
// within seconds. Closing it immediately could lose data: if input is unread or arrives at that moment, the kernel
// resets the connection, and the peer may lose what it has not read yet. Further input is dropped, and the handler is
// not called again. If bytes still wait to be written, Finish does what Close does: those bytes are lost.
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

// Close ends the connection; unwritten bytes are lost. It shuts the socket down immediately, so that the peer is
// notified before a retry on another connection starts: a retry must not run in parallel with the abandoned attempt.
// The handler is not called again. Closing twice does nothing.
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

// DropUnackedOnClose makes the kernel drop bytes that the peer has not acknowledged when the connection ends. Otherwise
// the kernel retransmits them for minutes while the peer is unreachable, and delivers them when it is reachable again.
func (c *Conn) DropUnackedOnClose() {
	if !c.closed {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

// Reset ends the connection as the death of its process does: the peer gets a reset and loses what it has not read.
func (c *Conn) Reset() {
	if c.closed {
		return
	}
	c.DropUnackedOnClose()
	c.closed = true
	c.loop.releaseLater(c)
}
