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
	"bendtrestle/internal/testaddress"
)

// A server may close a connection right after its reply, and the router notices that only slightly later. So a
// connection that has been idle for a while is used before one that got a reply just now.
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
				t.Errorf("idle for %v and %v s: got the connection idle for %v s, want %v s", c.old, c.young, got, c.want)
			}
		}
	})
}

func TestConnectionRefused(t *testing.T) {
	pools := startServer(t, defaultLimits, nil)
	pools.onLoop(pools.loop, func() { pools.SetEndpoint(1, netip.MustParseAddrPort(testaddress.New())) })
	outcome, _ := pools.startRead(5)
	outcome.want(t, balancer.ConnectFailed)
}

// A dial that fails for a reason on the router's side is no evidence against the server, which must not be avoided for
// it.
func TestServerWithoutAddress(t *testing.T) {
	pools := startServer(t, defaultLimits, nil)
	outcome := make(outcomeRecorder, 1)
	pools.startAttemptAt(9, &requestcore.Request{ID: "a"}, 5, 5, outcome) // server 9 has no address
	outcome.want(t, balancer.NotAttempted)
}

// An unreachable machine does not respond to a connect. The attempt that waits for the connection cannot have been
// executed.
func TestConnectTimeout(t *testing.T) {
	pools := startServer(t, defaultLimits, func(net.Conn, string) {})
	outcome := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "a"}, 5, 5, outcome)
		pools.servers[1].connections[0].onConnectTimeout()
	})
	outcome.want(t, balancer.ConnectFailed)
}

// An unreachable machine does not respond on any connection. After one attempt has timed out, or one connection was not
// established, the idle connections must not be tried one by one.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	for name, timeOut := range map[string]func(pools *ConnectionPools, a *attempt){
		"attempt times out": func(_ *ConnectionPools, a *attempt) { a.onTimer() },
		"connect times out": func(pools *ConnectionPools, _ *attempt) {
			pools.servers[1].connections[2].onConnectTimeout()
		},
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
			if name == "connect times out" {
				pools.servers[1].waiting = append(pools.servers[1].waiting, &attempt{pool: a.pool, settled: true})
				pools.servers[1].dial()
			}
			timeOut(pools.ConnectionPools, a)
			if kept := len(pools.servers[1].idle); kept != 0 {
				t.Errorf("%s: got %d idle connections, want 0", name, kept)
			}
		})
		pools.startAttemptAt(1, request, 5, 5, next)
		next.want(t, balancer.Succeeded)
	}
}

// No attempt is pipelined while another connection may be opened, because a fast reply would wait behind a slow one.
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

// The router closes idle connections before the cache server does, because a command that is written while the server
// closes the connection may be lost.
func TestIdleTimeout(t *testing.T) {
	limits := defaultLimits
	limits.IdleTimeout = 0.1
	pools := startServer(t, limits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	outcome, _ := pools.startRead(5)
	outcome.want(t, balancer.Succeeded)
	pools.wantLine("mg")
	pools.wantLine("end")
}

// The address of a server changes while a connection to the previous address is being established. Nothing must be sent
// there, because another server may have that address by now.
func TestAddressChangeWhileConnecting(t *testing.T) {
	pools, before := startListener(t, defaultLimits)
	other, after := startListener(t, defaultLimits)
	outcome := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() { // in one iteration, so that the connection is not established yet
		pools.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, outcome)
		pools.SetEndpoint(1, other.servers[1].addr)
		connections := pools.servers[1].connections // the previous connection might never be established
		if len(connections) != 1 || connections[0].addr != pools.servers[1].addr {
			t.Errorf("got %d connections, want 1 to the new address", len(connections))
		}
	})
	answerCommand(t, <-after, "VA 0 Oa\r\n\r\n")
	outcome.want(t, balancer.Succeeded)
	select {
	case conn := <-before:
		if received, _ := io.ReadAll(conn); len(received) > 0 {
			t.Errorf("the server at the previous address read %q, want nothing", received)
		}
	default:
	}
}

// A connection that is in use when the address of its server changes is not used again.
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

// The sweep of idle connections is late if the loop was stopped. An expired connection must not be written to: its
// server may be closing it, and the outcome of the attempt would be unknown.
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
		t.Errorf("the server read %d bytes, %v from the expired connection; want 0, EOF", n, err)
	}
}

// At the connection limit, the attempts that wait for a connection are pipelined as soon as it is established.
// Otherwise each would wait for the replies to those before it, or until its own deadline.
func TestWaitingAttemptsArePipelinedOnceConnected(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	pools := startServer(t, limits, func(net.Conn, string) {})
	pools.onLoop(pools.loop, func() { // in one iteration, so that all wait for the same connection
		for _, key := range []string{"k1", "k2", "k3"} {
			pools.StartAttempt(1, &requestcore.Request{Key: key, ID: "a", Flags: "Oa"}, 5, 5, make(outcomeRecorder, 1))
		}
	})
	for _, key := range []string{"k1", "k2", "k3"} { // in the order in which they began to wait
		pools.wantLine("mg " + key)
	}
}

// No attempt is pipelined on a connection that the server has closed, even before the loop has processed the close.
func TestNoPipeliningOnClosedConnection(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	pools, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
	old := <-conns
	readCommand(t, old)
	pools.onLoop(pools.loop, func() { // the loop is stopped until the close has arrived
		old.(*net.TCPConn).CloseWrite()
		for poolConn := pools.servers[1].connections[0]; !poolConn.socket.Ended(); {
			time.Sleep(time.Millisecond)
		}
		pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.ConnectionLost)
	answerCommand(t, <-conns, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	if more, _ := io.ReadAll(old); len(more) > 0 {
		t.Errorf("the server read %q from the closed connection, want nothing", more)
	}
}

// A server closes each connection as soon as it is established. The attempt must fail with that connection: otherwise
// the pool would dial again and again, as fast as it can.
func TestServerThatClosesEachConnectionIsNotRedialled(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	for range 20 {
		outcome := make(outcomeRecorder, 1)
		pools.onLoop(pools.loop, func() {
			var poolConn *connection
			pools.loop.Post(func() { // in the iteration in which it is established, and before the loop processes that
				(<-conns).Close()
				for !poolConn.socket.Ended() {
					time.Sleep(time.Millisecond)
				}
			})
			pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, outcome)
			poolConn = pools.servers[1].connections[0]
			for len(conns) == 0 {
				time.Sleep(time.Millisecond)
			}
		})
		outcome.want(t, balancer.ConnectFailed)
		if len(conns) > 0 {
			t.Fatal("a further connection was dialled, want none")
		}
	}
}

// A connection is established after the attempt that it was dialled for was settled. It is kept for the next attempt,
// and nothing is written to it before that.
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
		t.Errorf("the server read %q, want mg second", line)
	}
	answerCommand(t, conn, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
}
