package balancer

import "math"

const (
	// useCountWindow is how many uses of keys count as recent, for each server.
	useCountWindow = 4
	// replicasPerMeanShare: a key has one replica for each third of a server's mean share of the uses that it takes.
	replicasPerMeanShare = 3
	// priorUsesPerServer is added to the recent uses, for each server, so that no key seems hot at the start.
	priorUsesPerServer = 0.25
	// replicaLatencyFactor: replicas are fewer while the mean latency is below the latency objective over this, since
	// each new replica misses at first.
	replicaLatencyFactor = 4
)

// hotKeys counts how often keys are used, by their slot on the ring. Counts fade with each use of any key.
type hotKeys struct {
	recentUses      [ringSlots]float64 // recent uses of a slot's keys, as of countedAt
	countedAt       [ringSlots]float64 // totalUses when uses was last brought up to date
	totalUses       float64            // uses of all keys
	totalRecentUses float64            // recent uses of all keys
}

// recordUse counts a use of a slot's keys among a number of servers. It returns how many replicas the keys were worth
// before, which may be less than one.
func (h *hotKeys) recordUse(slot uint32, servers float64) (replicas float64) {
	decay := 1 - 1/(useCountWindow*servers)
	recent := h.recentUses[slot] * math.Pow(decay, h.totalUses-h.countedAt[slot])
	replicas = replicasPerMeanShare * servers * recent / (h.totalRecentUses + servers*priorUsesPerServer)
	h.totalUses++
	h.totalRecentUses = h.totalRecentUses*decay + 1
	h.recentUses[slot] = recent*decay + 1
	h.countedAt[slot] = h.totalUses
	return replicas
}

// replicasFor counts a use of a slot's keys and returns how many of the nearest servers share them, 1 or more.
func (b *Balancer) replicasFor(slot uint32, class *classState) float64 {
	servers := float64(max(1, len(b.servers.ready)))
	replicas := b.hotKeys.recordUse(slot, servers)
	load := min(1, replicaLatencyFactor*class.meanLatency/class.LatencyObjective)
	// Where much fails the origin fails, and each replica would ask it again: the fourth power of what succeeds.
	succeeding := (b.recent.succeeded + 1) / (b.recent.succeeded + b.recent.failed + 1)
	return math.Ceil(max(1, replicas*load*succeeding*succeeding*succeeding*succeeding))
}
