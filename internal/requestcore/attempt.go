package requestcore

import "bendtrestle/balancer"

// attempt is one attempt of a request. It implements AttemptObserver.
type attempt struct {
	request   *openRequest
	number    int // index among the attempts of its request, from 0
	startedAt float64
	pending   PendingAttempt // nil once it has ended, or if it was never sent
	held      *heldBody      // nil: no value waits for the client
	zone      string
	zoneToken uint64 // from ZoneObserver.AttemptStarted; 0: the attempt is not observed
}

// OnReplyStalled passes on that the server's reply has stalled, unless nobody waits for it any more.
func (a *attempt) OnReplyStalled() {
	r := a.request
	if r.client == nil || r.client.Disconnected() {
		return
	}
	c := r.core
	c.callBalancer(r, func() { c.balancer.OnReplyStalled(c.deps.Clock.Now(), r.id, a.number) })
}

// WouldBeRetried reports whether the balancer would start another attempt if this one were ended now.
func (a *attempt) WouldBeRetried() (wouldRetry bool) {
	r := a.request
	if r.client == nil || r.client.Disconnected() {
		return false
	}
	c := r.core
	c.callBalancer(r, func() { wouldRetry = c.balancer.WouldRetry(c.deps.Clock.Now(), r.id, a.number) })
	return wouldRetry
}

// OnReplyDelayed passes on that the server's reply is left unread for lack of memory.
func (a *attempt) OnReplyDelayed() {
	c := a.request.core
	c.callBalancer(a.request, func() { c.balancer.OnReplyDelayed(a.request.id, a.number) })
}

// OnAttemptEnd handles the end of the attempt, as reported by the upstream. A value that is still being received may be
// held; the attempt ends when the value is passed to its client.
func (a *attempt) OnAttemptEnd(outcome balancer.Outcome, result Result) {
	elapsed := a.request.core.deps.Clock.Now() - a.startedAt - result.DelaySeconds
	if result.Body != nil && a.request.client != nil {
		a.deliver(result, elapsed)
		return
	}
	a.end(outcome, result, elapsed)
}

// end ends the attempt, elapsed seconds after its start. The client gets a successful result before the usage observer
// and the balancer are notified.
func (a *attempt) end(outcome balancer.Outcome, result Result, elapsed float64) {
	r := a.request
	c := r.core
	now := c.deps.Clock.Now()
	r.outstanding--
	a.pending = nil
	if a.zoneToken > 0 {
		c.deps.ZoneObserver.AttemptEnded(a.zone, a.zoneToken, outcome, elapsed, c.objectives[r.Class])
	}
	if outcome == balancer.Succeeded && r.client != nil {
		r.answer(result)
	} else if result.Body != nil {
		result.Body.Discard()
	}
	if r.Usage != nil {
		r.Usage.AttemptEnded(elapsed)
	}
	answered := r.client == nil
	c.callBalancer(r, func() { c.balancer.OnAttemptEnd(now, r.id, a.number, outcome, elapsed, answered) })
	r.removeIfDone()
}

// AnswerIsNext reports whether an answer to the request would be written to its client at once.
func (a *attempt) AnswerIsNext() bool {
	client := a.request.client
	return client != nil && client.IsNext()
}

// StillWanted reports whether the request has no answer yet and its client is still connected.
func (a *attempt) StillWanted() bool {
	client := a.request.client
	return client != nil && !client.Disconnected()
}
