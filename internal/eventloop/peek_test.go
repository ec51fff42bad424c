package eventloop

import (
	"net"
	"testing"
	"time"
)

// PeerClosed must detect the peer's end behind unread bytes, too, and on a paused connection. Unread bytes alone are no
// end.
func TestPeerClosed(t *testing.T) {
	l := startLoop(t)
	for name, test := range map[string]struct {
		act  func(conn *net.TCPConn)
		gone bool
	}{
		"nothing":         {func(*net.TCPConn) {}, false},
		"it writes":       {func(conn *net.TCPConn) { conn.Write(make([]byte, 3000)) }, false},
		"it ends":         {func(conn *net.TCPConn) { conn.CloseWrite() }, true},
		"it closes":       {func(conn *net.TCPConn) { conn.Close() }, true},
		"it resets":       {func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() }, true},
		"it writes, ends": {func(conn *net.TCPConn) { conn.Write(make([]byte, 3000)); conn.CloseWrite() }, true},
		"it writes, resets": {func(conn *net.TCPConn) {
			conn.Write(make([]byte, 3000))
			conn.SetLinger(0)
			conn.Close()
		}, true},
	} {
		for _, paused := range []bool{false, true} {
			clients, served, _ := connectTwo(t, l, func(*Conn) {})
			runOnLoop(l, func() { // blocks the loop, so that it receives no events meanwhile
				if paused {
					served[0].Pause()
				}
				test.act(clients[0])
				for i := 0; i < 2000 && test.gone && !served[0].PeerClosed(); i++ {
					time.Sleep(time.Millisecond)
				}
				if served[0].PeerClosed() != test.gone {
					t.Errorf("%s, paused %v: PeerClosed: got %v, want the opposite", name, paused, !test.gone)
				}
			})
		}
	}
}

// netpoll reports a peer's end on another goroutine, which does not run while a busy loop occupies the only processor:
// the end was handled long after later events of other connections. So the loop handles an end in the same round in
// which it becomes readable.
func TestPeerEndIsHandledInTheRoundItBecomesReadable(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"an end":  func(conn *net.TCPConn) { conn.CloseWrite() },
		"a reset": func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
	} {
		l := startLoop(t)
		var events chan string
		eventsBefore := make(chan int, 1)
		clients, served, received := connectTwo(t, l, func(c *Conn) {
			c.In.Drop(c.In.Len())
			eventsBefore <- len(events)
		})
		events = received
		runOnLoop(l, func() {
			end(clients[0])
			for !served[0].PeerClosed() {
				time.Sleep(time.Millisecond)
			}
			clients[1].Write([]byte{0})
			for !served[1].Unread() {
				time.Sleep(time.Millisecond)
			}
		})
		if n := <-eventsBefore; n != 1 {
			t.Errorf("%s: got %d events before the next connection's input, want 1", name, n)
		}
		await(t, received, "closed")
	}
}
