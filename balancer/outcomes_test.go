package balancer

import (
	"fmt"
	"math"
	"testing"
)

// A server half slower than the rest was overloaded while others were idle.
func TestSlowServerGivesUpVirtualNodesGently(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	server := b.servers.byID[1]
	server.latency.slowness = 3
	req := requestWithAttempt(b, "view", server, true, false)
	b.recordOutcome(req.attempts[0], Succeeded, 0.4)
	expectEqual(t, "key share", server.keyShare, 1-1.0/64)
}

// Three seconds after a start a seventh of what caches complete was seen, and cold ones got as little.
func TestCompletionRateIsReckonedFromTheStart(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	for b.now = 0.25; b.now <= 3; b.now += 0.25 {
		req := requestWithAttempt(b, "view", b.servers.byID[1], true, false)
		b.recordOutcome(req.attempts[0], Succeeded, 0.01)
	}
	expectEqual(t, "four a second", math.Round(b.completionRate()), 4.0)
}

// Where the origin failed all failed, and what was sent again, or had many replicas, kept it so.
func TestWhatFailsIsShedAndHasFewReplicas(t *testing.T) {
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
		expectEqual(t, fmt.Sprint("shed, and one replica, with ", succeeded, " of 30 succeeded"), got, want)
	}
}
