package balancer

import "math"

const (
	// recentUses is how many uses of keys count as recent, for each server.
	recentUses = 4
	// replicasPerShare: a key has one replica for each third of a server's mean share of the uses that it takes.
	replicasPerShare = 3
	// unseenUses is added to the recent uses, for each server, so that no key seems hot at the start.
	unseenUses = 0.25
	// calmLatencyFactor: replicas are fewer while the mean latency is below the latency objective over this, since
	// each new replica misses at first.
	calmLatencyFactor = 4
)

// hotKeys counts how often keys are used, by their slot on the ring. Counts fade with each use of any key.
type hotKeys struct {
	uses          [ringSlots]float64 // recent uses of a slot's keys, as of countedAt
	countedAt     [ringSlots]float64 // totalUses when uses was last brought up to date
	totalUses     float64            // uses of all keys
	allRecentUses float64            // recent uses of all keys
}

// record counts a use of a slot's keys among a number of servers. It returns how many replicas the keys were worth
// before, which may be less than one.
func (h *hotKeys) record(slot uint32, servers float64) (replicas float64) {
	keep := 1 - 1/(recentUses*servers)
	recent := h.uses[slot] * math.Pow(keep, h.totalUses-h.countedAt[slot])
	replicas = replicasPerShare * servers * recent / (h.allRecentUses + servers*unseenUses)
	h.totalUses++
	h.allRecentUses = h.allRecentUses*keep + 1
	h.uses[slot] = recent*keep + 1
	h.countedAt[slot] = h.totalUses
	return replicas
}

// replicasFor counts a use of a slot's keys and returns how many of the nearest servers share them, 1 or more.
func (b *Balancer) replicasFor(slot uint32, class *classState) float64 {
	servers := float64(max(1, len(b.servers.ready)))
	replicas := b.hotKeys.record(slot, servers)
	load := min(1, calmLatencyFactor*class.meanLatency/class.LatencyObjective)
	// Where much fails the origin fails, and each replica would ask it again: the fourth power of what succeeds.
	succeeding := (b.recent.succeeded + 1) / (b.recent.succeeded + b.recent.failed + 1)
	return math.Ceil(max(1, replicas*load*succeeding*succeeding*succeeding*succeeding))
}
