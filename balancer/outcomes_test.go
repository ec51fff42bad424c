package balancer

import (
	"fmt"
	"math"
	"testing"
)

// A server with 1.5 times the latency of the others was overloaded while they were idle.
func TestSlowServerGivesUpVirtualNodesGradually(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	server := b.servers.byID[1]
	server.latency.slowness = 3
	req := requestWithAttempt(b, "view", server, true, false)
	b.recordOutcome(req.attempts[0], Succeeded, 0.4)
	expectEqual(t, "key share", server.keyShare, 1-1.0/64)
}

// Three seconds after a start, the completion rate was a seventh of the true one, and servers that were warming up
// got as few attempts.
func TestCompletionRateShortlyAfterStart(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	for b.now = 0.25; b.now <= 3; b.now += 0.25 {
		req := requestWithAttempt(b, "view", b.servers.byID[1], true, false)
		b.recordOutcome(req.attempts[0], Succeeded, 0.01)
	}
	expectEqual(t, "completions per second", math.Round(b.completionRate()), 4.0)
}

// When the origin failed, all attempts failed, and retries and replicas of hot keys kept it failing.
func TestFailingRequestsAreShedAndNotReplicated(t *testing.T) {
	for succeeded, want := range map[float64]bool{0: true, 30: false} {
		b, _ := newTestBalancer(40, nil)
		shed := 0
		replicas := 0.0
		for range 200 {
			b.recent.succeeded = succeeded
			b.recent.failed = 30 - succeeded
			if b.shedsForFailures() {
				shed++
			}
			replicas = b.replicasFor(5, b.classes.byName["view"])
		}
		got := shed > 100 && replicas == 1
		expectEqual(t, fmt.Sprint("shed and not replicated with ", succeeded, " of 30 succeeded"), got, want)
	}
}
