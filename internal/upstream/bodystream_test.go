package upstream

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"

	"golang.org/x/sys/unix"
)

// fakeSink counts what it takes of a long value, and how that ended.
type fakeSink struct {
	room, got int
	sum       uint32 // of the bytes
	ending    chan string
}

func (sink *fakeSink) OnComplete() { sink.ending <- "whole" }

func (sink *fakeSink) OnBroken() { sink.ending <- "broken" }

func (sink *fakeSink) OnPart(p []byte) int {
	n := min(len(p), sink.room)
	sink.room, sink.got = sink.room-n, sink.got+n
	sink.sum = crc32.Update(sink.sum, crc32.IEEETable, p[:n])
	return n
}

// A long value settles its attempt at the first bytes, is read no faster than it is taken, and is not cut off by
// what is given up behind it, nor by a stall while it is not taken. One whose server gives nothing more is broken.
// Each counts as sent once, a probe never.
func TestBodyStreams(t *testing.T) {
	const length = 1 << 20
	part := make(chan int)
	limits := defaultLimits
	limits.MaxConnections = 1
	pools := startServer(t, limits, func(conn net.Conn, line string) {
		if line == "mn\r\n" {
			conn.Write([]byte("MN\r\n"))
		} else if n := <-part; n > 0 {
			conn.Write([]byte("VA 1048576 Oa\r\n" + strings.Repeat("x", n) + strings.Repeat("\r\n", n/length)))
		}
	})
	probed := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() { pools.Probe(1, func(how balancer.Outcome) { probed <- how }) })
	probed.want(t, balancer.Succeeded)
	for _, c := range []struct {
		gives int
		ends  string
	}{{length, "whole"}, {length / 2, "broken"}} {
		settled, sink := make(chan requestcore.Result, 1), &fakeSink{ending: make(chan string, 1)}
		pools.onLoop(pools.loop, func() {
			pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, resultRecorder(settled))
		})
		behind := make(outcomeRecorder, 1)
		pools.startAttemptAt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 0.2, 0.2, behind)
		part <- c.gives
		long := (<-settled).Body
		behind.want(t, balancer.TimedOut)
		late := make(outcomeRecorder, 1) // is not sent behind it
		pools.startAttemptAt(1, &requestcore.Request{ID: "c", Flags: "Oc"}, 0.05, 0.05, late)
		late.want(t, balancer.NotAttempted)
		pools.onLoop(pools.loop, func() {
			l := pools.servers[1].connections[0]
			l.onStallTimeout()
			sink.room = 1000
			long.StartReading(sink)
			if sink.got != 1000 || l.socket.In.Len()+sink.got > 20<<10 || pools.sentAttempts == 0 {
				t.Errorf("%d bytes were taken, %d are held", sink.got, l.socket.In.Len())
			}
			sink.room = 2 * length
			long.ResumeReading()
		})
		for i := 0; sink.ending != nil && len(sink.ending) == 0 && i < 200; i++ {
			time.Sleep(10 * time.Millisecond)
			pools.onLoop(pools.loop, func() {
				if i == 100 && len(pools.servers[1].connections) > 0 { // by now nothing more comes
					pools.servers[1].connections[0].onStallTimeout()
				}
			})
		}
		if got := <-sink.ending; got != c.ends || sink.got != c.gives {
			t.Errorf("it ended %s with %d bytes, want %s with %d", got, sink.got, c.ends, c.gives)
		}
		released := make(chan bool)
		go func() { part <- 0; close(released) }() // to the one behind
		if c.ends == "whole" {
			// Else the old connection's server, which waits for this, could take what the next case gives.
			select {
			case <-released:
			case <-time.After(5 * time.Second):
				t.Fatal("the server has not read the attempt behind")
			}
		}
	}
	pools.onLoop(pools.loop, func() {
		if pools.SentAttempts() != 4 {
			t.Errorf("%d are counted as sent, want 4", pools.SentAttempts())
		}
	})
}

