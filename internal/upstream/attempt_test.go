package upstream

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

func TestCommandCarriesTimeLeft(t *testing.T) {
	pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	outcome, _ := pools.startRead(2)
	outcome.want(t, balancer.Succeeded)
	pools.wantLine("mg k v Oa Pc=x,d=") // then 2000 or, after the connection came up, a little less
	outcome, _ = pools.startRead(2)
	outcome.want(t, balancer.Succeeded)
	pools.wantLine("mg k v Oa Pc=x,d=2000\r\n") // on the connection that is there
	pools.onLoop(pools.loop, func() {
		if pools.connectionCount != 1 {
			t.Errorf("%d connections, one is enough", pools.connectionCount)
		}
	})
}

func TestTimeoutClosesConnection(t *testing.T) {
	pools := startServer(t, defaultLimits, func(net.Conn, string) {})
	outcome, _ := pools.startRead(0.05)
	outcome.want(t, balancer.TimedOut)
	pools.wantLine("mg")
	pools.wantLine("end")
}

func TestCancelClosesConnection(t *testing.T) {
	pools := startServer(t, defaultLimits, func(net.Conn, string) {})
	outcome, p := pools.startRead(5)
	pools.wantLine("mg")
	pools.onLoop(pools.loop, p.Cancel)
	outcome.want(t, balancer.Cancelled)
	pools.wantLine("end")
}

// The greatest value is longer than a connection's buffer: it must go out whole.
func TestLargestValueIsWrittenCompletely(t *testing.T) {
	value := []byte(strings.Repeat("0123456789abcde\n", 4<<10))
	n := 0
	pools := startServer(t, defaultLimits, func(conn net.Conn, line string) {
		if n++; n == 1+len(value)/16+1 { // the command, the value's lines, the end
			conn.Write([]byte("HD Oa c1\r\n"))
		}
	})
	outcome := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa", Write: true, Value: value}, 5, 5, outcome)
	})
	outcome.want(t, balancer.Succeeded)
}

// Its own time over before the connection is up says nothing against the server.
func TestTimeoutWhileConnecting(t *testing.T) {
	pools := startServer(t, defaultLimits, func(net.Conn, string) {})
	outcome := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		a := pools.StartAttempt(1, &requestcore.Request{ID: "a"}, 5, 5, outcome)
		a.(*attempt).onTimer()
	})
	outcome.want(t, balancer.NotAttempted)
}

// At the bound attempts are pipelined. Where nobody waits for one any more the others on its connection go on, each
// with its own answer: it was ended for all, so that a client who left cost another its operation, and its server a
// failure. One that has no answer in time still ends it, and what was pipelined there may have run.
func TestPipelinedBehindCancelledAttempt(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	answer := make(chan bool)
	pools := startServer(t, limits, func(conn net.Conn, _ string) {
		<-answer
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
	})
	first, p := pools.startRead(5)
	pools.wantLine("mg")
	second, _ := pools.startRead(5)
	pools.onLoop(pools.loop, p.Cancel)
	first.want(t, balancer.Cancelled)
	answer <- true
	answer <- true
	second.want(t, balancer.Succeeded)
	third, p := pools.startRead(5)
	fourth, _ := pools.startRead(5)
	pools.onLoop(pools.loop, p.(*attempt).onTimer)
	third.want(t, balancer.TimedOut)
	fourth.want(t, balancer.ConnectionLost)
	close(answer)
}

// What is not written whole when the connection breaks never ran: it may be made again whatever it does. The server
// breaks it once all are on their way; by a clock it might break it sooner, and what it had not been given yet would
// go whole by the next connection.
func TestConnectionResetBeforeLastByte(t *testing.T) {
	all := make(chan bool)
	pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) {
		<-all
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	})
	pools.onLoop(pools.loop, func() {})
	outcome, first, value := make(outcomeRecorder, 1), make(outcomeRecorder, 1), make([]byte, 64<<10)
	pools.onLoop(pools.loop, func() {
		pools.limits.MaxConnections, pools.limits.MaxInFlightPerConnection = 1, 1000
		pools.StartAttempt(1, &requestcore.Request{ID: "a", Write: true, Value: value}, 5, 5, first)
	})
	pools.wantLine("ms")
	pools.onLoop(pools.loop, func() { // more than the kernel's buffers hold, since the server reads none of it
		for range 200 {
			pools.StartAttempt(1, &requestcore.Request{ID: "b", Write: true, Value: value}, 5, 5, make(outcomeRecorder, 1))
		}
		pools.StartAttempt(1, &requestcore.Request{ID: "c", Write: true, Value: value}, 5, 5, outcome)
	})
	close(all)
	first.want(t, balancer.ConnectionLost)
	outcome.want(t, balancer.ConnectFailed)
}

