package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Of consecutive requests that would be rejected, the tenth is attempted anyway, as a trial: rejections yield no
// information, and a router that rejects everything would never detect that its servers have recovered. A trial
// attempt starts no earlier than one longest latency objective after the last attempt, by when that one should have
// had an outcome, or maxTrialInterval after it if that is shorter.
const (
	rejectionsBeforeTrial = 9
	maxTrialInterval      = 2 // seconds
)

// A request is shed when its expected latency exceeds a fraction of the time left to its latency objective. The
// fraction is drawn between minLimitFraction and minLimitFraction+limitFractionRange, so that shedding increases
// gradually as the expected latency grows.
const (
	minLimitFraction   = 0.3
	limitFractionRange = 0.3
	// onTimeMarginStart is the on-time rate above which the on-time margin is positive (Balancer.onTimeMargin).
	onTimeMarginStart = 0.75
	onTimeMarginScale = 4 // 1 / (1 - onTimeMarginStart)
	// onTimeWidening is the relative increase of the limit fraction at an on-time margin of 1.
	onTimeWidening = 1.25
	// meanValueSmoothing is the smoothing divisor of the mean value: one request moves the mean by
	// 1/meanValueSmoothing of the difference.
	meanValueSmoothing = 64
)

// maxAttemptsPerSuccess bounds the attempts per recently successful one while many attempts fail.
const maxAttemptsPerSuccess = 1.5

// retryAfterJitterStart is the least jitter factor of the retry-after delay: the delay is a latency objective times
// a random number from retryAfterJitterStart up to 1 more, so that rejected clients do not return at the same time.
const retryAfterJitterStart = 0.5

// admissionDecision states whether a new request or a retry is attempted and, if not, why it is rejected.
type admissionDecision struct {
	admitted bool
	reason   RejectReason // set if admitted is false
}

var admit = admissionDecision{admitted: true}

func rejectFor(reason RejectReason) admissionDecision { return admissionDecision{reason: reason} }

// sheddingState is the state that load shedding keeps between requests.
type sheddingState struct {
	meanValue             float64 // priority weight per second of expected work, averaged over recent requests
	consecutiveRejections int     // requests rejected since an attempt was last started
	lastAttemptAt         float64 // seconds, when an attempt was last started
}

// admitRequest decides whether a new request is attempted. server is the one that placement picked, or nil if there
// is none.
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

// trialAttemptIsDue reports whether so many requests in a row were rejected that the next one is attempted whatever
// the load.
func (b *Balancer) trialAttemptIsDue() bool {
	if b.shedding.consecutiveRejections < rejectionsBeforeTrial {
		return false
	}
	interval := min(b.classes.longestObjective, maxTrialInterval)
	return b.now-b.shedding.lastAttemptAt >= interval
}

// shedsForLatency reports whether a request is shed because its server would take too long. Requests of low value
// for the time that they take are shed first. A call has side effects: it counts the request in the mean value, and
// draws a random number if the server has attempts in flight or has failed.
func (b *Balancer) shedsForLatency(req *request, server *serverState) bool {
	expected := b.expectedLatency(req, server)
	onTimeMargin := b.onTimeMargin()
	limit := b.latencyLimit(req, server, onTimeMargin)
	oldest := slices.IndexFunc(server.inFlight, (*attempt).isUnanswered)
	if oldest >= 0 {
		// The server may have stalled: the time without an answer is a lower bound of its latency.
		unansweredSince := max(server.latency.observedAt, server.inFlight[oldest].sentAt)
		expected = max(expected, b.now-unansweredSince)
	}
	return expected > limit*b.valueFactor(req, onTimeMargin)
}

// onTimeMargin returns how far the on-time rate exceeds onTimeMarginStart: 0 at that rate or below, 1 where all
// recent attempts ended on time. Example: an on-time rate of 0.9 is a margin of 0.6.
func (b *Balancer) onTimeMargin() float64 {
	return onTimeMarginScale * max(0, b.recent.onTimeRate-onTimeMarginStart)
}

// latencyLimit returns the expected latency, in seconds, above which a request of mean value is shed. At an idle
// server without failures it is the time left to the latency objective. At other servers it is a random fraction of
// that time, which grows with the on-time margin; only these calls draw a random number.
//
// Example: 100 ms are left, the server has attempts in flight and 0.5 is drawn. The fraction is 0.3 + 0.3*0.5 =
// 0.45 and the limit is 45 ms; at an on-time margin of 1 it is 2.25 times that, 101 ms.
func (b *Balancer) latencyLimit(req *request, server *serverState, onTimeMargin float64) float64 {
	// For a request that is past its latency objective, the limit is the whole objective. Without a limit, a single
	// attempt from each router would be enough to keep a server overloaded.
	limit := cmp.Or(max(0, req.objectiveAt-b.now), req.class.LatencyObjective)
	if len(server.inFlight) > 0 || server.health.consecutiveFailures > 0 {
		fraction := minLimitFraction + limitFractionRange*b.random.Float64()
		limit *= fraction * (1 + onTimeWidening*onTimeMargin)
	}
	return limit
}

// valueFactor returns the factor by which the value of a request scales its latency limit. The value is its
// priority weight per second of expected work, relative to the mean value of recent requests. Requests of low value
// are shed earlier, but not at an on-time margin of 1. The call counts the request in the mean.
//
// Example: a request with a quarter of the mean value has a factor of sqrt(1/4) = 0.5 at an on-time margin of 0,
// and of 1 at a margin of 1.
func (b *Balancer) valueFactor(req *request, onTimeMargin float64) float64 {
	value := req.valueFraction * req.class.PriorityWeight / req.class.meanLatency
	b.shedding.meanValue += (value - b.shedding.meanValue) / meanValueSmoothing
	return math.Pow(value/b.shedding.meanValue, (1-onTimeMargin)/2)
}

// shedsForFailures decides at random whether a request is shed because its attempt would probably fail. When the
// origin fails, caches answer with errors and store nothing, and every request that is sent prolongs the failure of
// the origin. A call has side effects: it draws a random number and decays the counts of recent outcomes.
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

// reject ends a request that gets no further attempt. The request is rejected if a retry by the client is harmless;
// otherwise it fails, and the reason is not passed on. A request that was never attempted returns its token to its
// tenant.
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
