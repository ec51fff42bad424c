package eventloop

import (
	"net"
	"testing"
	"time"
)

// That the other side has gone is told also beyond what is unread, and of a paused connection; what is unread alone is no end.
func TestGone(t *testing.T) {
	l := running(t)
	for name, c := range map[string]struct {
		does func(conn *net.TCPConn)
		gone bool
	}{
		"nothing":           {func(*net.TCPConn) {}, false},
		"it writes":         {func(conn *net.TCPConn) { conn.Write(make([]byte, 3000)) }, false},
		"it ends":           {func(conn *net.TCPConn) { conn.CloseWrite() }, true},
		"it closes":         {func(conn *net.TCPConn) { conn.Close() }, true},
		"it resets":         {func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() }, true},
		"it writes, ends":   {func(conn *net.TCPConn) { conn.Write(make([]byte, 3000)); conn.CloseWrite() }, true},
		"it writes, resets": {func(conn *net.TCPConn) { conn.Write(make([]byte, 3000)); conn.SetLinger(0); conn.Close() }, true},
	} {
		for _, paused := range []bool{false, true} {
			clients, served, _ := pair(t, l, func(*Conn) {})
			on(l, func() { // the loop is held, and hears of nothing
				if paused {
					served[0].Pause()
				}
				c.does(clients[0])
				for i := 0; i < 2000 && c.gone && !served[0].Gone(); i++ {
					time.Sleep(time.Millisecond)
				}
				if served[0].Gone() != c.gone {
					t.Errorf("%s, paused %v: it has gone is told as %v", name, paused, !c.gone)
				}
			})
		}
	}
}

// An end is taken in the round in which it is there to be read, before what came after it on another connection: netpoll tells of it by
// a goroutine, which waits for the loop where that has the only processor.
func TestAnEndIsTakenInItsRound(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"an end":  func(conn *net.TCPConn) { conn.CloseWrite() },
		"a reset": func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
	} {
		l := running(t)
		var happy chan string
		before := make(chan int, 1)
		clients, served, told := pair(t, l, func(c *Conn) {
			c.In.Drop(c.In.Len())
			before <- len(happy)
		})
		happy = told
		on(l, func() {
			end(clients[0])
			for !served[0].Gone() {
				time.Sleep(time.Millisecond)
			}
			clients[1].Write([]byte{0})
			for !served[1].Unread() {
				time.Sleep(time.Millisecond)
			}
		})
		if n := <-before; n != 1 {
			t.Errorf("%s was told of %d times before what came after it", name, n)
		}
		await(t, told, "closed")
	}
}
