package quota

import (
	"fmt"
	"math"
	"testing"
)

func pool(capacity float64, all ...Quota) *Limiter {
	p := NewLimiter(100, capacity, 7)
	p.SetQuotas(100, capacity, all)
	return p
}

// steady lets operations of a team come evenly, each taking so long from its start; it gives the load admitted.
type flow struct {
	team string
	rate float64 // operations a second
	load float64 // seconds that each takes
}

type open struct {
	k    *Reservation
	ends float64
	took float64
}

// run plays flows from one time to another in steps of a millisecond; every operation ends after what it takes. It gives
// the load of admitted operations by team.
func run(p *Limiter, from, to float64, flows ...flow) map[string]float64 {
	got, due := map[string]float64{}, make([]float64, len(flows))
	var out []open
	for i, now := 0, from; now < to; i, now = i+1, from+float64(i+1)*0.001 {
		for len(out) > 0 && out[0].ends <= now {
			p.Settle(now, out[0].k, out[0].took)
			out = out[1:]
		}
		for j, f := range flows {
			for due[j] += f.rate * 0.001; due[j] >= 1; due[j]-- {
				if k, why, _ := p.Admit(now, f.team, "t", f.load); why.Admitted() {
					got[f.team] += f.load
					out = append(out, open{k, now + 0.02, f.load})
				}
			}
		}
	}
	for _, o := range out {
		p.Settle(to, o.k, o.took)
	}
	return got
}

// balanced checks that no load was lost or invented.
func balanced(t interface {
	Helper()
	Errorf(string, ...any)
}, p *Limiter) {
	t.Helper()
	near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*(1+math.Abs(a)+math.Abs(b)) }
	left := p.left
	for _, m := range p.Buckets() {
		if want := m.Totals.Start + m.Totals.Filled - m.Totals.Spilled - m.Totals.Charged + m.Totals.Forgiven; !near(m.balance, want) {
			t.Errorf("%s has %v, its totals say %v", m.Team, m.balance, want)
		}
		if m.balance > m.holds()+1e-6 {
			t.Errorf("%s has %v, more than its burst %v", m.Team, m.balance, m.holds())
		}
		if m.full != (m.slot < 0) && m.fills() > 0 {
			t.Errorf("%s: full is %v, its place among those that fill is %d", m.Team, m.full, m.slot)
		}
		if left += m.own; m.asks {
			left += (p.each - m.seen) * m.weight()
		}
	}
	x := p.Totals
	if want := x.Filled - x.Dropped - x.Charged + x.Forgiven; !near(left, want) {
		t.Errorf("%v is left unused, the totals say %v", left, want)
	}
}

func between(t *testing.T, what string, x, from, to float64) {
	t.Helper()
	if !(x >= from && x <= to) {
		t.Errorf("%s is %.4f, not between %v and %v", what, x, from, to)
	}
}

func many(n int) (all []Quota) {
	for i := range n {
		all = append(all, Quota{Team: fmt.Sprintf("team-%d", i), GuaranteedRate: 1, Burst: 1, BorrowRate: 1})
	}
	return all
}
