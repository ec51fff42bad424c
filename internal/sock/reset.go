package sock

import "golang.org/x/sys/unix"

// Reset ends the connection as a process that dies does: the other side gets a reset, and what it had not read is lost.
func (c *Conn) Reset() {
	if !c.closed {
		c.closed = true
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.loop.closing = append(c.loop.closing, c)
		c.loop.rouse()
	}
}
