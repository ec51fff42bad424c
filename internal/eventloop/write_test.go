package eventloop

import (
	"io"
	"net"
	"testing"
	"time"
)

// Bytes that wait for a slow reader are written as it reads, even while reading from its connection is paused.
func TestSlowReaderWhilePaused(t *testing.T) {
	l := startLoop(t)
	const size = 8 << 20
	left := size
	var push func(c *Conn)
	push = func(c *Conn) {
		for left > 0 {
			n := c.Write(make([]byte, min(left, bufferBound)))
			left -= n
			if n == 0 {
				l.After(0.001, func() { push(c) })
				return
			}
		}
	}
	addr, _ := serve(t, l, func(c *Conn) {
		c.Pause()
		push(c)
	})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Write([]byte("x"))
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := io.CopyN(io.Discard, conn, size); err != nil {
		t.Errorf("read %d bytes, want %d: %v", n, size, err)
	}
}
