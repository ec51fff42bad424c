package balancer

import (
	"fmt"
	"testing"
)

// Requests beyond one tenant's quota made the requests of other tenants late.
func TestOverQuotaRequestsAreShedFirst(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	server := b.servers.byID[1]
	req := requestWithAttempt(b, "view", nil, false, true)
	server.inFlight = []*attempt{{request: req, server: server}}
	b.shedding.meanValue = req.class.PriorityWeight / req.class.meanLatency
	expectEqual(t, "shed within the quota", b.shedsForLatency(req, server), false)
	req.valueFraction = 0.05
	expectEqual(t, "shed beyond the quota", b.shedsForLatency(req, server), true)
}

// With most routers stopped, a quota that was split evenly over all routers left too little for tenants at the
// remaining ones.
func TestQuotaFractionFollowsCompletionRate(t *testing.T) {
	b, _ := newTestBalancer(1, func(s *Settings) {
		s.Tenants = []Tenant{{Name: "a", Quota: 2}, {Name: "b", Quota: 2}}
	})
	b.completions.rate = 100
	b.completions.rateAt = 10
	b.tenants.byName["a"].tokens = 0
	b.tenants.byName["a"].refilledAt = 9
	b.OnRequest(10, 5, "view", "a", "k", 1)
	expectEqual(t, "value", b.requests[5].valueFraction, 1.0)
}

// With a quota of less than one request per second at each router, a token bucket of one request lost requests
// within the quota.
func TestSmallQuotaAllowsBurst(t *testing.T) {
	b, host := newTestBalancer(1, func(s *Settings) {
		s.Tenants = []Tenant{{Name: "a", Quota: 100}}
		s.RouterCount = 200
	})
	for i := range uint64(6) {
		b.OnRequest(20, i, "view", "a", "k", 1)
		expectEqual(t, fmt.Sprint("value fraction of request ", i), b.requests[i].valueFraction, 1.0)
	}
	b.tenants.byName["a"].tokens = 1
	b.servers.ready = nil
	b.ring.nodes = nil
	b.ring.nearestBySlot = [ringSlots][]virtualNode{}
	b.OnRequest(20, 9, "view", "a", "k", 1)
	expectEqual(t, "answer", host.lastAction(), "reject 9 after true")
	expectEqual(t, "tokens after a rejection without an attempt", b.tenants.byName["a"].tokens, 1.0)
}

// Where routers carry uneven traffic, some requests within a tenant's quota exceed the fraction of a router, and
// were shed at low load.
func TestOverQuotaRequestsAreAdmittedAtHighOnTimeRate(t *testing.T) {
	for onTimeRate, want := range map[float64]bool{0.5: true, 1: false} {
		b, _ := newTestBalancer(1, nil)
		req := requestWithAttempt(b, "view", nil, false, true)
		req.valueFraction = 0.05
		b.recent.onTimeRate = onTimeRate
		b.shedding.meanValue = req.class.PriorityWeight / req.class.meanLatency
		shed := b.shedsForLatency(req, b.servers.byID[1])
		expectEqual(t, fmt.Sprint("shed with ", onTimeRate, " on time"), shed, want)
	}
}
