package balancer

import (
	"fmt"
	"testing"
)

// Client retries that could no longer be on time were queued ahead of first requests.
func TestClientRetryIsDetectedByTimeLeft(t *testing.T) {
	for timeLeft, want := range map[float64]float64{1: 1, 1.9: 1, 1.5: 0} {
		b, _ := newTestBalancer(1, nil)
		b.classes.byName["view"].clientTimeout = clientTimeoutEstimate{timeLeft: 1, votes: 9}
		b.OnRequest(10, 5, "view", "", "k", timeLeft)
		expectEqual(t, fmt.Sprint("value fraction with ", timeLeft, " left"), b.requests[5].valueFraction, want)
	}
}

// First requests with a short timeout were taken for client retries past their latency objective, and all were
// rejected. Client retries have more time left.
func TestShortClientTimeoutIsNotRetry(t *testing.T) {
	for timeLeft, want := range map[float64]float64{0.39: 1, 0.74: 0} {
		b, _ := newTestBalancer(1, nil)
		b.classes.byName["view"].clientTimeout = clientTimeoutEstimate{timeLeft: 1, votes: 9}
		b.OnRequest(10, 5, "view", "", "k", timeLeft)
		expectEqual(t, fmt.Sprint("value fraction with ", timeLeft, " left"), b.requests[5].valueFraction, want)
		expectEqual(t, "latency objective has not passed", b.requests[5].objectiveAt > 10, want > 0)
	}
}

// New traffic classes apply to requests that arrive from then on: requests in progress keep their class, and
// observed latencies are kept.
func TestSetTrafficClasses(t *testing.T) {
	b, host := newTestBalancer(2, nil)
	b.OnRequest(0, 5, "view", "", "k", 2)
	b.classes.byName["view"].meanLatency = 0.07
	b.SetTrafficClasses([]TrafficClass{
		{Name: "view", Idempotency: AtMostOnce, LatencyObjective: 0.2, Deadline: 1, PriorityWeight: 1},
	})
	expectEqual(t, "observed mean latency", b.classes.byName["view"].meanLatency, 0.07)
	expectEqual(t, "number of classes", len(b.classes.byName), 1)
	expectEqual(t, "idempotency of the request in progress", b.requests[5].class.Idempotency, Idempotent)
	b.OnAttemptEnd(0.1, 5, 0, ConnectFailed, 0.1, false)
	expectEqual(t, "the request in progress is retried",
		len(host.actions) > 1 && host.lastAction()[:9] == "attempt 5", true)
	b.OnRequest(0.2, 6, "view", "", "k", 1)
	expectEqual(t, "idempotency of a new request", b.requests[6].class.Idempotency, AtMostOnce)
}
