package upstream

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// The outcome of an attempt for each kind of reply of the protocol.
func TestOutcomes(t *testing.T) {
	for reply, want := range map[string]balancer.Outcome{
		"VA 2 Oa h0 Z\r\nhi\r\n":  balancer.Succeeded,
		"SERVER_ERROR busy\r\n":   balancer.Overloaded,
		"SERVER_ERROR failed\r\n": balancer.ServerError,
		"CLIENT_ERROR bad\r\n":    balancer.ConnectionLost,
		"SERVER_ERROR odd\r\n":    balancer.ConnectionLost,
		"VA 2 Ob\r\nhi\r\n":       balancer.ConnectionLost, // the reply to another request must not be forwarded
		"HD Oa c1\r\n":            balancer.ConnectionLost, // a write's reply to a read
		"VA 2 Oa\r\nhi":           balancer.ConnectionLost, // truncated
		"VA 99999 Oa\r\n":         balancer.ConnectionLost,
		"":                        balancer.ConnectionLost, // the server closes the connection
	} {
		pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) {
			conn.Write([]byte(reply))
			if !strings.HasSuffix(reply, "\r\n") {
				conn.Close()
			}
		})
		outcome, _ := pools.startRead(3)
		outcome.want(t, want)
	}
}

// After a malformed reply the connection must be closed, or its remaining bytes could be taken for the reply to the
// next attempt. The attempt must end at once, not at its deadline.
func TestMalformedReplyClosesConnection(t *testing.T) {
	for _, reply := range []string{"CLIENT_ERROR bad\r\n", "SERVER_ERROR odd\r\n", "\x93\x00\xff", "no end of a line",
		"VA 9 Oa\r\nhi\r\n", "VA 3000000000 Oa\r\nhi", "VA 2 O", "VA 1 Oa\r\nhi\r\n", "VA 2 Ob\r\nhi\r\n"} {
		pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte(reply)) })
		startedAt := time.Now()
		outcome, _ := pools.startRead(3)
		outcome.want(t, balancer.ConnectionLost)
		if elapsed := time.Since(startedAt); elapsed > time.Second {
			t.Errorf("%q: the attempt ended after %v, want at most 1 s", reply, elapsed)
		}
		pools.wantLine("mg")
		pools.wantLine("end")
	}
}

// A valid reply is used, whatever bytes follow it. The next attempt gets a new connection.
func TestBytesBehindReply(t *testing.T) {
	for _, more := range []string{"VA 0 Oa\r\n\r\n", "\x93noise", "END\r\n"} {
		pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n" + more)) })
		for range 2 {
			outcome, _ := pools.startRead(3)
			outcome.want(t, balancer.Succeeded)
			pools.wantLine("mg")
			pools.wantLine("end")
		}
	}
}

// A server replies and closes the connection at once. The next attempt must not be written there: its outcome would be
// unknown.
func TestReplyAndCloseTogether(t *testing.T) {
	var commands atomic.Int32
	pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) {
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		if commands.Add(1) == 2 {
			conn.Close()
		}
	})
	first, _ := pools.startRead(5)
	first.want(t, balancer.Succeeded)
	request, next := &requestcore.Request{ID: "a"}, make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, request, 5, 5, endFunc(func() { pools.StartAttempt(1, request, 5, 5, next) }))
		time.Sleep(50 * time.Millisecond) // the reply and the close have arrived when the loop continues
	})
	next.want(t, balancer.Succeeded)
}

