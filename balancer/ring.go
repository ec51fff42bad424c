package balancer

import (
	"cmp"
	"math"
	"slices"

	"bendtrestle/internal/seedhash"
)

// maxVirtualNodes is the number of virtual nodes of the largest server. With one node, a server's fraction of the
// keys would be the gap to its neighbours.
const maxVirtualNodes = 16

const (
	// firstLookupNodes is the number of virtual nodes that a lookup ranks at first; few lookups need more.
	firstLookupNodes = 16
	// lookupGrowth is the factor by which the number of ranked nodes grows when a lookup has passed over all of
	// them.
	lookupGrowth = 3
)

// All nodes that can be nearer by Hamming distance than the farthest wanted node lie within rankedStepsFactor times
// its steps plus rankedStepsMargin (TestSlotsBeyondTwiceTheStepsAreFarther checks every 64th slot).
const (
	rankedStepsFactor = 2
	rankedStepsMargin = 8
)

// virtualNode is one position of a server on the circle.
type virtualNode struct {
	server   *serverState
	slot     uint32
	index    int // number among its server's virtual nodes, from 0
	distance int // Hamming distance to the slot that was looked up; 0 in ring.nodes
}

// ring holds the virtual nodes of the ready servers.
type ring struct {
	nodes         []virtualNode            // ordered by slot
	nearestBySlot [ringSlots][]virtualNode // the nodes nearest to a slot, cached until the ring is rebuilt
}

// rebuild places the virtual nodes of the servers on the ring. It uses a counting sort, which keeps the order of
// servers within a slot.
func (r *ring) rebuild(servers []*serverState) {
	unordered := make([]virtualNode, 0, maxVirtualNodes*len(servers))
	var next [ringSlots + 1]int // index in nodes of the next virtual node of a slot
	for _, server := range servers {
		for index := range server.virtualNodes {
			slot := seedhash.Mix(uint32(index), server.ID) % ringSlots
			unordered = append(unordered, virtualNode{server: server, slot: slot, index: index})
			next[slot+1]++
		}
	}
	for slot := range ringSlots {
		next[slot+1] += next[slot]
	}
	r.nodes = make([]virtualNode, len(unordered))
	for _, node := range unordered {
		r.nodes[next[node.slot]] = node
		next[node.slot]++
	}
	clear(r.nearestBySlot[:])
}

// virtualNodesOf returns the number of virtual nodes of a server, in proportion to its size if weights are used.
func virtualNodesOf(size, largestSize float64, weights WeightMode) int {
	if weights == WeightsIgnored || largestSize <= 0 {
		return maxVirtualNodes
	}
	return max(1, int(math.Round(maxVirtualNodes*size/largestSize)))
}

// nearestNodes returns at least count virtual nodes, or all, that are nearest to a slot, in the order of their
// Hamming distance. It walks the circle in both directions from the slot, then sorts the nodes that it visited. The
// result belongs to the ring; callers must not modify it.
func (r *ring) nearestNodes(slot uint32, count int) []virtualNode {
	total := len(r.nodes)
	count = min(count, total)
	if len(r.nearestBySlot[slot]) >= count {
		return r.nearestBySlot[slot]
	}
	up, _ := slices.BinarySearchFunc(r.nodes, slot, func(node virtualNode, slot uint32) int {
		return cmp.Compare(node.slot, slot)
	})
	down := up + total - 1
	near := make([]virtualNode, 0, 3*count)
	for len(near) < total {
		node := r.nodes[up%total]
		below := r.nodes[down%total]
		if stepsApart(below.slot, slot) < stepsApart(node.slot, slot) {
			node = below
			down--
		} else {
			up++
		}
		if len(near) >= count {
			farthest := stepsApart(near[count-1].slot, slot)
			if stepsApart(node.slot, slot) > rankedStepsFactor*farthest+rankedStepsMargin {
				break
			}
		}
		node.distance = hammingDistance(&hypervectorTable()[slot], &hypervectorTable()[node.slot])
		near = append(near, node)
	}
	slices.SortStableFunc(near, func(a, b virtualNode) int { return a.distance - b.distance })
	r.nearestBySlot[slot] = slices.Clone(near[:count])
	return r.nearestBySlot[slot]
}

// stepsApart returns the number of steps between two slots, by the shorter way round the circle.
func stepsApart(a, b uint32) uint32 {
	return min((a-b)%ringSlots, (b-a)%ringSlots)
}
