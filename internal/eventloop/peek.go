package eventloop

import "golang.org/x/sys/unix"

// Gone tells whether the other side has ended the connection, also where the socket holds unread bytes before that: those may be
// more than is read at once, or nothing is read just now. An end that the kernel has not taken yet, for the bytes before it fill
// all that it holds unread, is not known here.
func (c *Conn) Gone() bool {
	n, err := c.peek()
	if err != nil || n == 0 {
		return err != unix.EAGAIN && err != unix.EINTR
	}
	look := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(look, 0)
	return err == nil && n > 0
}

// ByReset tells of a connection that has ended whether that was a reset: then what came before it is no whole.
func (c *Conn) ByReset() bool {
	if failure, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || failure != 0 {
		c.reset = true // where nothing has been read since, so that it was not told yet
	}
	return c.reset
}
