package balancer

// freeRetryFactor: where this many times the acceptance rate is 1 or more, a retry after a rejection is free.
const freeRetryFactor = 2

// retry goes on after an attempt that ended without an answer: with another attempt, or with the request's
// final answer. Hedged requests, of which an attempt is still in flight, wait for that one.
func (b *Balancer) retry(req *request, ended *attempt, how Outcome) {
	if req.anyAttempt((*attempt).isInFlight) {
		return
	}
	server := b.pickForRetry(req, ended, how)
	free := b.retryIsFree(ended, how)
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

// pickForRetry gives the server of a retry, nil for none: the origin after a cache miss, or where the origin had no
// capacity, else the next one by placement.
func (b *Balancer) pickForRetry(req *request, ended *attempt, how Outcome) *serverState {
	next := b.pick(req) // asked in any case: it draws by chance
	fromOrigin := how == CacheMiss || ended.notExecuted && b.isOrigin(ended.server)
	if b.settings.CacheAside && fromOrigin {
		return b.pickOrigin(req)
	}
	return next
}

// retryIsFree tells whether a retry needs no token of the retry budget, since it doubles no work. Where nearly
// all servers are full each retry crowds them more: most of the retries after a rejection need a token, then.
func (b *Balancer) retryIsFree(ended *attempt, how Outcome) bool {
	if how == CacheMiss || how == Cancelled {
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

// admitRetry decides on a retry at a server, nil for none: the time left must suffice, and the retry budget,
// unless the retry is free.
func (b *Balancer) admitRetry(req *request, server *serverState, free bool) verdict {
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
