package upstream

import (
	"fmt"
	"hash/crc32"
	"net"
	"testing"
	"time"

	"bendtrestle/internal/requestcore"
)

// waitingBody is a body that has begun to arrive and has no sink yet.
type waitingBody struct {
	testPools
	conn     *net.TCPConn // at the server
	body     requestcore.BodyStream
	onBroken chan bool
}

// startWaitingBody starts an attempt whose server has sent the head of a value and its first bytes.
func startWaitingBody(t *testing.T, length int, sent []byte) waitingBody {
	t.Helper()
	pools, conns := startListener(t, defaultLimits)
	settled := make(chan requestcore.Result, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, resultRecorder(settled))
	})
	conn := (<-conns).(*net.TCPConn)
	readCommand(t, conn)
	conn.Write(append(fmt.Appendf(nil, "VA %d Oa\r\n", length), sent...))
	w := waitingBody{testPools: pools, conn: conn, body: (<-settled).Body, onBroken: make(chan bool, 1)}
	pools.onLoop(pools.loop, func() { w.body.SetOnBroken(func() { w.onBroken <- true }) })
	return w
}

// A body waits for its client, and its server ends the connection within it or sends nothing more. The loss must be
// reported while no byte has been passed on, so that the request can be retried.
func TestLossOfWaitingBodyIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		sent int
		end  func(w waitingBody)
	}{
		"reset, the buffer has room":  {1000, func(w waitingBody) { resetConn(w.conn) }},
		"reset, the buffer is full":   {50000, func(w waitingBody) { resetConn(w.conn) }},
		"closed, the buffer has room": {1000, func(w waitingBody) { w.conn.Close() }},
		"closed, the buffer is full":  {50000, func(w waitingBody) { w.conn.Close() }},
		"closed before the line end":  {100000, func(w waitingBody) { w.conn.Close() }},
		"half-closed by the server":   {1000, func(w waitingBody) { w.conn.CloseWrite() }},
		"silent, when the timer is due": {1000, func(w waitingBody) {
			w.onLoop(w.loop, w.servers[1].connections[0].onStallTimeout)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWaitingBody(t, 100000, longValue(c.sent))
			c.end(w)
			select {
			case <-w.onBroken:
			case <-time.After(5 * time.Second):
				t.Fatal("the loss was not reported within 5 s")
			}
			w.onLoop(w.loop, func() {
				if !w.body.Broken() || len(w.servers[1].connections) != 0 {
					t.Errorf("got Broken %v and %d connections, want true and 0", w.body.Broken(), len(w.servers[1].connections))
				}
				w.body.Discard()
			})
		})
	}
}

// A server ends its connection right behind the whole value, which waits for its client. The value must not count as
// lost, and must be passed on when the client can take it.
func TestWholeWaitingBodySurvivesTheEndOfItsConnection(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){"closed": closeConn, "reset": resetConn} {
		t.Run(name, func(t *testing.T) {
			const length = 70000
			value := longValue(length)
			w := startWaitingBody(t, length, append(value, "\r\n"...))
			end(w.conn)
			for ended := false; !ended; time.Sleep(time.Millisecond) {
				w.onLoop(w.loop, func() { _, ended = w.servers[1].connections[0].socket.BytesBeforeEnd() })
			}
			sink := &fakeSink{ending: make(chan string, 1), room: 2 * length}
			w.onLoop(w.loop, func() {
				if w.body.Broken() {
					t.Error("the whole value counts as lost")
				}
				w.body.StartReading(sink)
			})
			select {
			case got := <-sink.ending:
				if got != "whole" || sink.sum != crc32.ChecksumIEEE(value[:length]) {
					t.Errorf("the value ended %s with %d bytes, want whole with %d", got, sink.got, length)
				}
			case <-time.After(5 * time.Second):
				t.Error("the value did not end within 5 s")
			}
			if len(w.onBroken) > 0 {
				t.Error("the whole value was reported as lost")
			}
		})
	}
}
