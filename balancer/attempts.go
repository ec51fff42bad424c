package balancer

import "slices"

// request is a client's request, from its arrival until its final answer is out and no attempt is in flight.
type request struct {
	id            uint64
	class         *classState
	keyHash       uint32
	replicas      float64      // how many of the nearest servers share its key
	valueFraction float64      // part of its priority weight that an answer is still worth
	chargedTenant *tenantState // whose token it took; nil for none
	retryBudget   *float64     // what its retries come from
	streaming     bool         // the stream of its answer has begun
	answered      bool         // its final answer is out, or its client has gone
	objectiveAt   float64      // seconds, until when an answer is in time
	deadline      float64      // seconds, when its client gives up
	attempts      []*attempt
}

// slot is the slot of the request's key on the ring.
func (r *request) slot() uint32 { return r.keyHash % ringSlots }

// anyAttempt reports whether one of the attempts matches.
func (r *request) anyAttempt(matches func(*attempt) bool) bool {
	return slices.ContainsFunc(r.attempts, matches)
}

// attemptedOn reports whether a server was already sent the request.
func (r *request) attemptedOn(server *serverState) bool {
	for _, earlier := range r.attempts {
		if earlier.server == server {
			return true
		}
	}
	return false
}

// attempt is one sending of a request to a server.
type attempt struct {
	request     *request
	server      *serverState
	number      int     // among the request's attempts, from 0
	sentAt      float64 // seconds
	inFlight    bool
	notExecuted bool // proved never to have been executed
	serverError bool // its server answered with an error
}

func (a *attempt) isInFlight() bool { return a.inFlight }

// startAttempt sends a request to a server. It panics if the rules forbid the attempt: callers have asked mayAttempt.
func (b *Balancer) startAttempt(req *request, server *serverState) {
	if !b.mayAttempt(req, server) {
		panic("an attempt that the rules forbid")
	}
	started := &attempt{request: req, server: server, number: len(req.attempts), sentAt: b.now, inFlight: true}
	req.attempts = append(req.attempts, started)
	server.inFlight = append(server.inFlight, started)
	b.inFlight++
	server.slowStart.budget--
	b.shedding.consecutiveRejections = 0
	b.shedding.lastAttemptAt = b.now
	timeout := b.attemptTimeout(req, server)
	b.host.StartAttempt(req.id, server.ID, timeout, b.writeTimeout(req, started, timeout))
}

// attemptTimeout is how long an attempt may take, in seconds. It may take until the client's deadline, except on a
// server that just failed: there it ends while a retry elsewhere still fits into the latency objective. On a server
// that works, an early end may not stop the work, and a retry would do no better.
func (b *Balancer) attemptTimeout(req *request, server *serverState) float64 {
	untilDeadline := req.deadline - b.now
	untilRetry := req.objectiveAt - req.class.meanLatency - b.now
	retryFits := *req.retryBudget >= 1 && untilRetry > req.class.meanLatency && req.class.Idempotency == Idempotent
	if server.health.consecutiveFailures > 0 && retryFits {
		return min(untilDeadline, untilRetry)
	}
	return untilDeadline
}

// writeTimeout is the time in seconds within which an attempt is to be written to its server, or else not at all. A
// repeat of a request with an idempotency key that waited for a connection beyond the deduplication window would take
// effect twice: the window of the first attempt that may have been executed bounds it.
func (b *Balancer) writeTimeout(req *request, started *attempt, timeout float64) float64 {
	if req.class.Idempotency != IdempotencyKeyed {
		return timeout
	}
	for _, earlier := range req.attempts {
		if earlier != started && !earlier.notExecuted {
			return min(timeout, earlier.sentAt+req.class.DeduplicationWindow-b.now)
		}
	}
	return timeout
}

// OnStreamStart is called when a client begins to get a streamed answer, from the number-th attempt of its request.
// From here on the deadline does not end the request, there is no retry, and its other attempts are cancelled.
func (b *Balancer) OnStreamStart(now float64, id uint64, number int) {
	b.now = now
	req := b.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return
	}
	req.streaming = true
	b.cancelAttempts(req, func(a *attempt) bool { return a.number != number })
}

// OnAttemptEnd is called when the number-th attempt of a request ends, after latency seconds. If it is final, the
// client has got its answer by it; otherwise the request is retried or gets its final answer now. Unknown attempts
// are ignored.
func (b *Balancer) OnAttemptEnd(now float64, id uint64, number int, outcome Outcome, latency float64, final bool) {
	b.now = now
	req := b.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) || !req.attempts[number].inFlight {
		return
	}
	ended := req.attempts[number]
	ended.inFlight = false
	ended.notExecuted = outcome.provesNotExecuted()
	b.inFlight--
	ended.server.inFlight = slices.DeleteFunc(ended.server.inFlight, func(a *attempt) bool { return a == ended })
	b.recordOutcome(ended, outcome, latency)
	if final || req.answered {
		b.finish(req)
		return
	}
	b.retry(req, ended, outcome)
}

// provesNotExecuted reports whether the server surely did not execute the attempt.
func (o Outcome) provesNotExecuted() bool {
	switch o {
	case Overloaded, ConnectFailed, NotAttempted, CacheMiss:
		return true
	}
	return false
}

// OnClientGone is called when a request's client has gone: the request needs no answer any more.
func (b *Balancer) OnClientGone(now float64, id uint64) {
	b.now = now
	req := b.requests[id]
	if req != nil {
		b.finish(req)
	}
}

// finish marks a request as answered, cancels its attempts in flight, and forgets it once none is in flight.
func (b *Balancer) finish(req *request) {
	if !req.answered {
		req.answered = true
		b.cancelAttempts(req, (*attempt).isInFlight)
	}
	if !req.anyAttempt((*attempt).isInFlight) {
		delete(b.requests, req.id)
	}
}

// cancelAttempts cancels those attempts in flight of a request that are chosen, if the settings allow cancellation.
func (b *Balancer) cancelAttempts(req *request, matches func(*attempt) bool) {
	if !b.settings.CancellationAllowed {
		return
	}
	for _, a := range req.attempts {
		if a.inFlight && matches(a) {
			b.host.CancelAttempt(req.id, a.number)
		}
	}
}
