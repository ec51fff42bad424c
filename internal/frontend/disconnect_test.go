package frontend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// A client disconnects: its attempt is cancelled and its connection forgotten.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, _ := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.started
	conn.Close()
	if got := <-h.cancelled; got != "dropped" {
		t.Error(got)
	}
	s.onLoop(func() {
		if s.Connections() != 0 {
			t.Errorf("%d clients are left", s.Connections())
		}
	})
}

// A client disconnects while its command waits: unread in the socket, behind the accept, or behind the answers that
// are owed to it. Nothing is forwarded for it, in the very round in which its end can be seen.
func TestCommandOfDisconnectedClientIsNotSubmitted(t *testing.T) {
	for name, cross := range map[string]func(s testServer) func(){
		"unread in the socket": func(s testServer) func() {
			conn, in := s.dial()
			fmt.Fprintf(conn, "mn\r\n")
			expect(t, in, "SERVER_ERROR starting\r\n")
			return func() {
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
				closeWrite(t, conn)
			}
		},
		"not yet accepted": func(s testServer) func() {
			return func() {
				conn, _ := s.dial()
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\nmg k v O2 Pc=t\r\n")
				closeWrite(t, conn)
			}
		},
		"before more than is read at once": func(s testServer) func() { // a connection's first buffer is smaller
			return func() {
				conn, _ := s.dial()
				for i := range 2 * maxOwedAnswers {
					fmt.Fprintf(conn, "mg k v O%d Pc=t\r\n", i)
				}
				closeWrite(t, conn)
			}
		},
		"before a long write": func(s testServer) func() {
			return func() {
				conn, _ := s.dial()
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\nms k 60000 O2 Pc=t\r\n%s\r\n", strings.Repeat("x", 60000))
				closeWrite(t, conn)
			}
		},
		"unread, and its end is a reset": func(s testServer) func() {
			conn, in := s.dial()
			fmt.Fprintf(conn, "mn\r\n")
			expect(t, in, "SERVER_ERROR starting\r\n")
			return func() {
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
				s.reset(conn)
			}
		},
		"behind what is owed": func(s testServer) func() {
			conn, _ := s.dial()
			var commands strings.Builder
			for i := range maxOwedAnswers + 8 {
				fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
			}
			io.WriteString(conn, commands.String())
			var all []*heldAttempt
			for range maxOwedAnswers {
				all = append(all, <-s.started)
			}
			return func() {
				closeWrite(t, conn)
				for _, h := range all { // each answer makes room for another command
					h.observer.OnAttemptEnd(balancer.Succeeded, result)
				}
			}
		},
	} {
		s := startServer(t, ampleLimits)
		s.onLoop(cross(s))
		s.waitForNoClients()
		if n := len(s.started); n > 0 {
			t.Errorf("%s: %d attempts were started for a client that is gone", name, n)
		}
	}
}

// A client disconnects in the round in which its answer comes: it counts as gone or as answered, once, and nothing of
// it stays.
func TestAnswerAndDisconnectInOneRound(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, _ := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.started
	s.onLoop(func() {
		closeWrite(t, conn)
		h.observer.OnAttemptEnd(balancer.Succeeded, result)
	})
	s.waitForNoClients()
	s.onLoop(func() {
		inCore := s.dispatcher.core.OpenRequests()
		if s.openRequests != 0 || s.dispatcher.held != 0 || len(s.connections) > 0 || inCore != 0 {
			t.Errorf("%d requests, %d in the core, and %d bytes stay, of %d clients",
				s.openRequests, inCore, s.dispatcher.held, len(s.connections))
		}
	})
}

// A client disconnects whose connection is not read, for as much is owed to it as may be: its attempts are cancelled
// in that round.
func TestDisconnectOfPausedConnectionIsSeen(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, _ := s.dial()
	var commands strings.Builder
	for i := range 2000 { // more than a connection's buffer
		fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
	}
	io.WriteString(conn, commands.String())
	var all []*heldAttempt
	for range maxOwedAnswers {
		all = append(all, <-s.started)
	}
	s.onLoop(func() {})
	closeWrite(t, conn)
	for i, h := range all {
		select {
		case <-h.cancelled:
		case <-time.After(5 * time.Second):
			t.Fatalf("attempt %d is not cancelled", i)
		}
	}
	s.onLoop(func() {})
	if n := len(s.started); n > 0 {
		t.Errorf("%d more were started", n)
	}
}

// An attempt fails in the round in which its client's end has come and the loop has not told of it, for it was
// stopped: there is no retry, whatever the end looks like. While the client is there, there is one.
func TestNoRetryForDisconnectedClient(t *testing.T) {
	for name, cross := range map[string]func(s testServer, conn net.Conn){
		"it stays":  func(testServer, net.Conn) {},
		"it closes": func(_ testServer, conn net.Conn) { closeWrite(t, conn) },
		"it resets": func(s testServer, conn net.Conn) { s.reset(conn) },
		"it says more and closes": func(_ testServer, conn net.Conn) {
			fmt.Fprintf(conn, "mg k v O2 Pc=t\r\n")
			closeWrite(t, conn)
		},
		"its connection is paused": func(s testServer, conn net.Conn) {
			for c := range s.connections {
				c.conn.Pause()
			}
			fmt.Fprintf(conn, "mg k v O2 Pc=t\r\n")
			closeWrite(t, conn)
		},
	} {
		s := startServer(t, ampleLimits)
		conn, in := s.dial()
		s.onLoop(func() {
			s.dispatcher.core.OnEndpoints(balancer.UpdateFull, []balancer.Endpoint{
				{ID: 1, State: balancer.Ready, Capacity: 1},
				{ID: 2, State: balancer.Ready, Capacity: 1},
			})
		})
		fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
		h := <-s.started
		s.onLoop(func() {
			cross(s, conn)
			h.observer.OnAttemptEnd(balancer.ConnectFailed, requestcore.Result{})
		})
		if name == "it stays" {
			s.expectServed(name, in)
			continue
		}
		s.waitForNoClients()
		if n := len(s.started); n > 0 {
			t.Errorf("%s: %d retries were started", name, n)
		}
		s.onLoop(func() {})
		s.onLoop(func() {
			if s.openRequests != 0 || s.dispatcher.core.OpenRequests() != 0 {
				t.Errorf("%s: %d requests stay, %d in the core", name, s.openRequests, s.dispatcher.core.OpenRequests())
			}
		})
	}
}

// More than the kernel takes is before a client's end, so that the end cannot have come while the connection is
// paused. The first answer that is written is refused by a reset, for nobody is there to read it, and nothing more is
// submitted of what the client had sent.
func TestHiddenDisconnectIsSeenByFirstAnswer(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, _ := s.dial()
	var commands strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
	}
	go io.WriteString(conn, commands.String())
	var all []*heldAttempt
	for range maxOwedAnswers {
		all = append(all, <-s.started)
	}
	conn.Close()
	s.succeed(all[0], "x")
	s.waitForNoClients()
	if n := len(s.started); n > 0 {
		t.Errorf("%d more were started", n)
	}
	for i, h := range all[1:] {
		if len(h.cancelled) == 0 {
			t.Errorf("attempt %d is not cancelled", i+1)
		}
	}
}
