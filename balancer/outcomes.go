package balancer

import "math"

const (
	// acceptanceSmoothing: one attempt moves the acceptance rate by one part in so many of the difference.
	acceptanceSmoothing = 16
	// initialAcceptanceRate is the acceptance rate before anything is known.
	initialAcceptanceRate = 0.5
	// recentOutcomeDecay fades the counts of failed and succeeded attempts with each request that is judged by
	// them.
	recentOutcomeDecay = 1 - 1.0/32
	// minCompletionSpan is the least time, in seconds, over which completions are counted.
	minCompletionSpan = 1
)

// recentOutcomes sums up how attempts ended of late, at all servers together.
type recentOutcomes struct {
	failed         float64 // attempts that failed, and requests that were shed since they would have; fading
	succeeded      float64 // attempts that were answered; fading
	acceptanceRate float64 // part of what was sent or rejected that caches answered, from 0 to 1
	onTimeRate     float64 // part of the attempts that ended within the latency objective, from 0 to 1
}

// completions counts the attempts that caches completed of late.
type completions struct {
	rate        float64 // attempts a second, as of rateAt, over about a warm-up's time
	rateAt      float64 // seconds
	startedAt   float64 // seconds, when counting began
	meanServers float64 // the mean number of ready servers while they were completed
}

// completionRate is how many attempts a second the caches complete for this router, over about a warm-up's
// time, or since the start if that is shorter.
func (b *Balancer) completionRate() float64 {
	span := b.completionSpan()
	coveredFraction := 1 - math.Exp(-max(1, b.now-b.completions.startedAt)/span) // part of the span, at the start
	return b.completions.rate * math.Exp((b.completions.rateAt-b.now)/span) / coveredFraction
}

// completionSpan is the time in seconds over which completions are counted.
func (b *Balancer) completionSpan() float64 {
	return max(minCompletionSpan, b.settings.WarmupDuration)
}

// recordOutcome learns from the end of an attempt, after latency seconds.
func (b *Balancer) recordOutcome(ended *attempt, outcome Outcome, latency float64) {
	server := ended.server
	class := ended.request.class
	ended.serverError = outcome == ServerError
	if ended.serverError {
		dueToRequest := b.errorIsDueToRequest(ended)
		if dueToRequest {
			// The server does its work: other requests must not be shed for such errors.
			b.recent.succeeded++
			return
		}
	}
	switch outcome {
	case Succeeded, CacheMiss:
		b.recordAnswer(ended)
	case Overloaded:
		b.recordOverloaded(server, latency, class)
		return
	case ServerError, ConnectFailed, ConnectionLost, TimedOut, OutcomeUnknown:
		if outcome == TimedOut && latency < class.meanLatency {
			return // the server had no time to answer
		}
		b.recordFailure(server, outcome, class)
	default:
		return
	}
	if b.isOrigin(server) {
		b.adjustOriginLimit(server, outcome, latency, class)
		return // latencies are learned from caches alone
	}
	if outcome == CacheMiss {
		return // a miss does not tell how long a hit takes
	}
	b.recordLatency(ended, outcome, latency)
}

// recordAnswer counts an attempt that its server answered.
func (b *Balancer) recordAnswer(ended *attempt) {
	server := ended.server
	b.clearFailures(server)
	b.errorsBySlot[ended.request.slot()] = 0
	if b.isOrigin(server) {
		return // the rates are of caches alone
	}
	span := b.completionSpan()
	b.completions.rate = b.completions.rate*math.Exp((b.completions.rateAt-b.now)/span) + 1/span
	b.completions.rateAt = b.now
	ready := float64(len(b.servers.ready))
	b.completions.meanServers += (ready - b.completions.meanServers) / max(1, span*b.completions.rate)
	b.recent.acceptanceRate += (1 - b.recent.acceptanceRate) / acceptanceSmoothing
	b.recent.succeeded++
	tokens := ended.request.retryBudget
	*tokens = min(*tokens+retryTokensPerSuccess, maxRetryTokens)
}

// recordOverloaded counts an attempt that its server rejected for lack of capacity. That says nothing about the
// server's latency or health.
func (b *Balancer) recordOverloaded(server *serverState, latency float64, class *classState) {
	if b.isOrigin(server) {
		b.adjustOriginLimit(server, Overloaded, latency, class)
		return
	}
	b.recent.recordNotAccepted()
}

// recordFailure counts an attempt that failed.
func (b *Balancer) recordFailure(server *serverState, outcome Outcome, class *classState) {
	if outcome == ServerError || outcome == TimedOut {
		b.recent.failed++
	}
	b.recent.recordNotAccepted()
	b.countFailure(server, outcome, class)
}

// recordNotAccepted lowers the acceptance rate for an attempt that caches did not answer, or a request that was not
// sent to them.
func (r *recentOutcomes) recordNotAccepted() {
	r.acceptanceRate -= r.acceptanceRate / acceptanceSmoothing
}
