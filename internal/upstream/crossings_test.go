package upstream

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"

	"golang.org/x/sys/unix"
)

// startBlockedServer is a fleet whose server reads nothing of the one connection to it, until it is told: it is full of a write.
func startBlockedServer(t *testing.T) (f testPools, l *connection, a outcomeRecorder, hear func() []byte) {
	limits := defaultLimits
	limits.MaxConnections, limits.MaxInFlightPerConnection = 1, 10
	f, conns := startListener(t, limits)
	a = make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{ID: "a", Write: true, Value: make([]byte, 32<<20)}, 60, 60, a) // beyond what the kernel holds
	})
	conn := <-conns
	for held := -1; ; { // until the kernel takes no more
		now := 0
		f.onLoop(f.loop, func() {
			if l = f.servers[1].connections[0]; l.socket.Unsent() > 0 {
				now = int(l.socket.Sent())
			}
		})
		if now > 0 && now == held {
			break
		}
		held = now
		time.Sleep(20 * time.Millisecond)
	}
	return f, l, a, func() []byte {
		all, _ := io.ReadAll(conn)
		return all
	}
}

// What stands behind a write that the kernel takes no more of is not sent once its client has left, its server was
// told to drain, or its window is over; and what is before it goes on.
func TestUnwrittenAttemptIsWithdrawnBehindBlockedWrite(t *testing.T) {
	for name, cross := range map[string]func(f testPools, b requestcore.PendingAttempt){
		"its client leaves": func(_ testPools, b requestcore.PendingAttempt) { b.CancelIfUnsent() },
		"it is withdrawn":   func(_ testPools, b requestcore.PendingAttempt) { b.Cancel() },
		"a drain is told":   func(f testPools, _ requestcore.PendingAttempt) { f.RemoveEndpoint(1) },
		"out by hand":       func(f testPools, _ requestcore.PendingAttempt) { f.CancelUnsent(1) },
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
		f, l, a, hear := startBlockedServer(t)
		b, c := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		f.onLoop(f.loop, func() {
			p := f.StartAttempt(1, &requestcore.Request{Key: "second", ID: "b", Flags: "Ob"}, 60, 30, b)
			f.StartAttempt(1, &requestcore.Request{Key: "third", ID: "c", Flags: "Oc"}, 60, 60, c).CancelIfUnsent()
			cross(f, p)
		})
		want := balancer.NotAttempted
		if name == "it is withdrawn" {
			want = balancer.Cancelled
		}
		b.want(t, want)
		c.want(t, balancer.NotAttempted)
		go func() { // the write goes on, and ends with its connection
			for whole := false; !whole; time.Sleep(10 * time.Millisecond) {
				f.onLoop(f.loop, func() {
					if whole = l.inFlight[0].fullyWritten() && l.socket.Unsent() == 0; whole {
						l.socket.Close()
						l.Closed()
					}
				})
			}
		}()
		heard := hear()
		if a.want(t, balancer.ConnectionLost); len(heard) < 32<<20 || bytes.Contains(heard, []byte("second")) || bytes.Contains(heard, []byte("third")) {
			t.Errorf("%s: the server read %d bytes, up to %q", name, len(heard), heard[max(0, len(heard)-60):])
		}
	}
}

// One that has begun to leave when its client does ends its connection, where no other is on it, and never comes whole.
func TestPartlyWrittenAttemptEndsItsConnection(t *testing.T) {
	f, l, a, hear := startBlockedServer(t)
	f.onLoop(f.loop, func() { l.inFlight[0].CancelIfUnsent() })
	a.want(t, balancer.NotAttempted)
	if heard := hear(); len(heard) >= 32<<20 {
		t.Errorf("the server read all %d bytes", len(heard))
	}
}

// A server that moves while a connection to where it was comes up must not be sent to there: another may be there by
// now.
func TestAddressChangeWhileConnecting(t *testing.T) {
	f, before := startListener(t, defaultLimits)
	other, after := startListener(t, defaultLimits)
	o := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { // in one round, so that the connection is not up yet
		f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, o)
		f.SetEndpoint(1, other.servers[1].addr)
		if links := f.servers[1].connections; len(links) != 1 || links[0].addr != f.servers[1].addr { // the one before might never come up
			t.Errorf("%d connections come up", len(links))
		}
	})
	answerCommand(t, <-after, "VA 0 Oa\r\n\r\n")
	o.want(t, balancer.Succeeded)
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
	f, before := startListener(t, defaultLimits)
	other, after := startListener(t, defaultLimits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	old := <-before
	f.onLoop(f.loop, func() { f.SetEndpoint(1, other.servers[1].addr) })
	answerCommand(t, old, "VA 0 Oa\r\n\r\n")
	first.want(t, balancer.Succeeded)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second) })
	answerCommand(t, <-after, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
}

