package balancer

import (
	"fmt"
	"testing"

	"bendtrestle/internal/seedhash"
)

// recordingHost is a host that records the actions of the balancer.
type recordingHost struct{ actions []string }

func (h *recordingHost) StartAttempt(request, server uint64, _, _ float64) {
	h.record("attempt %d on %d", request, server)
}
func (h *recordingHost) CancelAttempt(request uint64, number int) {
	h.record("cancel %d/%d", request, number)
}
func (h *recordingHost) Reject(request uint64, retryAfter float64, _ RejectReason) {
	h.record("reject %d after %t", request, retryAfter > 0)
}
func (h *recordingHost) Fail(request uint64)      { h.record("fail %d", request) }
func (h *recordingHost) Gossip(message []byte)    { h.record("gossip %x", message) }
func (h *recordingHost) Probe(server uint64)      { h.record("probe %d", server) }
func (h *recordingHost) SetTimer(float64, string) {}
func (h *recordingHost) WatchEndpoints(on bool)   { h.record("watch %t", on) }

func (h *recordingHost) record(format string, args ...any) {
	h.actions = append(h.actions, fmt.Sprintf(format, args...))
}

// lastAction returns the latest action, or "" if there is none.
func (h *recordingHost) lastAction() string {
	if len(h.actions) == 0 {
		return ""
	}
	return h.actions[len(h.actions)-1]
}

// reasonRecorder is a host that records the reject reasons.
type reasonRecorder struct {
	recordingHost
	reasons []RejectReason
}

func (h *reasonRecorder) Reject(_ uint64, _ float64, reason RejectReason) {
	h.reasons = append(h.reasons, reason)
}

// timeoutRecorder is a host that records the timeouts of the last attempt.
type timeoutRecorder struct {
	recordingHost
	timeout, writeTimeout float64
}

func (h *timeoutRecorder) StartAttempt(_, _ uint64, timeout, writeTimeout float64) {
	h.timeout = timeout
	h.writeTimeout = writeTimeout
}

// testSettings returns the settings of one of two routers, with three classes: an idempotent one, one with
// idempotency keys, and one that is attempted at most once.
func testSettings() Settings {
	return Settings{
		RouterCount:         2,
		EventInterval:       0.001,
		MaxAttempts:         3,
		HedgingAllowed:      true,
		CancellationAllowed: true,
		MaxRetryAfter:       1,
		OverloadWindow:      3,
		OverloadFactor:      4,
		WarmupStartCapacity: 0.25,
		WarmupDuration:      20,
		OverQuotaWeight:     0.05,
		TrafficClasses: []TrafficClass{
			{Name: "view", Idempotency: Idempotent, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
			{Name: "amend", Idempotency: IdempotencyKeyed, DeduplicationScope: ScopeZone, DeduplicationWindow: 1,
				LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
			{Name: "pay", LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
		},
	}
}

// newTestBalancer starts a balancer with servers 1 to n, all warm. change, if not nil, may change its settings.
func newTestBalancer(n int, change func(*Settings)) (*Balancer, *recordingHost) {
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	host := &recordingHost{}
	b := New(0, settings, host)
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: uint64(i + 1), State: Ready, Capacity: 1, Zone: "a"})
	}
	b.OnEndpoints(0, UpdateFull, list)
	host.actions = nil
	return b, host
}

// newGossipingBalancer starts the balancer of one of 80 routers, which gets few samples of each server.
func newGossipingBalancer(n int) (*Balancer, *recordingHost) {
	return newTestBalancer(n, func(s *Settings) {
		s.GossipAllowed = true
		s.RouterCount = 80
		s.GossipPrice = 0.01
	})
}

// newLiveWeightBalancer starts the balancer of one of 600 routers, with servers of these live weights.
func newLiveWeightBalancer(seed uint32, weights ...float64) (*Balancer, *recordingHost) {
	b, host := newTestBalancer(0, func(s *Settings) {
		s.Seed = seed
		s.RouterCount = 600
		s.WeightMode = WeightsLive
		s.WarmupStartCapacity = 0.17
	})
	b.OnEndpoints(0, UpdateFull, endpointsOfWeights(weights...))
	return b, host
}

// newCacheAsideBalancer starts a balancer that asks the origin, server 99, after a cache miss.
func newCacheAsideBalancer(n int) (*Balancer, *recordingHost) {
	b, host := newTestBalancer(n, func(s *Settings) {
		s.CacheAside = true
		s.OriginMachineType = "origin"
	})
	origin := Endpoint{ID: 99, State: Ready, Capacity: 1, Zone: "far", MachineType: "origin"}
	b.OnEndpoints(0, UpdateDelta, []Endpoint{origin})
	host.actions = nil
	return b, host
}

func endpointsOfWeights(weights ...float64) (list []Endpoint) {
	for i, weight := range weights {
		list = append(list, Endpoint{ID: uint64(i + 1), State: Ready, Capacity: weight})
	}
	return list
}

// requestWithAttempt returns request 7 with one attempt, in flight or not, at a server; nil stands for a server
// that is in no list.
func requestWithAttempt(b *Balancer, class string, server *serverState, inFlight, notExecuted bool) *request {
	if server == nil {
		server = &serverState{}
	}
	req := &request{
		id:            7,
		class:         b.classes.byName[class],
		valueFraction: 1,
		objectiveAt:   b.now + 0.4,
		deadline:      b.now + 2,
		retryBudget:   &b.retryBudgets.shared,
	}
	first := &attempt{request: req, server: server, sentAt: b.now, inFlight: inFlight, notExecuted: notExecuted}
	req.attempts = []*attempt{first}
	b.requests[7] = req
	return req
}

func anyServer(*serverState) bool { return true }

// keysAnsweredBy returns how many of 2000 keys a server answers for.
func (b *Balancer) keysAnsweredBy(server *serverState) (count int) {
	for key := range uint32(2000) {
		if b.nearestServer(seedhash.Avalanche(key), anyServer) == server {
			count++
		}
	}
	return count
}

// passedOverFraction returns the fraction of 1000 keys for which a server is passed over as overloaded.
func (b *Balancer) passedOverFraction(server *serverState) float64 {
	count := 0
	for key := range uint32(1000) {
		req := &request{class: b.classes.byName["view"], keyHash: seedhash.Avalanche(key)}
		if b.overloaded(req, server) {
			count++
		}
	}
	return float64(count) / 1000
}

func expectEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
