package quota

// unusedWindow is the seconds of unused load that are kept: it is for now, not for later.
const unusedWindow = 0.25

// unusedLoad is the load of a pool that its teams leave unused.
type unusedLoad struct {
	capacity   float64 // of the pool, seconds of load a second over all routers; 0: not stated
	share      float64 // of the capacity beyond all guaranteed rates, that this router may lend
	guaranteed float64 // sum of all guaranteed rates, over all routers
	overflow   float64 // what full buckets cannot take, a second
	rate       float64 // of all that is unused, a second
	available  float64 // for any borrower: what nobody asked for lately
}

// UnusedTotals tell where unused load went, in seconds of load.
// It always holds that what is available to any and to each borrower = Filled - Dropped - Charged + Forgiven.
type UnusedTotals struct{ Filled, Dropped, Charged, Forgiven float64 }

// updateRate computes what is unused a second: the capacity beyond all guaranteed rates, and what full buckets cannot
// take.
func (u *unusedLoad) updateRate() {
	u.rate = max(0, u.capacity-u.guaranteed)*u.share + max(0, u.overflow)
}

// recountUnused computes the sums anew, free of rounding errors.
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

// accrueUnused adds what is unused up to a time of the limiter's clock.
func (l *Limiter) accrueUnused(to float64) {
	gain := l.unused.rate * max(0, to-l.clock.now)
	l.clock.now = max(l.clock.now, to)
	l.addUnused(gain)
}

// addUnused takes load that is unused: for the borrowers, by weight, or if there is none, for who comes first.
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

// keepUnused adds to what any borrower may take, up to its bound.
func (l *Limiter) keepUnused(load float64) {
	room := max(0, l.unused.rate*unusedWindow-l.unused.available)
	l.unused.available += min(room, load)
	l.Totals.Dropped += max(0, load-room)
}
