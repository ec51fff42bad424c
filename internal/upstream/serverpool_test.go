package upstream

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// A server may end a connection right after its answer, which is heard of only a little later: a connection that has
// rested is used before one that was answered on just now.
func TestIdleConnectionReuseOrder(t *testing.T) {
	pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	request := &requestcore.Request{ID: "a", Flags: "Oa"}
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, request, 5, 5, first)
		pools.StartAttempt(1, request, 5, 5, second)
	})
	first.want(t, balancer.Succeeded)
	second.want(t, balancer.Succeeded)
	pools.onLoop(pools.loop, func() {
		idle, now := pools.servers[1].idle, pools.loop.Now()
		for _, c := range []struct{ old, young, want float64 }{{9, 0, 9}, {9, 1, 1}, {0, 0, 0}} {
			idle[0].idleSince, idle[1].idleSince = now-c.old, now-c.young
			if got := now - pools.servers[1].pickIdle().idleSince; got != c.want {
				t.Errorf("of %v and %v s of rest %v was taken", c.old, c.young, got)
			}
		}
	})
}

func TestConnectionRefused(t *testing.T) {
	pools := startServer(t, defaultLimits, nil)
	free, _ := net.Listen("tcp", "127.0.0.1:0")
	pools.onLoop(pools.loop, func() { pools.SetEndpoint(1, netip.MustParseAddrPort(free.Addr().String())) })
	free.Close()
	outcome, _ := pools.startRead(5)
	outcome.want(t, balancer.ConnectFailed)
}

// What hinders a dial on this side says nothing against the server, which must not be passed over for it.
func TestServerWithoutAddress(t *testing.T) {
	pools := startServer(t, defaultLimits, nil)
	outcome := make(outcomeRecorder, 1)
	pools.startAttemptAt(9, &requestcore.Request{ID: "a"}, 5, 5, outcome) // it has no address
	outcome.want(t, balancer.NotAttempted)
}

// A machine that is cut off says nothing: what waits for a connection there never ran.
func TestConnectTimeout(t *testing.T) {
	pools := startServer(t, defaultLimits, func(net.Conn, string) {})
	outcome := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "a"}, 5, 5, outcome)
		pools.servers[1].connections[0].onConnectTimeout()
	})
	outcome.want(t, balancer.ConnectFailed)
}

// A machine that is cut off is silent on every connection: after one silence, or a connection that never came up,
// the idle ones are not tried one by one.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	for name, silence := range map[string]func(pools *ConnectionPools, a *attempt){
		"no answer": func(_ *ConnectionPools, a *attempt) { a.onTimer() },
		"never up":  func(pools *ConnectionPools, _ *attempt) { pools.servers[1].connections[2].onConnectTimeout() },
	} {
		pools := startServer(t, defaultLimits, func(conn net.Conn, line string) {
			if strings.Contains(line, "Oa") {
				conn.Write([]byte("VA 0 Oa\r\n\r\n"))
			}
		})
		first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		silent, next := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		request, slow := &requestcore.Request{ID: "a", Flags: "Oa"}, &requestcore.Request{ID: "b", Flags: "Ob"}
		pools.onLoop(pools.loop, func() {
			pools.StartAttempt(1, request, 5, 5, first)
			pools.StartAttempt(1, request, 5, 5, second)
		})
		first.want(t, balancer.Succeeded)
		second.want(t, balancer.Succeeded)
		pools.onLoop(pools.loop, func() {
			a := pools.StartAttempt(1, slow, 5, 5, silent).(*attempt)
			if name == "never up" {
				pools.servers[1].waiting = append(pools.servers[1].waiting, &attempt{pool: a.pool, settled: true})
				pools.servers[1].dial()
			}
			silence(pools.ConnectionPools, a)
			if n := len(pools.servers[1].idle); n != 0 {
				t.Errorf("%s: %d idle connections are kept", name, n)
			}
		})
		pools.startAttemptAt(1, request, 5, 5, next)
		next.want(t, balancer.Succeeded)
	}
}

// Behind a slow answer a quick one would wait: while connections may be opened, none is pipelined.
func TestNoPipeliningBelowConnectionLimit(t *testing.T) {
	pools := startServer(t, defaultLimits, func(conn net.Conn, line string) {
		if strings.Contains(line, "Ob") {
			conn.Write([]byte("VA 0 Ob\r\n\r\n"))
		}
	})
	pools.startRead(5)
	outcome := make(outcomeRecorder, 1)
	pools.startAttemptAt(1, &requestcore.Request{Key: "k", ID: "b", Flags: "v Ob"}, 5, 5, outcome)
	outcome.want(t, balancer.Succeeded)
}