// The sweep of idle connections comes late where the loop was stopped: an old one is not written to, for its server
// may be closing it, and what it was sent may have run.
func TestExpiredIdleConnectionIsNotUsed(t *testing.T) {
	f, conns := startListener(t, defaultLimits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	old := <-conns
	answerCommand(t, old, "VA 0 Oa\r\n\r\n")
	first.want(t, balancer.Succeeded)
	f.onLoop(f.loop, func() {
		f.servers[1].idle[0].idleSince -= f.limits.IdleTimeout
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	answerCommand(t, <-conns, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	if n, err := old.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the old connection was sent %d bytes, %v", n, err)
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
		f, conns := startListener(t, defaultLimits)
		first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
		conn := <-conns
		answerCommand(t, conn, "VA 0 Oa\r\n\r\n")
		first.want(t, balancer.Succeeded)
		f.onLoop(f.loop, func() {
			f.servers[1].connections[0].lastReplyAt = f.loop.Now() - c.behind
			f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob", NotIdempotent: c.once}, 5, 5, second)
		})
		answerCommand(t, conn, "SERVER_ERROR busy\r\n")
		second.want(t, c.want)
	}
}

// At the bound, what waited for a connection is piped once it is up: it waited for the answers before it, or its own
// end.
func TestWaitingAttemptsArePipelinedOnceConnected(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	f := startServer(t, limits, func(net.Conn, string) {})
	f.onLoop(f.loop, func() { // in one round, so that all wait for the one connection
		for _, key := range []string{"k1", "k2", "k3"} {
			f.StartAttempt(1, &requestcore.Request{Key: key, ID: "a", Flags: "Oa"}, 5, 5, make(outcomeRecorder, 1))
		}
	})
	for _, key := range []string{"k1", "k2", "k3"} { // the longest waiting first
		f.wantLine("mg " + key)
	}
}

// Nothing is piped on a connection that its server has ended, though that is not heard of yet.
func TestNoPipeliningOnEndedConnection(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	f, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	old := <-conns
	readCommand(t, old)
	f.onLoop(f.loop, func() { // the loop is held until the end has come
		old.(*net.TCPConn).CloseWrite()
		for l := f.servers[1].connections[0]; !l.socket.Ended(); {
			time.Sleep(time.Millisecond)
		}
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.ConnectionLost)
	answerCommand(t, <-conns, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	if more, _ := io.ReadAll(old); len(more) > 0 {
		t.Errorf("the ended connection was sent %q", more)
	}
}

// A drain is told in the round in which a connection to the server has come up: nothing is written there, and it is
// not kept.
func TestRemovalAsConnectionIsEstablished(t *testing.T) {
	f, conns := startListener(t, defaultLimits)
	o := make(outcomeRecorder, 1)
	var conn net.Conn
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, o)
		conn = <-conns // the kernel has it, and the loop has not heard of it
		f.RemoveEndpoint(1)
	})
	o.want(t, balancer.NotAttempted)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
		t.Errorf("it was sent %q, %v", heard, err)
	}
}

// The same for an answer, whose connection is free in that round: what waits for it is not sent.
func TestRemovalAsReplyFreesConnection(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections, limits.MaxInFlightPerConnection = 1, 1
	f, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	conn := <-conns
	readCommand(t, conn)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
		l := f.servers[1].connections[0]
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		for !l.socket.Unread() {
			time.Sleep(time.Millisecond)
		}
		f.RemoveEndpoint(1)
	})
	first.want(t, balancer.Succeeded)
	second.want(t, balancer.NotAttempted)
	if more, _ := io.ReadAll(conn); len(more) > 0 {
		t.Errorf("it was sent %q", more)
	}
}

