package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// A connection that is closed within its own callback is released, and its handler is not called again.
func TestCloseWithinCallbackReleasesConnection(t *testing.T) {
	l := startLoop(t)
	addr, events := serve(t, l, func(c *Conn) { c.Close() })
	for range 100 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write([]byte("x"))
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the connection was not closed: %v", err)
		}
		conn.Close()
	}
	l.Post(func() { events <- "done" })
	await(t, events, "done")
}

// The peer must see the end of a connection before the callback that called Close returns: a retry that starts in the
// same callback must not run in parallel with the abandoned attempt.
func TestCloseShutsSocketDownBeforeCallbackReturns(t *testing.T) {
	noticed := make(chan bool)
	addr, events := serve(t, startLoop(t), func(c *Conn) {
		c.Close()
		select {
		case <-noticed:
		case <-time.After(5 * time.Second):
			t.Error("the peer did not see the end while the callback ran")
		}
	})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Write([]byte("x"))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("Read after Close: got error %v, want EOF", err)
	}
	noticed <- true
	if len(events) > 0 {
		t.Errorf("the handler got %s after Close", <-events)
	}
}
