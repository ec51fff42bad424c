package balancer

import "math"

const (
	// recentUsesPerServer is how many uses of keys count as recent, for each server.
	recentUsesPerServer = 4
	// replicasPerMeanPart: a hot key has as many replicas as it has thirds of a server's mean part of the uses.
	replicasPerMeanPart = 3
	// popularityDoubt is added to the recent uses, for each server: at the start no key is taken for a hot one.
	popularityDoubt = 0.25
	// busyLatencyFactor: keys have fewer replicas where the mean latency is under the latency objective over
	// this, for each replica is a miss at first.
	busyLatencyFactor = 4
)

// hotKeys counts how often keys are used, by their slot on the ring. Counts decay with each use of any key.
type hotKeys struct {
	uses       [ringSlots]float64 // recent uses of a slot's keys, as of countedAt
	countedAt  [ringSlots]float64 // totalUses when uses was last brought up to date
	totalUses  float64            // uses of all keys
	recentUses float64            // uses of all keys that are recent
}

// record counts a use of a slot's keys among a number of servers, and gives the uncapped number of servers that
// should answer for them, before it.
func (h *hotKeys) record(slot uint32, servers float64) (replicas float64) {
	keep := 1 - 1/(recentUsesPerServer*servers)
	recent := h.uses[slot] * math.Pow(keep, h.totalUses-h.countedAt[slot])
	replicas = replicasPerMeanPart * servers * recent / (h.recentUses + servers*popularityDoubt)
	h.totalUses++
	h.recentUses = h.recentUses*keep + 1
	h.uses[slot] = recent*keep + 1
	h.countedAt[slot] = h.totalUses
	return replicas
}

// replicasFor counts a use of a slot's keys and gives how many of the nearest servers share them, 1 or more.
func (b *Balancer) replicasFor(slot uint32, class *classState) float64 {
	servers := float64(max(1, len(b.servers.ready)))
	replicas := b.hotKeys.record(slot, servers)
	busy := min(1, busyLatencyFactor*class.meanLatency/class.LatencyObjective)
	// Where much fails the origin does, and each replica asks it anew.
	succeeding := (b.recent.succeeded + 1) / (b.recent.succeeded + b.recent.failed + 1)
	return math.Ceil(max(1, replicas*busy*succeeding*succeeding*succeeding*succeeding))
}
