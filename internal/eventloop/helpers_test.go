package eventloop

import (
	"net"
	"testing"
	"time"
)

// events is a handler that notes what happens to its connection.
type events struct {
	c     *Conn
	happy chan string
	input func(*Conn)
}

func (e *events) Opened()  { e.happy <- "opened" }
func (e *events) Flushed() {}
func (e *events) Closed()  { e.happy <- "closed" }
func (e *events) Input()   { e.input(e.c) }

func running(t *testing.T) *Loop {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(func() { l.Post(l.Stop) })
	return l
}

func await(t *testing.T, from chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("no %s", want)
	}
}

// listening gives a served address; each connection's input goes to input.
func listening(t *testing.T, l *Loop, input func(*Conn)) (addr string, happy chan string) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = free.Addr().String()
	free.Close()
	happy = make(chan string, 100)
	done := make(chan error)
	l.Post(func() {
		_, err := l.Listen(addr, func() bool { return true }, func(c *Conn) Handler {
			return &events{c: c, happy: happy, input: input}
		})
		done <- err
	})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return addr, happy
}

func echo(c *Conn) {
	for _, part := range c.In.Held(nil) {
		n := c.Write(part)
		c.In.Drop(n)
		if n < len(part) {
			break
		}
	}
}

// pair gives two clients' ends of connections, which the loop has accepted, and its own.
func pair(t *testing.T, l *Loop, input func(*Conn)) (clients []*net.TCPConn, served []*Conn, happy chan string) {
	t.Helper()
	came := make(chan *Conn, 2)
	addr, happy := listening(t, l, func(c *Conn) {
		if len(served) < 2 {
			c.In.Drop(c.In.Len())
			came <- c
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
		c, done := <-came, make(chan bool)
		l.Post(func() { served = append(served, c); close(done) })
		<-done
		clients = append(clients, conn.(*net.TCPConn))
	}
	return clients, served, happy
}

// on calls on the loop and waits for it.
func on(l *Loop, call func()) {
	done := make(chan bool)
	l.Post(func() { call(); close(done) })
	<-done
}
