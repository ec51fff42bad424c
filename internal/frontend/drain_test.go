package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// When idle connections are closed, those that are idle are at once, others after their answer, one with a begun
// command after the answer to that, and so is one that has just connected to send its first.
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
		t.Errorf("the idle connection stays, %v", err)
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
			t.Errorf("an answered connection stays, %v", err)
		}
	}
}

// A connection that is closed with input unread is reset by the kernel, and what its client has not read yet is lost:
// also a good answer before the bad command that ends it. Here the client reads only once the frontend is done with
// it.
func TestAnswersAreReadThoughInputIsLeft(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 10}, 1000, 8 << 20})
	// With a small receive buffer most of the answers wait on the other side.
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
		t.Errorf("it reads %d bytes, then %v", len(all), err)
	}
}

// A client that does not close its side after its last answer is not waited for without end, and counts meanwhile.
func TestLingeringConnectionIsClosed(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mn\r\n")
	expect(t, in, "SERVER_ERROR starting\r\n")
	s.onLoop(s.CloseIdle)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("it is not told of the end: %v", err)
	}
	s.onLoop(func() {
		if n := s.loop.Finishing(); n != 1 || len(s.connections) > 0 {
			t.Errorf("%d connections wait for their clients' ends, %d are open", n, len(s.connections))
		}
		s.limits = Limits{Connections: 1}
		if s.CanAccept() {
			t.Error("it takes no place while it waits")
		}
	})
	for i := 0; ; i++ {
		n := 0
		s.onLoop(func() { n = s.loop.Finishing() })
		if n == 0 {
			return
		}
		if i > 500 {
			t.Fatal("it is waited for without end")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// While the process ends, what is taken is answered before that, and what comes too late is rejected at once.
func TestFinalDeadline(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	s.onLoop(func() { s.SetFinalDeadline(s.loop.Now() + 100) })
	fmt.Fprintf(conn, "mg k v O1 Pc=t,d=900000\r\n")
	h := <-s.started
	if h.request.TimeLeft > 100 {
		t.Errorf("it may take %v s", h.request.TimeLeft)
	}
	s.succeed(h, "x")
	expect(t, in, "VA 1 O1\r\nx\r\n")
	s.onLoop(func() { s.SetFinalDeadline(s.loop.Now() - 1) })
	fmt.Fprintf(conn, "mg k v O2 Pc=t,d=900000\r\n")
	expect(t, in, "SERVER_ERROR busy\r\n")
}

// A command arrives as idle connections are closed, by their age, for room, or while draining: the connection that it
// is unread in is not closed.
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
