package broker

import (
	"bendtrestle/internal/policy/quota"
	"bendtrestle/internal/requestcore"
)

// usage is the load and the slots that one request of a team uses. It keeps the terms under which the request started.
// The pool's core calls it as the request's UsageObserver.
type usage struct {
	team        *team
	reservation *quota.Reservation
	load        float64 // seconds
}

// AttemptEnded adds the chargeable time of an attempt.
func (u *usage) AttemptEnded(seconds float64) {
	u.load += u.team.pool.limiter.ChargeableTime(u.reservation, seconds)
}

// Answered counts the outcome of the request.
func (u *usage) Answered(end requestcore.RequestEnd, reason requestcore.RejectReason) {
	tally := u.team.tally
	switch end {
	case requestcore.Succeeded:
		tally.Succeeded++
	case requestcore.Rejected:
		tally.reject(reason)
	case requestcore.Failed:
		tally.Failed++
	case requestcore.ClientDisconnected:
		tally.Disconnected++
	}
}

// RequestDone settles the reservation and releases the slots, when no attempt is in flight any more.
func (u *usage) RequestDone() {
	t := u.team
	t.pool.limiter.Settle(t.broker.now(), u.reservation, u.load)
	t.broker.slots.requests.Release(t.requests, 1)
	t.pool.requests.Release(t.poolRequests, 1)
	t.tally.LoadUsed += u.load
}
