package balancer

import "math"

const (
	// loadDecayTime is the decay time of reported load, in seconds. With a shorter one, keys move back and forth
	// between servers, and keys that move miss their caches.
	loadDecayTime = 3
	// loadReportLifetime is the time, in seconds, for which a report of any server's load counts as current.
	loadReportLifetime = 1
	// minReportWeight and maxReportWeight bound the weight of one report in a server's reported slowness.
	minReportWeight = 1.0 / 32
	maxReportWeight = 0.5
	// unansweredSlowness is a slowness that only attempts without an answer reach.
	unansweredSlowness = 4
)

const (
	// liveLoadSmoothingTime is the time, in seconds, over which the load derived from live weights is smoothed.
	liveLoadSmoothingTime = 4
	// keyShareLossPerSecond is the fraction of its keys that a server with twice the mean load gives up per second.
	keyShareLossPerSecond = 1.0 / 16
	// maxExcessLoad bounds the load above the mean, relative to the mean, by which a server gives up keys.
	maxExcessLoad = 2
	// minKeyShareByLoad is the minimum fraction of its virtual nodes that a server answers for.
	minKeyShareByLoad = 0.1
)

// decayingLoad is a sum of loads in which a load of age loadDecayTime has a weight of 1/e.
type decayingLoad struct {
	load   float64 // as of loadAt
	loadAt float64 // seconds
}

// at returns the load at a time, in seconds.
func (l *decayingLoad) at(now float64) float64 {
	return l.load * math.Exp((l.loadAt-now)/loadDecayTime)
}

// add adds a load at a time, in seconds.
func (l *decayingLoad) add(now, load float64) {
	l.load = l.at(now) + load
	l.loadAt = now
}

// reportedLoad is the load of a server as reported by peers' gossip or by the list's live weights.
type reportedLoad struct {
	// The load is in attempts: from gossip, the sum over recent attempts of their latency relative to the mean;
	// from live weights, the requests that the server holds.
	decayingLoad
	smoothedLoad float64 // from live weights, smoothed over some seconds
	slowness     float64 // from gossip, latency relative to the mean of the class; 1 is the mean
	answeredAt   float64 // seconds, when gossip last reported an answered attempt
}

// fewSamples reports whether this router has so few samples that it uses reported load in addition to its own: it
// completes less than one attempt per server within the decay time of latencies. With many routers, none has two
// attempts in flight at one server, and its own observations are too late.
func (b *Balancer) fewSamples(class *classState) bool {
	reportsExpected := b.settings.GossipAllowed || b.settings.WeightMode == WeightsLive
	if b.settings.RouterCount <= 1 || !reportsExpected {
		return false
	}
	return b.completionRate()*latencyDecayObjectives*class.LatencyObjective < float64(len(b.servers.ready))
}

// reportedLoad returns the current reported load of a server.
func (b *Balancer) reportedLoad(server *serverState) float64 { return server.reported.at(b.now) }

// loadReportsAreCurrent reports whether the load of any server was reported within loadReportLifetime.
func (b *Balancer) loadReportsAreCurrent() bool {
	return b.totalLoad.loadAt > 0 && b.now-b.totalLoad.loadAt < loadReportLifetime
}

// addReportedLoad adds the report of one attempt to the load of its server, to the total load, and to the server's
// slowness. The slowness is an average over about a second; where few reports arrive in that time, each has a
// larger weight. slowness is the attempt's latency relative to the mean of its class.
func (b *Balancer) addReportedLoad(server *serverState, slowness float64) {
	b.totalLoad.add(b.now, slowness)
	reported := &server.reported
	weight := min(max(1-math.Exp(reported.loadAt-b.now), minReportWeight), maxReportWeight)
	reported.slowness += (slowness - reported.slowness) * weight
	reported.add(b.now, slowness)
	if slowness < unansweredSlowness {
		reported.answeredAt = b.now
	}
}

// rebalanceKeyShares adjusts the key share of each server to the load derived from live weights. Shares change
// slowly, since keys that move miss their caches, and by the smoothed load, since a single weight is a poor
// estimate. Every router gets the same weights, and so moves the same keys. elapsed is the time in seconds since
// the last call, at most 1.
func (b *Balancer) rebalanceKeyShares(elapsed float64) {
	b.totalLoad = decayingLoad{loadAt: b.now}
	for _, server := range b.servers.ready {
		b.totalLoad.load += b.reportedLoad(server)
	}
	servers := float64(len(b.servers.ready))
	for _, server := range b.servers.ready {
		reported := &server.reported
		reported.smoothedLoad += (b.reportedLoad(server) - reported.smoothedLoad) * elapsed / liveLoadSmoothingTime
		excess := reported.smoothedLoad*servers/max(b.totalLoad.load, 1) - 1
		share := server.keyShare * (1 - elapsed*keyShareLossPerSecond*min(excess, maxExcessLoad))
		server.keyShare = min(max(share, minKeyShareByLoad), 1)
	}
}
