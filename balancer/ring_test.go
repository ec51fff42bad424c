package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// Ranking all virtual nodes at each lookup took too much time in large fleets. A partial ranking must give the same
// distances.
func TestNearestNodesMatchFullRanking(t *testing.T) {
	b, _ := newTestBalancer(13, nil)
	for slot := uint32(0); slot < ringSlots; slot += 13 {
		whole := slices.Clone(b.ring.nearestNodes(slot, len(b.ring.nodes)))
		for _, count := range []int{1, 16, 64} {
			b.ring.nearestBySlot[slot] = nil
			for i, node := range b.ring.nearestNodes(slot, count) {
				if node.distance != whole[i].distance {
					t.Fatalf("slot %d, %d nodes: node %d has a distance of %d bits, want %d",
						slot, count, i, node.distance, whole[i].distance)
				}
			}
		}
	}
	expectEqual(t, "nodes ranked", len(b.ring.nearestBySlot[0]), 64)
}

// A lookup that passed over a key's nearest server walked the whole circle.
func TestLookupRanksFewNodes(t *testing.T) {
	b, _ := newTestBalancer(270, func(s *Settings) {
		s.WeightMode = WeightsLive
		s.RouterCount = 600
	})
	req := &request{class: b.classes.byName["view"], keyHash: 5, replicas: 1, valueFraction: 1, deadline: 9}
	b.pick(req).inFlight = make([]*attempt, 9)
	b.inFlight = 9
	b.pick(req)
	expectEqual(t, "at most 64 nodes ranked to pass over one server", len(b.ring.nearestBySlot[5]) <= 64, true)
}

// Live weights that fell and rose moved virtual nodes, and each update caused all of them to be ranked again. Only
// a weight larger than all since the start changes a server's size.
func TestOnlyLargestLiveWeightIsSize(t *testing.T) {
	b, _ := newLiveWeightBalancer(0, 4, 1)
	b.ring.nearestNodes(5, 1)
	for _, c := range []struct{ first, second, nodes float64 }{
		{first: 0.1, second: 0.9, nodes: 4},
		{first: 4, second: 2, nodes: 8},
	} {
		expectEqual(t, "ranking is kept while no size grows", len(b.ring.nearestBySlot[5]) > 0, true)
		b.OnEndpoints(1, UpdateDelta, endpointsOfWeights(c.first, c.second))
		got := fmt.Sprint(b.servers.byID[1].virtualNodes, b.servers.byID[2].virtualNodes)
		expectEqual(t, "virtual nodes", got, fmt.Sprint("16 ", c.nodes))
	}
}
