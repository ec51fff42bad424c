package frontend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A client that says nothing, or half a command, must not hold a place or memory for long, also if a byte comes now
// and then.
func TestSilentAndIncompleteCommandsTimeOut(t *testing.T) {
	s := startServer(t, ampleLimits)
	_, silent := s.dial()
	half, halfIn := s.dial()
	fmt.Fprintf(half, "mg k")
	usual, usualIn := s.dial()
	fmt.Fprintf(usual, "mn\r\n")
	expect(t, usualIn, "SERVER_ERROR starting\r\n")
	s.onLoop(func() {
		for c := range s.connections {
			c.acceptedAt -= commandSeconds + 0.1
			c.commandBegan -= commandSeconds + 0.1
		}
		s.sweep()
	})
	if _, err := silent.ReadByte(); err != io.EOF {
		t.Errorf("one that says nothing stays, %v", err)
	}
	expect(t, halfIn, "CLIENT_ERROR the command does not go on\r\n")
	if _, err := halfIn.ReadByte(); err != io.EOF {
		t.Errorf("one with half a command stays, %v", err)
	}
	fmt.Fprintf(usual, "mn\r\n")
	expect(t, usualIn, "SERVER_ERROR starting\r\n")
}

// Clients that asked once and stay would hold ever more places, each of which is one that others lack.
func TestIdleConnectionsTimeOut(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.started
	s.onLoop(func() {
		for c := range s.connections {
			c.lastActive -= 2 * idleTimeoutSeconds
			c.acceptedAt -= 2 * idleTimeoutSeconds
		}
		s.sweep() // it waits for an answer
	})
	s.succeed(h, "x")
	expect(t, in, "VA 1 O1\r\nx\r\n")
	s.onLoop(func() {
		for c := range s.connections {
			c.lastActive -= 2 * idleTimeoutSeconds
		}
		s.sweep()
	})
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection stays, %v", err)
	}
}

// A client that reads nothing holds memory: after a while it is cut.
func TestUnreadAnswerTimesOut(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 10}, 1000, 64 << 20})
	conn, _ := s.dial()
	stuck := false
	for i := 0; i < 1000 && !stuck; i++ {
		fmt.Fprintf(conn, "mg k v O%d Pc=t\r\n", i)
		select {
		case h := <-s.started:
			s.succeed(h, strings.Repeat("x", 60000))
		case <-time.After(100 * time.Millisecond):
			stuck = true
		}
	}
	s.onLoop(func() {
		for c := range s.connections {
			c.lastActive -= unreadAnswerSeconds + 1
		}
		s.sweep()
		if s.Connections() != 0 || s.dispatcher.held != 0 {
			t.Errorf("%d clients are left, %d bytes held", s.Connections(), s.dispatcher.held)
		}
	})
	if !stuck {
		t.Error("commands were read though no answer was")
	}
}

// The loop was stopped for long, and the rest of a command, or a client's first, is unread as timeouts are looked at:
// that is no silence.
func TestUnreadInputIsNoSilence(t *testing.T) {
	for name, c := range map[string]struct {
		first, rest string
		look        func(s testServer)
	}{
		"half a command": {"mg k v", " O1 Pc=t\r\n", func(s testServer) { s.sweep() }},
		"a first one":    {"", "mg k v O1 Pc=t\r\n", func(s testServer) { s.sweep() }},
		"for room":       {"", "mg k v O1 Pc=t\r\n", func(s testServer) { s.evictIdle() }},
	} {
		s := startServer(t, ampleLimits)
		conn, in := s.dial()
		first := c.first
		io.WriteString(conn, first)
		for begun := false; !begun; time.Sleep(time.Millisecond) {
			s.onLoop(func() {
				for c := range s.connections {
					begun = c.codec.InCommand() || first == ""
				}
			})
		}
		s.onLoop(func() {
			io.WriteString(conn, c.rest)
			for c := range s.connections {
				for !c.conn.Unread() {
					time.Sleep(time.Millisecond)
				}
				c.lastActive -= 100
				c.acceptedAt -= 100
				c.commandBegan -= 100
			}
			c.look(s)
		})
		s.expectServed(name, in)
	}
}

// A client reads an answer so slowly that the kernel tells of no room for longer than the timeout of unread answers:
// it is not cut, until it reads nothing.
func TestSlowReaderIsNotCut(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 10}, 10, 64 << 20})
	conn, in := s.dial()
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	fmt.Fprintf(conn, "mg k v Oa Pc=t\r\n")
	s.succeed(<-s.started, strings.Repeat("x", 32<<20))
	in.ReadByte()
	time.Sleep(50 * time.Millisecond) // the kernel holds what it takes
	swept := func() (left int) {
		s.onLoop(func() {
			for c := range s.connections {
				c.lastActive -= unreadAnswerSeconds + 1
			}
			s.sweep()
			left = s.Connections()
		})
		return left
	}
	s.onLoop(func() {
		for c := range s.connections {
			c.lastActive = s.loop.Now() - idleAfterSeconds - 1
		}
		s.sweep()
	})
	for range 3 {
		io.CopyN(io.Discard, in, 256<<10)
		time.Sleep(50 * time.Millisecond)
		if swept() != 1 {
			t.Fatal("it is cut while it reads")
		}
	}
	time.Sleep(300 * time.Millisecond)
	swept()
	if swept() != 0 {
		t.Error("it is kept though it reads nothing")
	}
}

// Clients that read nothing hold all the memory there is for values: others are not rejected for as long as such are
// waited for otherwise. While nobody is rejected they are.
func TestSlowReadersDoNotHoldAllCapacity(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 10, LongWriteBytes: 1 << 20}, 1000, 1 << 20})
	slow, _ := s.dial()
	for i := range 4 {
		fmt.Fprintf(slow, "mg k v Os%d Pc=t\r\n", i)
	}
	for range 4 {
		s.succeed(<-s.started, strings.Repeat("v", 8<<20)) // beyond what the kernel holds
	}
	// Until the kernel takes no more.
	for still, last := 0, uint64(0); still < 5; time.Sleep(20 * time.Millisecond) {
		s.onLoop(func() {
			for c := range s.connections {
				sent := c.conn.Sent()
				if sent != last || len(c.segments) == 0 {
					still = 0
					last = sent
				}
			}
			still++
		})
	}
	sweep := func() (clients int) {
		s.onLoop(func() {
			s.sweep()
			clients = len(s.connections)
		})
		return clients
	}
	s.onLoop(func() {
		for c := range s.connections {
			c.lastActive -= 2 // seconds
		}
	})
	if sweep() != 1 {
		t.Error("it is closed though nobody lacks capacity")
	}
	conn, in := s.dial()
	fmt.Fprintf(conn, "mg k v O0 Pc=t\r\n")
	expect(t, in, "SERVER_ERROR busy\r\n")
	if sweep() != 1 {
		t.Error("a client that reads nothing holds all capacity")
	}
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	s.expectServed("after that", in)
}
