package frontend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"

	"golang.org/x/sys/unix"
)

// ends ends a client's sending and waits until the other side's kernel knows.
func ends(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.(*net.TCPConn).CloseWrite()
	raw, _ := conn.(*net.TCPConn).SyscallConn()
	const finWait2, closed = 5, 7 // of the kernel's states; closed: it was even answered by a reset
	for i := 0; ; i++ {
		state := uint8(0)
		raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		})
		if state == finWait2 || state == closed {
			return
		}
		if i > 5000 {
			t.Fatalf("the end is not taken, state %d", state)
		}
		time.Sleep(time.Millisecond)
	}
}

// resets ends a client by a reset and waits, on the loop, until it has come.
func (s served) resets(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	for c := range s.connections {
		for !c.conn.Gone() {
			time.Sleep(time.Millisecond)
		}
	}
}

// serves tells whether the command O1 is served.
func (s served) serves(name string, in io.Reader) {
	s.t.Helper()
	select {
	case h := <-s.began:
		s.finish(h, "x")
		want(s.t, in, "VA 1 O1\r\nx\r\n")
	case <-time.After(5 * time.Second):
		s.t.Errorf("%s: the command is not served", name)
	}
}

// deserted waits until no client is left.
func (s served) deserted() {
	s.t.Helper()
	for i, n := 0, 1; n > 0; i++ {
		if s.do(func() { n = len(s.connections) }); i > 5000 {
			s.t.Fatalf("%d connections stay", n)
		}
		time.Sleep(time.Millisecond)
	}
}

// A client leaves while its command waits, unread in the socket, behind its connection being accepted, or behind the answers that are
// owed to it: nothing is sent on for it, in the very round in which its end is there to be seen.
func TestACommandWithItsClientsEndBehindItIsNotTaken(t *testing.T) {
	for name, cross := range map[string]func(s served) func(){
		"unread in the socket": func(s served) func() {
			conn, in := s.dial()
			fmt.Fprintf(conn, "mn\r\n")
			want(t, in, "SERVER_ERROR starting\r\n")
			return func() {
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
				ends(t, conn)
			}
		},
		"not yet accepted": func(s served) func() {
			return func() {
				conn, _ := s.dial()
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\nmg k v O2 Pc=t\r\n")
				ends(t, conn)
			}
		},
		"before more than is read at once": func(s served) func() { // a connection's first buffer is smaller
			return func() {
				conn, _ := s.dial()
				for i := range 2 * maxOwedAnswers {
					fmt.Fprintf(conn, "mg k v O%d Pc=t\r\n", i)
				}
				ends(t, conn)
			}
		},
		"before a long write": func(s served) func() {
			return func() {
				conn, _ := s.dial()
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\nms k 60000 O2 Pc=t\r\n%s\r\n", strings.Repeat("x", 60000))
				ends(t, conn)
			}
		},
		"unread, and its end is a reset": func(s served) func() {
			conn, in := s.dial()
			fmt.Fprintf(conn, "mn\r\n")
			want(t, in, "SERVER_ERROR starting\r\n")
			return func() {
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
				s.resets(conn)
			}
		},
		"behind what is owed": func(s served) func() {
			conn, _ := s.dial()
			var commands strings.Builder
			for i := range maxOwedAnswers + 8 {
				fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
			}
			io.WriteString(conn, commands.String())
			var all []*held
			for range maxOwedAnswers {
				all = append(all, <-s.began)
			}
			return func() {
				ends(t, conn)
				for _, h := range all { // each answer makes room for another command
					h.x.OnAttemptEnd(balancer.Succeeded, made)
				}
			}
		},
	} {
		s := serve(t, ample)
		s.do(cross(s))
		s.deserted()
		if n := len(s.began); n > 0 {
			t.Errorf("%s: %d executions began for who had left", name, n)
		}
	}
}