// A server ends each connection right as it comes up: that is no connection, and none is made anew as fast as that
// goes.
func TestServerThatEndsEachConnectionIsNotRedialled(t *testing.T) {
	f, conns := startListener(t, defaultLimits)
	for range 20 {
		o := make(outcomeRecorder, 1)
		f.onLoop(f.loop, func() {
			var l *connection
			f.loop.Post(func() { // in the round in which it is up, and before that is heard
				(<-conns).Close()
				for !l.socket.Ended() {
					time.Sleep(time.Millisecond)
				}
			})
			f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, o)
			l = f.servers[1].connections[0]
			for len(conns) == 0 {
				time.Sleep(time.Millisecond)
			}
		})
		o.want(t, balancer.ConnectFailed)
		if len(conns) > 0 {
			t.Fatal("another connection is made for nothing")
		}
	}
}

// A long value that nobody waits for any more is let go of as it comes; the one piped behind it gets its own answer.
func TestUnwantedBodyIsDiscarded(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	f, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	var p requestcore.PendingAttempt
	f.onLoop(f.loop, func() { p = f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	conn := <-conns
	readCommand(t, conn)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
		p.Cancel()
	})
	readCommand(t, conn)
	first.want(t, balancer.Cancelled)
	conn.Write([]byte("VA 100000 Oa\r\n" + strings.Repeat("x", 100000) + "\r\nVA 0 Ob\r\n\r\n"))
	second.want(t, balancer.Succeeded)
}

// An answer has come as its limit ends, and the loop hears of both in one round: it ends once, either way.
func TestReplyAndTimeoutInOneRound(t *testing.T) {
	f, conns := startListener(t, defaultLimits)
	o := make(outcomeRecorder, 2)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, o) })
	conn := <-conns
	readCommand(t, conn)
	f.onLoop(f.loop, func() {
		l := f.servers[1].connections[0]
		a := l.inFlight[0]
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		for !l.socket.Unread() {
			time.Sleep(time.Millisecond)
		}
		a.deadline = f.loop.Now()
		a.timer.Set(a.deadline)
	})
	if how := <-o; how != balancer.Succeeded && how != balancer.TimedOut {
		t.Errorf("it ended as %d", how)
	}
	f.onLoop(f.loop, func() {})
	f.onLoop(f.loop, func() {
		if len(o) > 0 || len(f.servers[1].connections) > 1 {
			t.Errorf("it ended %d times more, %d connections are kept", len(o), len(f.servers[1].connections))
		}
	})
}

// A server is gone and back, elsewhere, in one list: what waited for it is told that it was not sent, what comes next
// goes where it is now.
func TestServerRemovedAndListedInOneRound(t *testing.T) {
	f, before := startListener(t, defaultLimits)
	other, after := startListener(t, defaultLimits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, first)
		f.RemoveEndpoint(1)
		f.SetEndpoint(1, other.servers[1].addr)
		f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.NotAttempted)
	answerCommand(t, <-after, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	conn := <-before
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
		t.Errorf("where it was, it was sent %q, %v", heard, err)
	}
}

// A connection comes up after what it was made for has settled: it is kept for the next, and nothing is written on it
// before that.
func TestConnectionEstablishedAfterAttemptSettled(t *testing.T) {
	f, conns := startListener(t, defaultLimits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{Key: "first", ID: "a", Flags: "Oa"}, 5, 5, first).Cancel()
	})
	first.want(t, balancer.Cancelled)
	conn := <-conns
	for idle := 0; idle == 0; time.Sleep(time.Millisecond) {
		f.onLoop(f.loop, func() { idle = len(f.servers[1].idle) })
	}
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{Key: "second", ID: "b", Flags: "Ob"}, 5, 5, second) })
	line := make([]byte, len("mg second"))
	if io.ReadFull(conn, line); string(line) != "mg second" {
		t.Errorf("it was sent %q", line)
	}
	answerCommand(t, conn, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
}

// What was written in time is waited for beyond the time in which it was to be written.
func TestReplyAfterSendDeadline(t *testing.T) {
	f, conns := startListener(t, defaultLimits)
	o := make(outcomeRecorder, 1)
	var a *attempt
	f.onLoop(f.loop, func() { a = f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 30, o).(*attempt) })
	conn := <-conns
	readCommand(t, conn)
	f.onLoop(f.loop, a.onTimer) // the window ends
	conn.Write([]byte("VA 0 Oa\r\n\r\n"))
	o.want(t, balancer.Succeeded)
}

