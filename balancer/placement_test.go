package balancer

import (
	"fmt"
	"testing"

	"bendtrestle/internal/seedhash"
)

func TestAllRoutersPickSameServer(t *testing.T) {
	one, _ := newTestBalancer(5, func(s *Settings) { s.Seed = 1 })
	other, _ := newTestBalancer(5, func(s *Settings) { s.Seed = 2 })
	for key := range uint32(500) {
		keyHash := seedhash.Avalanche(key)
		expectEqual(t, fmt.Sprint("pick of key ", key),
			one.nearestServer(keyHash, anyServer).ID, other.nearestServer(keyHash, anyServer).ID)
	}
}

func TestServerLossMovesOnlyItsKeys(t *testing.T) {
	b, _ := newTestBalancer(5, nil)
	before := map[uint32]uint64{}
	for key := range uint32(500) {
		before[key] = b.nearestServer(seedhash.Avalanche(key), anyServer).ID
	}
	b.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 3, State: Draining, Capacity: 1}})
	for key, previous := range before {
		current := b.nearestServer(seedhash.Avalanche(key), anyServer).ID
		if previous != 3 && current != previous || current == 3 {
			t.Errorf("key %d moved from server %d to %d, want moves from server 3 only", key, previous, current)
		}
	}
}

func TestDistanceTiesAreBrokenByHash(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	first, second := b.servers.byID[1], b.servers.byID[2]
	picked := map[uint64]bool{}
	for i := range uint32(64) {
		keyHash := 5 + i*ringSlots
		b.ring.nodes = []virtualNode{
			{server: first, slot: 5, distance: 9},
			{server: second, slot: 5, distance: 9},
		}
		b.ring.nearestBySlot[5] = b.ring.nodes
		picked[b.nearestServer(keyHash, anyServer).ID] = true
	}
	expectEqual(t, "servers picked at equal distance", len(picked), 2)
}

func TestEjectedServersAreUsedWhenNoOtherIsLeft(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	for _, server := range b.servers.ready {
		server.health.consecutiveFailures = 3
		server.health.ejectedUntil = 9
	}
	req := requestWithAttempt(b, "view", nil, false, true)
	expectEqual(t, "served", b.pick(req) != nil, true)
	b.servers.ready[1].health.consecutiveFailures = 0
	expectEqual(t, "choice", b.pick(req).ID, uint64(2))
}

// Ranking all servers for each request that was past its deadline took too much time in large fleets.
func TestExpiredRequestSkipsServerLookup(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	req := requestWithAttempt(b, "view", b.servers.byID[1], false, false)
	req.deadline = b.now
	expectEqual(t, "may continue", b.mayContinue(req), false)
	expectEqual(t, "choice", b.pick(req), (*serverState)(nil))
	expectEqual(t, "nodes ranked", len(b.ring.nearestBySlot[req.keyHash%ringSlots]), 0)
}
