package balancer

import "math"

const (
	// loadDecayTime is the time in seconds over which reported load is summed up. With a shorter one keys move
	// to and fro, and keys that move miss their caches.
	loadDecayTime = 3
	// loadReportLifetime is for how long, in seconds, a report of any server's load counts as current.
	loadReportLifetime = 1
	// minReportWeight and maxReportWeight bound the weight of one report in a server's reported slowness.
	minReportWeight = 1.0 / 32
	maxReportWeight = 0.5
	// unansweredSlowness is a slowness that only attempts without an answer reach.
	unansweredSlowness = 4
)

const (
	// liveLoadSmoothingTime is the time in seconds over which the load told by live weights is smoothed.
	liveLoadSmoothingTime = 4
	// keyShareLossPerSecond is the part of its keys that a server with twice the mean load gives up in a second.
	keyShareLossPerSecond = 1.0 / 16
	// maxExcessLoad bounds the load above the mean, in means, by which a server gives up keys.
	maxExcessLoad = 2
	// minKeyShareByLoad is the part of its virtual nodes that a server always answers for.
	minKeyShareByLoad = 0.1
)

// decayingLoad is a sum of loads in which a load that is loadDecayTime old counts a part of 1/e.
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

// reportedLoad is what peers' gossip, or the list's live weights, tell of a server.
type reportedLoad struct {
	// The load is in attempts: by gossip, how many there were of late times how long each took over the mean;
	// by live weights, how many the server holds.
	decayingLoad
	smoothedLoad float64 // the load over some seconds, by live weights
	slowness     float64 // latency over the mean of the class, by gossip; 1 is the mean
	answeredAt   float64 // seconds, when gossip last told of an attempt that the server answered
}

// fewSamples reports whether this router sees so little that reported load is used beside its own: it completes
// less than one attempt a server within the time for which it remembers latencies. With many routers, none has
// two attempts in flight at one server, and what each learns alone comes too late.
func (b *Balancer) fewSamples(class *classState) bool {
	reportsExpected := b.settings.GossipAllowed || b.settings.WeightMode == WeightsLive
	if b.settings.RouterCount <= 1 || !reportsExpected {
		return false
	}
	return b.completionRate()*latencyDecayObjectives*class.LatencyObjective < float64(len(b.servers.ready))
}

// reportedLoad is the load of a server now, by reports.
func (b *Balancer) reportedLoad(server *serverState) float64 { return server.reported.at(b.now) }

// loadReportsAreCurrent reports whether the load of any server was reported in the last moments.
func (b *Balancer) loadReportsAreCurrent() bool {
	return b.totalLoad.loadAt > 0 && b.now-b.totalLoad.loadAt < loadReportLifetime
}

// addReportedLoad adds the report of one attempt to the load of its server and of all, and to the server's
// slowness. The slowness is a mean over about a second; where few reports come in that time, each weighs more.
// slowness is the attempt's latency over the mean of its class.
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

// rebalanceKeyShares adapts the part of its keys that each server answers for to the load that live weights
// tell. It goes slowly, since keys that move miss their caches, and by the smoothed load, since one look says
// little. Every router gets the same weights, and so moves the same keys. elapsed is the time in seconds since
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
