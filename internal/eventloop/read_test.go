package eventloop

import (
	"net"
	"testing"
	"time"
)

// A full buffer must stop reading, so that the sender is blocked and no byte is lost. After Resume the rest arrives.
func TestFullBufferStopsReading(t *testing.T) {
	l := startLoop(t)
	filled := make(chan *Conn, 1)
	held := true
	total := 0
	addr, events := serve(t, l, func(c *Conn) {
		if !held {
			total += c.In.Len()
			c.In.Drop(c.In.Len())
		} else if c.In.Room() == 0 {
			c.Pause()
			filled <- c
		}
	})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	const size = 32 << 20 // beyond what the kernel's buffers hold
	go func() {
		conn.Write(make([]byte, size))
		conn.Close()
	}()
	c := <-filled
	time.Sleep(50 * time.Millisecond)
	l.Post(func() {
		if c.In.Len() != bufferBound {
			t.Errorf("the buffer holds %d bytes, want %d", c.In.Len(), bufferBound)
		}
		held = false
		c.Resume()
		c.handler.Input()
	})
	await(t, events, "closed")
	l.Post(func() {
		if total != size {
			t.Errorf("received %d bytes, want %d", total, size)
		}
		events <- "counted"
	})
	await(t, events, "counted")
}
