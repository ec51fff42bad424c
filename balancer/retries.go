package balancer

// freeRetryFactor times the acceptance rate is the probability that a retry after a rejection is free.
const freeRetryFactor = 2

// retry decides what follows an attempt that ended without an answer: another attempt, or the final answer. While
// another attempt of the request is in flight it does nothing.
func (b *Balancer) retry(req *request, ended *attempt, outcome Outcome) {
	if req.anyAttempt((*attempt).isInFlight) {
		return
	}
	server := b.pickForRetry(req, ended, outcome)
	free := b.retryIsFree(ended, outcome)
	decision := b.admitRetry(req, server, free)
	if !decision.admitted {
		b.reject(req, decision.reason)
		return
	}
	if !free {
		*req.retryBudget--
	}
	b.startAttempt(req, server)
}

// pickForRetry returns the server of a retry, or nil if there is none: the origin after a cache miss or after an
// attempt that the origin did not execute; otherwise the next server by placement.
func (b *Balancer) pickForRetry(req *request, ended *attempt, outcome Outcome) *serverState {
	next := b.pick(req) // always called, since it draws random numbers
	fromOrigin := outcome == CacheMiss || ended.notExecuted && b.isOrigin(ended.server)
	if b.settings.CacheAside && fromOrigin {
		return b.pickOrigin(req)
	}
	return next
}

// retryIsFree reports whether a retry takes no token from the retry budget, because it duplicates no work. Where
// nearly all servers are full, each retry adds to their load, so most retries after a rejection are not free then.
func (b *Balancer) retryIsFree(ended *attempt, outcome Outcome) bool {
	if outcome == CacheMiss || outcome == Cancelled {
		return true
	}
	if !ended.notExecuted {
		return false
	}
	if ended.server.health.refusesConnections {
		return true
	}
	return b.random.Float64() < freeRetryFactor*b.recent.acceptanceRate
}

// admitRetry decides whether a request is retried at a server; server is nil if there is none. The time left must
// be enough for an attempt and, unless the retry is free, the retry budget must hold a token.
func (b *Balancer) admitRetry(req *request, server *serverState, free bool) admissionDecision {
	if server == nil {
		return rejectFor(ReasonNoEndpoint)
	}
	enoughTime := req.deadline-b.now > b.expectedLatency(req, server)
	if !enoughTime {
		return rejectFor(ReasonNoTime)
	}
	if !free && *req.retryBudget < 1 {
		return rejectFor(ReasonNoTime)
	}
	return admit
}
