package balancer

// OnReplyStalled is called when a server has begun its reply to the number-th attempt of a request and has then sent
// nothing for a while. Whether it has only paused cannot be known, so the attempt goes on. If the settings and the
// request's class allow a second attempt at the same time, and the retry budget holds a token, one is started at
// another server; the first answer counts. The call is repeated while the server sends nothing.
func (b *Balancer) OnReplyStalled(now float64, id uint64, number int) {
	b.now = now
	req := b.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return
	}
	stalled := req.attempts[number]
	if !stalled.stalled {
		stalled.stalled = true
		stalled.stalledAt = now
	}
	if !b.mayHedge(req, stalled) {
		return
	}
	server := b.pick(req)
	if !b.admitRetry(req, server, false).admitted {
		return
	}
	*req.retryBudget--
	stalled.hedged = true
	b.startAttempt(req, server)
}

// mayHedge reports whether a request may have another attempt beside a stalled one. All of its attempts in flight must
// have stalled.
func (b *Balancer) mayHedge(req *request, stalled *attempt) bool {
	if !b.settings.HedgingAllowed || !stalled.inFlight || !b.mayContinue(req) {
		return false
	}
	return !req.anyAttempt(func(a *attempt) bool { return a.inFlight && !a.stalled })
}

// WouldRetry reports whether a request would be attempted at another server if its number-th attempt, whose reply has
// stalled, were ended now. Where it would not, ending the attempt can only lose the reply.
func (b *Balancer) WouldRetry(now float64, id uint64, number int) bool {
	b.now = now
	req := b.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) || !req.attempts[number].inFlight {
		return false
	}
	stalled := req.attempts[number]
	stalled.inFlight = false // as if it had ended
	server := b.pick(req)
	wouldRetry := b.admitRetry(req, server, false).admitted
	stalled.inFlight = true
	return wouldRetry
}
