package quota

// borrowerLifetime is the seconds for which a team that asked for more shares in what is unused.
const borrowerLifetime = 1.0

// borrowAllowanceWindow is the seconds of its borrow rate that a team may borrow at once.
const borrowAllowanceWindow = 1.0

// borrowing is a team's part in what is unused.
type borrowing struct {
	active             bool    // it is among the borrowers
	requestedAt        float64 // when it last asked for more
	unused             float64 // kept for this team
	collectedPerWeight float64 // of the borrowers, when unused was computed
	allowance          float64 // that its borrow rate lets it take now
	allowanceAt        float64 // when that was computed
	previous           *Bucket // among the borrowers
	next               *Bucket
}

// borrowers are the teams that share in what is unused, the one that asked longest ago first.
type borrowers struct {
	first, last     *Bucket
	weights         float64 // their sum
	unusedPerWeight float64 // unused load for a weight of 1, since the start
}

// borrow takes load from what is unused, if the quota allows it and there is some for this team.
func (l *Limiter) borrow(b *Bucket, load float64) bool {
	if b.BorrowRate <= 0 {
		return false
	}
	l.addBorrower(b)
	if !b.refillAllowance(l.clock.now) {
		return false
	}
	switch {
	case b.borrowing.unused > 0:
		b.borrowing.unused -= load
	case l.unused.available > 0:
		l.unused.available -= load
	default:
		return false
	}
	b.borrowing.allowance -= load
	l.Totals.Charged += load
	l.forgiveDebt(b)
	return true
}

// refillAllowance tells whether a team's borrow rate lets it take anything now.
func (b *Bucket) refillAllowance(now float64) bool {
	rate := b.BorrowRate * b.share
	state := &b.borrowing
	state.allowance = min(state.allowance+rate*(now-state.allowanceAt), rate*borrowAllowanceWindow)
	state.allowanceAt = now
	return state.allowance > 0
}

// settleBorrowed corrects what a request was charged that was admitted from unused load.
func (l *Limiter) settleBorrowed(b *Bucket, estimate, load float64) {
	l.Totals.Charged += load - estimate
	surplus := estimate - load
	if surplus > 0 {
		l.keepUnused(surplus)
		b.borrowing.allowance = min(b.borrowing.allowance+surplus, b.BorrowRate*b.share*borrowAllowanceWindow)
		return
	}
	l.unused.available += surplus
	b.borrowing.allowance += surplus
	l.forgiveDebt(b)
}

// forgiveDebt bounds what is owed to the unused load of others.
func (l *Limiter) forgiveDebt(b *Bucket) {
	maxDebt := max(l.unused.rate, l.unused.capacity*l.unused.share)*unusedWindow + roundingError
	for _, load := range []*float64{&b.borrowing.unused, &l.unused.available} {
		excess := -*load - maxDebt
		if excess > 0 {
			*load += excess
			l.Totals.Forgiven += excess
		}
	}
}

// addBorrower counts a team among those that share in what is unused, as the last that asked.
func (l *Limiter) addBorrower(b *Bucket) {
	if b.borrowing.active {
		l.borrowers.remove(b)
	} else {
		b.borrowing.active = true
		b.borrowing.collectedPerWeight = l.borrowers.unusedPerWeight
		l.borrowers.weights += b.weight()
	}
	l.borrowers.add(b)
	b.borrowing.requestedAt = l.clock.now
	l.collectUnused(b)
}

// collectUnused gives a borrower its part; what it cannot keep is for any other.
func (l *Limiter) collectUnused(b *Bucket) {
	state := &b.borrowing
	state.unused += (l.borrowers.unusedPerWeight - state.collectedPerWeight) * b.weight()
	state.collectedPerWeight = l.borrowers.unusedPerWeight
	bound := l.unused.rate * unusedWindow * b.weight() / l.borrowers.weights
	if state.unused > bound {
		l.keepUnused(state.unused - bound)
		state.unused = bound
	}
}

// removeBorrower takes a team from the borrowers. What it had, or owed, is any other's.
func (l *Limiter) removeBorrower(b *Bucket) {
	if !b.borrowing.active {
		return
	}
	l.collectUnused(b)
	l.borrowers.remove(b)
	b.borrowing.active = false
	l.borrowers.weights -= b.weight()
	if l.borrowers.first == nil { // exactly 0, free of rounding errors
		l.borrowers.weights = 0
		l.borrowers.unusedPerWeight = 0
	}
	if b.borrowing.unused > 0 {
		l.keepUnused(b.borrowing.unused)
	} else {
		l.unused.available += b.borrowing.unused
	}
	b.borrowing.unused = 0
}

// add adds a team at the end of the list.
func (l *borrowers) add(b *Bucket) {
	b.borrowing.previous = l.last
	b.borrowing.next = nil
	if l.last == nil {
		l.first = b
	} else {
		l.last.borrowing.next = b
	}
	l.last = b
}

// remove takes a team from the list.
func (l *borrowers) remove(b *Bucket) {
	previous, next := b.borrowing.previous, b.borrowing.next
	if previous == nil {
		l.first = next
	} else {
		previous.borrowing.next = next
	}
	if next == nil {
		l.last = previous
	} else {
		next.borrowing.previous = previous
	}
	b.borrowing.previous = nil
	b.borrowing.next = nil
}
