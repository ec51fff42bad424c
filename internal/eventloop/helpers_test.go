package eventloop

import (
	"net"
	"testing"
	"time"

	"bendtrestle/internal/testaddress"
)

// recordingHandler sends the names of its connection's events to a channel, and calls input for Input.
type recordingHandler struct {
	conn   *Conn
	events chan string
	input  func(*Conn)
}

func (h *recordingHandler) Opened()  { h.events <- "opened" }
func (h *recordingHandler) Flushed() {}
func (h *recordingHandler) Closed()  { h.events <- "closed" }
func (h *recordingHandler) Input()   { h.input(h.conn) }

// startLoop runs a loop until the test ends.
func startLoop(t *testing.T) *Loop {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(func() { l.Post(l.Stop) })
	return l
}

// await waits for the next event and fails if it isn't want.
func await(t *testing.T, from chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("got no event within 5 s, want %s", want)
	}
}

// serve listens at a free address; each connection is handled by a recordingHandler on events with that input.
func serve(t *testing.T, l *Loop, input func(*Conn)) (addr string, events chan string) {
	addr = testaddress.New()
	events = make(chan string, 100)
	done := make(chan error)
	l.Post(func() {
		_, err := l.Listen(addr, func() bool { return true }, func(c *Conn) Handler {
			return &recordingHandler{conn: c, events: events, input: input}
		})
		done <- err
	})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return addr, events
}

// echo writes the received bytes back, as far as Write accepts them.
func echo(c *Conn) {
	for _, part := range c.In.Held(nil) {
		n := c.Write(part)
		c.In.Drop(n)
		if n < len(part) {
			break
		}
	}
}

// connectTwo makes two connections that the loop has accepted, and returns both ends of each.
func connectTwo(t *testing.T, l *Loop, input func(*Conn)) (clients []*net.TCPConn, served []*Conn, events chan string) {
	t.Helper()
	accepted := make(chan *Conn, 2)
	addr, events := serve(t, l, func(c *Conn) {
		if len(served) < 2 {
			c.In.Drop(c.In.Len())
			accepted <- c
			return
		}
		input(c)
	})
	for range 2 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.Write([]byte{0})
		c := <-accepted
		runOnLoop(l, func() { served = append(served, c) })
		clients = append(clients, conn.(*net.TCPConn))
	}
	return clients, served, events
}

// runOnLoop runs a function on the loop and waits until it returns.
func runOnLoop(l *Loop, call func()) {
	done := make(chan bool)
	l.Post(func() {
		call()
		close(done)
	})
	<-done
}
