package balancer

import "math"

// How much one attempt moves the figures that are kept of many.
const (
	acceptanceWeight = 16 // of which one part is the last attempt, in the acceptance rate
	onTimeWeight     = 64
	latencyWeight    = 16
	slownessWeight   = 8
	// recentOutcomeDecay fades failed and succeeded attempts with each request that is judged by them.
	recentOutcomeDecay = 1 - 1.0/32
)

const (
	// latencyMemory is how many latency objectives an observed latency takes to fade by the power of e.
	latencyMemory = 8
	// minMeanLatency bounds a class's mean latency from below, in seconds.
	minMeanLatency = 1e-6
	// maxSlownessSample bounds what a single long attempt says of its server.
	maxSlownessSample = 4
	// initialAcceptanceRate is taken before anything is known.
	initialAcceptanceRate = 0.5
	// minCompletionSpan is the least time, in seconds, over which completions are counted.
	minCompletionSpan = 1
)

// A server that is slower than its classes' means gives up virtual nodes, gently, for keys that move miss, and
// takes them back more slowly.
const (
	slowServer         = 1.5 // slowness from which on a server gives up virtual nodes
	keyShareLoss       = 1.0 / 64
	keyShareGain       = 1.0 / 256
	minKeyShareBySpeed = 0.5
)

// recentOutcomes is what attempts of late came to, at all servers together.
type recentOutcomes struct {
	failed         float64 // attempts that failed, or were not made since they would; fading
	succeeded      float64 // attempts that were answered; fading
	acceptanceRate float64 // part of the requests that caches answered, not rejected or failed, from 0 to 1
	onTimeRate     float64 // part of the attempts that ended within the latency objective, from 0 to 1
}

// completions is what caches completed of late.
type completions struct {
	rate        float64 // attempts a second, as of rateAt, over about a warm-up
	rateAt      float64 // seconds
	startedAt   float64 // seconds, when counting began
	meanServers float64 // how many servers were ready while they were completed, the mean
}

// observedLatency is how a server compares with others, by this router's own attempts.
type observedLatency struct {
	slowness   float64 // latency over the class's mean; 1 is the mean
	observedAt float64 // seconds, of the last attempt
}

// completionRate is how many attempts the caches complete a second for this router, over about a warm-up or
// since the start.
func (b *Balancer) completionRate() float64 {
	span := b.completionSpan()
	counted := 1 - math.Exp(-max(1, b.now-b.completions.startedAt)/span)
	return b.completions.rate * math.Exp((b.completions.rateAt-b.now)/span) / counted
}

// completionSpan is the time in seconds over which completions are counted.
func (b *Balancer) completionSpan() float64 {
	return max(minCompletionSpan, b.settings.WarmupDuration)
}

// recordOutcome learns from the end of an attempt. latency is in seconds.
func (b *Balancer) recordOutcome(ended *attempt, how Outcome, latency float64) {
	server := ended.server
	class := ended.request.class
	ended.serverError = how == ServerError
	if ended.serverError && b.errorFollowsRequest(ended) {
		// The server does its work: requests that are not of this kind must not be shed for it.
		b.recent.succeeded++
		return
	}
	switch how {
	case Succeeded, CacheMiss:
		b.recordAnswer(ended)
	case Overloaded:
		b.recordOverloaded(server, latency, class)
		return
	case ServerError, ConnectFailed, ConnectionLost, TimedOut, OutcomeUnknown:
		if how == TimedOut && latency < class.meanLatency {
			return // it had no time to answer
		}
		b.recordFailure(server, how, class)
	default:
		return
	}
	if b.isOrigin(server) {
		b.adjustOriginLimit(server, how, latency, class)
		return // the means are of caches
	}
	if how == CacheMiss {
		return // it tells nothing of how long a hit takes
	}
	b.recordLatency(ended, how, latency)
}

// recordAnswer counts an attempt that its server answered.
func (b *Balancer) recordAnswer(ended *attempt) {
	server := ended.server
	b.recoverServer(server)
	b.errorsByKey[ended.request.slot()] = 0
	if b.isOrigin(server) {
		return // the completion and acceptance rates are the caches'
	}
	span := b.completionSpan()
	b.completions.rate = b.completions.rate*math.Exp((b.completions.rateAt-b.now)/span) + 1/span
	b.completions.rateAt = b.now
	ready := float64(len(b.servers.ready))
	b.completions.meanServers += (ready - b.completions.meanServers) / max(1, span*b.completions.rate)
	b.recent.acceptanceRate += (1 - b.recent.acceptanceRate) / acceptanceWeight
	b.recent.succeeded++
	tokens := ended.request.retryBudget
	*tokens = min(*tokens+retryTokensPerSuccess, maxRetryTokens)
}

