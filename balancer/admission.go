package balancer

import (
	"cmp"
	"math"
)

// Of the requests that would be rejected in a row, the tenth is attempted all the same: rejections teach nothing, and
// a router that rejects all would never learn that its servers have recovered. Such an attempt follows the last one
// after the longest latency objective, by when that one should have told something, or after maxTrialInterval if that
// is shorter.
const (
	rejectionsBeforeTrial = 9
	maxTrialInterval      = 2 // seconds
)

// A request is shed when its expected latency exceeds a part of the time that is left to its objective. The part is
// drawn between minLimitFraction and minLimitFraction+limitFractionRange, so that load is shed gradually as the expected
// latency grows.
const (
	minLimitFraction   = 0.3
	limitFractionRange = 0.3
	// onTimeMarginStart is the on-time rate above which there is calm (Balancer.calm).
	onTimeMarginStart = 0.75
	onTimeMarginScale = 4 // 1 / (1 - calmOnTimeRate)
	// onTimeWidening is by how much the part is greater in full calm, as a part of itself.
	onTimeWidening = 1.25
	// meanValueSmoothing: one request moves the mean value by one part in so many of the difference.
	meanValueSmoothing = 64
)

// maxAttemptsPerSuccess is how many attempts are made for each that succeeded of late, while many fail.
const maxAttemptsPerSuccess = 1.5

// retryAfterJitterStart: rejected clients are told to come back after a latency objective times a random number from
// this one up to 1 more, so that they do not come back together.
const retryAfterJitterStart = 0.5

// admissionDecision says whether a new request or a retry is attempted and, if not, why it is rejected.
type admissionDecision struct {
	admitted bool
	reason   RejectReason // if it is not admitted
}

var admit = admissionDecision{admitted: true}

func rejectFor(reason RejectReason) admissionDecision { return admissionDecision{reason: reason} }

// sheddingState is what the decisions on shedding load remember.
type sheddingState struct {
	meanValue             float64 // priority weight per second of expected work, the mean of what was judged lately
	consecutiveRejections int     // requests rejected since an attempt was last started
	lastAttemptAt         float64 // seconds, when that was
}

// admitRequest decides on a new request. server is the one that placement picked for it, nil if there is none.
func (b *Balancer) admitRequest(req *request, server *serverState) admissionDecision {
	if server == nil {
		return rejectFor(ReasonNoEndpoint)
	}
	if b.trialAttemptIsDue() {
		return admit
	}
	tooSlow := b.shedsForLatency(req, server)
	if tooSlow {
		return rejectFor(ReasonOverloaded)
	}
	wouldFail := b.shedsForFailures()
	if wouldFail {
		return rejectFor(ReasonOverloaded)
	}
	return admit
}

// trialAttemptIsDue reports whether so many requests were rejected in a row that the next one is attempted whatever
// the load.
func (b *Balancer) trialAttemptIsDue() bool {
	if b.shedding.consecutiveRejections < rejectionsBeforeTrial {
		return false
	}
	interval := min(b.classes.longestObjective, maxTrialInterval)
	return b.now-b.shedding.lastAttemptAt >= interval
}

// shedsForLatency reports whether a request is shed because its server would take too long; requests that are worth
// little for their time are shed first. A call is not free of effects: the request counts in the mean value, and a
// random number is drawn if the server is known to be at work or to fail.
func (b *Balancer) shedsForLatency(req *request, server *serverState) bool {
	expected := b.expectedLatency(req, server)
	onTimeMargin := b.onTimeMargin()
	limit := b.latencyLimit(req, server, onTimeMargin)
	if len(server.inFlight) > 0 {
		// The server may stand still: its silence is a lower bound of its latency.
		unansweredSince := max(server.latency.observedAt, server.inFlight[0].sentAt)
		expected = max(expected, b.now-unansweredSince)
	}
	return expected > limit*b.valueFactor(req, onTimeMargin)
}

// onTimeMargin says how far recent attempts ended in time, from 0, where a part of calmOnTimeRate or less did, to 1, where all
// did. Example: an on-time rate of 0.9 is a onTimeMargin of 0.6.
func (b *Balancer) onTimeMargin() float64 {
	return onTimeMarginScale * max(0, b.recent.onTimeRate-onTimeMarginStart)
}

// latencyLimit is the expected latency, in seconds, above which a request of mean value is shed. At an idle server
// that does not fail it is the time left to the latency objective; at others a random part of that, larger in calm.
// It draws a random number in the second case.
//
// Example: 100 ms are left, the server has attempts in flight and 0.5 is drawn. The part is 0.3 + 0.3*0.5 = 0.45 and
// the limit 45 ms; in full calm it is 2.25 times that, 101 ms.
func (b *Balancer) latencyLimit(req *request, server *serverState, onTimeMargin float64) float64 {
	// For a request that is late already, the whole objective: a single attempt of each router must not be enough to
	// keep a server overloaded.
	limit := cmp.Or(max(0, req.objectiveAt-b.now), req.class.LatencyObjective)
	if len(server.inFlight) > 0 || server.health.consecutiveFailures > 0 {
		fraction := minLimitFraction + limitFractionRange*b.random.Float64()
		limit *= fraction * (1 + onTimeWidening*onTimeMargin)
	}
	return limit
}

// valueFactor multiplies the latency limit of a request by its value, which is its priority weight per second of
// expected work, against the mean value of recent requests: those of little value are shed earlier, though not in
// full calm. The request counts in that mean.
//
// Example: a request of a quarter of the mean value has a factor of sqrt(1/4) = 0.5 without calm, and 1 in full calm.
func (b *Balancer) valueFactor(req *request, onTimeMargin float64) float64 {
	value := req.valueFraction * req.class.PriorityWeight / req.class.meanLatency
	b.shedding.meanValue += (value - b.shedding.meanValue) / meanValueSmoothing
	return math.Pow(value/b.shedding.meanValue, (1-onTimeMargin)/2)
}

// shedsForFailures decides, by chance, whether a request is shed because it would find no answer anyway: when the
// origin fails, caches answer with errors and store nothing, and all that is sent keeps the origin failing. A call is
// not free of effects: it draws a random number and fades the counts of recent outcomes.
func (b *Balancer) shedsForFailures() bool {
	recent := &b.recent
	recent.failed *= recentOutcomeDecay
	recent.succeeded *= recentOutcomeDecay
	drawn := b.random.Float64() * (recent.failed + recent.succeeded)
	if drawn < maxAttemptsPerSuccess*recent.succeeded+1 {
		return false
	}
	recent.failed++
	return true
}

// reject ends a request that gets no further attempt. Where a retry by the client is harmless it is rejected, else it
// failed, and the reason is not told. A request that was never attempted gives its token back to its tenant.
func (b *Balancer) reject(req *request, reason RejectReason) {
	if len(req.attempts) == 0 {
		b.recent.recordNotAccepted()
		b.shedding.consecutiveRejections++
		if req.chargedTenant != nil {
			req.chargedTenant.tokens++
		}
	}
	jitter := retryAfterJitterStart + b.random.Float64()
	retryAfter := min(req.class.LatencyObjective*jitter, b.settings.MaxRetryAfter)
	if b.clientRetryIsHarmless(req) {
		b.host.Reject(req.id, retryAfter, reason)
	} else {
		b.host.Fail(req.id)
	}
	b.finish(req)
}
