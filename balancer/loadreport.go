package balancer

import (
	"encoding/binary"
	"math"

	"bendtrestle/internal/seedhash"
)

// The gossip message: records of gossipRecordSize bytes, the low 16 bits of a server's id, little endian, and a
// byte for the latency of one attempt there over its class's mean, in units of 1/latencyUnits, or
// gossipRefused.
const (
	gossipRecordSize  = 3   // bytes
	gossipMessageSize = 15  // bytes, five records
	gossipRefused     = 255 // the server refused a connection
	latencyUnits      = 32
)

const (
	// gossipBudgetPart is the part of all priority weight that gossip may cost at Settings.GossipPrice.
	gossipBudgetPart = 0.005
	// gossipPriceUnit is the size in bytes of the message that Settings.GossipPrice is for, and gossipOverhead
	// what a message costs beside its records.
	gossipPriceUnit = 256
	gossipOverhead  = 1
	maxGossipTokens = 4
	// newsLatencyChange is the change of a server's slowness that peers are told at once.
	newsLatencyChange = 1
)

const (
	// loadDecayTime is the time in seconds over which reported load is summed up. A shorter one moves keys to
	// and fro, and keys that move miss.
	loadDecayTime = 3
	// loadReportFreshness is for how long, in seconds, a report of any server's load counts as current.
	loadReportFreshness = 1
	// minReportedWeight and maxReportedWeight bound what one report weighs in a server's reported slowness.
	minReportedWeight = 1.0 / 32
	maxReportedWeight = 0.5
	// answeredSlowness is the reported slowness that only attempts without an answer reach.
	answeredSlowness = 4
	// smoothingTime is the time in seconds over which the load told by live weights is smoothed.
	smoothingTime = 4
)

const (
	// overloadedMeanFactor: a server is passed over for a part of its keys from so many times the mean load on.
	overloadedMeanFactor = 1.4
	// minOverload is the reported load below which no server is passed over.
	minOverload = 4
	// slownessLimit: a server that is slower than the mean by more than this keeps fewer keys, by slownessPower.
	slownessLimit = 2.5
	slownessPower = 4
	// minKeptKeys is the part of its keys that a server always keeps: else none would learn how it is.
	minKeptKeys = 1.0 / 32
)

const (
	// keyShareStep is the part of its virtual nodes that a server loses in a second for each time the mean load
	// that it has too much, at most by maxExcessLoad.
	keyShareStep  = 1.0 / 16
	maxExcessLoad = 2
	minKeyShare   = 0.1
)

// decayingLoad is load summed over some seconds: older reports fade by the power of e every loadDecayTime.
type decayingLoad struct {
	load   float64 // as of loadAt
	loadAt float64 // seconds
}

// at gives the load at a time, in seconds.
func (l *decayingLoad) at(now float64) float64 {
	return l.load * math.Exp((l.loadAt-now)/loadDecayTime)
}

// reportedLoad is what peers' gossip or the list's live weights tell of a server.
type reportedLoad struct {
	decayingLoad         // attempts in flight of all routers, or their latency over the class's mean
	smoothedLoad float64 // the load over some seconds, by live weights
	slowness     float64 // latency over the class's mean, by what all routers report; 1 is the mean
	healthyAt    float64 // seconds, when peers last told of an attempt that was answered there
}

// gossipQueue holds what is to be sent to peers.
type gossipQueue struct {
	pending []byte  // records
	tokens  float64 // messages that may be sent now
}

// fewSamples tells that this router starts less than one attempt a server within the time that it remembers: of
// many routers none has two in flight at a server, and what it learns alone comes late. Only then are reports
// used.
func (b *Balancer) fewSamples(class *classState) bool {
	reported := b.settings.GossipAllowed || b.settings.WeightMode == WeightsLive
	if b.settings.RouterCount <= 1 || !reported {
		return false
	}
	return b.completionRate()*latencyMemory*class.LatencyObjective < float64(len(b.servers.ready))
}

// overloaded tells whether a server is passed over for a request's key, by this router's own attempts in flight
// and, where it has few samples, by reported load. All routers get the same reports at once: a server keeps the
// same part of its keys everywhere, else all would leave it, overload the next one, and come back together.
func (b *Balancer) overloaded(req *request, server *serverState) bool {
	if b.overloadedByInFlight(server) {
		return true
	}
	if !b.fewSamples(req.class) {
		return false
	}
	limit := overloadedMeanFactor * b.totalLoad.load *
		math.Exp((b.totalLoad.loadAt-b.now)/loadDecayTime) / float64(len(b.servers.ready))
	load := b.reportedLoad(server)
	if b.settings.WeightMode == WeightsLive {
		load = min(load, server.reported.smoothedLoad)
	}
	if load < minOverload {
		return false
	}
	byLatency := math.Pow(min(1, slownessLimit/max(server.reported.slowness, 1e-9)), slownessPower)
	kept := max(min(byLatency, limit/load), minKeptKeys)
	return keyPart(req.keyHash, server) > kept
}

