package requestcore

import (
	"slices"

	"bendtrestle/balancer"
)

const (
	// delaySeconds is how long the process may be held up between reading the clock and writing.
	delaySeconds = 0.15
	// maxHoldSeconds is how long a value is held once its client could take it, because answers wait behind it. The
	// protocol allows less than 2 s.
	maxHoldSeconds = 2 - delaySeconds
	// minHoldFraction is the fraction of the time left to the client for which a value may be held, if delaySeconds is
	// more than the rest of that time.
	minHoldFraction = 0.5
	// heldStallSeconds is after how long without a byte a held value has stalled: it may be complete sooner from another
	// server.
	heldStallSeconds = 0.25
)

// holdSeconds returns for how long a value may be held whose client waits for its first byte for timeLeft seconds.
func holdSeconds(timeLeft float64) float64 {
	return max(0, min(maxHoldSeconds, max(timeLeft-delaySeconds, timeLeft*minHoldFraction)))
}

// heldBody is a value of which the first bytes have arrived and nothing has been passed on: answers to earlier requests
// of its client's connection are not complete, or answers to later ones wait behind it. As long as nothing has been
// passed on the attempt can still fail: if its server's connection ends, the request is retried or gets an error, and
// the client keeps its connection and the answers behind this one. Within the limits of memory and time the value is
// therefore read ahead. At the limit of time it is passed on as it is: its server may only have paused, and must not be
// cut off. If its server stalls before that, the request may be hedged, and the value of the attempt that begins then is
// held in its place.
//
// The attempt's deadline does not end it, since the time for which an answer waits for those before it does not count.
type heldBody struct {
	attempt   *attempt
	result    Result
	heldSince float64    // when the value's first bytes arrived, by the loop's clock
	elapsed   float64    // seconds from the attempt's start to heldSince
	ahead     *readAhead // nil: there is no memory for it
	isTurn    bool       // no answer precedes the value any more
}

// deliver passes a value that has begun to arrive to its client, now or as soon as it is held no longer.
func (a *attempt) deliver(result Result, elapsed float64) {
	client := a.request.client
	if other := a.request.holdingAttempt(); other != nil { // of a hedged request
		if !other.held.hasStalled(a.request.core.deps.Clock.Now()) {
			result.Body.Discard()
			a.end(balancer.Cancelled, Result{}, elapsed)
			return
		}
		other.dropHeld()
	}
	isTurn := client.AwaitTurn(a.onTurn)
	ahead := a.request.core.newReadAhead(result.Body)
	hasBehind := client.HasAnswersBehind()
	if isTurn && (ahead == nil || !hasBehind) {
		ahead.release()
		if hasBehind {
			a.request.core.countPassedIncomplete(PassedNoMemory)
		}
		a.end(balancer.Succeeded, result, elapsed)
		return
	}
	now := a.request.core.deps.Clock.Now()
	a.held = &heldBody{attempt: a, result: result, heldSince: now, elapsed: elapsed, ahead: ahead}
	a.pending = a.held
	if ahead == nil {
		result.Body.SetOnBroken(a.onHeldBroken)
		return
	}
	a.held.result.Body = ahead
	if isTurn {
		a.onTurn()
	}
	ahead.start(a.onReadAheadEnd)
	a.request.core.deps.Clock.After(heldStallSeconds, a.checkHeldStall)
}

// hasStalled reports whether the value's server has sent nothing of it for a while.
func (h *heldBody) hasStalled(now float64) bool {
	if h.ahead == nil || h.ahead.complete {
		return false
	}
	return now-max(h.heldSince, h.ahead.lastPartAt) >= heldStallSeconds
}

// checkHeldStall reports a stalled value to the balancer, again and again while it is held, so that the request is hedged
// if it may be.
func (a *attempt) checkHeldStall() {
	if a.held == nil || a.held.ahead.complete {
		return
	}
	clock := a.request.core.deps.Clock
	if a.held.hasStalled(clock.Now()) {
		a.OnReplyStalled()
	}
	clock.After(heldStallSeconds, a.checkHeldStall)
}