// A connection that is closed with input unread is reset by the kernel, and what its client has not read yet is lost: a good answer
// before the bad command that ends it, too. Here the client reads only once the front is done with it.
func TestWhatWasSaidIsReadThoughMoreComes(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 10}, 1000, 8 << 20})
	narrow := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error { // so that most of the answers wait on the other side
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
	io.WriteString(conn, strings.Repeat("nonsense\r\n", maxBadCommands)+strings.Repeat("x", 5*16<<10)) // more than a connection's buffer
	for range answers {
		s.finish(<-s.began, strings.Repeat("v", length))
	}
	for open := 1; open > 0; time.Sleep(time.Millisecond) {
		s.do(func() { open = len(s.connections) })
	}
	s.do(func() {}) // the rounds in which a socket that is closed is let go of
	s.do(func() {})
	all, err := io.ReadAll(conn)
	if err != nil || len(all) < answers*length || !strings.HasSuffix(string(all), strings.Repeat("ERROR\r\n", maxBadCommands)) {
		t.Errorf("it reads %d bytes, then %v", len(all), err)
	}
}

// Who ends does not wait for ever for a client that does not, and counts it meanwhile.
func TestAnEndedClientThatStaysIsLetGo(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mn\r\n")
	want(t, in, "SERVER_ERROR starting\r\n")
	s.do(s.CloseIdle)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("it is not told of the end: %v", err)
	}
	s.do(func() {
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
		if s.do(func() { n = s.loop.Finishing() }); n == 0 {
			return
		}
		if i > 500 {
			t.Fatal("it is waited for for ever")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// While the process ends what is taken has its answer before that, and what comes too late has it at once.
func TestWhatComesBeforeTheEndIsAnsweredByThen(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	s.do(func() { s.SetFinalDeadline(s.loop.Now() + 100) })
	fmt.Fprintf(conn, "mg k v O1 Pc=t,d=900000\r\n")
	h := <-s.began
	if h.op.TimeLeft > 100 {
		t.Errorf("it may take %v s", h.op.TimeLeft)
	}
	s.finish(h, "x")
	want(t, in, "VA 1 O1\r\nx\r\n")
	s.do(func() { s.SetFinalDeadline(s.loop.Now() - 1) })
	fmt.Fprintf(conn, "mg k v O2 Pc=t,d=900000\r\n")
	want(t, in, "SERVER_ERROR busy\r\n")
}

// A command arrives as idle connections are closed, by their age, for room, or since the router leaves: the one that it stands unread in
// is not.
func TestACommandThatCrossesAClosingIsServed(t *testing.T) {
	for name, closing := range map[string]func(s served){
		"by its age":   func(s served) { s.sweep() },
		"for room":     func(s served) { s.evictIdle() },
		"on leaving":   func(s served) { s.CloseIdle() },
		"on the limit": func(s served) { s.limits.Connections = 1; s.sweep() },
	} {
		s := serve(t, ample)
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		want(t, in, "SERVER_ERROR starting\r\n")
		s.do(func() {
			fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
			for c := range s.connections {
				for !c.conn.Unread() {
					time.Sleep(time.Millisecond)
				}
				c.lastActive -= 100
			}
			closing(s)
		})
		s.serves(name, in)
	}
}

// A client leaves in the round in which its answer comes: it counts as left or as answered, once, and nothing of it stays.
func TestAnAnswerAndItsClientsEndInOneRound(t *testing.T) {
	s := serve(t, ample)
	conn, _ := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.began
	s.do(func() {
		ends(t, conn)
		h.x.OnAttemptEnd(balancer.Succeeded, made)
	})
	s.deserted()
	s.do(func() {
		if s.openRequests != 0 || s.desk.held != 0 || len(s.connections) > 0 || s.desk.core.OpenRequests() != 0 {
			t.Errorf("%d operations and %d bytes stay, of %d clients", s.openRequests, s.desk.held, len(s.connections))
		}
	})
}

// The loop was stopped for long, and the rest of a command, or a client's first, stands unread as silence is looked for: it is no silence.
func TestWhatIsUnreadIsNoSilence(t *testing.T) {
	for name, c := range map[string]struct {
		first, rest string
		look        func(s served)
	}{
		"half a command": {"mg k v", " O1 Pc=t\r\n", func(s served) { s.sweep() }},
		"a first one":    {"", "mg k v O1 Pc=t\r\n", func(s served) { s.sweep() }},
		"for room":       {"", "mg k v O1 Pc=t\r\n", func(s served) { s.evictIdle() }},
	} {
		s := serve(t, ample)
		conn, in := s.dial()
		first := c.first
		io.WriteString(conn, first)
		for begun := false; !begun; time.Sleep(time.Millisecond) {
			s.do(func() {
				for c := range s.connections {
					begun = c.codec.InCommand() || first == ""
				}
			})
		}
		s.do(func() {
			io.WriteString(conn, c.rest)
			for c := range s.connections {
				for !c.conn.Unread() {
					time.Sleep(time.Millisecond)
				}
				c.lastActive, c.acceptedAt, c.commandBegan = c.lastActive-100, c.acceptedAt-100, c.commandBegan-100
			}
			c.look(s)
		})
		s.serves(name, in)
	}
}

// A client leaves whose connection is not read, for more is owed to it than may be: what it waits for is given up in that round.
func TestTheEndOfAClientThatIsNotReadIsSeen(t *testing.T) {
	s := serve(t, ample)
	conn, _ := s.dial()
	var commands strings.Builder
	for i := range 2000 { // more than a connection's buffer
		fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
	}
	io.WriteString(conn, commands.String())
	var all []*held
	for range maxOwedAnswers {
		all = append(all, <-s.began)
	}
	s.do(func() {})
	ends(t, conn)
	for i, h := range all {
		select {
		case <-h.c:
		case <-time.After(5 * time.Second):
			t.Fatalf("execution %d goes on", i)
		}
	}
	s.do(func() {})
	if n := len(s.began); n > 0 {
		t.Errorf("%d more began", n)
	}
}

// Each end of a client's connection with an answer owed on it is counted by its reason.
func TestWhatIsCutIsCountedByItsReason(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(s served, conn net.Conn, h *held)
		want CutReason
	}{
		"its client leaves": {func(_ served, conn net.Conn, _ *held) { conn.Close() }, ClientDisconnected},
		"a value that breaks off": {func(s served, _ net.Conn, h *held) {
			s.loop.Post(func() { h.x.OnAttemptEnd(balancer.Succeeded, requestcore.Result{Body: breaking{}}) })
		}, BodyBroken},
		"a client that reads nothing": {func(s served, _ net.Conn, h *held) {
			s.finish(h, strings.Repeat("x", 32<<20)) // beyond what the kernel holds
			s.do(func() {})
			s.do(func() {
				for c := range s.connections {
					c.lastActive -= unreadAnswerSeconds + 1
				}
				s.sweep()
			})
		}, AnswerUnread},
	} {
		s := serve(t, bounds{Limits{Connections: 10}, 10, 64 << 20})
		conn, _ := s.dial()
		fmt.Fprintf(conn, "mg k v Oa Pc=t\r\n")
		c.end(s, conn, <-s.began)
		var want, got [cutReasons]uint64
		want[c.want] = 1
		for i, left := 0, 1; i < 500 && left > 0; i++ {
			s.do(func() { got, left = s.CutConnections(), s.Connections() })
			time.Sleep(10 * time.Millisecond)
		}
		if got != want {
			t.Errorf("%s: %v are counted, want %v of %v", name, got, want, CutReasonNames)
		}
	}
}

// A client reads an answer so slowly that the kernel tells of no room for longer than patience lasts: it is no client that reads nothing.
func TestASlowReaderIsNoneThatReadsNothing(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 10}, 10, 64 << 20})
	conn, in := s.dial()
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	fmt.Fprintf(conn, "mg k v Oa Pc=t\r\n")
	s.finish(<-s.began, strings.Repeat("x", 32<<20))
	in.ReadByte()
	time.Sleep(50 * time.Millisecond) // the kernel holds what it takes
	swept := func() (left int) {
		s.do(func() {
			for c := range s.connections {
				c.lastActive -= unreadAnswerSeconds + 1
			}
			s.sweep()
			left = s.Connections()
		})
		return left
	}
	s.do(func() {
		for c := range s.connections {
			c.lastActive = s.loop.Now() - idleAfterSeconds - 1
		}
		s.sweep()
	})
	for range 3 {
		io.CopyN(io.Discard, in, 256<<10)
		time.Sleep(50 * time.Millisecond)
		if swept() != 1 {
			t.Fatal("it is let go of while it reads")
		}
	}
	time.Sleep(300 * time.Millisecond)
	if swept(); swept() != 0 {
		t.Error("it is kept though it reads nothing")
	}
}