// A long value that nobody waits for any more is let go of as it comes; the one pipelined behind it gets its own
// answer.
func TestUnwantedBodyIsDiscarded(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	pools, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	var p requestcore.PendingAttempt
	pools.onLoop(pools.loop, func() { p = pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first) })
	conn := <-conns
	readCommand(t, conn)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
		p.Cancel()
	})
	readCommand(t, conn)
	first.want(t, balancer.Cancelled)
	conn.Write([]byte("VA 100000 Oa\r\n" + strings.Repeat("x", 100000) + "\r\nVA 0 Ob\r\n\r\n"))
	second.want(t, balancer.Succeeded)
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
func TestCloseBehindSlowlyReadBody(t *testing.T) {
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
			pools, conns := startListener(t, defaultLimits)
			settled, sink := make(chan requestcore.Result, 1), &fakeSink{ending: make(chan string, 1), room: c.taken}
			pools.onLoop(pools.loop, func() {
				pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, resultRecorder(settled))
			})
			conn, all := (<-conns).(*net.TCPConn), longValue(c.length)
			readCommand(t, conn)
			text := append(fmt.Appendf(nil, "VA %d Oa\r\n", c.length), append(all, "\r\n"...)...)
			early := c.taken + 100 // the first line and more
			conn.Write(text[:early])
			long := (<-settled).Body
			pools.onLoop(pools.loop, func() { long.StartReading(sink) })
			for got := -1; got < c.taken; time.Sleep(time.Millisecond) {
				pools.onLoop(pools.loop, func() { got = sink.got })
			}
			rest := func() {
				conn.Write(text[early:])
				c.end(conn)
				time.Sleep(50 * time.Millisecond) // it has been told by then
			}
			if c.held {
				pools.onLoop(pools.loop, rest)
			} else {
				rest()
			}
			for i := 0; len(sink.ending) == 0 && i < 1000; i++ {
				pools.onLoop(pools.loop, func() { sink.room = 1000; long.ResumeReading() })
				time.Sleep(time.Millisecond)
			}
			if len(sink.ending) == 0 {
				t.Fatalf("it did not end with %d bytes of %d", sink.got, c.length)
			}
			if how := <-sink.ending; how != "whole" || sink.got != c.length || sink.sum != crc32.ChecksumIEEE(all) {
				t.Errorf("it ended %s with %d bytes of %d", how, sink.got, c.length)
			}
			pools.onLoop(pools.loop, func() {})
			pools.onLoop(pools.loop, func() {
				if len(pools.servers[1].connections) > 0 {
					t.Error("the ended connection is kept")
				}
			})
		})
	}
}

// A client leaves while its long value is on its way, and another's attempt is out behind it: that gets its own
// answer, and the rest of the value is let go of.
func TestBodyDiscardedWithAttemptBehindIt(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	pools, conns := startListener(t, limits)
	settled, second := make(chan requestcore.Result, 1), make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, resultRecorder(settled))
	})
	conn := <-conns
	readCommand(t, conn)
	pools.startAttemptAt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
	readCommand(t, conn)
	conn.Write(append([]byte("VA 200000 Oa\r\n"), longValue(90000)...))
	long, sink := (<-settled).Body, &fakeSink{ending: make(chan string, 1), room: 50000}
	pools.onLoop(pools.loop, func() { long.StartReading(sink) })
	pools.onLoop(pools.loop, long.Discard)
	conn.Write(append(longValue(110000), "\r\nVA 0 Ob\r\n\r\n"...))
	second.want(t, balancer.Succeeded)
	pools.onLoop(pools.loop, func() {
		if pools.closeCounts != [closeReasonCount]uint64{} || len(sink.ending) > 0 || sink.got > 50000 {
			t.Errorf("%v are counted as cut, %d bytes were taken", pools.closeCounts, sink.got)
		}
	})
}
