package requestcore

import "bendtrestle/balancer"

const (
	// maxReadAheadSeconds is how long a value is read ahead once its client could take it, because answers wait behind it.
	maxReadAheadSeconds = 1.0
	// maxReadAheadFraction is the fraction of the time left to the client that reading ahead may take.
	maxReadAheadFraction = 0.5
)

// heldBody is a value of which the first bytes have arrived and nothing has been passed on: answers to earlier requests
// of its client's connection are not complete, or answers to later ones wait behind it. As long as nothing has been
// passed on the attempt can still fail: if its server's connection ends, the request is retried or gets an error, and
// the client keeps its connection and the answers behind this one. Within the limits of memory and time the value is
// therefore read ahead.
//
// The attempt's deadline does not end it, since the time for which an answer waits for those before it does not count.
type heldBody struct {
	attempt *attempt
	result  Result
	elapsed float64    // seconds from the attempt's start to the value's first bytes
	ahead   *readAhead // nil: there is no memory for it
	isTurn  bool       // no answer precedes the value any more
}

// deliver passes a value that has begun to arrive to its client, now or as soon as it is held no longer.
func (a *attempt) deliver(result Result, elapsed float64) {
	client := a.request.client
	isTurn := client.AwaitTurn(a.onTurn)
	ahead := a.request.core.newReadAhead(result.Body)
	if isTurn && (ahead == nil || !client.HasAnswersBehind()) {
		ahead.release()
		a.end(balancer.Succeeded, result, elapsed)
		return
	}
	a.held = &heldBody{attempt: a, result: result, elapsed: elapsed, ahead: ahead}
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
	canWait := held.ahead != nil && !held.ahead.complete && a.request.client.HasAnswersBehind()
	if !canWait {
		a.passHeld()
		return
	}
	clock := a.request.core.deps.Clock
	timeLeft := a.request.deadline - clock.Now()
	clock.After(max(0, min(maxReadAheadSeconds, timeLeft*maxReadAheadFraction)), a.passHeld)
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

// onHeldBroken ends the attempt: the server may have executed it, but its result cannot be received.
func (a *attempt) onHeldBroken() {
	held := a.takeHeld()
	if held != nil {
		held.result.Body.Discard()
		a.end(balancer.ConnectionLost, Result{}, a.request.core.deps.Clock.Now()-a.startedAt)
	}
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
