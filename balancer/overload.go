package balancer

import (
	"math"

	"bendtrestle/internal/seedhash"
)

// By this router's own attempts in flight, a server is overloaded from two on and above twice the mean.
const (
	minOverloadedInFlight    = 2
	overloadedInFlightFactor = 2 // times
)

// By reported load, a server is overloaded for a part of its keys.
const (
	// overloadedLoadFactor is the load, in means, up to which a server keeps all of its keys. It is below the
	// bound for attempts in flight, since from here on only a part of the keys moves.
	overloadedLoadFactor = 1.4
	// minOverloadedLoad is the load, in attempts, below which no server is overloaded.
	minOverloadedLoad = 4
	// overloadedSlowness is the slowness up to which a server keeps its keys; above it the part falls by
	// overloadedSlownessPower. A server that takes several times as long as others has failed in all but name.
	overloadedSlowness      = 2.5
	overloadedSlownessPower = 4
	// minKeptKeyFraction is the part of its keys that a server keeps in any case: else nobody would learn how it is.
	minKeptKeyFraction = 1.0 / 32
)

// overloaded reports whether a server is passed over for a request's key: by this router's own attempts in flight
// and, where it has few samples, by reported load.
func (b *Balancer) overloaded(req *request, server *serverState) bool {
	if b.overloadedByInFlight(server) {
		return true
	}
	return b.fewSamples(req.class) && b.overloadedByReports(req.keyHash, server)
}

// overloadedByInFlight reports whether a server holds more than twice the mean of this router's attempts in
// flight per server, and at least two.
func (b *Balancer) overloadedByInFlight(server *serverState) bool {
	inFlight := len(server.inFlight)
	return inFlight >= minOverloadedInFlight && inFlight*len(b.servers.ready) > overloadedInFlightFactor*b.inFlight
}

// overloadedByReports reports whether a server is overloaded for a key by reported load. All routers get the same
// reports at once. If all left an overloaded server with all of its keys, they would overload the next one, and
// come back together: so it keeps a part of its keys, the same part at every router.
func (b *Balancer) overloadedByReports(keyHash uint32, server *serverState) bool {
	load := b.reportedLoad(server)
	if b.settings.WeightMode == WeightsLive {
		load = min(load, server.reported.smoothedLoad)
	}
	if load < minOverloadedLoad {
		return false
	}
	servers := float64(len(b.servers.ready))
	limit := overloadedLoadFactor * b.totalLoad.load * math.Exp((b.totalLoad.loadAt-b.now)/loadDecayTime) / servers
	keptBySlowness := math.Pow(min(1, overloadedSlowness/max(server.reported.slowness, 1e-9)), overloadedSlownessPower)
	keptFraction := max(min(keptBySlowness, limit/load), minKeptKeyFraction)
	return keyPosition(keyHash, server) > keptFraction
}

// keyPosition places a key between 0 and 1 for one server, the same at every router. A server that answers for a
// part of its keys answers for those that are placed below that part.
func keyPosition(keyHash uint32, server *serverState) float64 {
	return float64(seedhash.Mix(keyHash, server.ID)) / hashRange
}
