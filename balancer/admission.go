package balancer

import (
	"cmp"
	"math"
)

// Of the requests that would be rejected in a row, the tenth is attempted all the same: rejections teach nothing, and
// a router that rejects all would never learn that its servers have recovered. Such an attempt follows the last one
// after the longest latency objective, by when that one should have told something, or after maxProbingPause if that
// is shorter.
const (
	rejectionsBeforeAttempt = 9
	maxProbingPause         = 2 // seconds
)

// A request is shed when its expected latency exceeds a part of the time that is left to its objective. The part is
// drawn between rampStart and rampStart+rampWidth, so that load is shed gradually as the expected latency grows.
const (
	rampStart = 0.3
	rampWidth = 0.3
	// calmOnTimeRate is the on-time rate above which there is calm, from 0 there up to 1 where all attempts end in
	// time.
	calmOnTimeRate = 0.75
	calmScale      = 4 // 1 / (1 - calmOnTimeRate)
	// calmWidening is by how much the part is greater in full calm.
	calmWidening = 1.25
	// meanValueWeight: one request moves the mean value by one part in so many of the difference.
	meanValueWeight = 64
)

// attemptsPerSuccess is how many attempts are made for each that succeeded of late, while many fail.
const attemptsPerSuccess = 1.5

// retryAfterJitterStart: rejected clients are told to come back after a latency objective times a random number from
// this one up to 1 more, so that they do not come back together.
const retryAfterJitterStart = 0.5

// verdict says whether a new request or a retry is attempted and, if not, why it is rejected.
type verdict struct {
	admitted bool
	reason   RejectReason // if it is not admitted
}

var admit = verdict{admitted: true}

func rejectFor(reason RejectReason) verdict { return verdict{reason: reason} }

// sheddingState is what the decisions on shedding load remember.
type sheddingState struct {
	meanValue       float64 // priority weight per second of expected work, the mean of what was judged lately
	rejectedInARow  int     // requests rejected since an attempt was last started
	lastAttemptedAt float64 // seconds, when that was
}

// admitRequest decides on a new request. server is the one that placement picked for it, nil if there is none.
func (b *Balancer) admitRequest(req *request, server *serverState) verdict {
	if server == nil {
		return rejectFor(ReasonNoEndpoint)
	}
	if b.mustAttemptAgain() {
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

// mustAttemptAgain reports whether so many requests were rejected in a row that the next one is attempted whatever
// the load.
func (b *Balancer) mustAttemptAgain() bool {
	if b.shedding.rejectedInARow < rejectionsBeforeAttempt {
		return false
	}
	pause := min(b.classes.longestObjective, maxProbingPause)
	return b.now-b.shedding.lastAttemptedAt >= pause
}

// shedsForLatency reports whether a request is shed because its server would take too long; requests that are worth
// little for their time are shed first. A call is not free of effects: the request counts in the mean value, and a
// random number is drawn if the server is known to be at work or to fail.
func (b *Balancer) shedsForLatency(req *request, server *serverState) bool {
	expected := b.expectedLatency(req, server)
	// The time that is left to the objective. For a request that is late already, the whole objective: a single
	// attempt of each router must not be enough to keep a server overloaded.
	limit := cmp.Or(max(0, req.objectiveAt-b.now), req.class.LatencyObjective)
	calm := calmScale * max(0, b.recent.onTimeRate-calmOnTimeRate)
	if len(server.inFlight) > 0 || server.health.consecutiveFailures > 0 {
		ramp := rampStart + rampWidth*b.random.Float64()
		limit *= ramp * (1 + calmWidening*calm)
	}
	if len(server.inFlight) > 0 {
		// The server may stand still: its silence is a lower bound of its latency.
		silentSince := max(server.latency.observedAt, server.inFlight[0].sentAt)
		expected = max(expected, b.now-silentSince)
	}
	value := req.valueFraction * req.class.PriorityWeight / req.class.meanLatency
	b.shedding.meanValue += (value - b.shedding.meanValue) / meanValueWeight
	// Requests of little value yield earlier, though not in calm.
	return expected > limit*math.Pow(value/b.shedding.meanValue, (1-calm)/2)
}

// shedsForFailures decides, by chance, whether a request is shed because it would find no answer anyway: when the
// origin fails, caches answer with errors and store nothing, and all that is sent keeps the origin failing. A call is
// not free of effects: it draws a random number and fades the counts of recent outcomes.
func (b *Balancer) shedsForFailures() bool {
	recent := &b.recent
	recent.failed *= recentOutcomeDecay
	recent.succeeded *= recentOutcomeDecay
	attempted := b.random.Float64() * (recent.failed + recent.succeeded)
	if attempted < attemptsPerSuccess*recent.succeeded+1 {
		return false
	}
	recent.failed++
	return true
}

// reject gives a request its final answer: that trying again is harmless, where the rules allow it, else that it
// failed. A request that was never attempted gives its token back to its tenant.
func (b *Balancer) reject(req *request, reason RejectReason) {
	if len(req.attempts) == 0 {
		b.recent.notAccepted()
		b.shedding.rejectedInARow++
		if req.chargedTenant != nil {
			req.chargedTenant.tokens++
		}
	}
	jitter := retryAfterJitterStart + b.random.Float64()
	retryAfter := min(req.class.LatencyObjective*jitter, b.settings.MaxRetryAfter)
	if b.mayReject(req) {
		b.host.Reject(req.id, retryAfter, reason)
	} else {
		b.host.Fail(req.id)
	}
	b.finish(req)
}
