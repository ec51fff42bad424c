package balancer

import "math"

const (
	// useCountWindow is the number of uses of keys, per server, over which uses are counted; older uses decay.
	useCountWindow = 4
	// replicasPerMeanShare is the number of replicas per mean share of a server: a key has one replica for each
	// third of the uses that a server takes on average.
	replicasPerMeanShare = 3
	// priorUsesPerServer is added to the recent uses, for each server, so that no key counts as hot at the start.
	priorUsesPerServer = 0.25
	// replicaLatencyFactor reduces the replicas at low latency: there are fewer while the mean latency is below the
	// latency objective over this factor, since each new replica misses at first.
	replicaLatencyFactor = 4
)

// hotKeys counts how often keys are used, by their slot on the ring. The counts decay with each use of any key.
type hotKeys struct {
	recentUses      [ringSlots]float64 // decayed uses of a slot's keys, as of countedAt
	countedAt       [ringSlots]float64 // totalUses when recentUses was last updated
	totalUses       float64            // uses of all keys
	totalRecentUses float64            // decayed uses of all keys
}

// recordUse counts a use of a slot's keys among a number of servers. It returns the number of replicas due to the
// keys before this use, which may be less than one.
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

// replicasFor counts a use of a slot's keys and returns how many of the nearest servers share them, at least 1.
func (b *Balancer) replicasFor(slot uint32, class *classState) float64 {
	servers := float64(max(1, len(b.servers.ready)))
	replicas := b.hotKeys.recordUse(slot, servers)
	latencyFactor := min(1, replicaLatencyFactor*class.meanLatency/class.LatencyObjective)
	// Frequent failures mean that the origin is failing, and each replica would query it again. So the number of
	// replicas falls with the fourth power of the success rate.
	successRate := (b.recent.succeeded + 1) / (b.recent.succeeded + b.recent.failed + 1)
	return math.Ceil(max(1, replicas*latencyFactor*successRate*successRate*successRate*successRate))
}