// An execution fails in the round in which its client's end has come and is not heard of yet, for the loop was stopped: no further one
// begins, whatever the end looks like; while its client is there one does.
func TestNoFurtherExecutionForWhoHasLeft(t *testing.T) {
	for name, cross := range map[string]func(s served, conn net.Conn){
		"it stays":                func(served, net.Conn) {},
		"it closes":               func(_ served, conn net.Conn) { ends(t, conn) },
		"it resets":               func(s served, conn net.Conn) { s.resets(conn) },
		"it says more and closes": func(_ served, conn net.Conn) { fmt.Fprintf(conn, "mg k v O2 Pc=t\r\n"); ends(t, conn) },
		"its connection is paused": func(s served, conn net.Conn) {
			for c := range s.connections {
				c.conn.Pause()
			}
			fmt.Fprintf(conn, "mg k v O2 Pc=t\r\n")
			ends(t, conn)
		},
	} {
		s := serve(t, ample)
		conn, in := s.dial()
		s.do(func() {
			s.desk.core.OnEndpoints(balancer.UpdateFull, []balancer.Endpoint{{ID: 1, State: balancer.Ready, Capacity: 1}, {ID: 2, State: balancer.Ready, Capacity: 1}})
		})
		fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
		h := <-s.began
		s.do(func() {
			cross(s, conn)
			h.x.OnAttemptEnd(balancer.ConnectFailed, requestcore.Result{})
		})
		if name == "it stays" {
			s.serves(name, in)
			continue
		}
		s.deserted()
		if n := len(s.began); n > 0 {
			t.Errorf("%s: %d further executions began", name, n)
		}
		s.do(func() {})
		s.do(func() {
			if s.openRequests != 0 || s.desk.core.OpenRequests() != 0 {
				t.Errorf("%s: %d operations stay, %d at the core", name, s.openRequests, s.desk.core.OpenRequests())
			}
		})
	}
}

