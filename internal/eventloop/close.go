package eventloop

import "golang.org/x/sys/unix"

// Forget has the kernel drop what the other side has not taken when the connection ends. Without it that would go on being sent for
// minutes where nothing comes through, and would reach the other side once it is back.
func (c *Conn) Forget() {
	if !c.closed {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

// Reset ends the connection as a process that dies does: the other side gets a reset, and what it had not read is lost.
func (c *Conn) Reset() {
	if !c.closed {
		c.Forget()
		c.closed = true
		c.loop.closing = append(c.loop.closing, c)
		c.loop.rouse()
	}
}
