package balancer

import "math"

const (
	// initialOriginLimit is the initial limit on this router's attempts in flight at a server of the origin.
	initialOriginLimit = 4
	minOriginLimit     = 1
	// originLatencyDivisor sets the time within which an answer shows that the origin keeps up: the latency
	// objective over this divisor.
	originLatencyDivisor = 2
)

// originLimit limits this router's attempts in flight at one server of the origin, by additive increase and
// multiplicative decrease. All routers share the origin, and beyond its capacity it answers nothing at all.
type originLimit struct {
	attempts  float64
	loweredAt float64 // seconds
}

// isOrigin reports whether a server belongs to the origin, which holds all keys, and is not a cache.
func (b *Balancer) isOrigin(server *serverState) bool {
	if !b.settings.CacheAside || server.MachineType == "" {
		return false
	}
	return server.MachineType == b.settings.OriginMachineType
}

// pickOrigin returns the server of the origin with the fewest attempts of this router in flight, among those that
// have capacity for one more and that the rules allow; nil if there is none.
func (b *Balancer) pickOrigin(req *request) (best *serverState) {
	for _, server := range b.servers.origins {
		hasCapacity := float64(len(server.inFlight)) < server.originLimit.attempts*math.Sqrt(req.valueFraction)
		if !hasCapacity || !b.mayAttempt(req, server) {
			continue
		}
		if best == nil || len(server.inFlight) < len(best.inFlight) {
			best = server
		}
	}
	return best
}

// adjustOriginLimit raises the limit by one for each full round of attempts that end in time. It lowers the limit
// by a third, at most once per round, for an attempt that does not. latency is in seconds.
func (b *Balancer) adjustOriginLimit(server *serverState, outcome Outcome, latency float64, class *classState) {
	limit := &server.originLimit
	inTime := outcome == Succeeded && latency < class.LatencyObjective/originLatencyDivisor
	if inTime {
		limitReached := float64(len(server.inFlight))+1 >= limit.attempts/2
		if limitReached {
			limit.attempts += 1 / limit.attempts
		}
		return
	}
	if b.now-limit.loweredAt > latency {
		limit.attempts = max(minOriginLimit, limit.attempts*2/3)
		limit.loweredAt = b.now
	}
}
