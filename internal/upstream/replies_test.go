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

// The protocol's table: what came back, and what that proves.
func TestOutcomes(t *testing.T) {
	for reply, want := range map[string]balancer.Outcome{
		"VA 2 Oa h0 Z\r\nhi\r\n":  balancer.Succeeded,
		"SERVER_ERROR busy\r\n":   balancer.Overloaded,
		"SERVER_ERROR failed\r\n": balancer.ServerError,
		"CLIENT_ERROR bad\r\n":    balancer.ConnectionLost,
		"SERVER_ERROR odd\r\n":    balancer.ConnectionLost,
		"VA 2 Ob\r\nhi\r\n":       balancer.ConnectionLost, // made for another: not to be passed on
		"HD Oa c1\r\n":            balancer.ConnectionLost, // no answer to a read
		"VA 2 Oa\r\nhi":           balancer.ConnectionLost, // cut short
		"VA 99999 Oa\r\n":         balancer.ConnectionLost,
		"":                        balancer.ConnectionLost, // the server ends the connection
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

// A spoilt answer leaves its connection open and of no use: it must be ended, lest the rest be taken for the next
// attempt's answer, and told at once, not when the attempt's limit is over.
func TestMalformedReplyClosesConnection(t *testing.T) {
	for _, reply := range []string{"CLIENT_ERROR bad\r\n", "SERVER_ERROR odd\r\n", "\x93\x00\xff", "no end of a line",
		"VA 9 Oa\r\nhi\r\n", "VA 3000000000 Oa\r\nhi", "VA 2 O", "VA 1 Oa\r\nhi\r\n", "VA 2 Ob\r\nhi\r\n"} {
		pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte(reply)) })
		began := time.Now()
		outcome, _ := pools.startRead(3)
		outcome.want(t, balancer.ConnectionLost)
		if took := time.Since(began); took > time.Second {
			t.Errorf("%q: told after %v", reply, took)
		}
		pools.wantLine("mg")
		pools.wantLine("end")
	}
}

// A good answer stands, whatever comes behind it; the next attempt gets a connection of its own.
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

// A server that answers and ends the connection in one go: the next attempt must not be written there, where
// it would count as one that may have run.
func TestReplyAndCloseTogether(t *testing.T) {
	var n atomic.Int32
	pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) {
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		if n.Add(1) == 2 {
			conn.Close()
		}
	})
	first, _ := pools.startRead(5)
	first.want(t, balancer.Succeeded)
	request, next := &requestcore.Request{ID: "a"}, make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, request, 5, 5, endFunc(func() { pools.StartAttempt(1, request, 5, 5, next) }))
		time.Sleep(50 * time.Millisecond) // answer and end are both there when the loop goes on
	})
	next.want(t, balancer.Succeeded)
}

// A reply comes in two pieces, cut anywhere, and so does the next on that connection: each is its own operation's,
// whole.
func TestReplyInTwoPieces(t *testing.T) {
	for form, c := range map[string]struct {
		reply string
		write bool
		want  balancer.Outcome
	}{
		"a hit":               {"VA 4 Oa h1\r\nV\r\n\r\r\n", false, balancer.Succeeded},
		"a miss":              {"VA 0 h0 Z Oa\r\n\r\n", false, balancer.Succeeded},
		"a receipt":           {"HD Oa c77\r\n", true, balancer.Succeeded},
		"flags the other way": {"HD c77 Oa\r\n", true, balancer.Succeeded},
		"a rejection":         {"SERVER_ERROR busy\r\n", false, balancer.Overloaded},
		"and until when":      {"SERVER_ERROR busy 20\r\n", false, balancer.Overloaded},
		"an error":            {"SERVER_ERROR failed\r\n", false, balancer.ServerError},
	} {
		limits := defaultLimits
		limits.StallTimeout = 60 // a busy machine may take its time between two pieces
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
			if readCommand(t, conn); c.write { // and the end of the empty value
				readCommand(t, conn)
			}
			conn.Write([]byte(c.reply[:cut]))
			for begun := cut == 0; !begun; { // until the piece has been read
				pools.onLoop(pools.loop, func() {
					l := pools.servers[1].connections[0]
					begun = l.codec.ReplyBegun() && l.socket.Quiet()
				})
			}
			if len(outcome) > 0 {
				t.Fatalf("%s: %q is taken for a reply", form, c.reply[:cut])
			}
			conn.Write([]byte(c.reply[cut:]))
			if outcome.want(t, c.want); t.Failed() {
				t.Fatalf("%s, cut at %d", form, cut)
			}
		}
		pools.onLoop(pools.loop, func() {
			if pools.connectionCount != 1 {
				t.Errorf("%s: %d connections are left", form, pools.connectionCount)
			}
		})
	}
}

// A reply that is said twice names no operation where it is a refusal. Right behind another reply it proves nothing
// to one that must not run twice.
func TestRejectionRightBehindReplyIsOutcomeUnknown(t *testing.T) {
	for _, c := range []struct {
		once   bool
		behind float64
		want   balancer.Outcome
	}{{true, -1, balancer.OutcomeUnknown}, {false, -1, balancer.Overloaded}, {true, 1, balancer.Overloaded}} {
		pools, conns := startListener(t, defaultLimits)
		first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
		conn := <-conns
		answerCommand(t, conn, "VA 0 Oa\r\n\r\n")
		first.want(t, balancer.Succeeded)
		pools.onLoop(pools.loop, func() {
			pools.servers[1].connections[0].lastReplyAt = pools.loop.Now() - c.behind
			pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob", NotIdempotent: c.once}, 5, 5, second)
		})
		answerCommand(t, conn, "SERVER_ERROR busy\r\n")
		second.want(t, c.want)
	}
}

// An answer has come as its limit ends, and the loop hears of both in one round: it ends once, either way.
func TestReplyAndTimeoutInOneIteration(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	outcome := make(outcomeRecorder, 2)
	pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, outcome)
	conn := <-conns
	readCommand(t, conn)
	pools.onLoop(pools.loop, func() {
		l := pools.servers[1].connections[0]
		a := l.inFlight[0]
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		for !l.socket.Unread() {
			time.Sleep(time.Millisecond)
		}
		a.deadline = pools.loop.Now()
		a.timer.Set(a.deadline)
	})
	if how := <-outcome; how != balancer.Succeeded && how != balancer.TimedOut {
		t.Errorf("it ended as %d", how)
	}
	pools.onLoop(pools.loop, func() {})
	pools.onLoop(pools.loop, func() {
		if len(outcome) > 0 || len(pools.servers[1].connections) > 1 {
			t.Errorf("it ended %d times more, %d connections are kept", len(outcome), len(pools.servers[1].connections))
		}
	})
}

// What was written in time is waited for beyond the time in which it was to be written.
func TestReplyAfterSendDeadline(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	outcome := make(outcomeRecorder, 1)
	var a *attempt
	pools.onLoop(pools.loop, func() {
		a = pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 30, outcome).(*attempt)
	})
	conn := <-conns
	readCommand(t, conn)
	pools.onLoop(pools.loop, a.onTimer) // the window ends
	conn.Write([]byte("VA 0 Oa\r\n\r\n"))
	outcome.want(t, balancer.Succeeded)
}

// A server answers and its connection is reset; what is written behind that in the same round fails. The answer is
// read all the same, and what could not be written never ran.
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
