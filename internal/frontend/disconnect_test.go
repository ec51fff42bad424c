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

// When a client disconnects, its attempt must be cancelled and its connection removed.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, _ := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.started
	conn.Close()
	if got := <-h.cancelled; got != "dropped" {
		t.Error("the attempt's end: want dropped, got", got)
	}
	s.onLoop(func() {
		if s.Connections() != 0 {
			t.Errorf("got %d connections, want 0", s.Connections())
		}
	})
}

// A client disconnects while its command waits: unread in the socket, for the accept, or for answers that are pending
// for it. Its command must not be forwarded, even in the round in which the disconnect becomes visible.
func TestCommandOfDisconnectedClientIsNotSubmitted(t *testing.T) {
	for name, disconnect := range map[string]func(s testServer) func(){
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
		"before more than one read returns": func(s testServer) func() { // a connection's first buffer is smaller
			return func() {
				conn, _ := s.dial()
				for i := range 2 * maxPendingAnswers {
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
		"unread, with a reset": func(s testServer) func() {
			conn, in := s.dial()
			fmt.Fprintf(conn, "mn\r\n")
			expect(t, in, "SERVER_ERROR starting\r\n")
			return func() {
				fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
				s.reset(conn)
			}
		},
		"behind pending answers": func(s testServer) func() {
			conn, _ := s.dial()
			var commands strings.Builder
			for i := range maxPendingAnswers + 8 {
				fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
			}
			io.WriteString(conn, commands.String())
			var all []*heldAttempt
			for range maxPendingAnswers {
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
		s.onLoop(disconnect(s))
		s.waitForNoClients()
		if n := len(s.started); n > 0 {
			t.Errorf("%s: got %d attempts for a disconnected client, want 0", name, n)
		}
	}
}

// A client disconnects in the same round in which its answer arrives. The request must be counted as ended once, and
// neither requests nor held bytes nor the connection may remain.
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
			t.Errorf("%d requests, %d in the core, %d held bytes and %d connections remain, want none",
				s.openRequests, inCore, s.dispatcher.held, len(s.connections))
		}
	})
}

// A client disconnects while its connection is not read, because the limit of pending answers is reached. The
// disconnect must still be detected and the client's attempts cancelled.
func TestDisconnectOfPausedConnectionIsDetected(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, _ := s.dial()
	var commands strings.Builder
	for i := range 2000 { // more than a connection's buffer
		fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
	}
	io.WriteString(conn, commands.String())
	var all []*heldAttempt
	for range maxPendingAnswers {
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
		t.Errorf("got %d more attempts, want 0", n)
	}
}

// An attempt fails after its client's disconnect has arrived but before the loop, which was blocked, has reported it.
// There must be no retry, whatever form the disconnect has. For a connected client there must be one.
func TestNoRetryForDisconnectedClient(t *testing.T) {
	for name, disconnect := range map[string]func(s testServer, conn net.Conn){
		"it stays":  func(testServer, net.Conn) {},
		"it closes": func(_ testServer, conn net.Conn) { closeWrite(t, conn) },
		"it resets": func(s testServer, conn net.Conn) { s.reset(conn) },
		"it sends more and closes": func(_ testServer, conn net.Conn) {
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
			disconnect(s, conn)
			h.observer.OnAttemptEnd(balancer.ConnectFailed, requestcore.Result{})
		})
		if name == "it stays" {
			s.expectServed(name, in)
			continue
		}
		s.waitForNoClients()
		if n := len(s.started); n > 0 {
			t.Errorf("%s: got %d retries, want 0", name, n)
		}
		s.onLoop(func() {})
		s.onLoop(func() {
			if s.openRequests != 0 || s.dispatcher.core.OpenRequests() != 0 {
				t.Errorf("%s: %d requests remain, %d in the core, want none",
					name, s.openRequests, s.dispatcher.core.OpenRequests())
			}
		})
	}
}

// A client sends more than the kernel's receive buffer holds and disconnects, so that its end cannot arrive while the
// connection is paused. The first answer written is refused by a reset, because the client's socket is closed. Then no
// more of its commands may be submitted, and its attempts must be cancelled.
func TestHiddenDisconnectIsDetectedByFirstAnswer(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, _ := s.dial()
	var commands strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
	}
	go io.WriteString(conn, commands.String())
	var all []*heldAttempt
	for range maxPendingAnswers {
		all = append(all, <-s.started)
	}
	conn.Close()
	s.succeed(all[0], "x")
	s.waitForNoClients()
	if n := len(s.started); n > 0 {
		t.Errorf("got %d more attempts, want 0", n)
	}
	for i, h := range all[1:] {
		if len(h.cancelled) == 0 {
			t.Errorf("attempt %d is not cancelled", i+1)
		}
	}
}
