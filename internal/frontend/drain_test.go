package frontend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// CloseIdle must close idle connections immediately and busy ones after their answer. A connection with an incomplete
// command, and one whose client has just connected to send its first, must be closed only after the answer to that
// command.
func TestCloseIdle(t *testing.T) {
	s := startServer(t, ampleLimits)
	used, idle := s.dial()
	fmt.Fprint(used, "mn\r\n")
	expect(t, idle, "SERVER_ERROR starting\r\n")
	fresh, freshIn := s.dial()
	busy, busyIn := s.dial()
	fmt.Fprintf(busy, "mg k v O1 Pc=t\r\n")
	h := <-s.started
	begun, begunIn := s.dial()
	fmt.Fprintf(begun, "mg k v O2")
	for there := 0; there < 4; { // all have been accepted and read
		s.onLoop(func() {
			there = 0
			for c := range s.connections {
				if c.codec.InCommand() || len(c.answers) > 0 || c.conn.In.Len() == 0 {
					there++
				}
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	s.onLoop(s.CloseIdle)
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: got read error %v, want EOF", err)
	}
	s.succeed(h, "x")
	expect(t, busyIn, "VA 1 O1\r\nx\r\n")
	fmt.Fprintf(begun, " Pc=t\r\n")
	s.succeed(<-s.started, "y")
	expect(t, begunIn, "VA 1 O2\r\ny\r\n")
	fmt.Fprintf(fresh, "mg k v O3 Pc=t\r\n")
	s.succeed(<-s.started, "z")
	expect(t, freshIn, "VA 1 O3\r\nz\r\n")
	for _, in := range []*bufio.Reader{busyIn, begunIn, freshIn} {
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("an answered connection: got read error %v, want EOF", err)
		}
	}
}

// If a connection is closed with input unread, the kernel resets it, and the client loses answers that it has not read
// yet, including valid ones before the bad command that ends the connection. Here the client starts to read only after
// the frontend has ended the connection.
func TestClosingWithUnreadInputKeepsAnswers(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 10}, 1000, 8 << 20})
	// With a small receive buffer at the client most of the answers wait in the router's kernel.
	narrow := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	conn, err := narrow.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	const answers, length = 8, 64 << 10
	for i := range answers {
		fmt.Fprintf(conn, "mg k v O%d Pc=t\r\n", i)
	}
	moreThanABuffer := strings.Repeat("x", 5*16<<10)
	io.WriteString(conn, strings.Repeat("nonsense\r\n", maxBadCommands)+moreThanABuffer)
	for range answers {
		s.succeed(<-s.started, strings.Repeat("v", length))
	}
	for open := 1; open > 0; time.Sleep(time.Millisecond) {
		s.onLoop(func() { open = len(s.connections) })
	}
	s.onLoop(func() {}) // the rounds in which a socket that is closed is released
	s.onLoop(func() {})
	all, err := io.ReadAll(conn)
	endsInErrors := strings.HasSuffix(string(all), strings.Repeat("ERROR\r\n", maxBadCommands))
	if err != nil || len(all) < answers*length || !endsInErrors {
		t.Errorf("got %d bytes, then error %v, want all answers, then maxBadCommands errors and EOF", len(all), err)
	}
}

