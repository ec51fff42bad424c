package quota

import (
	"cmp"
	"slices"

	"bendtrestle/internal/seedhash"
)

// maxClockStep bounds the seconds that one step of the caller's clock counts: a clock that jumps creates no balance.
const maxClockStep = 10.0

// Retry-After of rejected requests: the wait that was reckoned, up to maxRetryAfter seconds, times a random factor
// from 0.75 to 1.25, so that rejected clients do not return at once. The longest is thus 6.25 s.
const (
	maxRetryAfter           = 5.0  // seconds, before the random factor: clients that get more have left
	minRetryAfterFactor     = 0.75 // the least random factor
	retryAfterSpreadDivisor = 2    // the random factor is the least one and up to 1 divided by this
)

// Limiter is the buckets of one pool at one router. It belongs to one goroutine.
type Limiter struct {
	clock     boundedClock
	buckets   map[string]*Bucket // by team
	refilling fillHeap           // buckets that are not full, by when they will be
	unused    unusedLoad
	borrowers borrowers
	random    seedhash.Sequence

	Totals UnusedTotals
}

// boundedClock is the seconds that have passed, in bounded steps of the caller's clock.
type boundedClock struct {
	now        float64
	callerTime float64
	started    bool
}

// timeAt gives the time after a step to the caller's time, and notes that.
func (c *boundedClock) timeAt(callerTime float64) float64 {
	step := 0.0
	if c.started {
		step = min(max(callerTime-c.callerTime, 0), maxClockStep)
	}
	c.started = true
	c.callerTime = callerTime
	return c.now + step
}

// NewLimiter makes one without teams. The capacity of the pool, in seconds of load a second over all routers, is
// stated by the operators, or 0. The seed is of the random part of Retry-After.
func NewLimiter(now, capacity float64, seed uint32) *Limiter {
	l := &Limiter{
		buckets: map[string]*Bucket{},
		unused:  unusedLoad{capacity: max(0, capacity), share: 1},
		random:  seedhash.NewSequence(seed),
	}
	l.advance(now)
	l.unused.updateRate()
	return l
}

// Bucket gives a team's; nil if there is none.
func (l *Limiter) Bucket(team string) *Bucket { return l.buckets[team] }

// Buckets gives all, by the names of their teams.
func (l *Limiter) Buckets() []*Bucket {
	var all []*Bucket
	for _, b := range l.buckets {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *Bucket) int { return cmp.Compare(a.Team, b.Team) })
	return all
}

// Unused is the load that is left unused now, for any team that borrows.
func (l *Limiter) Unused() float64 { return l.unused.available }

// advance lets time pass. What a bucket gains once it is full is unused from then on.
func (l *Limiter) advance(now float64) {
	to := l.clock.timeAt(now)
	for len(l.refilling) > 0 && l.refilling[0].fullAt <= to {
		b := l.refilling[0]
		l.accrueUnused(b.fullAt)
		l.refill(b)
	}
	l.accrueUnused(to)
	for l.borrowers.first != nil && l.clock.now-l.borrowers.first.borrowing.requestedAt > borrowerLifetime {
		l.removeBorrower(l.borrowers.first)
	}
}

// Admit decides on a request of a team. The estimate is what a request of the traffic class is taken to cost, in
// seconds of load, until some have ended.
func (l *Limiter) Admit(now float64, team, class string, estimate float64) Verdict {
	l.advance(now)
	b := l.buckets[team]
	if b == nil {
		return Verdict{Reason: UnknownTeam}
	}
	cost := b.cost(class, estimate)
	b.Demand.add(l.clock.now, cost.mean)
	l.refill(b)
	reason := l.charge(b, cost.mean)
	if !reason.Admitted() {
		b.Totals.Rejected++
		return Verdict{Reason: reason, RetryAfter: l.retryAfter(b, cost.mean)}
	}
	b.Totals.InFlight++
	reservation := &Reservation{bucket: b, cost: cost, estimate: cost.mean, reason: reason}
	return Verdict{Reason: reason, Reservation: reservation}
}

// charge takes load from a team's own bucket, else from what is unused.
func (l *Limiter) charge(b *Bucket, load float64) Reason {
	if b.balance > 0 {
		b.charge(load)
		b.Totals.WithinQuota++
		return WithinQuota
	}
	if l.borrow(b, load) {
		b.Totals.Borrowed++
		return Borrowed
	}
	return OverQuota
}

