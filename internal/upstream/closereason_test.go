package upstream

import (
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// Each end of a connection on which something is owed is counted by its reason, one on which nothing is owed is not.
func TestCloseCountsByReason(t *testing.T) {
	nothing := func(testPools, net.Conn, requestcore.BodyStream) {}
	for name, c := range map[string]struct {
		answer string
		end    func(pools testPools, conn net.Conn, long requestcore.BodyStream)
		why    CloseReason
		none   bool
	}{
		"a reset in place of an answer": {"", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) {
			resetConn(conn.(*net.TCPConn))
		}, ServerClosed, false},
		"an end within a long value": {"VA 70000 Oa\r\nxx", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) {
			conn.Close()
		}, ServerClosed, false},
		"noise in place of an answer":   {"noise\r\n", nothing, UnexpectedReply, false},
		"an answer that does not go on": {"VA 100 Oa\r\nxx", nothing, ReplyStalled, false},
		"a client that leaves its value": {"VA 70000 Oa\r\nxx", func(_ testPools, _ net.Conn, long requestcore.BodyStream) {
			long.Discard()
		}, ClientDisconnected, false},
		"an attempt given up before it": {"", func(pools testPools, _ net.Conn, _ requestcore.BodyStream) {
			pools.servers[1].connections[0].inFlight[0].abandon(balancer.TimedOut)
		}, AttemptAbandoned, false},
		"an end after the answer": {"VA 0 Oa\r\n\r\n", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) {
			conn.Close()
		}, 0, true},
		"an end on which nobody waits": {"", func(pools testPools, conn net.Conn, _ requestcore.BodyStream) {
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
			if c.why == AttemptAbandoned {
				pools.startAttemptAt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 60, 60, behind)
			}
			conn.Write([]byte(c.answer))
			var long requestcore.BodyStream
			if strings.Contains(c.answer, "70000") || c.why == 0 && c.none && c.answer != "" {
				if long = (<-settled).Body; long != nil {
					pools.onLoop(pools.loop, func() { long.StartReading(&fakeSink{ending: make(chan string, 1), room: 9}) })
				}
			}
			pools.onLoop(pools.loop, func() { c.end(pools, conn, long) })
			want := [closeReasonCount]uint64{}
			if want[c.why]++; c.none {
				want[c.why] = 0
			}
			var got [closeReasonCount]uint64
			for i := 0; i < 500; i++ {
				over := false
				pools.onLoop(pools.loop, func() {
					got = pools.closeCounts
					over = len(pools.servers[1].connections) == 0
				})
				if over {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if got != want {
				t.Errorf("%v are counted, want %v of %v", got, want, CloseReasons)
			}
		})
	}
}
