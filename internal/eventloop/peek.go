package eventloop

import "golang.org/x/sys/unix"

// peek looks at the next unread byte of the socket without taking it: n is 1 where there is one, 0 at the other
// side's end; err is EAGAIN where there is neither.
func (c *Conn) peek() (n int, err error) {
	var next [1]byte
	n, _, err = unix.Recvfrom(c.fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil && !temporary(err) {
		c.resetSeen = true
	}
	return n, err
}

// temporary tells whether an error of a system call says nothing of the connection: there is nothing now, or a signal
// interrupted the call.
func temporary(err error) bool { return err == unix.EAGAIN || err == unix.EINTR }

// Quiet tells that neither In nor the socket holds anything unread and that the socket has not ended.
func (c *Conn) Quiet() bool {
	_, err := c.peek()
	return c.In.Len() == 0 && err == unix.EAGAIN
}

// Unread tells whether the socket holds bytes that have not been read.
func (c *Conn) Unread() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// Ended tells whether the other side has ended the connection and the socket holds nothing before that.
func (c *Conn) Ended() bool {
	n, err := c.peek()
	if err != nil {
		return !temporary(err)
	}
	return n == 0
}

// Gone tells whether the other side has ended the connection, also where the socket holds unread bytes before that:
// those may be more than is read at once, or nothing is read just now. An end that the kernel has not taken yet,
// for the bytes before it fill all that it holds unread, is not known here.
func (c *Conn) Gone() bool {
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

// ByReset tells of a connection that has ended whether that was a reset: then what came before it is incomplete.
func (c *Conn) ByReset() bool {
	if c.socketFailed() {
		c.resetSeen = true // where nothing has been read since, so that it was not told yet
	}
	return c.resetSeen
}
