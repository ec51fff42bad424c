package balancer

import "slices"

// request is a client's request, kept until its final answer has been sent and no attempt is in flight.
type request struct {
	id            uint64
	class         *classState
	keyHash       uint32
	replicas      float64      // number of nearest servers that share its key
	valueFraction float64      // fraction of its priority weight that an answer is still worth
	chargedTenant *tenantState // tenant whose token it took; nil if none
	retryBudget   *float64     // tokens that its retries consume
	streaming     bool         // a streamed answer has begun
	answered      bool         // its final answer was sent, or its client has disconnected
	objectiveAt   float64      // seconds, until when an answer is on time
	deadline      float64      // seconds, until when an answer reaches the client
	attempts      []*attempt
}

// slot returns the slot of the request's key on the ring.
func (r *request) slot() uint32 { return r.keyHash % ringSlots }

// anyAttempt reports whether at least one of the attempts matches.
func (r *request) anyAttempt(matches func(*attempt) bool) bool {
	return slices.ContainsFunc(r.attempts, matches)
}

// attemptedOn reports whether the request was already sent to a server.
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
	stalled     bool    // the server has begun its reply and then sent nothing for a while
	stalledAt   float64 // seconds, when that was first known
	delayed     bool    // the server has begun its reply, which this router does not read yet for lack of memory
	hedged      bool    // its reply stalled, and another attempt was started
	notExecuted bool    // proved not to have been executed
	serverError bool    // the server answered with an error
}

func (a *attempt) isInFlight() bool { return a.inFlight }

// startAttempt sends a request to a server. It panics if the rules forbid the attempt; callers check mayAttempt
// first.
func (b *Balancer) startAttempt(req *request, server *serverState) {
	if !b.mayAttempt(req, server) {
		panic("balancer: startAttempt called for an attempt that mayAttempt forbids")
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

// attemptTimeout returns the timeout of an attempt, in seconds. It is the time until the client's deadline, except
// on a server that has just failed: there the attempt ends while a retry elsewhere still fits into the latency
// objective. On a working server an early timeout may not stop the execution, and a retry would be no faster.
func (b *Balancer) attemptTimeout(req *request, server *serverState) float64 {
	untilDeadline := req.deadline - b.now
	untilRetry := req.objectiveAt - req.class.meanLatency - b.now
	retryFits := *req.retryBudget >= 1 && untilRetry > req.class.meanLatency && req.class.Idempotency == Idempotent
	if server.health.consecutiveFailures > 0 && retryFits {
		return min(untilDeadline, untilRetry)
	}
	return untilDeadline
}

// writeTimeout returns the time, in seconds, within which an attempt must be written to its server; after that it
// is not sent. A repeat of a request with an idempotency key takes effect twice if it waits for a connection beyond
// the deduplication window. Therefore the window of the first attempt that may have been executed bounds the time.
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

// OnStreamStart is called when a client begins to receive a streamed answer, from the number-th attempt of its
// request. From then on the deadline does not end the request, there is no retry, and its other attempts are
// cancelled.
func (b *Balancer) OnStreamStart(now float64, id uint64, number int) {
	b.now = now
	req := b.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return
	}
	req.streaming = true
	b.cancelAttempts(req, func(a *attempt) bool { return a.number != number })
}

// OnAttemptEnd is called when the number-th attempt of a request ends, after latency seconds. If final is set, the
// client has received its answer from this attempt; otherwise the request is retried or gets its final answer now.
// Unknown attempts are ignored.
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
	judged, judgedLatency := ended.judge(outcome, latency)
	b.recordOutcome(ended, judged, judgedLatency)
	if final || req.answered {
		b.finish(req)
		return
	}
	b.retry(req, ended, outcome)
}

// OnReplyDelayed is called when a server has begun its reply to the number-th attempt of a request and this router does
// not read it yet for lack of memory. The time until the attempt ends tells nothing of the server; the latency that
// OnAttemptEnd is called with does not contain it.
func (b *Balancer) OnReplyDelayed(id uint64, number int) {
	req := b.requests[id]
	if req != nil && number >= 0 && number < len(req.attempts) {
		req.attempts[number].delayed = true
	}
}

// isUnanswered reports whether the time since the attempt was sent is a lower bound of its server's latency: the server
// has not begun its reply.
func (a *attempt) isUnanswered() bool { return !a.stalled && !a.delayed }

// judge returns the outcome and the latency, in seconds, by which the server is judged. A reply that began and never
// became complete was lost when it stalled, whether the hedge was faster than the rest of it or the deadline came first.
func (a *attempt) judge(outcome Outcome, latency float64) (Outcome, float64) {
	if outcome == Cancelled && a.hedged || outcome == TimedOut && a.stalled {
		return ConnectionLost, min(latency, a.stalledAt-a.sentAt)
	}
	return outcome, latency
}

// provesNotExecuted reports whether the outcome proves that the server did not execute the attempt.
func (o Outcome) provesNotExecuted() bool {
	switch o {
	case Overloaded, ConnectFailed, NotAttempted, CacheMiss:
		return true
	}
	return false
}

// OnClientDisconnected is called when a request's client has disconnected: the request needs no answer any more.
func (b *Balancer) OnClientDisconnected(now float64, id uint64) {
	b.now = now
	req := b.requests[id]
	if req != nil {
		b.finish(req)
	}
}

// finish marks a request as answered, cancels its attempts in flight, and removes the request when no attempt is in
// flight.
func (b *Balancer) finish(req *request) {
	if !req.answered {
		req.answered = true
		b.cancelAttempts(req, (*attempt).isInFlight)
	}
	if !req.anyAttempt((*attempt).isInFlight) {
		delete(b.requests, req.id)
	}
}

// cancelAttempts cancels the matching attempts in flight of a request, if the settings allow cancellation.
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
