package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// A connection closed in its own callback is let go of, and nothing more is heard of it.
func TestCloseInItsOwnCallback(t *testing.T) {
	l := running(t)
	addr, happy := listening(t, l, func(c *Conn) { c.Close() })
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
	l.Post(func() { happy <- "done" })
	await(t, happy, "done")
}

// The other side learns of a close before anything else is done: the callback that closed is not over yet.
func TestCloseIsToldAtOnce(t *testing.T) {
	told := make(chan bool)
	addr, happy := listening(t, running(t), func(c *Conn) {
		c.Close()
		select {
		case <-told:
		case <-time.After(5 * time.Second):
			t.Error("the other side was not told while the callback ran")
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
	told <- true
	if len(happy) > 0 {
		t.Errorf("after Close came %s", <-happy)
	}
}