// dropHeld ends the attempt without its value, because another attempt's value has begun.
func (a *attempt) dropHeld() {
	held := a.takeHeld()
	held.result.Body.Discard()
	a.end(balancer.Cancelled, Result{}, a.request.core.deps.Clock.Now()-a.startedAt)
}

// takeHeld returns the held value, and no value when it is called again.
func (a *attempt) takeHeld() *heldBody {
	held := a.held
	a.held = nil
	return held
}

// onTurn is called when no answer precedes the held value any more. It passes the value to the client, or goes on
// reading it ahead for a limited time if answers wait behind it.
func (a *attempt) onTurn() {
	held := a.held
	if held == nil || a.request.client == nil { // without a client the attempt is about to end
		return
	}
	if held.result.Body.Broken() {
		a.onHeldBroken()
		return
	}
	held.isTurn = true
	hasBehind := a.request.client.HasAnswersBehind()
	canWait := held.ahead != nil && !held.ahead.complete && hasBehind
	if !canWait {
		if hasBehind && held.ahead == nil {
			a.request.core.countPassedIncomplete(PassedNoMemory)
		}
		a.passHeld()
		return
	}
	timeLeft := a.request.deadline - held.heldSince // the time until the turn does not count
	a.request.core.deps.Clock.After(holdSeconds(timeLeft), a.onHoldTimeout)
}

// onHoldTimeout is called when a value may not be held any longer.
func (a *attempt) onHoldTimeout() {
	if a.held != nil {
		a.request.core.countPassedIncomplete(PassedTimeUp)
		a.passHeld()
	}
}

// passHeld passes the held value to the client, complete or not.
func (a *attempt) passHeld() {
	held := a.takeHeld()
	if held != nil {
		a.end(balancer.Succeeded, held.result, held.elapsed)
	}
}

// onReadAheadEnd is called when the value that is read ahead is complete or broken.
func (a *attempt) onReadAheadEnd() {
	switch {
	case a.held == nil:
		return
	case a.held.result.Body.Broken():
		a.onHeldBroken()
	case a.held.isTurn:
		a.passHeld()
	}
}

// onHeldBroken ends the attempt: the server may have executed it, but its result cannot be received. The request fails
// at once where a retry would put the answers behind it at risk.
func (a *attempt) onHeldBroken() {
	held := a.takeHeld()
	if held == nil {
		return
	}
	r := a.request
	elapsed := r.core.deps.Clock.Now() - a.startedAt
	held.result.Body.Discard()
	isLast := r.outstanding == 1
	if isLast && r.client != nil && r.client.HasAnswersBehind() && !r.retryMayBeWhole(elapsed) {
		r.core.Fail(r.id)
	}
	a.end(balancer.ConnectionLost, Result{}, elapsed)
}

// holdingAttempt returns the attempt whose value is held; nil: none is.
func (r *openRequest) holdingAttempt() *attempt {
	i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.held != nil })
	if i < 0 {
		return nil
	}
	return r.attempts[i]
}

// retryMayBeWhole reports whether a further attempt can receive a whole value before it has to be passed on, after an
// attempt that had only a part of it after elapsed seconds.
func (r *openRequest) retryMayBeWhole(elapsed float64) bool {
	timeLeft := r.deadline - r.core.deps.Clock.Now()
	return elapsed < holdSeconds(timeLeft)
}

// Cancel ends the attempt after the current callback, because the balancer cancels it.
func (h *heldBody) Cancel() { h.endLater(balancer.Cancelled) }

// CancelIfUnsent ends the attempt after the current callback. It is called when the request needs no result any more,
// and the server has executed the attempt.
func (h *heldBody) CancelIfUnsent() { h.endLater(balancer.Succeeded) }

// endLater ends the attempt without a client for its value.
func (h *heldBody) endLater(outcome balancer.Outcome) {
	h.attempt.request.core.deps.Clock.After(0, func() {
		held := h.attempt.takeHeld()
		if held != nil {
			h.attempt.end(outcome, held.result, held.elapsed)
		}
	})
}