// retryAfter tells how long the client of a rejected request is to stay away: until the bucket has room for it behind
// those that got one before, with a random part so that they do not come back at once.
func (l *Limiter) retryAfter(b *Bucket, load float64) float64 {
	if b.fillRate() <= 0 {
		return 0 // no time will do
	}
	debtPaidAt := l.clock.now - min(0, b.balance)/b.fillRate()
	b.retryAt = max(b.retryAt, debtPaidAt) + load/b.fillRate()
	wait := b.retryAt - l.clock.now
	if wait > maxRetryAfter {
		b.retryAt = l.clock.now + maxRetryAfter // more come than there are different times
	}
	return min(wait, maxRetryAfter) * (minRetryAfterFactor + l.random.Float64()/retryAfterSpreadDivisor)
}

// Settle takes a request's end: the load that all its attempts really took, in seconds, takes the place of the
// estimate. A nil reservation, or one that was settled before, is ignored.
func (l *Limiter) Settle(now float64, r *Reservation, load float64) {
	if r == nil || r.settled {
		return
	}
	r.settled = true
	l.advance(now)
	b := r.bucket
	b.Totals.InFlight--
	b.Totals.LoadUsed += load
	if b.FlatCost > 0 {
		load = b.FlatCost
	}
	r.cost.record(load)
	if b.ended {
		return
	}
	l.refill(b)
	if r.reason == WithinQuota {
		b.charge(load - r.estimate)
		return
	}
	l.settleBorrowed(b, r.estimate, load)
}

// SetQuotas takes new quotas, all of the pool's. Balances carry over. The quota of a team that is no longer named
// ends; its requests in flight end under it.
func (l *Limiter) SetQuotas(now, capacity float64, quotas []Quota) {
	l.advance(now)
	l.unused.capacity = max(0, capacity)
	named := map[string]bool{}
	for _, quota := range quotas {
		named[quota.Team] = true
		if b := l.buckets[quota.Team]; b != nil {
			l.changeQuota(b, quota)
			continue
		}
		l.buckets[quota.Team] = newBucket(l, quota)
	}
	for team, b := range l.buckets {
		if !named[team] {
			l.endQuota(b)
			delete(l.buckets, team)
		}
	}
	for _, b := range l.Buckets() {
		l.capBalance(b)
		l.scheduleFull(b)
	}
	l.recountUnused()
}

func (l *Limiter) changeQuota(b *Bucket, quota Quota) {
	l.refill(b)
	borrowed := b.borrowing.active
	l.removeBorrower(b) // its weight may change
	b.Quota = quota
	if borrowed && quota.BorrowRate > 0 {
		l.addBorrower(b)
	}
}

func (l *Limiter) endQuota(b *Bucket) {
	l.refill(b)
	l.removeBorrower(b)
	b.ended = true
	l.scheduleFull(b)
}

// Balance is what a team may spend of its own at a time, in seconds of load; 0 if there is no such team.
func (l *Limiter) Balance(now float64, team string) float64 {
	l.advance(now)
	b := l.buckets[team]
	if b == nil {
		return 0
	}
	l.refill(b)
	return b.balance
}

// AdoptBalance gives a team the balance that it had in another pool, as far as its burst here allows.
func (l *Limiter) AdoptBalance(now float64, team string, balance float64) {
	l.advance(now)
	b := l.buckets[team]
	if b == nil {
		return
	}
	l.refill(b)
	balance = min(balance, b.capacity())
	b.Totals.Start += balance - b.balance
	b.balance = balance
	l.scheduleFull(b)
}

// SetShare sets the share of a team's quota that this router has, from 0 to 1.
func (l *Limiter) SetShare(now float64, b *Bucket, share float64) {
	l.advance(now)
	if b.ended || share == b.share {
		return
	}
	l.refill(b)
	before := b.fillRate()
	b.share = max(0, share)
	if b.full { // the difference of its burst was not spent
		b.Totals.Start += b.capacity() - b.balance
		b.balance = b.capacity()
		l.unused.overflow += b.fillRate() - before
		l.unused.updateRate()
	}
	l.capBalance(b)
	l.scheduleFull(b)
}

// SetUnreservedShare sets the share of the capacity beyond all guaranteed rates that this router may lend, from 0 to
// 1.
func (l *Limiter) SetUnreservedShare(now, share float64) {
	l.advance(now)
	l.unused.share = max(0, share)
	l.unused.updateRate()
}
