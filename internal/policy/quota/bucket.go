package quota

import "cmp"

// roundingError is the difference from a full bucket, in seconds of load, that is attributed to rounding.
const roundingError = 1e-9

// minWeight is the smallest weight of a team. With smaller weights, the cumulative unused load per weight of 1 could
// grow beyond the precision of a float64.
const minWeight = 1e-3

// Bucket is one team's token bucket at one router.
type Bucket struct {
	Quota
	limiter   *Limiter
	ended     bool
	share     float64 // this router's share of the quota
	balance   float64 // seconds of load; negative if the team is in debt
	updatedAt float64 // by the limiter's clock
	full      bool
	fullAt    float64 // when it will be full
	fillIndex int     // in the limiter's heap; notFilling if not in it
	borrowing borrowing
	retryAt   float64 // latest retry time given to a rejected client, without the random factor
	costs     map[string]*ClassCost
	Demand    Demand
	Totals    BucketTotals
}

// BucketTotals are the totals of a team's bucket, in seconds of load unless stated otherwise.
// Invariant: balance = Start + Filled - Spilled - Charged + Forgiven.
type BucketTotals struct {
	Start, Filled, Spilled, Charged, Forgiven float64

	WithinQuota, Borrowed, Rejected uint64  // requests
	LoadUsed                        float64 // load of requests that have ended
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

// Balance returns the load that the team may use from its own bucket, in seconds; negative if the team is in debt.
func (b *Bucket) Balance() float64 { return b.balance }

// Share returns this router's share of the team's quota.
func (b *Bucket) Share() float64 { return b.share }

// fillRate returns the rate at which the bucket fills, in seconds of load per second.
func (b *Bucket) fillRate() float64 { return b.GuaranteedRate * b.share }

// capacity returns the largest balance, in seconds of load.
func (b *Bucket) capacity() float64 { return b.Burst * b.share }

// weight returns the weight by which unused load is divided among borrowers.
func (b *Bucket) weight() float64 { return max(cmp.Or(b.Weight, b.GuaranteedRate, 1), minWeight) }

// charge takes load from the balance, or returns some if load is negative. The debt is limited to the burst, or to a
// single charge if that is larger. Debt beyond the limit is forgiven: otherwise a team whose service hung for a short
// time would be rejected for a long time afterwards.
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

// refill adds to a balance what has accrued since the last update, and updates whether the bucket is full.
func (l *Limiter) refill(b *Bucket) {
	gain := b.fillRate() * (l.clock.now - b.updatedAt)
	b.updatedAt = l.clock.now
	if b.full || gain < 0 {
		return // the gain of a full bucket is part of the rate of unused load
	}
	b.Totals.Filled += gain
	b.balance += gain
	l.capBalance(b)
	l.scheduleFull(b)
}

// capBalance limits a balance to the bucket's capacity. The excess becomes unused load.
func (l *Limiter) capBalance(b *Bucket) {
	excess := b.balance - b.capacity()
	if excess > 0 {
		b.balance -= excess
		b.Totals.Spilled += excess
		l.addUnused(excess)
	}
}

// scheduleFull updates whether a bucket is full and, if it is not, when it will be.
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
