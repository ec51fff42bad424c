package requestcore

import "bendtrestle/balancer"

// attempt is one attempt of a request. It is the upstream's AttemptObserver.
type attempt struct {
	request   *openRequest
	number    int // among the attempts of its request, from 0
	startedAt float64
	pending   PendingAttempt // nil once it has ended, or if it was never sent
	zone      string
	zoneToken uint64 // the zone observer's; 0: it is not observed
}

// OnAttemptEnd handles the end of the attempt. A result is passed on before anything else.
func (a *attempt) OnAttemptEnd(outcome balancer.Outcome, result Result) {
	r := a.request
	c := r.core
	now := c.deps.Clock.Now()
	took := now - a.startedAt
	r.outstanding--
	a.pending = nil
	if a.zoneToken > 0 {
		c.deps.ZoneObserver.AttemptEnded(a.zone, a.zoneToken, outcome, took, c.objectives[r.Class])
	}
	answered := outcome == balancer.Succeeded && r.client != nil
	if answered {
		c.Counts.Succeeded++
		r.detachClient().Succeeded(result)
		r.reportEnd(Succeeded, NoReason)
	} else if result.Body != nil {
		result.Body.Discard()
	}
	if r.Usage != nil {
		r.Usage.AttemptEnded(took)
	}
	c.callBalancer(r, func() { c.balancer.OnAttemptEnd(now, r.id, a.number, outcome, took, answered) })
	r.removeIfDone()
}

// StillWanted reports whether the request has no answer and its client is there.
func (a *attempt) StillWanted() bool {
	client := a.request.client
	return client != nil && !client.Disconnected()
}
