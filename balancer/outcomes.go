package balancer

import "math"

const (
	// acceptanceSmoothing is the smoothing divisor of the acceptance rate: one attempt moves the rate by
	// 1/acceptanceSmoothing of the difference.
	acceptanceSmoothing = 16
	// initialAcceptanceRate is the acceptance rate before the first outcome.
	initialAcceptanceRate = 0.5
	// recentOutcomeDecay is the factor by which shedsForFailures decays the counts of failed and succeeded attempts
	// at each request.
	recentOutcomeDecay = 1 - 1.0/32
	// minCompletionSpan is the minimum time, in seconds, over which completions are counted.
	minCompletionSpan = 1
)

// recentOutcomes summarizes the outcomes of recent attempts at all servers.
type recentOutcomes struct {
	failed         float64 // attempts that failed, and requests shed because they would have; decaying
	succeeded      float64 // attempts that were answered; decaying
	acceptanceRate float64 // fraction of what was sent or rejected that caches answered, from 0 to 1
	onTimeRate     float64 // fraction of the attempts that ended within the latency objective, from 0 to 1
}

// completions counts the attempts that caches completed recently.
type completions struct {
	rate        float64 // attempts per second, as of rateAt, averaged over completionSpan
	rateAt      float64 // seconds
	startedAt   float64 // seconds, when counting began
	meanServers float64 // mean number of ready servers at the completions
}

// completionRate returns the rate, in attempts per second, at which caches complete attempts for this router. It is
// averaged over completionSpan, or over the time since the start if that is shorter.
func (b *Balancer) completionRate() float64 {
	span := b.completionSpan()
	// Shortly after the start, completions cover only a fraction of the span.
	coveredFraction := 1 - math.Exp(-max(1, b.now-b.completions.startedAt)/span)
	return b.completions.rate * math.Exp((b.completions.rateAt-b.now)/span) / coveredFraction
}

// completionSpan returns the time, in seconds, over which completions are counted: the warm-up duration.
func (b *Balancer) completionSpan() float64 {
	return max(minCompletionSpan, b.settings.WarmupDuration)
}

// recordOutcome records how an attempt ended, after latency seconds.
func (b *Balancer) recordOutcome(ended *attempt, outcome Outcome, latency float64) {
	server := ended.server
	class := ended.request.class
	ended.serverError = outcome == ServerError
	if ended.serverError {
		dueToRequest := b.errorIsDueToRequest(ended)
		if dueToRequest {
			// The server works correctly: other requests must not be shed for such errors.
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
			return // the attempt had less time than an answer takes on average
		}
		b.recordFailure(server, outcome, class)
	default:
		return
	}
	if b.isOrigin(server) {
		b.adjustOriginLimit(server, outcome, latency, class)
		return // latency statistics cover caches only
	}
	if outcome == CacheMiss {
		return // the latency of a miss says nothing about hits
	}
	b.recordLatency(ended, outcome, latency)
}

// recordAnswer records an attempt that its server answered.
func (b *Balancer) recordAnswer(ended *attempt) {
	server := ended.server
	b.clearFailures(server)
	b.errorsBySlot[ended.request.slot()] = 0
	if b.isOrigin(server) {
		return // the rates cover caches only
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

// recordOverloaded records an attempt that its server rejected for lack of capacity. The rejection says nothing
// about the server's latency or health.
func (b *Balancer) recordOverloaded(server *serverState, latency float64, class *classState) {
	if b.isOrigin(server) {
		b.adjustOriginLimit(server, Overloaded, latency, class)
		return
	}
	b.recent.recordNotAccepted()
}

// recordFailure records a failed attempt.
func (b *Balancer) recordFailure(server *serverState, outcome Outcome, class *classState) {
	if outcome == ServerError || outcome == TimedOut {
		b.recent.failed++
	}
	b.recent.recordNotAccepted()
	b.countFailure(server, outcome, class)
}

// recordNotAccepted lowers the acceptance rate for an attempt that caches did not answer, or for a request that was
// not sent to them.
func (r *recentOutcomes) recordNotAccepted() {
	r.acceptanceRate -= r.acceptanceRate / acceptanceSmoothing
}