// longValue is a long one, no two lines of which are alike.
func longValue(length int) []byte {
	var all bytes.Buffer
	for i := 0; all.Len() < length; i++ {
		fmt.Fprintf(&all, "line %d\n", i)
	}
	return all.Bytes()[:length]
}

// waitDelivered waits until the other side's kernel has all that was written.
func waitDelivered(conn *net.TCPConn) {
	raw, _ := conn.SyscallConn()
	for left := 1; left > 0; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}

func closeConn(conn *net.TCPConn) { conn.Close() }

func resetConn(conn *net.TCPConn) {
	waitDelivered(conn)
	conn.SetLinger(0)
	conn.Close()
}

// A server ends its connection right behind a long answer, and what takes the value does so late, in parts: it gets
// all of it, whether the end is heard while nothing is read, while the rest is held here, or with the bytes in one
// round, as a close or as a reset.
func TestCloseBehindBodyThatIsReadLate(t *testing.T) {
	for name, c := range map[string]struct {
		length, taken int // bytes in all, and of them those that are taken before the end comes
		end           func(conn *net.TCPConn)
		held          bool // the loop is, until the rest and the end have come
	}{
		"closed while nothing is read":          {170000, 0, closeConn, false},
		"closed while no more is taken":         {170000, 90000, closeConn, false},
		"closed while the rest is held here":    {80000, 79000, closeConn, false},
		"its sending ended":                     {170000, 0, func(conn *net.TCPConn) { conn.CloseWrite() }, false},
		"closed, with the rest in one round":    {100000, 50000, closeConn, true},
		"reset while nothing is read":           {70000, 0, resetConn, false},
		"reset while the rest is held here":     {80000, 79000, resetConn, false},
		"reset, with the rest in one round":     {100000, 60000, resetConn, true},
		"closed before its first byte is taken": {66000, 0, closeConn, true},
	} {
		t.Run(name, func(t *testing.T) {
			f, conns := startListener(t, defaultLimits)
			settled, k := make(chan requestcore.Result, 1), &fakeSink{ending: make(chan string, 1), room: c.taken}
			f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, resultRecorder(settled)) })
			conn, all := (<-conns).(*net.TCPConn), longValue(c.length)
			readCommand(t, conn)
			text := append(fmt.Appendf(nil, "VA %d Oa\r\n", c.length), append(all, "\r\n"...)...)
			early := c.taken + 100 // the first line and more
			conn.Write(text[:early])
			long := (<-settled).Body
			f.onLoop(f.loop, func() { long.StartReading(k) })
			for got := -1; got < c.taken; time.Sleep(time.Millisecond) {
				f.onLoop(f.loop, func() { got = k.got })
			}
			rest := func() {
				conn.Write(text[early:])
				c.end(conn)
				time.Sleep(50 * time.Millisecond) // it has been told by then
			}
			if c.held {
				f.onLoop(f.loop, rest)
			} else {
				rest()
			}
			for i := 0; len(k.ending) == 0 && i < 1000; i++ {
				f.onLoop(f.loop, func() { k.room = 1000; long.ResumeReading() })
				time.Sleep(time.Millisecond)
			}
			if len(k.ending) == 0 {
				t.Fatalf("it did not end with %d bytes of %d", k.got, c.length)
			}
			if how := <-k.ending; how != "whole" || k.got != c.length || k.sum != crc32.ChecksumIEEE(all) {
				t.Errorf("it ended %s with %d bytes of %d", how, k.got, c.length)
			}
			f.onLoop(f.loop, func() {})
			f.onLoop(f.loop, func() {
				if len(f.servers[1].connections) > 0 {
					t.Error("the ended connection is kept")
				}
			})
		})
	}
}