// Cache servers close what stood idle for long; what is written just then may be lost.
func TestIdleTimeout(t *testing.T) {
	limits := defaultLimits
	limits.IdleTimeout = 0.1
	pools := startServer(t, limits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	outcome, _ := pools.startRead(5)
	outcome.want(t, balancer.Succeeded)
	pools.wantLine("mg")
	pools.wantLine("end")
}

// A server that moves while a connection to where it was comes up must not be sent to there: another may be there by
// now.
func TestAddressChangeWhileConnecting(t *testing.T) {
	pools, before := startListener(t, defaultLimits)
	other, after := startListener(t, defaultLimits)
	outcome := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() { // in one round, so that the connection is not up yet
		pools.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, outcome)
		pools.SetEndpoint(1, other.servers[1].addr)
		connections := pools.servers[1].connections // the one before might never come up
		if len(connections) != 1 || connections[0].addr != pools.servers[1].addr {
			t.Errorf("%d connections come up", len(connections))
		}
	})
	answerCommand(t, <-after, "VA 0 Oa\r\n\r\n")
	outcome.want(t, balancer.Succeeded)
	select {
	case conn := <-before:
		if heard, _ := io.ReadAll(conn); len(heard) > 0 {
			t.Errorf("the address before was sent %q", heard)
		}
	default:
	}
}

// A connection that is in use when its server moves is not used again.
func TestAddressChangeWhileReplyIsPending(t *testing.T) {
	pools, before := startListener(t, defaultLimits)
	other, after := startListener(t, defaultLimits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
	old := <-before
	pools.onLoop(pools.loop, func() { pools.SetEndpoint(1, other.servers[1].addr) })
	answerCommand(t, old, "VA 0 Oa\r\n\r\n")
	first.want(t, balancer.Succeeded)
	pools.startAttemptAt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	answerCommand(t, <-after, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
}

// The sweep of idle connections comes late where the loop was stopped: an old one is not written to, for its server
// may be closing it, and what it was sent may have run.
func TestExpiredIdleConnectionIsNotUsed(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
	old := <-conns
	answerCommand(t, old, "VA 0 Oa\r\n\r\n")
	first.want(t, balancer.Succeeded)
	pools.onLoop(pools.loop, func() {
		pools.servers[1].idle[0].idleSince -= pools.limits.IdleTimeout
		pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	answerCommand(t, <-conns, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	if n, err := old.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the old connection was sent %d bytes, %v", n, err)
	}
}

// At the bound, what waited for a connection is pipelined once it is up: it waited for the answers before it, or its
// own end.
func TestWaitingAttemptsArePipelinedOnceConnected(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	pools := startServer(t, limits, func(net.Conn, string) {})
	pools.onLoop(pools.loop, func() { // in one round, so that all wait for the one connection
		for _, key := range []string{"k1", "k2", "k3"} {
			pools.StartAttempt(1, &requestcore.Request{Key: key, ID: "a", Flags: "Oa"}, 5, 5, make(outcomeRecorder, 1))
		}
	})
	for _, key := range []string{"k1", "k2", "k3"} { // the longest waiting first
		pools.wantLine("mg " + key)
	}
}

// Nothing is pipelined on a connection that its server has ended, though that is not heard of yet.
func TestNoPipeliningOnClosedConnection(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	pools, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
	old := <-conns
	readCommand(t, old)
	pools.onLoop(pools.loop, func() { // the loop is held until the end has come
		old.(*net.TCPConn).CloseWrite()
		for l := pools.servers[1].connections[0]; !l.socket.Ended(); {
			time.Sleep(time.Millisecond)
		}
		pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.ConnectionLost)
	answerCommand(t, <-conns, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	if more, _ := io.ReadAll(old); len(more) > 0 {
		t.Errorf("the ended connection was sent %q", more)
	}
}

// A server ends each connection right as it comes up: that is no connection, and none is made anew as fast as that
// goes.
func TestServerThatClosesEachConnectionIsNotRedialled(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	for range 20 {
		outcome := make(outcomeRecorder, 1)
		pools.onLoop(pools.loop, func() {
			var l *connection
			pools.loop.Post(func() { // in the round in which it is up, and before that is heard
				(<-conns).Close()
				for !l.socket.Ended() {
					time.Sleep(time.Millisecond)
				}
			})
			pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, outcome)
			l = pools.servers[1].connections[0]
			for len(conns) == 0 {
				time.Sleep(time.Millisecond)
			}
		})
		outcome.want(t, balancer.ConnectFailed)
		if len(conns) > 0 {
			t.Fatal("another connection is made for nothing")
		}
	}
}

// A connection comes up after what it was made for has settled: it is kept for the next, and nothing is written on it
// before that.
func TestConnectionEstablishedAfterAttemptSettled(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{Key: "first", ID: "a", Flags: "Oa"}, 5, 5, first).Cancel()
	})
	first.want(t, balancer.Cancelled)
	conn := <-conns
	for idle := 0; idle == 0; time.Sleep(time.Millisecond) {
		pools.onLoop(pools.loop, func() { idle = len(pools.servers[1].idle) })
	}
	pools.startAttemptAt(1, &requestcore.Request{Key: "second", ID: "b", Flags: "Ob"}, 5, 5, second)
	line := make([]byte, len("mg second"))
	if io.ReadFull(conn, line); string(line) != "mg second" {
		t.Errorf("it was sent %q", line)
	}
	answerCommand(t, conn, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
}