// Clients that read nothing hold all the memory there is for values: others are not declined for as long as such are waited for
// otherwise. While nobody is declined they are.
func TestSlowReadersDoNotKeepAllOthersOut(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 10, LongWriteBytes: 1 << 20}, 1000, 1 << 20})
	slow, _ := s.dial()
	for i := range 4 {
		fmt.Fprintf(slow, "mg k v Os%d Pc=t\r\n", i)
	}
	for range 4 {
		s.finish(<-s.began, strings.Repeat("v", 8<<20)) // beyond what the kernel holds
	}
	for still, last := 0, uint64(0); still < 5; time.Sleep(20 * time.Millisecond) { // until the kernel takes no more
		s.do(func() {
			for c := range s.connections {
				if sent := c.conn.Sent(); sent != last || len(c.segments) == 0 {
					still, last = 0, sent
				}
			}
			still++
		})
	}
	sweep := func() (clients int) {
		s.do(func() { s.sweep(); clients = len(s.connections) })
		return clients
	}
	s.do(func() {
		for c := range s.connections {
			c.lastActive -= 2 // seconds
		}
	})
	if sweep() != 1 {
		t.Error("it is closed though nobody wants its place")
	}
	conn, in := s.dial()
	fmt.Fprintf(conn, "mg k v O0 Pc=t\r\n")
	want(t, in, "SERVER_ERROR busy\r\n")
	if sweep() != 1 {
		t.Error("who reads nothing keeps all others out")
	}
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	s.serves("after that", in)
}

// More than the kernel takes is before a client's end, so that it cannot have come while the connection is paused. The first answer that
// is written is refused by a reset, for nobody is there to read it, and nothing more is taken of what the client had said.
func TestAnEndThatCannotHaveComeIsSeenByTheFirstAnswer(t *testing.T) {
	s := serve(t, ample)
	conn, _ := s.dial()
	var commands strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
	}
	go io.WriteString(conn, commands.String())
	var all []*held
	for range maxOwedAnswers {
		all = append(all, <-s.began)
	}
	conn.Close()
	s.finish(all[0], "x")
	s.deserted()
	if n := len(s.began); n > 0 {
		t.Errorf("%d more executions began", n)
	}
	for i, h := range all[1:] {
		if len(h.c) == 0 {
			t.Errorf("execution %d goes on", i+1)
		}
	}
}
