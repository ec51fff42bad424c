package eventloop

import (
	"net"
	"testing"
)

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
