package balancer

import "math"

const (
	// latencyDecayObjectives is the decay time of observed latencies, in latency objectives: an observation of that
	// age has a weight of 1/e.
	latencyDecayObjectives = 8
	// unobservedLatencyDivisor sets the expected latency of an attempt without observations: the latency objective
	// over this divisor.
	unobservedLatencyDivisor = 4
	// minMeanLatency is the lower bound of a class's mean latency, in seconds.
	minMeanLatency = 1e-6
	// maxSlownessSample bounds the slowness that a single attempt, however long, contributes to its server's mean.
	maxSlownessSample = 4
)

// Smoothing divisors of exponential moving averages: one attempt moves the average by 1/divisor of the difference.
const (
	latencySmoothing  = 16 // a class's mean latency
	slownessSmoothing = 8  // a server's slowness
	onTimeSmoothing   = 64 // the on-time rate
)

// A slow server gives up keys gradually, with each attempt, and takes them back more slowly. Both are gradual,
// since keys that move miss their caches.
const (
	slowServerThreshold   = 1.5      // the slowness above which a server gives up keys; it takes them back below 1
	keyShareLoss          = 1.0 / 64 // per attempt, of its virtual nodes
	keyShareGain          = 1.0 / 256
	minKeyShareBySlowness = 0.5
)

// observedLatency compares a server's latency with that of other servers, by this router's own attempts.
type observedLatency struct {
	slowness   float64 // latency relative to the mean of the class; 1 is the mean
	observedAt float64 // seconds, of the last attempt
}

// recordLatency records the latency of an attempt, in seconds: in the mean of its class, the on-time rate, and the
// slowness of its server. Then it reports the attempt to peers.
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

// observationWeight returns the weight, which decays from 1 to 0, of an observation made at a time, in seconds.
func (b *Balancer) observationWeight(observedAt float64, class *classState) float64 {
	return math.Exp((observedAt - b.now) / class.LatencyObjective / latencyDecayObjectives)
}

// recordOnTime records whether an attempt ended within the latency objective. On ordered connections an attempt
// waits for earlier ones, and none counts as on time. Requests with a reduced value do not count as late, since a
// late answer is expected of them.
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

// observeSlowness updates the slowness of a server from one attempt, and adjusts the fraction of its virtual nodes
// that it answers for. slowness is the attempt's latency relative to the mean of its class.
func (s *serverState) observeSlowness(now, slowness float64) {
	s.latency.slowness += (min(slowness, maxSlownessSample) - s.latency.slowness) / slownessSmoothing
	s.latency.observedAt = now
	if s.latency.slowness > slowServerThreshold {
		s.keyShare = max(minKeyShareBySlowness, s.keyShare-keyShareLoss)
	} else if s.latency.slowness < 1 {
		s.keyShare = min(1, s.keyShare+keyShareGain)
	}
}

// expectedLatency returns the expected latency of an attempt at a server, in seconds. As observations decay, it
// returns to a quarter of the latency objective, and the server's slowness to the mean.
func (b *Balancer) expectedLatency(req *request, server *serverState) float64 {
	class := req.class
	unobserved := class.LatencyObjective / unobservedLatencyDivisor
	mean := unobserved + (class.meanLatency-unobserved)*b.observationWeight(class.latencyAt, class)
	return mean * b.expectedSlowness(class, server)
}

// expectedSlowness returns the expected latency of an attempt at a server, relative to the mean of its class.
func (b *Balancer) expectedSlowness(class *classState, server *serverState) float64 {
	if b.settings.WeightMode == WeightsLive && b.fewSamples(class) {
		// An attempt waits for the requests that its server already holds.
		meanLoad := b.totalLoad.load / float64(len(b.servers.ready))
		return (1 + b.reportedLoad(server)) / (1 + meanLoad)
	}
	return 1 + (server.latency.slowness-1)*b.observationWeight(server.latency.observedAt, class)
}
