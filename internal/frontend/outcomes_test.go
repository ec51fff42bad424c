package frontend

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// Each submitted request must be counted once, by the outcome that its client received. None may stay open, and no
// bytes may stay held.
func TestOutcomes(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 10, RejectConnections: 1}, 1, 1 << 20})
	conn, in := s.dial()
	begin := func(id string) *heldAttempt {
		fmt.Fprintf(conn, "mg k v O%s Pc=t,d=4000\r\n", id)
		return <-s.started
	}
	endAttempt := func(h *heldAttempt, outcome balancer.Outcome, result requestcore.Result) {
		s.loop.Post(func() { h.observer.OnAttemptEnd(outcome, result) })
	}
	s.succeed(begin("1"), "x")
	expect(t, in, "VA 1 O1\r\nx\r\n")
	endAttempt(begin("2"), balancer.Cancelled, requestcore.Result{}) // there is no other server for a retry
	expect(t, in, "SERVER_ERROR busy\r\n")
	third := begin("3")
	// No capacity, no such class, a repeated id.
	fmt.Fprint(conn, "mg k v O4 Pc=t\r\nmg k v O5 Pc=none\r\nmg k v O3 Pc=t\r\n")
	s.loop.Post(func() { s.dispatcher.core.Fail(3) })
	expect(t, in, "SERVER_ERROR failed\r\nSERVER_ERROR busy\r\n"+
		"CLIENT_ERROR the type c is unknown\r\nSERVER_ERROR busy\r\n")
	endAttempt(third, balancer.Cancelled, requestcore.Result{})
	conn, in = s.dial()
	endAttempt(begin("6"), balancer.Succeeded, requestcore.Result{Body: brokenBody{}})
	expect(t, in, "VA 99999 O6\r\nx")
	conn, _ = s.dial()
	begin("7")
	conn.Close()
	for i := 0; ; i++ {
		var open, held int
		var outcomes Outcomes
		s.onLoop(func() {
			open = s.OpenRequests()
			held = s.dispatcher.held
			outcomes = s.OutcomesOf("t")
		})
		if open == 0 && held == 0 && outcomes == (Outcomes{Succeeded: 1, Rejected: 3, Failed: 2}) {
			break
		}
		if i > 200 {
			t.Fatalf("got %d open requests, %d held bytes and outcomes %+v, want 0, 0 and 1, 3, 2", open, held, outcomes)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Each connection that ends while an answer is pending must be counted by its reason.
func TestCutConnectionsByReason(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(s testServer, conn net.Conn, h *heldAttempt)
		want CutReason
	}{
		"its client disconnects": {func(_ testServer, conn net.Conn, _ *heldAttempt) { conn.Close() }, ClientDisconnected},
		"a body that breaks": {func(s testServer, _ net.Conn, h *heldAttempt) {
			s.loop.Post(func() { h.observer.OnAttemptEnd(balancer.Succeeded, requestcore.Result{Body: brokenBody{}}) })
		}, BodyBroken},
		"a client that reads nothing": {func(s testServer, _ net.Conn, h *heldAttempt) {
			s.succeed(h, strings.Repeat("x", 32<<20)) // more than the kernel's buffers hold
			s.onLoop(func() {})
			s.onLoop(func() {
				for c := range s.connections {
					c.lastActive -= unreadAnswerSeconds + 1
				}
				s.sweep()
			})
		}, AnswerUnread},
	} {
		s := startServer(t, testLimits{Limits{Connections: 10}, 10, 64 << 20})
		conn, _ := s.dial()
		fmt.Fprintf(conn, "mg k v Oa Pc=t\r\n")
		c.end(s, conn, <-s.started)
		var want, got [cutReasonCount]uint64
		want[c.want] = 1
		for i, left := 0, 1; i < 500 && left > 0; i++ {
			s.onLoop(func() { got, left = s.CutConnections(), s.Connections() })
			time.Sleep(10 * time.Millisecond)
		}
		if got != want {
			t.Errorf("%s: got the counts %v, want %v, of %v", name, got, want, CutReasonNames)
		}
	}
}
