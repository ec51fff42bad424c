package eventloop

import "golang.org/x/sys/unix"

// peek looks for the next unread byte of the socket without consuming it: n is 1 if there is one and 0 at the peer's
// end; err is EAGAIN if there is neither.
func (c *Conn) peek() (n int, err error) {
	var next [1]byte
	n, _, err = unix.Recvfrom(c.fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil && !temporary(err) {
		c.resetReported = true
	}
	return n, err
}

// temporary reports whether a system call's error is no failure of the connection: no data is available at present, or
// a signal interrupted the call.
func temporary(err error) bool { return err == unix.EAGAIN || err == unix.EINTR }

// HasNoInput reports whether neither In nor the socket holds unread bytes and the peer has not ended the connection.
func (c *Conn) HasNoInput() bool {
	_, err := c.peek()
	return c.In.Len() == 0 && err == unix.EAGAIN
}

// Unread reports whether the socket holds bytes that have not been read.
func (c *Conn) Unread() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// Ended reports whether the peer has ended the connection and the socket holds no unread bytes before that end.
func (c *Conn) Ended() bool {
	n, err := c.peek()
	if err != nil {
		return !temporary(err)
	}
	return n == 0
}

// PeerClosed reports whether the peer has ended the connection, even if the socket holds unread bytes before that end:
// there may be more of them than one read returns, or reading may be paused. It does not detect an end that the kernel
// has not received yet because the bytes before it fill the receive buffer.
func (c *Conn) PeerClosed() bool {
	n, err := c.peek()
	if err != nil {
		return !temporary(err)
	}
	if n == 0 {
		return true
	}
	watched := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(watched, 0)
	return err == nil && ready > 0
}

// BytesBeforeEnd returns the number of bytes in In and in the socket, if the peer has ended the connection: no more
// will follow. Otherwise ended is false.
func (c *Conn) BytesBeforeEnd() (bytes int, ended bool) {
	if !c.peerEnded && !c.PeerClosed() {
		return 0, false
	}
	inSocket, err := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	if err != nil {
		inSocket = 0
	}
	return c.In.Len() + inSocket, true
}

// EndedByReset reports whether a connection that has ended was reset. In that case the bytes received are incomplete.
func (c *Conn) EndedByReset() bool {
	if c.socketFailed() {
		c.resetReported = true // no read has reported the error so far
	}
	return c.resetReported
}
