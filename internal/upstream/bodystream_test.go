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

// fakeSink is a sink that accepts as many bytes as it has room for. It records how many it got and how the value ended.
type fakeSink struct {
	room, got int
	sum       uint32 // CRC-32 of the accepted bytes
	ending    chan string
}

func (sink *fakeSink) OnComplete() { sink.ending <- "whole" }

func (sink *fakeSink) OnAborted() { sink.ending <- "broken" }

func (sink *fakeSink) HasBegun() bool { return true }

func (sink *fakeSink) OnPart(part []byte) int {
	accepted := min(len(part), sink.room)
	sink.room, sink.got = sink.room-accepted, sink.got+accepted
	sink.sum = crc32.Update(sink.sum, crc32.IEEETable, part[:accepted])
	return accepted
}

// A long value settles its attempt with its first bytes and is read no faster than the sink accepts it. It is not cut
// off when an attempt behind it is abandoned, nor by the stall timeout while the sink has no room. A value of which the
// server sends nothing more ends as broken. Each attempt is counted as sent once, a probe never.
func TestBodyStreams(t *testing.T) {
	const length = 1 << 20
	valueBytes := make(chan int) // how many bytes of the value the server sends in reply to a command; 0: no reply
	limits := defaultLimits
	limits.MaxConnections = 1
	pools := startServer(t, limits, func(conn net.Conn, line string) {
		if line == "mn\r\n" {
			conn.Write([]byte("MN\r\n"))
		} else if n := <-valueBytes; n > 0 {
			conn.Write([]byte("VA 1048576 Oa\r\n" + strings.Repeat("x", n) + strings.Repeat("\r\n", n/length)))
		}
	})
	probed := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() { pools.Probe(1, func(outcome balancer.Outcome) { probed <- outcome }) })
	probed.want(t, balancer.Succeeded)
	for _, c := range []struct {
		sent int
		ends string
	}{{length, "whole"}, {length / 2, "broken"}} {
		settled, sink := make(chan requestcore.Result, 1), &fakeSink{ending: make(chan string, 1)}
		pools.onLoop(pools.loop, func() {
			pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, resultRecorder(settled))
		})
		behind := make(outcomeRecorder, 1)
		pools.startAttemptAt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 0.2, 0.2, behind)
		valueBytes <- c.sent
		body := (<-settled).Body
		behind.want(t, balancer.TimedOut)
		late := make(outcomeRecorder, 1) // nothing is pipelined behind a body that is being forwarded
		pools.startAttemptAt(1, &requestcore.Request{ID: "c", Flags: "Oc"}, 0.05, 0.05, late)
		late.want(t, balancer.NotAttempted)
		pools.onLoop(pools.loop, func() {
			poolConn := pools.servers[1].connections[0]
			poolConn.onStallTimeout()
			sink.room = 1000
			body.StartReading(sink)
			if sink.got != 1000 || poolConn.socket.In.Len()+sink.got > 20<<10 || pools.sentAttempts == 0 {
				t.Errorf("the sink has %d bytes and %d are buffered, want 1000, at most 20 KiB in total, and an attempt counted",
					sink.got, poolConn.socket.In.Len())
			}
			sink.room = 2 * length
			body.ResumeReading()
		})
		for i := 0; sink.ending != nil && len(sink.ending) == 0 && i < 200; i++ {
			time.Sleep(10 * time.Millisecond)
			pools.onLoop(pools.loop, func() {
				if i == 100 && len(pools.servers[1].connections) > 0 { // by now the server has stopped sending
					pools.servers[1].connections[0].onStallTimeout()
				}
			})
		}
		if got := <-sink.ending; got != c.ends || sink.got != c.sent {
			t.Errorf("the value ended %s with %d bytes, want %s with %d", got, sink.got, c.ends, c.sent)
		}
		released := make(chan bool)
		go func() { valueBytes <- 0; close(released) }() // for the attempt behind
		if c.ends == "whole" {
			// Otherwise the server of the old connection, which waits for this, could receive the next case's number.
			select {
			case <-released:
			case <-time.After(5 * time.Second):
				t.Fatal("the server has not read the attempt behind the value within 5 s")
			}
		}
	}
	pools.onLoop(pools.loop, func() {
		if pools.SentAttempts() != 4 {
			t.Errorf("got %d attempts counted as sent, want 4", pools.SentAttempts())
		}
	})
}

// A long value whose attempt was cancelled is dropped as it arrives. The attempt that is pipelined behind it gets its
// own reply.
func TestUnwantedBodyIsDiscarded(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	pools, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	var pending requestcore.PendingAttempt
	pools.onLoop(pools.loop, func() {
		pending = pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
	})
	conn := <-conns
	readCommand(t, conn)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
		pending.Cancel()
	})
	readCommand(t, conn)
	first.want(t, balancer.Cancelled)
	conn.Write([]byte("VA 100000 Oa\r\n" + strings.Repeat("x", 100000) + "\r\nVA 0 Ob\r\n\r\n"))
	second.want(t, balancer.Succeeded)
}