// A server answers and its connection is reset; what is written behind that in the same round fails. The answer is
// read all the same, and what could not be written never ran.
func TestReplyBeforeFailedWrite(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	f, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	conn := (<-conns).(*net.TCPConn)
	readCommand(t, conn)
	f.onLoop(f.loop, func() {
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		resetConn(conn)
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.Succeeded)
	second.want(t, balancer.ConnectFailed)
}

// A client leaves while its long value is on its way, and another's attempt is out behind it: that gets its own
// answer, and the rest of the value is let go of.
func TestBodyDiscardedWithAttemptBehindIt(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	f, conns := startListener(t, limits)
	settled, second := make(chan requestcore.Result, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, resultRecorder(settled)) })
	conn := <-conns
	readCommand(t, conn)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second) })
	readCommand(t, conn)
	conn.Write(append([]byte("VA 200000 Oa\r\n"), longValue(90000)...))
	long, k := (<-settled).Body, &fakeSink{ending: make(chan string, 1), room: 50000}
	f.onLoop(f.loop, func() { long.StartReading(k) })
	f.onLoop(f.loop, long.Discard)
	conn.Write(append(longValue(110000), "\r\nVA 0 Ob\r\n\r\n"...))
	second.want(t, balancer.Succeeded)
	f.onLoop(f.loop, func() {
		if f.closeCounts != [closeReasonCount]uint64{} || len(k.ending) > 0 || k.got > 50000 {
			t.Errorf("%v are counted as cut, %d bytes were taken", f.closeCounts, k.got)
		}
	})
}