// A connection takes longer to come up than a repeat's window is: the repeat is told as not sent as that ends, and
// nothing is written for it when the connection is there.
func TestSendDeadlineWhileConnecting(t *testing.T) {
	limits := defaultLimits
	limits.ConnectTimeout = 60
	pools, _ := startListener(t, limits)
	at, accept := listenWithFullBacklog(t)
	pools.onLoop(pools.loop, func() { pools.SetEndpoint(2, at) })
	outcome := make(outcomeRecorder, 1)
	pools.startAttemptAt(2, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 60, 0.02, outcome)
	outcome.want(t, balancer.NotAttempted)
	pools.onLoop(pools.loop, func() {
		if pools.servers[2].connecting != 1 {
			t.Error("the connection is up already")
		}
	})
	conn := accept() // the kernel tries again after a second
	for idle := 0; idle == 0; time.Sleep(time.Millisecond) {
		pools.onLoop(pools.loop, func() { idle = len(pools.servers[2].idle) })
	}
	pools.onLoop(pools.loop, func() { pools.RemoveEndpoint(2) })
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
		t.Errorf("the server read %q, %v", heard, err)
	}
}

// startBlockedServer is the pools of a server that reads nothing of the one connection to it, until it is told: it is
// full of a write.
func startBlockedServer(t *testing.T) (pools testPools, l *connection, a outcomeRecorder, hear func() []byte) {
	limits := defaultLimits
	limits.MaxConnections, limits.MaxInFlightPerConnection = 1, 10
	pools, conns := startListener(t, limits)
	a = make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		beyondKernelBuffers := make([]byte, 32<<20)
		pools.StartAttempt(1, &requestcore.Request{ID: "a", Write: true, Value: beyondKernelBuffers}, 60, 60, a)
	})
	conn := <-conns
	for held := -1; ; { // until the kernel takes no more
		now := 0
		pools.onLoop(pools.loop, func() {
			if l = pools.servers[1].connections[0]; l.socket.Unsent() > 0 {
				now = int(l.socket.Sent())
			}
		})
		if now > 0 && now == held {
			break
		}
		held = now
		time.Sleep(20 * time.Millisecond)
	}
	return pools, l, a, func() []byte {
		all, _ := io.ReadAll(conn)
		return all
	}
}

// What stands behind a write that the kernel takes no more of is not sent once its client has left, its server was
// told to drain, or its window is over; and what is before it goes on.
func TestUnwrittenAttemptBehindBlockedWriteIsWithdrawn(t *testing.T) {
	for name, cross := range map[string]func(pools testPools, b requestcore.PendingAttempt){
		"its client leaves": func(_ testPools, b requestcore.PendingAttempt) { b.CancelIfUnsent() },
		"it is withdrawn":   func(_ testPools, b requestcore.PendingAttempt) { b.Cancel() },
		"a drain is told":   func(pools testPools, _ requestcore.PendingAttempt) { pools.RemoveEndpoint(1) },
		"out by hand":       func(pools testPools, _ requestcore.PendingAttempt) { pools.CancelUnsent(1) },
		"its window ends":   func(_ testPools, b requestcore.PendingAttempt) { b.(*attempt).onTimer() },
		"its window has ended, and the kernel takes more before that is heard": func(_ testPools, b requestcore.PendingAttempt) {
			b.(*attempt).sendDeadline = 0
			b.(*attempt).connection.Flushed()
		},
		"its client has left, and the kernel takes more before that is heard": func(_ testPools, b requestcore.PendingAttempt) {
			b.(*attempt).stillWanted = func() bool { return false }
			b.(*attempt).connection.Flushed()
		},
	} {
		pools, l, a, hear := startBlockedServer(t)
		b, c := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		pools.onLoop(pools.loop, func() {
			p := pools.StartAttempt(1, &requestcore.Request{Key: "second", ID: "b", Flags: "Ob"}, 60, 30, b)
			pools.StartAttempt(1, &requestcore.Request{Key: "third", ID: "c", Flags: "Oc"}, 60, 60, c).CancelIfUnsent()
			cross(pools, p)
		})
		want := balancer.NotAttempted
		if name == "it is withdrawn" {
			want = balancer.Cancelled
		}
		b.want(t, want)
		c.want(t, balancer.NotAttempted)
		go func() { // the write goes on, and ends with its connection
			for whole := false; !whole; time.Sleep(10 * time.Millisecond) {
				pools.onLoop(pools.loop, func() {
					if whole = l.inFlight[0].fullyWritten() && l.socket.Unsent() == 0; whole {
						l.socket.Close()
						l.Closed()
					}
				})
			}
		}()
		heard := hear()
		a.want(t, balancer.ConnectionLost)
		sentLater := bytes.Contains(heard, []byte("second")) || bytes.Contains(heard, []byte("third"))
		if len(heard) < 32<<20 || sentLater {
			t.Errorf("%s: the server read %d bytes, up to %q", name, len(heard), heard[max(0, len(heard)-60):])
		}
	}
}

// One that has begun to leave when its client does ends its connection, where no other is on it, and never comes whole.
func TestPartlyWrittenAttemptClosesItsConnection(t *testing.T) {
	pools, l, a, hear := startBlockedServer(t)
	pools.onLoop(pools.loop, func() { l.inFlight[0].CancelIfUnsent() })
	a.want(t, balancer.NotAttempted)
	if heard := hear(); len(heard) >= 32<<20 {
		t.Errorf("the server read all %d bytes", len(heard))
	}
}

