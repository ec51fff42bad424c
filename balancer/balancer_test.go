package balancer

import (
	"fmt"
	"testing"
)

func TestEmptyEndpointListRejectsRequests(t *testing.T) {
	b, host := newTestBalancer(0, nil)
	b.OnRequest(1, 5, "view", "", "k", 1)
	expectEqual(t, "answer", host.lastAction(), "reject 5 after true")
}

func TestZeroSettingsHandleEveryRequest(t *testing.T) {
	host := &recordingHost{}
	b := New(0, Settings{
		TrafficClasses: []TrafficClass{{Name: "view"}},
		Tenants:        []Tenant{{Name: "a", Quota: -1}},
	}, host)
	b.OnEndpoints(0, UpdateSaved, []Endpoint{
		{ID: 1, State: Ready, StartedAt: 1},
		{ID: 2, State: Ready, Capacity: -3},
	})
	for i := range uint64(50) {
		class := []string{"view", "unknown"}[i%2]
		b.OnRequest(1, i, class, "a", "", float64(i%3)-1)
		b.OnAttemptEnd(1, i, 0, Outcome(i%12), 0, false)
	}
	expectEqual(t, "each request has at least one action", len(host.actions) >= 50, true)
}

// With hundreds of routers and servers, the queued gossip records and the requests stay bounded, and removed
// servers and ended requests are dropped.
func TestStateIsBoundedInLargeFleets(t *testing.T) {
	b, host := newTestBalancer(500, func(s *Settings) {
		s.GossipAllowed = true
		s.RouterCount = 400
		s.GossipPrice = 0.01
	})
	var removed []Endpoint
	for i := range 1000 {
		now := float64(i) / 25
		b.OnGossip(now, []byte{byte(i), byte(i % 3), byte(16 + i%200), byte(i * 7), 1, gossipConnectionRefused, 7})
		b.OnRequest(now, uint64(i), "view", "", fmt.Sprint("key", i%700), 2)
		b.OnAttemptEnd(now+0.005, uint64(i), 0, Succeeded, 0.005, true)
		removed = append(removed, Endpoint{ID: uint64(i + 1), State: Removed})
		if i == 399 {
			b.OnEndpoints(now, UpdateDelta, removed)
		}
	}
	expectEqual(t, "requests kept", len(b.requests), 0)
	expectEqual(t, "servers kept", len(b.servers.byID), 100)
	expectEqual(t, "queued records fit into one message", len(b.gossip.pending) <= gossipMessageSize, true)
	maxMessages := 0.005*1000/(16*399/256.0*0.01) + 5
	messages := float64(len(host.actions) - 1000)
	expectEqual(t, "messages are within the gossip budget", messages < maxMessages, true)
}