// Each end of a connection on which something is owed is counted by its reason, one on which nothing is owed is not.
func TestCloseCountsByReason(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		end    func(f testPools, conn net.Conn, long requestcore.BodyStream)
		why    CloseReason
		none   bool
	}{
		"a reset in place of an answer":  {"", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) { resetConn(conn.(*net.TCPConn)) }, ServerClosed, false},
		"an end within a long value":     {"VA 70000 Oa\r\nxx", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) { conn.Close() }, ServerClosed, false},
		"noise in place of an answer":    {"noise\r\n", func(testPools, net.Conn, requestcore.BodyStream) {}, UnexpectedReply, false},
		"an answer that does not go on":  {"VA 100 Oa\r\nxx", func(testPools, net.Conn, requestcore.BodyStream) {}, ReplyStalled, false},
		"a client that leaves its value": {"VA 70000 Oa\r\nxx", func(_ testPools, _ net.Conn, long requestcore.BodyStream) { long.Discard() }, ClientDisconnected, false},
		"an attempt given up before it": {"", func(f testPools, _ net.Conn, _ requestcore.BodyStream) {
			f.servers[1].connections[0].inFlight[0].abandon(balancer.TimedOut)
		}, AttemptAbandoned, false},
		"an end after the answer": {"VA 0 Oa\r\n\r\n", func(_ testPools, conn net.Conn, _ requestcore.BodyStream) { conn.Close() }, 0, true},
		"an end on which nobody waits": {"", func(f testPools, conn net.Conn, _ requestcore.BodyStream) {
			f.servers[1].connections[0].inFlight[0].Cancel()
			conn.Close()
		}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			limits := defaultLimits
			limits.MaxConnections = 1
			f, conns := startListener(t, limits)
			settled, behind := make(chan requestcore.Result, 1), make(outcomeRecorder, 1)
			f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, resultRecorder(settled)) })
			conn := <-conns
			readCommand(t, conn)
			if c.why == AttemptAbandoned {
				f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 60, 60, behind) })
			}
			conn.Write([]byte(c.answer))
			var long requestcore.BodyStream
			if strings.Contains(c.answer, "70000") || c.why == 0 && c.none && c.answer != "" {
				if long = (<-settled).Body; long != nil {
					f.onLoop(f.loop, func() { long.StartReading(&fakeSink{ending: make(chan string, 1), room: 9}) })
				}
			}
			f.onLoop(f.loop, func() { c.end(f, conn, long) })
			want := [closeReasonCount]uint64{}
			if want[c.why]++; c.none {
				want[c.why] = 0
			}
			var got [closeReasonCount]uint64
			for i := 0; i < 500; i++ {
				over := false
				if f.onLoop(f.loop, func() { got, over = f.closeCounts, len(f.servers[1].connections) == 0 }); over {
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

// unwantedRecorder is an execution whose client has unwantedRecorder, which is not heard of yet.
type unwantedRecorder struct{ outcomeRecorder }

func (unwantedRecorder) StillWanted() bool { return false }

// The loop was stopped for longer than an execution may wait to be written, or its client left meanwhile, and in the
// round in which it goes on there is a connection for it: it is not written, for its repeats are not dropped any
// more, or nobody waits for it.
func TestExpiredAttemptIsNotWritten(t *testing.T) {
	const within = 0.02
	for name, begin := range map[string]func(f testPools, o outcomeRecorder) *attempt{
		"its window ended": func(f testPools, o outcomeRecorder) *attempt {
			return f.StartAttempt(1, &requestcore.Request{Key: "late", ID: "b", Flags: "Ob"}, 60, within, o).(*attempt)
		},
		"its limit ended": func(f testPools, o outcomeRecorder) *attempt {
			return f.StartAttempt(1, &requestcore.Request{Key: "late", ID: "b", Flags: "Ob"}, within, within, o).(*attempt)
		},
		"its client left": func(f testPools, o outcomeRecorder) *attempt {
			return f.StartAttempt(1, &requestcore.Request{Key: "late", ID: "b", Flags: "Ob"}, 60, 60, unwantedRecorder{o}).(*attempt)
		},
	} {
		for which, cross := range map[string]func(f testPools, conns chan net.Conn, wait func(o outcomeRecorder)) net.Conn{
			"comes up": func(f testPools, conns chan net.Conn, wait func(o outcomeRecorder)) (conn net.Conn) {
				o := make(outcomeRecorder, 1)
				f.onLoop(f.loop, func() {
					wait(o)
					conn = <-conns // the kernel has it, and the loop has not heard of it
				})
				o.want(t, balancer.NotAttempted)
				return conn
			},
			"is free": func(f testPools, conns chan net.Conn, wait func(o outcomeRecorder)) net.Conn {
				f.limits.MaxConnections, f.limits.MaxInFlightPerConnection = 1, 1
				first, o := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
				f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, first) })
				conn := <-conns
				readCommand(t, conn)
				f.onLoop(f.loop, func() {
					conn.Write([]byte("VA 0 Oa\r\n\r\n"))
					for !f.servers[1].connections[0].socket.Unread() {
						time.Sleep(time.Millisecond)
					}
					wait(o)
				})
				first.want(t, balancer.Succeeded)
				o.want(t, balancer.NotAttempted)
				return conn
			},
			"is to be shared": func(f testPools, conns chan net.Conn, wait func(o outcomeRecorder)) net.Conn {
				f.limits.MaxConnections = 1
				first, o := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
				var conn net.Conn
				f.onLoop(f.loop, func() {
					f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, first)
					wait(o)
					conn = <-conns
				})
				o.want(t, balancer.NotAttempted)
				answerCommand(t, conn, "VA 0 Oa\r\n\r\n")
				first.want(t, balancer.Succeeded)
				return conn
			},
		} {
			f, conns := startListener(t, defaultLimits)
			conn := cross(f, conns, func(o outcomeRecorder) {
				for a := begin(f, o); a.stillWanted() && f.loop.Now() < a.sendDeadline; {
					time.Sleep(time.Millisecond)
				}
			})
			f.onLoop(f.loop, func() { f.RemoveEndpoint(1) })
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
				t.Errorf("%s, a connection %s: the server read %q, %v", name, which, heard, err)
			}
		}
	}
}

// A write has begun to leave behind a long value that is on its way back, which must not be cut off: given up, its
// rest goes on to leave, so that it may run, and it is not told as one that never did.
func TestPartlyWrittenAttemptBehindBodyMayRun(t *testing.T) {
	for name, giveUp := range map[string]func(b *attempt){
		"at its limit":      (*attempt).onTimer,
		"its client leaves": (*attempt).CancelIfUnsent,
	} {
		limits := defaultLimits
		limits.MaxConnections = 1
		f, conns := startListener(t, limits)
		a, b := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{Key: "long", ID: "a", Flags: "Oa"}, 60, 60, a) })
		conn := <-conns
		readCommand(t, conn)
		const length = 32 << 20 // beyond what the kernel holds
		var second *attempt
		f.onLoop(f.loop, func() {
			second = f.StartAttempt(1, &requestcore.Request{ID: "b", Write: true, Value: make([]byte, length)}, 60, 60, b).(*attempt)
		})
		conn.Write([]byte("VA 100000 Oa\r\n" + strings.Repeat("x", 50000)))
		a.want(t, balancer.Succeeded)
		f.onLoop(f.loop, func() {
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
