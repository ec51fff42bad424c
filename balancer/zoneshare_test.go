package balancer

import (
	"fmt"
	"testing"

	"bendtrestle/internal/seedhash"
)

// inThreeZones assigns the servers to zones a, b and c by their ids.
func inThreeZones(b *Balancer) {
	for id, server := range b.servers.byID {
		server.Zone = string(rune('a' + id%3))
	}
}

// A zone with a zone share keeps the same keys at every router; the keys of other zones do not move.
func TestZoneShareKeepsSameKeysAtEveryRouter(t *testing.T) {
	withShare := func(seed uint32, share float64) *Balancer {
		b, _ := newTestBalancer(12, func(s *Settings) { s.Seed = seed })
		inThreeZones(b)
		if share < 1 {
			b.SetZoneShare(0, "b", share)
		}
		return b
	}
	before := withShare(1, 1)
	half := withShare(1, 0.5)
	otherRouter := withShare(2, 0.5)
	none := withShare(1, 0)
	kept, all := 0, 0
	for key := range uint32(2000) {
		pick := func(b *Balancer) *serverState { return b.nearestServer(seedhash.Avalanche(key), anyServer) }
		previous, current := pick(before), pick(half)
		if current != nil && pick(otherRouter).ID != current.ID {
			t.Fatal("two routers pick different servers for a key")
		}
		if pick(none).Zone == "b" {
			t.Fatal("an evacuated zone serves a key")
		}
		if previous.Zone != "b" {
			if current.ID != previous.ID {
				t.Fatal("a key of another zone moved")
			}
			continue
		}
		all++
		if current.ID == previous.ID {
			kept++
		}
	}
	fraction := float64(kept) / float64(all)
	if fraction < 0.4 || fraction > 0.6 {
		t.Errorf("fraction of keys that stay in the zone: got %v, want 0.4 to 0.6", fraction)
	}
}

// When a zone is evacuated, requests that may be repeated are retried elsewhere immediately; others wait for their
// attempt.
func TestEvacuationCancelsOnlyRepeatableRequests(t *testing.T) {
	b, host := newTestBalancer(12, nil)
	inThreeZones(b)
	for i, class := range []string{"view", "pay"} {
		for n := range 40 {
			b.OnRequest(1, uint64(i*100+n), class, "", fmt.Sprint("key-", n), 2)
		}
	}
	host.actions = nil
	b.SetZoneShare(1.1, "b", 0)
	cancelled := 0
	for _, action := range host.actions {
		var id uint64
		var number int
		_, err := fmt.Sscanf(action, "cancel %d/%d", &id, &number)
		if err != nil || id >= 100 || b.requests[id].attempts[number].server.Zone != "b" {
			t.Fatalf("action %q, want only cancellations of repeatable requests in flight in zone b", action)
		}
		cancelled++
	}
	inFlightThere := 0
	for id := range uint64(40) {
		req := b.requests[id]
		if req != nil && req.attempts[0].server.Zone == "b" { // nil: rejected, since all requests arrived at the same time
			inFlightThere++
		}
	}
	if cancelled != inFlightThere || cancelled == 0 {
		t.Errorf("%d repeatable requests in flight in zone b, %d cancelled, want all of them and at least 1",
			inFlightThere, cancelled)
	}
	id := uint64(0)
	fmt.Sscanf(host.actions[0], "cancel %d", &id)
	b.OnAttemptEnd(1.1, id, 0, Cancelled, 0.1, false)
	attempts := b.requests[id].attempts
	if len(attempts) != 2 || attempts[1].server.Zone == "b" {
		t.Error("a cancelled request was not retried in another zone")
	}
}

// A request that is restricted to an evacuated zone is rejected immediately, with a retry-after delay, and is never
// sent elsewhere.
func TestRequestRestrictedToEvacuatedZoneIsRejected(t *testing.T) {
	b, host := newTestBalancer(4, func(s *Settings) { s.TrafficClasses[0].AllowedZones = []string{"b"} })
	b.servers.byID[1].Zone = "b"
	b.servers.byID[2].Zone = "b"
	b.OnRequest(1, 1, "view", "", "key", 2)
	b.SetZoneShare(1.1, "b", 0)
	expectEqual(t, "action when the zone is evacuated", host.lastAction(), "cancel 1/0")
	b.OnAttemptEnd(1.1, 1, 0, Cancelled, 0.1, false)
	expectEqual(t, "action after the cancellation", host.lastAction(), "reject 1 after true")
	b.OnRequest(1.2, 2, "view", "", "key", 2)
	expectEqual(t, "action for a new request", host.lastAction(), "reject 2 after true")
}

// A zone share applies to caches: attempts in flight at the origin's servers in an evacuated zone continue.
func TestEvacuationKeepsOriginAttempts(t *testing.T) {
	b, host := newTestBalancer(3, func(s *Settings) {
		s.CacheAside = true
		s.OriginMachineType = "origin"
	})
	b.OnEndpoints(0, UpdateDelta, []Endpoint{{ID: 9, State: Ready, Zone: "b", MachineType: "origin"}})
	b.OnRequest(1, 1, "view", "", "key", 2)
	b.OnAttemptEnd(1.01, 1, 0, CacheMiss, 0.01, false)
	if host.lastAction() != "attempt 1 on 9" {
		t.Fatalf("actions %v, want an attempt at the origin last", host.actions)
	}
	b.SetZoneShare(1.02, "b", 0)
	expectEqual(t, "action when the zone is evacuated", host.lastAction(), "attempt 1 on 9")
}
