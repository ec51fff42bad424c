package quota

import "cmp"

// roundingError is the seconds of load below which a bucket that is not full is a matter of rounding.
const roundingError = 1e-9

// minWeight bounds a team's weight: what is left for a weight of 1 must not outgrow what a float64 can tell apart.
const minWeight = 1e-3

// Bucket is one team's token bucket at one router.
type Bucket struct {
	Quota
	limiter   *Limiter
	ended     bool
	share     float64 // of the quota that this router has
	balance   float64 // seconds of load; below 0 the team owes
	updatedAt float64 // by the limiter's clock
	full      bool
	fullAt    float64 // when it will be full
	fillIndex int     // in the limiter's heap; -1: not there
	borrowing borrowing
	retryAt   float64 // when the last of the clients that got a Retry-After will come back
	costs     map[string]*ClassCost
	Demand    Demand
	Totals    BucketTotals
}

// BucketTotals tell what a team was given, in seconds of load.
// It always holds that balance = Start + Filled - Spilled - Charged + Forgiven.
type BucketTotals struct {
	Start, Filled, Spilled, Charged, Forgiven float64

	WithinQuota, Borrowed, Rejected uint64  // requests
	LoadUsed                        float64 // by requests that have ended
	InFlight                        int     // requests
}

func newBucket(l *Limiter, quota Quota) *Bucket {
	b := &Bucket{
		Quota:     quota,
		limiter:   l,
		share:     l.unused.share,
		updatedAt: l.clock.now,
		borrowing: borrowing{allowanceAt: l.clock.now},
		fillIndex: notFilling,
		costs:     map[string]*ClassCost{},
	}
	b.balance = b.capacity()
	b.Totals.Start = b.balance
	return b
}

// Balance is what a team may spend of its own now, in seconds of load; below 0 it owes.
func (b *Bucket) Balance() float64 { return b.balance }

// Share is the share of the team's quota that this router has.
func (b *Bucket) Share() float64 { return b.share }

// fillRate is seconds of load a second.
func (b *Bucket) fillRate() float64 { return b.GuaranteedRate * b.share }

// capacity is the largest balance.
func (b *Bucket) capacity() float64 { return b.Burst * b.share }

// weight is the team's part of what is left unused.
func (b *Bucket) weight() float64 { return max(cmp.Or(b.Weight, b.GuaranteedRate, 1), minWeight) }

// charge takes load from the balance, or gives some back. A team owes no more than its burst: what a service that
// hung for a moment cost beyond that is forgiven, or the team would be shut out for long after.
func (b *Bucket) charge(load float64) {
	b.balance -= load
	b.Totals.Charged += load
	excess := -b.balance - max(b.capacity(), load)
	if excess > 0 {
		b.balance += excess
		b.Totals.Forgiven += excess
	}
	b.limiter.capBalance(b)
	b.limiter.scheduleFull(b)
}

// refill adds to a balance what it has gained up to now, and notes whether it is full.
func (l *Limiter) refill(b *Bucket) {
	gain := b.fillRate() * (l.clock.now - b.updatedAt)
	b.updatedAt = l.clock.now
	if b.full || gain < 0 {
		return // what a full bucket would gain is part of the rate of what is unused
	}
	b.Totals.Filled += gain
	b.balance += gain
	l.capBalance(b)
	l.scheduleFull(b)
}

// capBalance lets go of what a bucket cannot take: it is unused.
func (l *Limiter) capBalance(b *Bucket) {
	excess := b.balance - b.capacity()
	if excess > 0 {
		b.balance -= excess
		b.Totals.Spilled += excess
		l.addUnused(excess)
	}
}

// scheduleFull notes whether a bucket is full, and if not, when it will be.
func (l *Limiter) scheduleFull(b *Bucket) {
	full := b.balance >= b.capacity()-roundingError && !b.ended
	if full != b.full {
		b.full = full
		if full {
			l.unused.overflow += b.fillRate()
		} else {
			l.unused.overflow -= b.fillRate()
		}
		l.unused.updateRate()
	}
	l.refilling.remove(b)
	if !full && !b.ended && b.fillRate() > 0 {
		b.fullAt = l.clock.now + (b.capacity()-b.balance)/b.fillRate()
		l.refilling.add(b)
	}
}
