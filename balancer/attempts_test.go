package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestLateEventsOfAnsweredRequestAreIgnored(t *testing.T) {
	b, host := newTestBalancer(1, nil)
	req := requestWithAttempt(b, "view", b.servers.byID[1], true, false)
	req.answered = true
	b.servers.byID[1].inFlight = []*attempt{req.attempts[0]}
	b.OnAttemptEnd(0.01, 7, 0, Succeeded, 0.01, true)
	b.OnAttemptEnd(0.02, 7, 0, Succeeded, 0.01, true)
	b.OnClientDisconnected(0.03, 7)
	b.OnTimer(0.04, "7")
	b.OnTimer(0.04, "no such name")
	expectEqual(t, "actions", len(host.actions), 0)
	expectEqual(t, "in flight at the server", len(b.servers.byID[1].inFlight), 0)
}

// Where the end of an attempt does not stop the execution, early timeouts under load wasted the work of servers.
// Only a server that has just failed gets an early timeout.
func TestEarlyTimeoutOnlyOnFailingServer(t *testing.T) {
	for failures, want := range map[int]bool{0: false, 1: true} {
		b, _ := newTestBalancer(1, func(s *Settings) { s.HedgingAllowed = false })
		host := &timeoutRecorder{}
		b.host = host
		server := b.servers.byID[1]
		server.health.consecutiveFailures = failures
		b.retryBudgets.shared = 5
		req := &request{
			id:          7,
			class:       b.classes.byName["view"],
			objectiveAt: 0.4,
			deadline:    1,
			retryBudget: &b.retryBudgets.shared,
		}
		b.startAttempt(req, server)
		expectEqual(t, fmt.Sprint("early timeout with failures: ", failures), host.timeout < 1, want)
	}
}

// A repeat of a request with an idempotency key takes effect twice if it waits for a connection beyond the
// deduplication window, so the window bounds its write timeout. An attempt that was proved not to have been
// executed sets no bound, and other classes have none.
func TestRetryIsWrittenWithinDeduplicationWindow(t *testing.T) {
	for _, c := range []struct {
		name, class string
		notExecuted bool // the earlier attempt
		want        float64
	}{
		{"keyed, may have been executed", "amend", false, 0.7},
		{"keyed, not executed", "amend", true, 1.6},
		{"idempotent, may have been executed", "view", false, 1.6},
		{"idempotent, not executed", "view", true, 1.6},
	} {
		b, _ := newTestBalancer(2, nil)
		host := &timeoutRecorder{}
		b.host = host
		req := requestWithAttempt(b, c.class, b.servers.byID[1], false, c.notExecuted)
		firstSentAt := req.attempts[0].sentAt
		b.now = firstSentAt + 0.3 // of a window of 1 s
		req.deadline = firstSentAt + 1.9
		b.startAttempt(req, b.servers.byID[2])
		expectEqual(t, "write timeout, "+c.name, math.Round(host.writeTimeout*1e6)/1e6, c.want)
	}
}
