package quota

// borrowerLifetime is the time in seconds for which a team counts as a borrower after it last tried to borrow.
const borrowerLifetime = 1.0

// borrowAllowanceWindow limits what a team may borrow at once: the load of this many seconds at its borrow rate.
const borrowAllowanceWindow = 1.0

// borrowing is a team's state as a borrower of unused load.
type borrowing struct {
	active             bool    // whether the team is among the borrowers
	requestedAt        float64 // when the team last tried to borrow
	unused             float64 // unused load assigned to this team; negative if it is in debt
	collectedPerWeight float64 // borrowers.unusedPerWeight when unused was last computed
	allowance          float64 // load that the borrow rate allows the team to take now
	allowanceAt        float64 // when allowance was computed
	previous           *Bucket // in the list of borrowers
	next               *Bucket
}

// borrowers is the list of teams that borrow unused load, in the order of their last attempts to borrow, oldest first.
type borrowers struct {
	first, last     *Bucket
	weights         float64 // sum of the borrowers' weights
	unusedPerWeight float64 // cumulative unused load per weight of 1, since the list was last empty
}

// borrow takes load from the unused load, if the team's quota allows it and some is available to the team. It reports
// whether it did.
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

// refillAllowance adds what has accrued to a team's borrow allowance and reports whether the team may borrow now.
func (b *Bucket) refillAllowance(now float64) bool {
	rate := b.BorrowRate * b.share
	state := &b.borrowing
	state.allowance = min(state.allowance+rate*(now-state.allowanceAt), rate*borrowAllowanceWindow)
	state.allowanceAt = now
	return state.allowance > 0
}

// settleBorrowed replaces the charge of a request that was admitted from unused load by its measured load.
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

// forgiveDebt limits the debt of a borrower, and that of the load for any borrower. Debt beyond the limit is forgiven.
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

// addBorrower makes a team a borrower, or renews its time as one, and moves it to the end of the list.
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

// collectUnused assigns a borrower the unused load that has accrued for its weight. What exceeds its bound goes to the
// load for any borrower.
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

// removeBorrower removes a team from the borrowers. Its unused load or debt goes to the load for any borrower.
func (l *Limiter) removeBorrower(b *Bucket) {
	if !b.borrowing.active {
		return
	}
	l.collectUnused(b)
	l.borrowers.remove(b)
	b.borrowing.active = false
	l.borrowers.weights -= b.weight()
	if l.borrowers.first == nil { // resets the sums to exactly 0, without rounding errors
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

// add appends a team to the list.
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

// remove removes a team from the list.
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
