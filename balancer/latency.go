package balancer

import "math"

const (
	// latencyDecayObjectives is the time for which observed latencies are remembered, in latency objectives: what was
	// observed so long ago counts a part of 1/e.
	latencyDecayObjectives = 8
	// unobservedLatencyDivisor: as long as nothing is observed, an attempt is taken to last the latency objective
	// over this.
	unobservedLatencyDivisor = 4
	// minMeanLatency bounds a class's mean latency from below, in seconds.
	minMeanLatency = 1e-6
	// maxSlownessSample bounds what one attempt, however long, says of its server.
	maxSlownessSample = 4
)

// Exponential means: one attempt moves the mean by one part in so many of the difference.
const (
	latencySmoothing  = 16 // a class's mean latency
	slownessSmoothing = 8  // a server's slowness
	onTimeSmoothing   = 64 // the on-time rate
)

// A slow server gives up keys, an attempt at a time, and takes them back more slowly. Both are gentle, since
// keys that move miss their caches.
const (
	slowServerThreshold   = 1.5      // the slowness above which a server gives up keys; it takes them back below 1
	keyShareLoss          = 1.0 / 64 // of its virtual nodes
	keyShareGain          = 1.0 / 256
	minKeyShareBySlowness = 0.5
)

// observedLatency compares a server's latency with that of others, by this router's own attempts.
type observedLatency struct {
	slowness   float64 // latency over the mean of the class; 1 is the mean
	observedAt float64 // seconds, of the last attempt
}

// recordLatency learns from the latency of an attempt, in seconds: the mean of its class, the on-time rate, and
// the slowness of its server. Then it reports the attempt to peers.
func (b *Balancer) recordLatency(ended *attempt, outcome Outcome, latency float64) {
	server := ended.server
	class := ended.request.class
	if outcome == Succeeded {
		class.meanLatency = max(class.meanLatency+(latency-class.meanLatency)/latencySmoothing, minMeanLatency)
		class.latencyAt = b.now
	}
	b.recordOnTime(ended.request, outcome)
	previousSlowness := 1 + (server.latency.slowness-1)*b.observationWeight(server.latency.observedAt, class)
	slowness := latency / class.meanLatency
	server.observeSlowness(b.now, slowness)
	switch outcome {
	case ConnectFailed:
		b.reportAttempt(server, class, gossipConnectionRefused, previousSlowness)
	case Succeeded, TimedOut:
		b.reportAttempt(server, class, min(slowness*gossipLatencyUnits, gossipConnectionRefused-1), previousSlowness)
	}
}

// observationWeight is what remains, from 1 down to 0, of something that was observed at a time, in seconds.
func (b *Balancer) observationWeight(observedAt float64, class *classState) float64 {
	return math.Exp((observedAt - b.now) / class.LatencyObjective / latencyDecayObjectives)
}

// recordOnTime counts whether an attempt ended within the latency objective. Where connections are ordered an
// attempt waits for those before it, and none counts as on time. Requests of which a late answer is expected do
// not count as late.
func (b *Balancer) recordOnTime(req *request, outcome Outcome) {
	rate := &b.recent.onTimeRate
	onTime := outcome == Succeeded && b.now <= req.objectiveAt && !b.settings.OrderedConnections
	if onTime {
		*rate += (1 - *rate) / onTimeSmoothing
		return
	}
	if req.valueFraction == 1 {
		*rate -= *rate / onTimeSmoothing
	}
}

// observeSlowness learns from one attempt at a server how slow it is, and adapts the part of its keys that it
// answers for. slowness is the attempt's latency over the mean of its class.
func (s *serverState) observeSlowness(now, slowness float64) {
	s.latency.slowness += (min(slowness, maxSlownessSample) - s.latency.slowness) / slownessSmoothing
	s.latency.observedAt = now
	if s.latency.slowness > slowServerThreshold {
		s.keyShare = max(minKeyShareBySlowness, s.keyShare-keyShareLoss)
	} else if s.latency.slowness < 1 {
		s.keyShare = min(1, s.keyShare+keyShareGain)
	}
}

// expectedLatency is how long an attempt at a server should take, in seconds. As observations are forgotten it
// returns to a quarter of the latency objective, and the server to one like the others.
func (b *Balancer) expectedLatency(req *request, server *serverState) float64 {
	class := req.class
	unobserved := class.LatencyObjective / unobservedLatencyDivisor
	mean := unobserved + (class.meanLatency-unobserved)*b.observationWeight(class.latencyAt, class)
	return mean * b.expectedSlowness(class, server)
}

// expectedSlowness is how long an attempt at a server should take, over the mean of its class.
func (b *Balancer) expectedSlowness(class *classState, server *serverState) float64 {
	if b.settings.WeightMode == WeightsLive && b.fewSamples(class) {
		// An attempt waits for what its server holds.
		meanLoad := b.totalLoad.load / float64(len(b.servers.ready))
		return (1 + b.reportedLoad(server)) / (1 + meanLoad)
	}
	return 1 + (server.latency.slowness-1)*b.observationWeight(server.latency.observedAt, class)
}
