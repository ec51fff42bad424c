package balancer

import (
	"math"
	"testing"
)

// After a cache miss the request was sent to the next cache, which lacked the key too: two attempts per request.
func TestCacheMissIsRetriedAtOrigin(t *testing.T) {
	b, host := newCacheAsideBalancer(3)
	expectEqual(t, "ready caches, without the origin", len(b.servers.ready), 3)
	requestWithAttempt(b, "pay", b.servers.byID[1], true, false)
	// Placement rules apply to caches: every class may use the origin.
	b.classes.byName["pay"].AllowedZones = []string{"a"}
	b.recent.acceptanceRate = 0 // a retry after a miss needs no token
	b.OnAttemptEnd(0.01, 7, 0, CacheMiss, 0.01, false)
	expectEqual(t, "action after a miss", host.lastAction(), "attempt 7 on 99")
	b.OnAttemptEnd(0.02, 7, 1, ServerError, 0.01, false)
	expectEqual(t, "action after a server error from the origin", host.lastAction(), "fail 7")
}

func TestOriginLimit(t *testing.T) {
	b, host := newCacheAsideBalancer(1)
	origin := b.servers.byID[99]
	class := b.classes.byName["view"]
	origin.inFlight = make([]*attempt, 3)
	b.adjustOriginLimit(origin, Succeeded, 0.01, class)
	expectEqual(t, "limit after an answer", origin.originLimit.attempts, 4.25)

	origin.inFlight = make([]*attempt, 5)
	requestWithAttempt(b, "view", b.servers.byID[1], true, false)
	b.OnAttemptEnd(1, 7, 0, CacheMiss, 0.01, false)
	expectEqual(t, "action after a miss at the limit", host.lastAction(), "reject 7 after true")

	origin.inFlight = make([]*attempt, 2)
	req := requestWithAttempt(b, "view", b.servers.byID[1], false, true)
	expectEqual(t, "origin picked within the tenant's quota", b.pickOrigin(req) != nil, true)
	req.valueFraction = 0.05
	expectEqual(t, "origin picked beyond the tenant's quota", b.pickOrigin(req) != nil, false)

	b.adjustOriginLimit(origin, Overloaded, 0.01, class)
	expectEqual(t, "limit after a rejection", math.Round(origin.originLimit.attempts*100), 283.0)

	rate := b.completions.rate
	failures := b.servers.byID[1].health.consecutiveFailures
	latency := class.meanLatency
	origin.inFlight = nil
	b.recent.acceptanceRate = 0
	b.retryBudgets.shared = 0
	requestWithAttempt(b, "view", origin, true, false)
	b.OnAttemptEnd(1.1, 7, 0, Overloaded, 0.01, false)
	expectEqual(t, "action with a full origin and no retry token", host.lastAction(), "reject 7 after true")
	expectEqual(t, "server without a machine type is the origin", b.isOrigin(&serverState{}), false)

	req = requestWithAttempt(b, "view", origin, true, false)
	b.recordOutcome(req.attempts[0], Succeeded, 0.3)
	expectEqual(t, "completion rate of caches", b.completions.rate, rate)
	expectEqual(t, "failures of a cache", b.servers.byID[1].health.consecutiveFailures, failures)
	expectEqual(t, "mean latency at caches", class.meanLatency, latency)

	b, _ = newTestBalancer(3, func(s *Settings) { s.CacheAside = true })
	expectEqual(t, "ready caches without an origin machine type", len(b.servers.ready), 3)
}
