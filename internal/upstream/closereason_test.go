package upstream

import (
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// The end of a connection on which a reply is expected is counted by its reason. The end of one without an expected
// reply is not counted.
func TestCloseCountsByReason(t *testing.T) {
	doNothing := func(testPools, net.Conn, requestcore.BodyStream) {}
	for name, c := range map[string]struct {
		reply      string
		end        func(pools testPools, conn net.Conn, body requestcore.BodyStream)
		reason     CloseReason
		notCounted bool
	}{
		"reset instead of a reply": {"", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) {
			resetConn(conn.(*net.TCPConn))
		}, ServerClosed, false},
		"close within a long value": {"VA 70000 Oa\r\nxx", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) {
			conn.Close()
		}, ServerClosed, false},
		"malformed reply":   {"noise\r\n", doNothing, UnexpectedReply, false},
		"reply that stalls": {"VA 100 Oa\r\nxx", doNothing, ReplyStalled, false},
		"client disconnects in a value": {"VA 70000 Oa\r\nxx", func(_ testPools, _ net.Conn, body requestcore.BodyStream) {
			body.Discard()
		}, ClientDisconnected, false},
		"attempt before it abandoned": {"", func(pools testPools, _ net.Conn, _ requestcore.BodyStream) {
			pools.servers[1].connections[0].inFlight[0].abandon(balancer.TimedOut)
		}, AttemptAbandoned, false},
		"close after the reply": {"VA 0 Oa\r\n\r\n", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) {
			conn.Close()
		}, 0, true},
		"close after the attempt was cancelled": {"", func(pools testPools, conn net.Conn, _ requestcore.BodyStream) {
			pools.servers[1].connections[0].inFlight[0].Cancel()
			conn.Close()
		}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			limits := defaultLimits
			limits.MaxConnections = 1
			pools, conns := startListener(t, limits)
			settled, behind := make(chan requestcore.Result, 1), make(outcomeRecorder, 1)
			pools.onLoop(pools.loop, func() {
				pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, resultRecorder(settled))
			})
			conn := <-conns
			readCommand(t, conn)
			if c.reason == AttemptAbandoned {
				pools.startAttemptAt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 60, 60, behind)
			}
			conn.Write([]byte(c.reply))
			var body requestcore.BodyStream
			if strings.Contains(c.reply, "70000") || c.reason == 0 && c.notCounted && c.reply != "" {
				if body = (<-settled).Body; body != nil {
					pools.onLoop(pools.loop, func() { body.StartReading(&fakeSink{ending: make(chan string, 1), room: 9}) })
				}
			}
			pools.onLoop(pools.loop, func() { c.end(pools, conn, body) })
			want := [closeReasonCount]uint64{}
			if want[c.reason]++; c.notCounted {
				want[c.reason] = 0
			}
			var got [closeReasonCount]uint64
			for i := 0; i < 500; i++ {
				closed := false
				pools.onLoop(pools.loop, func() {
					got = pools.closeCounts
					closed = len(pools.servers[1].connections) == 0
				})
				if closed {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if got != want {
				t.Errorf("got close counts %v, want %v, of the reasons %v", got, want, CloseReasons)
			}
		})
	}
}
