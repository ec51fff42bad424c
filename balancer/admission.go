package balancer

import (
	"cmp"
	"math"
)

// Of the requests that would be rejected, every tenth is attempted: what is rejected teaches nothing. At most
// one goes on in the longest latency objective, in which the one before should have told, and at least one in
// two seconds.
const (
	rejectionsBeforeAttempt   = 9
	longestPauseBetweenProbes = 2 // seconds
)

// A request is shed from a part of its remaining time on that is drawn between rampStart and rampStart+rampWidth.
const (
	rampStart = 0.3
	rampWidth = 0.3
	// calmWidening is how much wider the ramp is while all attempts end in time.
	calmWidening = 1.25
	// calmOnTimeRate is the part of attempts in time above which calm begins; it is whole at 1.
	calmOnTimeRate = 0.75
	calmScale      = 4
	// meanValueWeight: one request is one part in so many of the mean value.
	meanValueWeight = 64
)

// originSurplus is how many times as much as succeeded lately may be attempted while attempts fail.
const originSurplus = 1.5

// verdict says whether a request, or a retry of it, is attempted, and where it is rejected, why.
type verdict struct {
	admitted bool
	reason   RejectReason // of a rejection
}

var admit = verdict{admitted: true}

func rejectFor(reason RejectReason) verdict { return verdict{reason: reason} }

// sheddingState is what decisions on shedding load remember.
type sheddingState struct {
	meanValue       float64 // priority weight for a second of an attempt, the mean of what was judged lately
	rejectedInARow  int     // requests rejected since an attempt was last started
	lastAttemptedAt float64 // seconds, when that was
}

// admitRequest decides on a new request. server is where its key belongs now, nil for none.
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

// mustAttemptAgain tells that so many requests were rejected in a row that the next one is attempted whatever
// the load.
func (b *Balancer) mustAttemptAgain() bool {
	if b.shedding.rejectedInARow < rejectionsBeforeAttempt {
		return false
	}
	pause := min(b.classes.longestObjective, longestPauseBetweenProbes)
	return b.now-b.shedding.lastAttemptedAt >= pause
}

// shedsForLatency tells whether a request is shed since its server would take too long: first what is worth
// little for its time. It draws a random number where the server is known to be at work, and counts the request
// in the mean value.
func (b *Balancer) shedsForLatency(req *request, server *serverState) bool {
	expected := b.expectedLatency(req, server)
	// The time that is left to the objective; where none is, the whole of it: the one attempt that each router
	// makes must not keep a server overloaded.
	limit := cmp.Or(max(0, req.objectiveAt-b.now), req.class.LatencyObjective)
	calm := calmScale * max(0, b.recent.onTimeRate-calmOnTimeRate)
	if len(server.inFlight) > 0 || server.health.consecutiveFailures > 0 {
		ramp := rampStart + rampWidth*b.random.Float64()
		limit *= ramp * (1 + calmWidening*calm)
	}
	if len(server.inFlight) > 0 {
		silentSince := max(server.latency.observedAt, server.inFlight[0].sentAt)
		expected = max(expected, b.now-silentSince)
	}
	value := req.valueFraction * req.class.PriorityWeight / req.class.meanLatency
	b.shedding.meanValue += (value - b.shedding.meanValue) / meanValueWeight
	// What is worth little yields early, but not in calm.
	return expected > limit*math.Pow(value/b.shedding.meanValue, (1-calm)/2)
}

// shedsForFailures tells, by chance, whether a request is shed since it would find no answer anyhow: where the
// origin fails, caches answer with errors and keep nothing, and all that is sent keeps the origin failing.
func (b *Balancer) shedsForFailures() bool {
	recent := &b.recent
	recent.failed *= recentOutcomeDecay
	recent.succeeded *= recentOutcomeDecay
	attempted := b.random.Float64() * (recent.failed + recent.succeeded)
	if attempted < originSurplus*recent.succeeded+1 {
		return false
	}
	recent.failed++
	return true
}

// reject answers a request for good: the client may come back after a while where the rules allow it, else it
// learns that the outcome is unknown.
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
