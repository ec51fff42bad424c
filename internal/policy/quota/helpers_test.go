package quota

import (
	"fmt"
	"math"
	"testing"
)

// newTestLimiter returns a limiter created at the time 100.
func newTestLimiter(capacity float64, quotas ...Quota) *Limiter {
	l := NewLimiter(100, capacity, 7)
	l.SetQuotas(100, capacity, quotas)
	return l
}

// flow is a constant rate of requests of a team.
type flow struct {
	team string
	rate float64 // requests a second
	load float64 // seconds of load of each request
}

// inFlight is an admitted request.
type inFlight struct {
	reservation *Reservation
	endsAt      float64
	load        float64
}

// run simulates flows from one time to another in steps of a millisecond. Every request ends 20 ms after its arrival.
// It returns the load of admitted requests by team.
func run(l *Limiter, from, to float64, flows ...flow) map[string]float64 {
	admitted := map[string]float64{}
	due := make([]float64, len(flows))
	var open []inFlight
	for i, now := 0, from; now < to; i, now = i+1, from+float64(i+1)*0.001 {
		for len(open) > 0 && open[0].endsAt <= now {
			l.Settle(now, open[0].reservation, open[0].load)
			open = open[1:]
		}
		for j, f := range flows {
			for due[j] += f.rate * 0.001; due[j] >= 1; due[j]-- {
				verdict := l.Admit(now, f.team, "t", f.load)
				if verdict.Admitted() {
					admitted[f.team] += f.load
					open = append(open, inFlight{verdict.Reservation, now + 0.02, f.load})
				}
			}
		}
	}
	for _, request := range open {
		l.Settle(to, request.reservation, request.load)
	}
	return admitted
}

// reporter is a *testing.T or a *rapid.T.
type reporter interface {
	Helper()
	Errorf(string, ...any)
}

// checkBalances checks that balances agree with the totals, so that no load was lost or created.
func checkBalances(t reporter, l *Limiter) {
	t.Helper()
	near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*(1+math.Abs(a)+math.Abs(b)) }
	unused := l.unused.available
	for _, b := range l.Buckets() {
		totals := b.Totals
		want := totals.Start + totals.Filled - totals.Spilled - totals.Charged + totals.Forgiven
		if !near(b.balance, want) {
			t.Errorf("%s: balance %v, want %v by its totals", b.Team, b.balance, want)
		}
		if b.balance > b.capacity()+1e-6 {
			t.Errorf("%s: balance %v, want at most its burst %v", b.Team, b.balance, b.capacity())
		}
		if b.full != (b.fillIndex < 0) && b.fillRate() > 0 {
			t.Errorf("%s: full is %v, but its index in the heap of buckets that are not full is %d", b.Team, b.full, b.fillIndex)
		}
		unused += b.borrowing.unused
		if b.borrowing.active {
			unused += (l.borrowers.unusedPerWeight - b.borrowing.collectedPerWeight) * b.weight()
		}
	}
	totals := l.Totals
	want := totals.Filled - totals.Dropped - totals.Charged + totals.Forgiven
	if !near(unused, want) {
		t.Errorf("unused load %v, want %v by the totals", unused, want)
	}
}

func checkBetween(t *testing.T, subject string, got, from, to float64) {
	t.Helper()
	if !(got >= from && got <= to) {
		t.Errorf("%s: got %.4f, want between %v and %v", subject, got, from, to)
	}
}

// manyQuotas returns quotas of n teams named team-0, team-1 and so on.
func manyQuotas(n int) (quotas []Quota) {
	for i := range n {
		quotas = append(quotas, Quota{Team: fmt.Sprintf("team-%d", i), GuaranteedRate: 1, Burst: 1, BorrowRate: 1})
	}
	return quotas
}
