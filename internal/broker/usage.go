package broker

import (
	"bendtrestle/internal/policy/quota"
	"bendtrestle/internal/requestcore"
)

// usage is what one request of a team has used. It ends under the terms that the request began with. The pool's core
// calls it as the request's UsageObserver.
type usage struct {
	team        *team
	reservation *quota.Reservation
	load        float64 // seconds
}

// AttemptEnded adds an attempt's time.
func (u *usage) AttemptEnded(seconds float64) {
	u.load += u.team.pool.limiter.ChargeableTime(u.reservation, seconds)
}

// Answered counts the final answer.
func (u *usage) Answered(end requestcore.RequestEnd, reason requestcore.RejectReason) {
	tally := u.team.tally
	switch end {
	case requestcore.Succeeded:
		tally.Succeeded++
	case requestcore.Rejected:
		tally.reject(reason)
	case requestcore.Failed:
		tally.Failed++
	case requestcore.ClientGone:
		tally.Disconnected++
	}
}

// RequestDone settles the reservation and gives the slots back: no attempt is in flight any more.
func (u *usage) RequestDone() {
	t := u.team
	t.pool.limiter.Settle(t.broker.now(), u.reservation, u.load)
	t.broker.slots.requests.Release(t.requests, 1)
	t.pool.requests.Release(t.poolRequests, 1)
	t.tally.LoadUsed += u.load
}