// overloadedByInFlight tells that a server holds more than twice the mean of this router's attempts in flight
// per server, and at least two.
func (b *Balancer) overloadedByInFlight(server *serverState) bool {
	held := len(server.inFlight)
	return held >= 2 && held*len(b.servers.ready) > 2*b.inFlight
}

// keyPart places a key between 0 and 1 for one server, the same at every router: a server that answers for a
// part of its keys answers for those below that part.
func keyPart(keyHash uint32, server *serverState) float64 {
	return float64(seedhash.Mix(keyHash, server.ID)) / two32
}

// reportedLoad is what all routers reported of a server lately.
func (b *Balancer) reportedLoad(server *serverState) float64 { return server.reported.at(b.now) }

// reportAttempt queues a record of an attempt for the peers, and sends the message once it is full or what it
// tells is news, as far as the gossip budget allows. latency is the record's third byte before it is rounded
// down; before is the slowness of the server without this attempt. Only routers with few samples report: what
// all move at once misses at the origin.
func (b *Balancer) reportAttempt(server *serverState, class *classState, latency, before float64) {
	if !b.settings.GossipAllowed || !b.fewSamples(class) {
		return
	}
	queue := &b.gossip
	queue.pending = binary.LittleEndian.AppendUint16(queue.pending, uint16(server.ID))
	queue.pending = append(queue.pending, byte(latency))
	queue.pending = queue.pending[max(0, len(queue.pending)-gossipMessageSize):]
	peers := float64(b.settings.RouterCount - 1)
	cost := b.settings.GossipPrice * (gossipMessageSize + gossipOverhead) / gossipPriceUnit * peers
	queue.tokens = min(queue.tokens+min(1, gossipBudgetPart/max(cost, 1e-9)), maxGossipTokens)
	if queue.tokens < 1 {
		return
	}
	change := math.Abs(min(latency/latencyUnits, maxSlownessSample) - before)
	if change <= newsLatencyChange && len(queue.pending) < gossipMessageSize {
		return
	}
	queue.tokens--
	b.host.Gossip(queue.pending)
	queue.pending = queue.pending[:0]
}

// OnGossip takes a message of a peer's Host.Gossip. An incomplete record at its end is ignored.
func (b *Balancer) OnGossip(now float64, message []byte) {
	b.now = now
	for len(message) >= gossipRecordSize {
		id := binary.LittleEndian.Uint16(message)
		latency := message[gossipRecordSize-1]
		message = message[gossipRecordSize:]
		for _, server := range b.servers.ready {
			if uint16(server.ID) == id {
				b.takeReport(server, latency)
			}
		}
	}
}

// takeReport takes one record of a peer. A refused connection ejects a server only while no peer reports that
// it answers: one router that is cut off must not take a server from all.
func (b *Balancer) takeReport(server *serverState, latency byte) {
	answeredLately := b.now-server.reported.healthyAt <= b.classes.longestObjective
	if latency == gossipRefused && !answeredLately {
		b.ejectByReport(server)
		return
	}
	b.addReportedLoad(server, float64(latency)/latencyUnits)
}

// addReportedLoad adds a report to the load of a server and of all, and moves the server's reported slowness:
// over about a second, some dozens of reports; where few come each weighs more. slowness is a latency over its
// class's mean.
func (b *Balancer) addReportedLoad(server *serverState, slowness float64) {
	b.totalLoad.load = b.totalLoad.at(b.now) + slowness
	b.totalLoad.loadAt = b.now
	reported := &server.reported
	reported.load = reported.at(b.now) + slowness
	weight := min(max(1-math.Exp(reported.loadAt-b.now), minReportedWeight), maxReportedWeight)
	reported.slowness += (slowness - reported.slowness) * weight
	reported.loadAt = b.now
	if slowness < answeredSlowness {
		reported.healthyAt = b.now
	}
}

// loadReportsAreCurrent tells that load was reported in the last moments.
func (b *Balancer) loadReportsAreCurrent() bool {
	return b.totalLoad.loadAt > 0 && b.now-b.totalLoad.loadAt < loadReportFreshness
}

// rebalanceKeyShares moves the part of its virtual nodes that each server answers for, by the load that live
// weights tell: gently, for keys that move miss, and by the load over some seconds, for one look says little.
// All routers see the same weights. elapsed is in seconds.
func (b *Balancer) rebalanceKeyShares(elapsed float64) {
	b.totalLoad.load = 0
	b.totalLoad.loadAt = b.now
	for _, server := range b.servers.ready {
		b.totalLoad.load += b.reportedLoad(server)
	}
	servers := float64(len(b.servers.ready))
	for _, server := range b.servers.ready {
		reported := &server.reported
		reported.smoothedLoad += (b.reportedLoad(server) - reported.smoothedLoad) * elapsed / smoothingTime
		excess := reported.smoothedLoad*servers/max(b.totalLoad.load, 1) - 1
		share := server.keyShare * (1 - elapsed*keyShareStep*min(excess, maxExcessLoad))
		server.keyShare = min(max(share, minKeyShare), 1)
	}
}