// disconnectedRecorder is an attempt whose client has left, which is not heard of yet.
type disconnectedRecorder struct{ outcomeRecorder }

func (disconnectedRecorder) StillWanted() bool { return false }

// The loop was stopped for longer than an attempt may wait to be written, or its client left meanwhile, and in the
// round in which it goes on there is a connection for it: it is not written, for its repeats are not dropped any
// more, or nobody waits for it.
func TestExpiredAttemptIsNotWritten(t *testing.T) {
	const within = 0.02
	late := &requestcore.Request{Key: "late", ID: "b", Flags: "Ob"}
	for name, begin := range map[string]func(pools testPools, outcome outcomeRecorder) *attempt{
		"its window ended": func(pools testPools, outcome outcomeRecorder) *attempt {
			return pools.StartAttempt(1, late, 60, within, outcome).(*attempt)
		},
		"its limit ended": func(pools testPools, outcome outcomeRecorder) *attempt {
			return pools.StartAttempt(1, late, within, within, outcome).(*attempt)
		},
		"its client left": func(pools testPools, outcome outcomeRecorder) *attempt {
			return pools.StartAttempt(1, late, 60, 60, disconnectedRecorder{outcome}).(*attempt)
		},
	} {
		for which, cross := range map[string]func(testPools, chan net.Conn, func(outcomeRecorder)) net.Conn{
			"comes up": func(pools testPools, conns chan net.Conn, wait func(outcome outcomeRecorder)) (conn net.Conn) {
				outcome := make(outcomeRecorder, 1)
				pools.onLoop(pools.loop, func() {
					wait(outcome)
					conn = <-conns // the kernel has it, and the loop has not heard of it
				})
				outcome.want(t, balancer.NotAttempted)
				return conn
			},
			"is free": func(pools testPools, conns chan net.Conn, wait func(outcome outcomeRecorder)) net.Conn {
				pools.limits.MaxConnections, pools.limits.MaxInFlightPerConnection = 1, 1
				first, outcome := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
				pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, first)
				conn := <-conns
				readCommand(t, conn)
				pools.onLoop(pools.loop, func() {
					conn.Write([]byte("VA 0 Oa\r\n\r\n"))
					for !pools.servers[1].connections[0].socket.Unread() {
						time.Sleep(time.Millisecond)
					}
					wait(outcome)
				})
				first.want(t, balancer.Succeeded)
				outcome.want(t, balancer.NotAttempted)
				return conn
			},
			"is to be shared": func(pools testPools, conns chan net.Conn, wait func(outcome outcomeRecorder)) net.Conn {
				pools.limits.MaxConnections = 1
				first, outcome := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
				var conn net.Conn
				pools.onLoop(pools.loop, func() {
					pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, first)
					wait(outcome)
					conn = <-conns
				})
				outcome.want(t, balancer.NotAttempted)
				answerCommand(t, conn, "VA 0 Oa\r\n\r\n")
				first.want(t, balancer.Succeeded)
				return conn
			},
		} {
			pools, conns := startListener(t, defaultLimits)
			conn := cross(pools, conns, func(outcome outcomeRecorder) {
				for a := begin(pools, outcome); a.stillWanted() && pools.loop.Now() < a.sendDeadline; {
					time.Sleep(time.Millisecond)
				}
			})
			pools.onLoop(pools.loop, func() { pools.RemoveEndpoint(1) })
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
				t.Errorf("%s, a connection %s: the server read %q, %v", name, which, heard, err)
			}
		}
	}
}

// A write has begun to leave behind a long value that is on its way back, which must not be cut off: given up, its
// rest goes on to leave, so that it may run, and it is not told as one that never did.
func TestPartlyWrittenAttemptBehindBodyEndsAsCancelled(t *testing.T) {
	for name, giveUp := range map[string]func(b *attempt){
		"at its limit":      (*attempt).onTimer,
		"its client leaves": (*attempt).CancelIfUnsent,
	} {
		limits := defaultLimits
		limits.MaxConnections = 1
		pools, conns := startListener(t, limits)
		a, b := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		pools.startAttemptAt(1, &requestcore.Request{Key: "long", ID: "a", Flags: "Oa"}, 60, 60, a)
		conn := <-conns
		readCommand(t, conn)
		const length = 32 << 20 // beyond what the kernel holds
		var second *attempt
		pools.onLoop(pools.loop, func() {
			write := &requestcore.Request{ID: "b", Write: true, Value: make([]byte, length)}
			second = pools.StartAttempt(1, write, 60, 60, b).(*attempt)
		})
		conn.Write([]byte("VA 100000 Oa\r\n" + strings.Repeat("x", 50000)))
		a.want(t, balancer.Succeeded)
		pools.onLoop(pools.loop, func() {
			if second.fullyWritten() || !second.partlyWritten() {
				t.Error("the write is not on its way")
			}
			giveUp(second)
		})
		if how := <-b; how != balancer.Cancelled {
			t.Errorf("%s: it ended as %d", name, how)
		}
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := io.CopyN(io.Discard, conn, length); err != nil {
			t.Errorf("%s: the rest does not come: %d bytes, %v", name, n, err)
		}
	}
}