// recordOverloaded counts an attempt that its server rejected for lack of capacity, which tells nothing of its
// latency, nor of its health.
func (b *Balancer) recordOverloaded(server *serverState, latency float64, class *classState) {
	if b.isOrigin(server) {
		b.adjustOriginLimit(server, Overloaded, latency, class)
		return
	}
	b.recent.notAccepted()
}

// recordFailure counts an attempt that failed.
func (b *Balancer) recordFailure(server *serverState, how Outcome, class *classState) {
	if how == ServerError || how == TimedOut {
		b.recent.failed++
	}
	b.recent.notAccepted()
	b.failServer(server, how, class)
}

// notAccepted lowers the acceptance rate by a request that caches did not answer.
func (r *recentOutcomes) notAccepted() {
	r.acceptanceRate -= r.acceptanceRate / acceptanceWeight
}

// recordLatency moves the mean latency of the class, the part that ends in time and the slowness of the server,
// and reports the attempt to peers.
func (b *Balancer) recordLatency(ended *attempt, how Outcome, latency float64) {
	server := ended.server
	class := ended.request.class
	if how == Succeeded {
		class.meanLatency = max(class.meanLatency+(latency-class.meanLatency)/latencyWeight, minMeanLatency)
		class.latencyAt = b.now
	}
	b.recordOnTime(ended.request, how)
	before := 1 + (server.latency.slowness-1)*
		math.Exp((server.latency.observedAt-b.now)/class.LatencyObjective/latencyMemory)
	slowness := latency / class.meanLatency
	server.observeLatency(b.now, slowness)
	switch how {
	case ConnectFailed:
		b.reportAttempt(server, class, gossipRefused, before)
	case Succeeded, TimedOut:
		b.reportAttempt(server, class, min(slowness*latencyUnits, gossipRefused-1), before)
	}
}

// recordOnTime moves the part of the attempts that end within the latency objective.
func (b *Balancer) recordOnTime(req *request, how Outcome) {
	// Where connections are ordered an attempt waits for those before it: what ends in time says little.
	onTime := how == Succeeded && b.now <= req.objectiveAt && !b.settings.OrderedConnections
	if onTime {
		b.recent.onTimeRate += (1 - b.recent.onTimeRate) / onTimeWeight
		return
	}
	if req.valueFraction == 1 {
		b.recent.onTimeRate -= b.recent.onTimeRate / onTimeWeight
	}
}

// observeLatency moves a server's slowness by one attempt, and the part of its virtual nodes that it answers
// for. slowness is the attempt's latency over its class's mean.
func (s *serverState) observeLatency(now, slowness float64) {
	s.latency.slowness += (min(slowness, maxSlownessSample) - s.latency.slowness) / slownessWeight
	s.latency.observedAt = now
	if s.latency.slowness > slowServer {
		s.keyShare = max(minKeyShareBySpeed, s.keyShare-keyShareLoss)
	} else if s.latency.slowness < 1 {
		s.keyShare = min(1, s.keyShare+keyShareGain)
	}
}

// expectedLatency is how long an attempt at a server should take, in seconds. What was observed fades towards a
// quarter of the latency objective, and towards a server like the others.
func (b *Balancer) expectedLatency(req *request, server *serverState) float64 {
	class := req.class
	fade := func(observedAt float64) float64 {
		return math.Exp((observedAt - b.now) / class.LatencyObjective / latencyMemory)
	}
	unobserved := class.LatencyObjective / unobservedLatencyPart
	slowness := 1 + (server.latency.slowness-1)*fade(server.latency.observedAt)
	if b.settings.WeightMode == WeightsLive && b.fewSamples(class) {
		// An attempt waits for what the server holds.
		slowness = (1 + b.reportedLoad(server)) / (1 + b.totalLoad.load/float64(len(b.servers.ready)))
	}
	return (unobserved + (class.meanLatency-unobserved)*fade(class.latencyAt)) * slowness
}