// After the last answer, the frontend must wait only for a limited time for a client that does not close its side.
// Meanwhile the connection must count towards the limit.
func TestLingeringConnectionIsClosed(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mn\r\n")
	expect(t, in, "SERVER_ERROR starting\r\n")
	s.onLoop(s.CloseIdle)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after CloseIdle: got read error %v, want EOF", err)
	}
	s.onLoop(func() {
		if n := s.loop.HalfClosedConns(); n != 1 || len(s.connections) > 0 {
			t.Errorf("got %d half-closed and %d open connections, want 1 and 0", n, len(s.connections))
		}
		s.limits = Limits{Connections: 1}
		if s.CanAccept() {
			t.Error("the half-closed connection does not count towards the limit")
		}
	})
	for i := 0; ; i++ {
		n := 0
		s.onLoop(func() { n = s.loop.HalfClosedConns() })
		if n == 0 {
			return
		}
		if i > 500 {
			t.Fatal("the half-closed connection is not closed")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// During shutdown a request's time must be limited to the time until the final deadline, and a request after that
// deadline must be rejected immediately.
func TestFinalDeadline(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	s.onLoop(func() { s.SetFinalDeadline(s.loop.Now() + 100) })
	fmt.Fprintf(conn, "mg k v O1 Pc=t,d=900000\r\n")
	h := <-s.started
	if h.request.TimeLeft > 100 {
		t.Errorf("got a time left of %v s, want at most 100 s", h.request.TimeLeft)
	}
	s.succeed(h, "x")
	expect(t, in, "VA 1 O1\r\nx\r\n")
	s.onLoop(func() { s.SetFinalDeadline(s.loop.Now() - 1) })
	fmt.Fprintf(conn, "mg k v O2 Pc=t,d=900000\r\n")
	expect(t, in, "SERVER_ERROR busy\r\n")
}

// A command arrives while idle connections are being closed: because they are idle for too long, to make room, or while
// draining. A connection with an unread command must not be closed.
func TestCommandCrossingIdleCloseIsServed(t *testing.T) {
	for name, closing := range map[string]func(s testServer){
		"by its age":  func(s testServer) { s.sweep() },
		"for room":    func(s testServer) { s.evictIdle() },
		"by draining": func(s testServer) { s.CloseIdle() },
		"by the limit": func(s testServer) {
			s.limits.Connections = 1
			s.sweep()
		},
	} {
		s := startServer(t, ampleLimits)
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		expect(t, in, "SERVER_ERROR starting\r\n")
		s.onLoop(func() {
			fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
			for c := range s.connections {
				for !c.conn.Unread() {
					time.Sleep(time.Millisecond)
				}
				c.lastActive -= 100
			}
			closing(s)
		})
		s.expectServed(name, in)
	}
}

// In a drain, a command that has begun becomes complete only after further requests are rejected. It must be answered.
// A client that never pauses is closed all the same, between two of its commands.
func TestRejectNewAnswersWhatWasBegun(t *testing.T) {
	s := startServer(t, ampleLimits)
	begun, begunIn := s.dial()
	fmt.Fprint(begun, "mg k v O1")
	busy, busyIn := s.dial()
	fmt.Fprint(busy, "mn\r\n")
	expect(t, busyIn, "SERVER_ERROR starting\r\n")
	for inCommand := false; !inCommand; {
		s.onLoop(func() {
			for c := range s.connections {
				inCommand = inCommand || c.codec.InCommand()
			}
		})
	}
	s.onLoop(s.CloseIdle)
	s.onLoop(s.RejectNew)
	fmt.Fprint(begun, " Pc=t\r\n")
	expect(t, begunIn, "SERVER_ERROR busy\r\n")
	if _, err := begunIn.ReadByte(); err != io.EOF {
		t.Errorf("after its answer: got %v, want the end of the connection", err)
	}
	s.onLoop(func() { s.SetDraining(false) }) // a client that pauses would be closed as idle
	neverPauses, in := s.dial()
	fmt.Fprint(neverPauses, "mn\r\n")
	expect(t, in, "SERVER_ERROR starting\r\n")
	s.onLoop(s.RejectNew)
	go func() {
		for _, err := fmt.Fprint(neverPauses, "mn\r\nmn\r\n"); err == nil; _, err = fmt.Fprint(neverPauses, "mn\r\nmn\r\n") {
		}
	}()
	text, err := io.ReadAll(in)
	ended := err == nil || errors.Is(err, syscall.ECONNRESET)
	if !ended || strings.ReplaceAll(string(text), "SERVER_ERROR starting\r\n", "") != "" {
		t.Errorf("a client that never pauses: got %d bytes, %v, want answers and the end", len(text), err)
	}
}

// sweepAll checks the timeouts of all connections, as a sweep does; the caller is on the loop.
func (s testServer) sweepAll() {
	for c := range s.connections {
		c.checkTimeouts(s.loop.Now())
	}
}

// In a drain two sweeps pass while a client's command is incomplete, and one finds a command unread in the socket.
// Neither may end the connection. After the drain the connection serves again.
func TestSweepsInADrainKeepWhatIsOnItsWay(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	fmt.Fprint(conn, "mn\r\nmg k v O3")
	expect(t, in, "SERVER_ERROR starting\r\n")
	for inCommand := false; !inCommand; {
		s.onLoop(func() {
			for c := range s.connections {
				inCommand = c.codec.InCommand()
			}
		})
	}
	s.onLoop(func() {
		s.RejectNew()
		s.sweepAll()
		s.sweepAll()
	})
	fmt.Fprint(conn, " Pc=t\r\n")
	expect(t, in, "SERVER_ERROR busy\r\n")
	s.onLoop(func() {
		fmt.Fprint(conn, "mg k v O2 Pc=t\r\n") // unread during the sweep
		s.sweepAll()
	})
	expect(t, in, "SERVER_ERROR busy\r\n")
	s.onLoop(func() { s.SetDraining(false) })
	fmt.Fprint(conn, "mg k v O1 Pc=t\r\n")
	s.expectServed("after the drain", in)
}
