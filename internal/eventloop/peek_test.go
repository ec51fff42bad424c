package eventloop

import (
	"net"
	"testing"
	"time"
)

// Gone sees the other side's end also behind unread bytes and on a paused connection; unread bytes alone are no end.
func TestGone(t *testing.T) {
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
			runOnLoop(l, func() { // the loop waits here, and hears of nothing
				if paused {
					served[0].Pause()
				}
				test.act(clients[0])
				for i := 0; i < 2000 && test.gone && !served[0].Gone(); i++ {
					time.Sleep(time.Millisecond)
				}
				if served[0].Gone() != test.gone {
					t.Errorf("%s, paused %v: Gone is %v", name, paused, !test.gone)
				}
			})
		}
	}
}

// netpoll tells of an end by a goroutine, which waits for the loop where that has the only processor: with a busy loop
// an end came long after what followed it on other connections. So the loop takes an end in the round in which it is
// there to be read.
func TestAnEndIsTakenInItsRound(t *testing.T) {
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
			for !served[0].Gone() {
				time.Sleep(time.Millisecond)
			}
			clients[1].Write([]byte{0})
			for !served[1].Unread() {
				time.Sleep(time.Millisecond)
			}
		})
		if n := <-eventsBefore; n != 1 {
			t.Errorf("%s was notified %d times before what came after it", name, n)
		}
		await(t, received, "closed")
	}
}
