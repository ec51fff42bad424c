package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// A connection closed in its own callback is released, and its handler hears nothing more.
func TestCloseInItsOwnCallback(t *testing.T) {
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

// The other side learns of a close before anything else is done: the callback that closed is not over yet.
func TestCloseIsToldAtOnce(t *testing.T) {
	noticed := make(chan bool)
	addr, events := serve(t, startLoop(t), func(c *Conn) {
		c.Close()
		select {
		case <-noticed:
		case <-time.After(5 * time.Second):
			t.Error("the other side did not notice while the callback ran")
		}
	})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Write([]byte("x"))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v", err)
	}
	noticed <- true
	if len(events) > 0 {
		t.Errorf("after Close came %s", <-events)
	}
}