// longValue returns a value of which no two lines are the same.
func longValue(length int) []byte {
	var value bytes.Buffer
	for i := 0; value.Len() < length; i++ {
		fmt.Fprintf(&value, "line %d\n", i)
	}
	return value.Bytes()[:length]
}

// waitDelivered waits until the peer's kernel has received everything that was written.
func waitDelivered(conn *net.TCPConn) {
	raw, _ := conn.SyscallConn()
	for unacknowledged := 1; unacknowledged > 0; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) { unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}

func closeConn(conn *net.TCPConn) { conn.Close() }

func resetConn(conn *net.TCPConn) {
	waitDelivered(conn)
	conn.SetLinger(0)
	conn.Close()
}

// A server ends its connection right behind a long value, and the sink reads the value late and in parts. The sink must
// get the whole value, whether the end is a close or a reset, and whether it is noticed while nothing is read, while
// the rest is buffered in the router, or in the same loop iteration as the bytes.
func TestCloseBehindSlowlyReadBody(t *testing.T) {
	for name, c := range map[string]struct {
		length, accepted int // bytes of the value, and how many of them the sink accepts before the end arrives
		end              func(conn *net.TCPConn)
		loopStopped      bool // until the rest and the end have arrived
	}{
		"closed while nothing is read":           {170000, 0, closeConn, false},
		"closed while the sink has no room":      {170000, 90000, closeConn, false},
		"closed while the rest is buffered":      {80000, 79000, closeConn, false},
		"half-closed by the server":              {170000, 0, func(conn *net.TCPConn) { conn.CloseWrite() }, false},
		"closed, in one iteration with the rest": {100000, 50000, closeConn, true},
		"reset while nothing is read":            {70000, 0, resetConn, false},
		"reset while the rest is buffered":       {80000, 79000, resetConn, false},
		"reset, in one iteration with the rest":  {100000, 60000, resetConn, true},
		"closed before the first byte is read":   {66000, 0, closeConn, true},
	} {
		t.Run(name, func(t *testing.T) {
			pools, conns := startListener(t, defaultLimits)
			settled, sink := make(chan requestcore.Result, 1), &fakeSink{ending: make(chan string, 1), room: c.accepted}
			pools.onLoop(pools.loop, func() {
				pools.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 60, 60, resultRecorder(settled))
			})
			conn, value := (<-conns).(*net.TCPConn), longValue(c.length)
			readCommand(t, conn)
			reply := append(fmt.Appendf(nil, "VA %d Oa\r\n", c.length), append(value, "\r\n"...)...)
			early := c.accepted + 100 // the first line and more
			conn.Write(reply[:early])
			body := (<-settled).Body
			pools.onLoop(pools.loop, func() { body.StartReading(sink) })
			for got := -1; got < c.accepted; time.Sleep(time.Millisecond) {
				pools.onLoop(pools.loop, func() { got = sink.got })
			}
			sendRest := func() {
				conn.Write(reply[early:])
				c.end(conn)
				time.Sleep(50 * time.Millisecond) // the end has arrived by then
			}
			if c.loopStopped {
				pools.onLoop(pools.loop, sendRest)
			} else {
				sendRest()
			}
			for i := 0; len(sink.ending) == 0 && i < 1000; i++ {
				pools.onLoop(pools.loop, func() { sink.room = 1000; body.ResumeReading() })
				time.Sleep(time.Millisecond)
			}
			if len(sink.ending) == 0 {
				t.Fatalf("the value did not end; the sink has %d bytes, want %d", sink.got, c.length)
			}
			if endedAs := <-sink.ending; endedAs != "whole" || sink.got != c.length || sink.sum != crc32.ChecksumIEEE(value) {
				t.Errorf("the value ended %s with %d bytes, want whole with %d bytes and the CRC-32 of the value",
					endedAs, sink.got, c.length)
			}
			pools.onLoop(pools.loop, func() {})
			pools.onLoop(pools.loop, func() {
				if len(pools.servers[1].connections) > 0 {
					t.Error("the closed connection is kept, want no connection")
				}
			})
		})
	}
}

// A client disconnects while its long value is being received, and another client's attempt is in flight behind it.
// That attempt gets its own reply, and the rest of the value is dropped.
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
	body, sink := (<-settled).Body, &fakeSink{ending: make(chan string, 1), room: 50000}
	pools.onLoop(pools.loop, func() { body.StartReading(sink) })
	pools.onLoop(pools.loop, body.Discard)
	conn.Write(append(longValue(110000), "\r\nVA 0 Ob\r\n\r\n"...))
	second.want(t, balancer.Succeeded)
	pools.onLoop(pools.loop, func() {
		if pools.closeCounts != [closeReasonCount]uint64{} || len(sink.ending) > 0 || sink.got > 50000 {
			t.Errorf("got close counts %v, want none; the sink has %d bytes, want at most 50000 and no end",
				pools.closeCounts, sink.got)
		}
	})
}
