package quota

// unusedWindow is the time in seconds over which unused load is kept. It is short, because capacity that was not used
// in the past is not available later.
const unusedWindow = 0.25

// unusedLoad is the load of a pool that its teams leave unused.
type unusedLoad struct {
	capacity   float64 // of the pool, in seconds of load per second over all routers; 0 if not configured
	share      float64 // this router's share of the capacity beyond all guaranteed rates
	guaranteed float64 // sum of all guaranteed rates, over all routers
	overflow   float64 // load per second that full buckets cannot take
	rate       float64 // total unused load per second
	available  float64 // unused load that is not assigned to a borrower
}

// UnusedTotals are the totals of a pool's unused load at one router, in seconds of load.
// Invariant: the load available to any borrower and to each of them = Filled - Dropped - Charged + Forgiven.
type UnusedTotals struct{ Filled, Dropped, Charged, Forgiven float64 }

// updateRate computes the unused load per second: the capacity beyond all guaranteed rates, plus what full buckets
// cannot take.
func (u *unusedLoad) updateRate() {
	u.rate = max(0, u.capacity-u.guaranteed)*u.share + max(0, u.overflow)
}

// recountUnused recomputes the sums over all buckets, which removes accumulated rounding errors.
func (l *Limiter) recountUnused() {
	l.unused.guaranteed = 0
	l.unused.overflow = 0
	for _, b := range l.Buckets() {
		l.unused.guaranteed += b.GuaranteedRate
		if b.full {
			l.unused.overflow += b.fillRate()
		}
	}
	l.unused.updateRate()
}

// accrueUnused advances the limiter's clock to the given time and adds the load that is unused until then.
func (l *Limiter) accrueUnused(to float64) {
	gain := l.unused.rate * max(0, to-l.clock.now)
	l.clock.now = max(l.clock.now, to)
	l.addUnused(gain)
}

// addUnused adds unused load: to the borrowers by weight, or if there are none, to the load for any borrower.
func (l *Limiter) addUnused(load float64) {
	if load <= 0 {
		return
	}
	l.Totals.Filled += load
	if l.borrowers.weights > 0 {
		l.borrowers.unusedPerWeight += load / l.borrowers.weights
		return
	}
	l.keepUnused(load)
}

// keepUnused adds to the load that any borrower may take, up to what accrues in unusedWindow. The rest is dropped.
func (l *Limiter) keepUnused(load float64) {
	room := max(0, l.unused.rate*unusedWindow-l.unused.available)
	l.unused.available += min(room, load)
	l.Totals.Dropped += max(0, load-room)
}
