package balancer

import (
	"fmt"
	"testing"
)

// Tries that could no longer be in time queued ahead of first tries.
func TestLaterTriesAreToldByTheTimeLeft(t *testing.T) {
	for timeLeft, want := range map[float64]float64{1: 1, 1.9: 1, 1.5: 0} {
		b, _ := newTestBalancer(1, nil)
		b.classes.byName["view"].clientTimeout = clientTimeoutEstimate{timeLeft: 1, votes: 9}
		b.OnRequest(10, 5, "view", "", "k", timeLeft)
		expectEqual(t, fmt.Sprint("value with ", timeLeft, " left"), b.requests[5].valueFraction, want)
	}
}

// Clients in a hurry were taken for later tries that come too late, and all rejected: those leave more time.
func TestClientInAHurryIsNotLate(t *testing.T) {
	for timeLeft, want := range map[float64]float64{0.39: 1, 0.74: 0} {
		b, _ := newTestBalancer(1, nil)
		b.classes.byName["view"].clientTimeout = clientTimeoutEstimate{timeLeft: 1, votes: 9}
		b.OnRequest(10, 5, "view", "", "k", timeLeft)
		expectEqual(t, fmt.Sprint("value with ", timeLeft, " left"), b.requests[5].valueFraction, want)
		expectEqual(t, "objective ahead", b.requests[5].objectiveAt > 10, want > 0)
	}
}

// New traffic classes hold for what arrives from then on: what has arrived ends under the old ones, and
// latencies that were observed stay.
func TestNewTrafficClasses(t *testing.T) {
	b, host := newTestBalancer(2, nil)
	b.OnRequest(0, 5, "view", "", "k", 2)
	b.classes.byName["view"].meanLatency = 0.07
	b.SetTrafficClasses([]TrafficClass{
		{Name: "view", Idempotency: AtMostOnce, LatencyObjective: 0.2, Deadline: 1, PriorityWeight: 1},
	})
	expectEqual(t, "the latency observed", b.classes.byName["view"].meanLatency, 0.07)
	expectEqual(t, "classes that are left", len(b.classes.byName), 1)
	expectEqual(t, "what has arrived", b.requests[5].class.Idempotency, Idempotent)
	b.OnAttemptEnd(0.1, 5, 0, ConnectFailed, 0.1, false)
	expectEqual(t, "it goes on", len(host.actions) > 1 && host.lastAction()[:9] == "attempt 5", true)
	b.OnRequest(0.2, 6, "view", "", "k", 1)
	expectEqual(t, "what arrives", b.requests[6].class.Idempotency, AtMostOnce)
}
