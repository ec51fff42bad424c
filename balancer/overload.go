package balancer

import (
	"math"

	"bendtrestle/internal/seedhash"
)

// By this router's own attempts in flight, a server is overloaded if it has at least two, and more than twice the
// mean.
const (
	minOverloadedInFlight    = 2
	overloadedInFlightFactor = 2 // times the mean
)

// By reported load, a server is overloaded for a fraction of its keys.
const (
	// overloadedLoadFactor is the load, relative to the mean, up to which a server keeps all of its keys. It is
	// lower than the factor for attempts in flight, since above it only a fraction of the keys moves.
	overloadedLoadFactor = 1.4
	// minOverloadedLoad is the load, in attempts, below which no server is overloaded.
	minOverloadedLoad = 4
	// overloadedSlowness is the slowness up to which a server keeps its keys; above it the kept fraction falls with
	// the power overloadedSlownessPower. A server that takes several times as long as others has practically
	// failed.
	overloadedSlowness      = 2.5
	overloadedSlownessPower = 4
	// minKeptKeyFraction is the minimum fraction of its keys that a server keeps: without attempts, its recovery
	// would not be detected.
	minKeptKeyFraction = 1.0 / 32
)

// overloaded reports whether a server is passed over for a request's key: by this router's own attempts in flight
// and, if the router has few samples, by reported load.
func (b *Balancer) overloaded(req *request, server *serverState) bool {
	if b.overloadedByInFlight(server) {
		return true
	}
	return b.fewSamples(req.class) && b.overloadedByReports(req.keyHash, server)
}

// overloadedByInFlight reports whether a server holds more than twice the mean of this router's attempts in flight
// per server, and at least two.
func (b *Balancer) overloadedByInFlight(server *serverState) bool {
	inFlight := len(server.inFlight)
	return inFlight >= minOverloadedInFlight && inFlight*len(b.servers.ready) > overloadedInFlightFactor*b.inFlight
}

// overloadedByReports reports whether a server is overloaded for a key by reported load. All routers get the same
// reports at the same time. If all moved all keys of an overloaded server, they would overload the next one, and
// return together. So the server keeps a fraction of its keys, the same keys at every router.
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

// keyPosition returns the position of a key between 0 and 1 for one server, the same at every router. A server that
// answers for a fraction of its keys answers for those with a position below that fraction.
func keyPosition(keyHash uint32, server *serverState) float64 {
	return float64(seedhash.Mix(keyHash, server.ID)) / hashRange
}