// A reply that arrives in two fragments, split at any byte, is decoded completely and belongs to its own request, and
// so is the next one on the same connection.
func TestReplyInTwoPieces(t *testing.T) {
	for form, c := range map[string]struct {
		reply string
		write bool
		want  balancer.Outcome
	}{
		"a hit":               {"VA 4 Oa h1\r\nV\r\n\r\r\n", false, balancer.Succeeded},
		"a miss":              {"VA 0 h0 Z Oa\r\n\r\n", false, balancer.Succeeded},
		"a receipt":           {"HD Oa c77\r\n", true, balancer.Succeeded},
		"flags reordered":     {"HD c77 Oa\r\n", true, balancer.Succeeded},
		"a rejection":         {"SERVER_ERROR busy\r\n", false, balancer.Overloaded},
		"rejection with time": {"SERVER_ERROR busy 20\r\n", false, balancer.Overloaded},
		"an error":            {"SERVER_ERROR failed\r\n", false, balancer.ServerError},
	} {
		limits := defaultLimits
		limits.StallTimeout = 60 // on a busy machine there may be a long pause between the two fragments
		pools, conns := startListener(t, limits)
		var conn net.Conn
		for cut := range c.reply {
			outcome := make(outcomeRecorder, 1)
			pools.onLoop(pools.loop, func() {
				pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa", Write: c.write}, 60, 60, outcome)
			})
			if conn == nil {
				conn = <-conns
			}
			if readCommand(t, conn); c.write { // the line end of the empty value
				readCommand(t, conn)
			}
			conn.Write([]byte(c.reply[:cut]))
			for begun := cut == 0; !begun; { // until the fragment has been read
				pools.onLoop(pools.loop, func() {
					poolConn := pools.servers[1].connections[0]
					begun = poolConn.codec.ReplyBegun() && poolConn.socket.HasNoInput()
				})
			}
			if len(outcome) > 0 {
				t.Fatalf("%s: the attempt ended with the incomplete reply %q", form, c.reply[:cut])
			}
			conn.Write([]byte(c.reply[cut:]))
			if outcome.want(t, c.want); t.Failed() {
				t.Fatalf("%s, split at byte %d", form, cut)
			}
		}
		pools.onLoop(pools.loop, func() {
			if pools.connectionCount != 1 {
				t.Errorf("%s: got %d connections, want 1", form, pools.connectionCount)
			}
		})
	}
}

// A rejection carries no request id, so right behind another reply it may be a duplicate of that reply. It then does
// not prove that a request that must not be executed twice was not executed.
func TestRejectionRightBehindReplyIsOutcomeUnknown(t *testing.T) {
	for _, c := range []struct {
		notIdempotent     bool
		secondsSinceReply float64
		want              balancer.Outcome
	}{{true, -1, balancer.OutcomeUnknown}, {false, -1, balancer.Overloaded}, {true, 1, balancer.Overloaded}} {
		pools, conns := startListener(t, defaultLimits)
		first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
		conn := <-conns
		answerCommand(t, conn, "VA 0 Oa\r\n\r\n")
		first.want(t, balancer.Succeeded)
		pools.onLoop(pools.loop, func() {
			pools.servers[1].connections[0].lastReplyAt = pools.loop.Now() - c.secondsSinceReply
			pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob", NotIdempotent: c.notIdempotent}, 5, 5, second)
		})
		answerCommand(t, conn, "SERVER_ERROR busy\r\n")
		second.want(t, c.want)
	}
}

// A reply has arrived when the attempt's deadline passes, and the loop handles both in one iteration. The attempt must
// end exactly once, as one or the other.
func TestReplyAndTimeoutInOneIteration(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	outcome := make(outcomeRecorder, 2)
	pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, outcome)
	conn := <-conns
	readCommand(t, conn)
	pools.onLoop(pools.loop, func() {
		poolConn := pools.servers[1].connections[0]
		a := poolConn.inFlight[0]
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		for !poolConn.socket.Unread() {
			time.Sleep(time.Millisecond)
		}
		a.deadline = pools.loop.Now()
		a.timer.Set(a.deadline)
	})
	if got := <-outcome; got != balancer.Succeeded && got != balancer.TimedOut {
		t.Errorf("got outcome %d, want balancer.Succeeded or balancer.TimedOut", got)
	}
	pools.onLoop(pools.loop, func() {})
	pools.onLoop(pools.loop, func() {
		if len(outcome) > 0 || len(pools.servers[1].connections) > 1 {
			t.Errorf("got %d further outcomes, want 0; got %d connections, want at most 1",
				len(outcome), len(pools.servers[1].connections))
		}
	})
}

// An attempt that was written before its send deadline still gets its reply after it.
func TestReplyAfterSendDeadline(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	outcome := make(outcomeRecorder, 1)
	var a *attempt
	pools.onLoop(pools.loop, func() {
		a = pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 30, outcome).(*attempt)
	})
	conn := <-conns
	readCommand(t, conn)
	pools.onLoop(pools.loop, a.onTimer) // the send deadline passes
	conn.Write([]byte("VA 0 Oa\r\n\r\n"))
	outcome.want(t, balancer.Succeeded)
}

// A server replies and resets the connection, and a write in the same loop iteration fails. The reply must still be
// read, and the attempt that could not be written must end as not executed.
func TestReplyBeforeFailedWrite(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	pools, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
	conn := (<-conns).(*net.TCPConn)
	readCommand(t, conn)
	pools.onLoop(pools.loop, func() {
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		resetConn(conn)
		pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.Succeeded)
	second.want(t, balancer.ConnectFailed)
}
