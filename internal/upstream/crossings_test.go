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

// stuck is a fleet whose server reads nothing of the one connection to it, until it is told: it is full of a write.
func stuck(t *testing.T) (f fleet, l *connection, a outcome, hear func() []byte) {
	limits := usual
	limits.MaxConnections, limits.MaxInFlightPerConnection = 1, 10
	f, conns := listening(t, limits)
	a = make(outcome, 1)
	f.do(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{ID: "a", Write: true, Value: make([]byte, 32<<20)}, 60, 60, a) // beyond what the kernel holds
	})
	conn := <-conns
	for held := -1; ; { // until the kernel takes no more
		now := 0
		f.do(f.loop, func() {
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
func TestWhatTheKernelHasNotBegunToTakeIsTakenBack(t *testing.T) {
	for name, cross := range map[string]func(f fleet, b requestcore.PendingAttempt){
		"its client leaves": func(_ fleet, b requestcore.PendingAttempt) { b.CancelIfUnsent() },
		"it is withdrawn":   func(_ fleet, b requestcore.PendingAttempt) { b.Cancel() },
		"a drain is told":   func(f fleet, _ requestcore.PendingAttempt) { f.RemoveEndpoint(1) },
		"out by hand":       func(f fleet, _ requestcore.PendingAttempt) { f.CancelUnsent(1) },
		"its window ends":   func(_ fleet, b requestcore.PendingAttempt) { b.(*attempt).onTimer() },
		"its window has ended, and the kernel takes more before that is heard": func(_ fleet, b requestcore.PendingAttempt) {
			b.(*attempt).sendDeadline = 0
			b.(*attempt).connection.Flushed()
		},
		"its client has left, and the kernel takes more before that is heard": func(_ fleet, b requestcore.PendingAttempt) {
			b.(*attempt).stillWanted = func() bool { return false }
			b.(*attempt).connection.Flushed()
		},
	} {
		f, l, a, hear := stuck(t)
		b, c := make(outcome, 1), make(outcome, 1)
		f.do(f.loop, func() {
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
				f.do(f.loop, func() {
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
func TestWhatHasBegunToLeaveIsCutOff(t *testing.T) {
	f, l, a, hear := stuck(t)
	f.do(f.loop, func() { l.inFlight[0].CancelIfUnsent() })
	a.want(t, balancer.NotAttempted)
	if heard := hear(); len(heard) >= 32<<20 {
		t.Errorf("the server read all %d bytes", len(heard))
	}
}

// A server that moves while a connection to where it was comes up must not be sent to there: another may be there by
// now.
func TestAServerMovesWhileAConnectionComesUp(t *testing.T) {
	f, before := listening(t, usual)
	other, after := listening(t, usual)
	o := make(outcome, 1)
	f.do(f.loop, func() { // in one round, so that the connection is not up yet
		f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, o)
		f.SetEndpoint(1, other.servers[1].addr)
		if links := f.servers[1].connections; len(links) != 1 || links[0].addr != f.servers[1].addr { // the one before might never come up
			t.Errorf("%d connections come up", len(links))
		}
	})
	answer(t, <-after, "VA 0 Oa\r\n\r\n")
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
func TestAServerMovesWhileAnAnswerIsOut(t *testing.T) {
	f, before := listening(t, usual)
	other, after := listening(t, usual)
	first, second := make(outcome, 1), make(outcome, 1)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	old := <-before
	f.do(f.loop, func() { f.SetEndpoint(1, other.servers[1].addr) })
	answer(t, old, "VA 0 Oa\r\n\r\n")
	first.want(t, balancer.Succeeded)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second) })
	answer(t, <-after, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
}

// The sweep of idle connections comes late where the loop was stopped: an old one is not written to, for its server
// may be closing it, and what it was sent may have run.
func TestAnIdleConnectionIsNotUsedWhenItIsOld(t *testing.T) {
	f, conns := listening(t, usual)
	first, second := make(outcome, 1), make(outcome, 1)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	old := <-conns
	answer(t, old, "VA 0 Oa\r\n\r\n")
	first.want(t, balancer.Succeeded)
	f.do(f.loop, func() {
		f.servers[1].idle[0].idleSince -= f.limits.IdleTimeout
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	answer(t, <-conns, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	if n, err := old.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the old connection was sent %d bytes, %v", n, err)
	}
}

// A reply that is said twice names no operation where it is a refusal. Right behind another reply it proves nothing
// to one that must not run twice.
func TestARefusalRightBehindAnotherReplyProvesNothing(t *testing.T) {
	for _, c := range []struct {
		once   bool
		behind float64
		want   balancer.Outcome
	}{{true, -1, balancer.OutcomeUnknown}, {false, -1, balancer.Overloaded}, {true, 1, balancer.Overloaded}} {
		f, conns := listening(t, usual)
		first, second := make(outcome, 1), make(outcome, 1)
		f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
		conn := <-conns
		answer(t, conn, "VA 0 Oa\r\n\r\n")
		first.want(t, balancer.Succeeded)
		f.do(f.loop, func() {
			f.servers[1].connections[0].lastReplyAt = f.loop.Now() - c.behind
			f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob", NotIdempotent: c.once}, 5, 5, second)
		})
		answer(t, conn, "SERVER_ERROR busy\r\n")
		second.want(t, c.want)
	}
}

// At the bound, what waited for a connection is piped once it is up: it waited for the answers before it, or its own
// end.
func TestWhatWaitsIsPipedOnceAConnectionIsUp(t *testing.T) {
	limits := usual
	limits.MaxConnections = 1
	f := serving(t, limits, func(net.Conn, string) {})
	f.do(f.loop, func() { // in one round, so that all wait for the one connection
		for _, key := range []string{"k1", "k2", "k3"} {
			f.StartAttempt(1, &requestcore.Request{Key: key, ID: "a", Flags: "Oa"}, 5, 5, make(outcome, 1))
		}
	})
	for _, key := range []string{"k1", "k2", "k3"} { // the longest waiting first
		f.line("mg " + key)
	}
}

// Nothing is piped on a connection that its server has ended, though that is not heard of yet.
func TestNothingIsPipedOnAConnectionThatHasEnded(t *testing.T) {
	limits := usual
	limits.MaxConnections = 1
	f, conns := listening(t, limits)
	first, second := make(outcome, 1), make(outcome, 1)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	old := <-conns
	heard(t, old)
	f.do(f.loop, func() { // the loop is held until the end has come
		old.(*net.TCPConn).CloseWrite()
		for l := f.servers[1].connections[0]; !l.socket.Ended(); {
			time.Sleep(time.Millisecond)
		}
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.ConnectionLost)
	answer(t, <-conns, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	if more, _ := io.ReadAll(old); len(more) > 0 {
		t.Errorf("the ended connection was sent %q", more)
	}
}

// A drain is told in the round in which a connection to the server has come up: nothing is written there, and it is
// not kept.
func TestADrainIsToldAsAConnectionComesUp(t *testing.T) {
	f, conns := listening(t, usual)
	o := make(outcome, 1)
	var conn net.Conn
	f.do(f.loop, func() {
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
func TestADrainIsToldAsAnAnswerFreesItsConnection(t *testing.T) {
	limits := usual
	limits.MaxConnections, limits.MaxInFlightPerConnection = 1, 1
	f, conns := listening(t, limits)
	first, second := make(outcome, 1), make(outcome, 1)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	conn := <-conns
	heard(t, conn)
	f.do(f.loop, func() {
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
func TestAServerThatEndsEachConnectionIsNotStormed(t *testing.T) {
	f, conns := listening(t, usual)
	for range 20 {
		o := make(outcome, 1)
		f.do(f.loop, func() {
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
func TestALongValueThatNobodyWantsHoldsUpNothing(t *testing.T) {
	limits := usual
	limits.MaxConnections = 1
	f, conns := listening(t, limits)
	first, second := make(outcome, 1), make(outcome, 1)
	var p requestcore.PendingAttempt
	f.do(f.loop, func() { p = f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	conn := <-conns
	heard(t, conn)
	f.do(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
		p.Cancel()
	})
	heard(t, conn)
	first.want(t, balancer.Cancelled)
	conn.Write([]byte("VA 100000 Oa\r\n" + strings.Repeat("x", 100000) + "\r\nVA 0 Ob\r\n\r\n"))
	second.want(t, balancer.Succeeded)
}

// An answer has come as its limit ends, and the loop hears of both in one round: it ends once, either way.
func TestAnAnswerAndItsLimitInOneRound(t *testing.T) {
	f, conns := listening(t, usual)
	o := make(outcome, 2)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, o) })
	conn := <-conns
	heard(t, conn)
	f.do(f.loop, func() {
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
	f.do(f.loop, func() {})
	f.do(f.loop, func() {
		if len(o) > 0 || len(f.servers[1].connections) > 1 {
			t.Errorf("it ended %d times more, %d connections are kept", len(o), len(f.servers[1].connections))
		}
	})
}

// A server is gone and back, elsewhere, in one list: what waited for it is told that it was not sent, what comes next
// goes where it is now.
func TestAServerIsGoneAndBackInOneRound(t *testing.T) {
	f, before := listening(t, usual)
	other, after := listening(t, usual)
	first, second := make(outcome, 1), make(outcome, 1)
	f.do(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, first)
		f.RemoveEndpoint(1)
		f.SetEndpoint(1, other.servers[1].addr)
		f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.NotAttempted)
	answer(t, <-after, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	conn := <-before
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
		t.Errorf("where it was, it was sent %q, %v", heard, err)
	}
}

// A connection comes up after what it was made for has settled: it is kept for the next, and nothing is written on it
// before that.
func TestAConnectionComesUpAfterItsAttemptSettled(t *testing.T) {
	f, conns := listening(t, usual)
	first, second := make(outcome, 1), make(outcome, 1)
	f.do(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{Key: "first", ID: "a", Flags: "Oa"}, 5, 5, first).Cancel()
	})
	first.want(t, balancer.Cancelled)
	conn := <-conns
	for idle := 0; idle == 0; time.Sleep(time.Millisecond) {
		f.do(f.loop, func() { idle = len(f.servers[1].idle) })
	}
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{Key: "second", ID: "b", Flags: "Ob"}, 5, 5, second) })
	line := make([]byte, len("mg second"))
	if io.ReadFull(conn, line); string(line) != "mg second" {
		t.Errorf("it was sent %q", line)
	}
	answer(t, conn, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
}

// What was written in time is waited for beyond the time in which it was to be written.
func TestWhatIsWrittenWithinItsWindowMayBeAnsweredAfterIt(t *testing.T) {
	f, conns := listening(t, usual)
	o := make(outcome, 1)
	var a *attempt
	f.do(f.loop, func() { a = f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 30, o).(*attempt) })
	conn := <-conns
	heard(t, conn)
	f.do(f.loop, a.onTimer) // the window ends
	conn.Write([]byte("VA 0 Oa\r\n\r\n"))
	o.want(t, balancer.Succeeded)
}

// value is a long one, no two lines of which are alike.
func value(length int) []byte {
	var all bytes.Buffer
	for i := 0; all.Len() < length; i++ {
		fmt.Fprintf(&all, "line %d\n", i)
	}
	return all.Bytes()[:length]
}

// delivered waits until the other side's kernel has all that was written.
func delivered(conn *net.TCPConn) {
	raw, _ := conn.SyscallConn()
	for left := 1; left > 0; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}

func closed(conn *net.TCPConn) { conn.Close() }

func reset(conn *net.TCPConn) {
	delivered(conn)
	conn.SetLinger(0)
	conn.Close()
}

// A server ends its connection right behind a long answer, and what takes the value does so late, in parts: it gets
// all of it, whether the end is heard while nothing is read, while the rest is held here, or with the bytes in one
// round, as a close or as a reset.
func TestTheEndBehindALongValueThatIsTakenLate(t *testing.T) {
	for name, c := range map[string]struct {
		length, taken int // bytes in all, and of them those that are taken before the end comes
		end           func(conn *net.TCPConn)
		held          bool // the loop is, until the rest and the end have come
	}{
		"closed while nothing is read":          {170000, 0, closed, false},
		"closed while no more is taken":         {170000, 90000, closed, false},
		"closed while the rest is held here":    {80000, 79000, closed, false},
		"its sending ended":                     {170000, 0, func(conn *net.TCPConn) { conn.CloseWrite() }, false},
		"closed, with the rest in one round":    {100000, 50000, closed, true},
		"reset while nothing is read":           {70000, 0, reset, false},
		"reset while the rest is held here":     {80000, 79000, reset, false},
		"reset, with the rest in one round":     {100000, 60000, reset, true},
		"closed before its first byte is taken": {66000, 0, closed, true},
	} {
		t.Run(name, func(t *testing.T) {
			f, conns := listening(t, usual)
			settled, k := make(chan requestcore.Result, 1), &taker{ended: make(chan string, 1), room: c.taken}
			f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, results(settled)) })
			conn, all := (<-conns).(*net.TCPConn), value(c.length)
			heard(t, conn)
			text := append(fmt.Appendf(nil, "VA %d Oa\r\n", c.length), append(all, "\r\n"...)...)
			early := c.taken + 100 // the first line and more
			conn.Write(text[:early])
			long := (<-settled).Body
			f.do(f.loop, func() { long.StartReading(k) })
			for got := -1; got < c.taken; time.Sleep(time.Millisecond) {
				f.do(f.loop, func() { got = k.got })
			}
			rest := func() {
				conn.Write(text[early:])
				c.end(conn)
				time.Sleep(50 * time.Millisecond) // it has been told by then
			}
			if c.held {
				f.do(f.loop, rest)
			} else {
				rest()
			}
			for i := 0; len(k.ended) == 0 && i < 1000; i++ {
				f.do(f.loop, func() { k.room = 1000; long.ResumeReading() })
				time.Sleep(time.Millisecond)
			}
			if len(k.ended) == 0 {
				t.Fatalf("it did not end with %d bytes of %d", k.got, c.length)
			}
			if how := <-k.ended; how != "whole" || k.got != c.length || k.sum != crc32.ChecksumIEEE(all) {
				t.Errorf("it ended %s with %d bytes of %d", how, k.got, c.length)
			}
			f.do(f.loop, func() {})
			f.do(f.loop, func() {
				if len(f.servers[1].connections) > 0 {
					t.Error("the ended connection is kept")
				}
			})
		})
	}
}

// A server answers and its connection is reset; what is written behind that in the same round fails. The answer is
// read all the same, and what could not be written never ran.
func TestAnAnswerBeforeAWriteThatFails(t *testing.T) {
	limits := usual
	limits.MaxConnections = 1
	f, conns := listening(t, limits)
	first, second := make(outcome, 1), make(outcome, 1)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	conn := (<-conns).(*net.TCPConn)
	heard(t, conn)
	f.do(f.loop, func() {
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		reset(conn)
		f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.Succeeded)
	second.want(t, balancer.ConnectFailed)
}

// A client leaves while its long value is on its way, and another's attempt is out behind it: that gets its own
// answer, and the rest of the value is let go of.
func TestALongValueIsLeftWithAnotherBehindIt(t *testing.T) {
	limits := usual
	limits.MaxConnections = 1
	f, conns := listening(t, limits)
	settled, second := make(chan requestcore.Result, 1), make(outcome, 1)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, results(settled)) })
	conn := <-conns
	heard(t, conn)
	f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second) })
	heard(t, conn)
	conn.Write(append([]byte("VA 200000 Oa\r\n"), value(90000)...))
	long, k := (<-settled).Body, &taker{ended: make(chan string, 1), room: 50000}
	f.do(f.loop, func() { long.StartReading(k) })
	f.do(f.loop, long.Discard)
	conn.Write(append(value(110000), "\r\nVA 0 Ob\r\n\r\n"...))
	second.want(t, balancer.Succeeded)
	f.do(f.loop, func() {
		if f.closeCounts != [closeReasonCount]uint64{} || len(k.ended) > 0 || k.got > 50000 {
			t.Errorf("%v are counted as cut, %d bytes were taken", f.closeCounts, k.got)
		}
	})
}

// Each end of a connection on which something is owed is counted by its reason, one on which nothing is owed is not.
func TestWhatIsCutIsCountedByItsReason(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		end    func(f fleet, conn net.Conn, long requestcore.BodyStream)
		why    CloseReason
		none   bool
	}{
		"a reset in place of an answer":  {"", func(_ fleet, conn net.Conn, _ requestcore.BodyStream) { reset(conn.(*net.TCPConn)) }, ServerClosed, false},
		"an end within a long value":     {"VA 70000 Oa\r\nxx", func(_ fleet, conn net.Conn, _ requestcore.BodyStream) { conn.Close() }, ServerClosed, false},
		"noise in place of an answer":    {"noise\r\n", func(fleet, net.Conn, requestcore.BodyStream) {}, UnexpectedReply, false},
		"an answer that does not go on":  {"VA 100 Oa\r\nxx", func(fleet, net.Conn, requestcore.BodyStream) {}, ReplyStalled, false},
		"a client that leaves its value": {"VA 70000 Oa\r\nxx", func(_ fleet, _ net.Conn, long requestcore.BodyStream) { long.Discard() }, ClientDisconnected, false},
		"an attempt given up before it": {"", func(f fleet, _ net.Conn, _ requestcore.BodyStream) {
			f.servers[1].connections[0].inFlight[0].abandon(balancer.TimedOut)
		}, AttemptAbandoned, false},
		"an end after the answer": {"VA 0 Oa\r\n\r\n", func(_ fleet, conn net.Conn, _ requestcore.BodyStream) { conn.Close() }, 0, true},
		"an end on which nobody waits": {"", func(f fleet, conn net.Conn, _ requestcore.BodyStream) {
			f.servers[1].connections[0].inFlight[0].Cancel()
			conn.Close()
		}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			limits := usual
			limits.MaxConnections = 1
			f, conns := listening(t, limits)
			settled, behind := make(chan requestcore.Result, 1), make(outcome, 1)
			f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, results(settled)) })
			conn := <-conns
			heard(t, conn)
			if c.why == AttemptAbandoned {
				f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 60, 60, behind) })
			}
			conn.Write([]byte(c.answer))
			var long requestcore.BodyStream
			if strings.Contains(c.answer, "70000") || c.why == 0 && c.none && c.answer != "" {
				if long = (<-settled).Body; long != nil {
					f.do(f.loop, func() { long.StartReading(&taker{ended: make(chan string, 1), room: 9}) })
				}
			}
			f.do(f.loop, func() { c.end(f, conn, long) })
			want := [closeReasonCount]uint64{}
			if want[c.why]++; c.none {
				want[c.why] = 0
			}
			var got [closeReasonCount]uint64
			for i := 0; i < 500; i++ {
				over := false
				if f.do(f.loop, func() { got, over = f.closeCounts, len(f.servers[1].connections) == 0 }); over {
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

// left is an execution whose client has left, which is not heard of yet.
type left struct{ outcome }

func (left) StillWanted() bool { return false }

// The loop was stopped for longer than an execution may wait to be written, or its client left meanwhile, and in the
// round in which it goes on there is a connection for it: it is not written, for its repeats are not dropped any
// more, or nobody waits for it.
func TestWhatHasWaitedTooLongIsNotWritten(t *testing.T) {
	const within = 0.02
	for name, begin := range map[string]func(f fleet, o outcome) *attempt{
		"its window ended": func(f fleet, o outcome) *attempt {
			return f.StartAttempt(1, &requestcore.Request{Key: "late", ID: "b", Flags: "Ob"}, 60, within, o).(*attempt)
		},
		"its limit ended": func(f fleet, o outcome) *attempt {
			return f.StartAttempt(1, &requestcore.Request{Key: "late", ID: "b", Flags: "Ob"}, within, within, o).(*attempt)
		},
		"its client left": func(f fleet, o outcome) *attempt {
			return f.StartAttempt(1, &requestcore.Request{Key: "late", ID: "b", Flags: "Ob"}, 60, 60, left{o}).(*attempt)
		},
	} {
		for which, cross := range map[string]func(f fleet, conns chan net.Conn, wait func(o outcome)) net.Conn{
			"comes up": func(f fleet, conns chan net.Conn, wait func(o outcome)) (conn net.Conn) {
				o := make(outcome, 1)
				f.do(f.loop, func() {
					wait(o)
					conn = <-conns // the kernel has it, and the loop has not heard of it
				})
				o.want(t, balancer.NotAttempted)
				return conn
			},
			"is free": func(f fleet, conns chan net.Conn, wait func(o outcome)) net.Conn {
				f.limits.MaxConnections, f.limits.MaxInFlightPerConnection = 1, 1
				first, o := make(outcome, 1), make(outcome, 1)
				f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, first) })
				conn := <-conns
				heard(t, conn)
				f.do(f.loop, func() {
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
			"is to be shared": func(f fleet, conns chan net.Conn, wait func(o outcome)) net.Conn {
				f.limits.MaxConnections = 1
				first, o := make(outcome, 1), make(outcome, 1)
				var conn net.Conn
				f.do(f.loop, func() {
					f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, first)
					wait(o)
					conn = <-conns
				})
				o.want(t, balancer.NotAttempted)
				answer(t, conn, "VA 0 Oa\r\n\r\n")
				first.want(t, balancer.Succeeded)
				return conn
			},
		} {
			f, conns := listening(t, usual)
			conn := cross(f, conns, func(o outcome) {
				for a := begin(f, o); a.stillWanted() && f.loop.Now() < a.sendDeadline; {
					time.Sleep(time.Millisecond)
				}
			})
			f.do(f.loop, func() { f.RemoveEndpoint(1) })
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
				t.Errorf("%s, a connection %s: the server read %q, %v", name, which, heard, err)
			}
		}
	}
}

// A write has begun to leave behind a long value that is on its way back, which must not be cut off: given up, its
// rest goes on to leave, so that it may run, and it is not told as one that never did.
func TestWhatGoesOnToLeaveMayRun(t *testing.T) {
	for name, giveUp := range map[string]func(b *attempt){
		"at its limit":      (*attempt).onTimer,
		"its client leaves": (*attempt).CancelIfUnsent,
	} {
		limits := usual
		limits.MaxConnections = 1
		f, conns := listening(t, limits)
		a, b := make(outcome, 1), make(outcome, 1)
		f.do(f.loop, func() { f.StartAttempt(1, &requestcore.Request{Key: "long", ID: "a", Flags: "Oa"}, 60, 60, a) })
		conn := <-conns
		heard(t, conn)
		const length = 32 << 20 // beyond what the kernel holds
		var second *attempt
		f.do(f.loop, func() {
			second = f.StartAttempt(1, &requestcore.Request{ID: "b", Write: true, Value: make([]byte, length)}, 60, 60, b).(*attempt)
		})
		conn.Write([]byte("VA 100000 Oa\r\n" + strings.Repeat("x", 50000)))
		a.want(t, balancer.Succeeded)
		f.do(f.loop, func() {
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
