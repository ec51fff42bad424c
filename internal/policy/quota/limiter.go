package quota

import (
	"cmp"
	"slices"

	"bendtrestle/internal/seedhash"
)

// maxClockStep is the largest step of the caller's clock that counts, in seconds: a clock that jumps forward must not
// fill the buckets.
const maxClockStep = 10.0

// Retry-After of rejected requests is the computed wait, at most maxRetryAfter seconds, times a random factor from 0.75
// to 1.25. The factor keeps rejected clients from retrying at the same time. The largest Retry-After is 6.25 s.
const (
	maxRetryAfter           = 5.0  // seconds, before the random factor; clients do not wait longer than this
	minRetryAfterFactor     = 0.75 // the smallest random factor
	retryAfterSpreadDivisor = 2    // the random factor exceeds the smallest one by up to 1 divided by this
)

// Limiter holds the buckets of one pool at one router. It belongs to one goroutine.
type Limiter struct {
	clock     boundedClock
	buckets   map[string]*Bucket // by team
	refilling fillHeap           // buckets that are not full, ordered by the time at which they will be
	unused    unusedLoad
	borrowers borrowers
	random    seedhash.Sequence

	Totals UnusedTotals
}

// boundedClock measures elapsed seconds by the caller's clock. It limits forward steps to maxClockStep and ignores
// backward steps.
type boundedClock struct {
	now        float64
	callerTime float64
	started    bool
}

// timeAt records the caller's time and returns the corresponding time of this clock. It does not set now.
func (c *boundedClock) timeAt(callerTime float64) float64 {
	step := 0.0
	if c.started {
		step = min(max(callerTime-c.callerTime, 0), maxClockStep)
	}
	c.started = true
	c.callerTime = callerTime
	return c.now + step
}

// NewLimiter returns a limiter without teams. The capacity of the pool is in seconds of load per second over all
// routers, or 0 if the operators do not state it. The seed is for the random factor of Retry-After.
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

// Bucket returns the bucket of a team, or nil if there is none.
func (l *Limiter) Bucket(team string) *Bucket { return l.buckets[team] }

// Buckets returns all buckets, sorted by the names of their teams.
func (l *Limiter) Buckets() []*Bucket {
	var all []*Bucket
	for _, b := range l.buckets {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *Bucket) int { return cmp.Compare(a.Team, b.Team) })
	return all
}

// Unused returns the unused load that is available to any borrower, in seconds.
func (l *Limiter) Unused() float64 { return l.unused.available }

// advance advances the clock to the caller's time. From the time at which a bucket becomes full, its fill rate counts
// as unused load. Borrowers that have not tried to borrow for longer than borrowerLifetime are removed.
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

// Admit decides whether a request of a team is admitted. The estimate is the assumed cost of a request of the traffic
// class, in seconds of load, until some have ended.
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

// charge takes load from a team's own bucket or, if that is empty, from unused load.
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

// retryAfter returns the seconds after which the client of a rejected request may retry: the time until the bucket has
// filled enough for this request and those rejected before it, times a random factor so that the clients do not retry
// at the same time.
func (l *Limiter) retryAfter(b *Bucket, load float64) float64 {
	if b.fillRate() <= 0 {
		return 0 // the bucket never fills
	}
	debtPaidAt := l.clock.now - min(0, b.balance)/b.fillRate()
	b.retryAt = max(b.retryAt, debtPaidAt) + load/b.fillRate()
	wait := b.retryAt - l.clock.now
	if wait > maxRetryAfter {
		b.retryAt = l.clock.now + maxRetryAfter // all further clients get the same wait
	}
	return min(wait, maxRetryAfter) * (minRetryAfterFactor + l.random.Float64()/retryAfterSpreadDivisor)
}

// Settle ends a request: the measured load of all its attempts, in seconds, replaces the charged estimate. A nil
// reservation, or one that was settled before, is ignored.
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

// SetQuotas replaces all quotas of the pool. Balances carry over. The quota of a team that is not in the list ends; its
// requests in flight are still settled under it.
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

// Balance returns the load that a team may use from its own bucket, in seconds; 0 if there is no such team.
func (l *Limiter) Balance(now float64, team string) float64 {
	l.advance(now)
	b := l.buckets[team]
	if b == nil {
		return 0
	}
	l.refill(b)
	return b.balance
}

// AdoptBalance sets a team's balance to the one that it had in another pool, limited by its burst here.
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

// SetShare sets this router's share of a team's quota, from 0 to 1.
func (l *Limiter) SetShare(now float64, b *Bucket, share float64) {
	l.advance(now)
	if b.ended || share == b.share {
		return
	}
	l.refill(b)
	before := b.fillRate()
	b.share = max(0, share)
	if b.full { // a full bucket stays full at its new capacity
		b.Totals.Start += b.capacity() - b.balance
		b.balance = b.capacity()
		l.unused.overflow += b.fillRate() - before
		l.unused.updateRate()
	}
	l.capBalance(b)
	l.scheduleFull(b)
}

// SetUnreservedShare sets this router's share of the pool's capacity beyond all guaranteed rates, from 0 to 1.
func (l *Limiter) SetUnreservedShare(now, share float64) {
	l.advance(now)
	l.unused.share = max(0, share)
	l.unused.updateRate()
}
