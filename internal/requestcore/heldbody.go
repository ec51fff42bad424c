package requestcore

import "bendtrestle/balancer"

// heldBody is a value of which the first bytes have arrived before its client can take it, because answers to earlier
// requests of the connection are not complete. Until the client can take it nothing of it has been passed on, so that
// the attempt can still fail: if its server's connection ends, the request is retried or gets an error, and the client
// keeps its connection and the answers behind this one.
//
// The attempt's deadline does not end it, since the time for which an answer waits for those before it does not count.
type heldBody struct {
	attempt *attempt
	result  Result
	elapsed float64 // seconds from the attempt's start to the value's first bytes
}

// hold keeps the attempt open, with the value that has begun to arrive.
func (a *attempt) hold(result Result, elapsed float64) {
	a.held = &heldBody{attempt: a, result: result, elapsed: elapsed}
	a.pending = a.held
	result.Body.SetOnBroken(a.onHeldBroken)
}

// takeHeld returns the held value, and no value when it is called again.
func (a *attempt) takeHeld() *heldBody {
	held := a.held
	a.held = nil
	return held
}

// onTurn passes the held value to the client.
func (a *attempt) onTurn() {
	if a.held != nil && a.held.result.Body.Broken() {
		a.onHeldBroken()
		return
	}
	held := a.takeHeld()
	if held != nil {
		a.end(balancer.Succeeded, held.result, held.elapsed)
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
