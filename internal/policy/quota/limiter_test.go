package quota

import (
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

var threeQuotas = []Quota{
	{Team: "a", GuaranteedRate: 1, Burst: 0.5},
	{Team: "b", GuaranteedRate: 1, Burst: 0.5},
	{Team: "c", GuaranteedRate: 1, Burst: 0.5},
}

// A team that demands ten times its quota is admitted at its guaranteed rate plus its burst. The requests of other
// teams within their quotas are all admitted.
func TestSurgingTeamIsLimitedToItsQuota(t *testing.T) {
	l := newTestLimiter(3, threeQuotas...)
	got := run(l, 100, 130, flow{"a", 90, 0.01}, flow{"b", 90, 0.01}, flow{"c", 1000, 0.01})
	checkBetween(t, "load admitted of a", got["a"], 26.9, 27)
	checkBetween(t, "load admitted of b", got["b"], 26.9, 27)
	checkBetween(t, "load admitted of the surging team", got["c"], 30*0.99, 30.6)
	if l.Bucket("a").Totals.Rejected+l.Bucket("b").Totals.Rejected > 0 {
		t.Error("a team within its quota was rejected")
	}
	checkBalances(t, l)
}

// Quotas limit load, not requests: a team with the same rate of requests that are ten times as costly is charged ten
// times as much and limited.
func TestCostlyRequestsAreChargedTheirLoad(t *testing.T) {
	l := newTestLimiter(3, threeQuotas...)
	got := run(l, 100, 130, flow{"a", 90, 0.01}, flow{"c", 90, 0.1})
	checkBetween(t, "load admitted of a", got["a"], 26.9, 27)
	checkBetween(t, "load admitted of the team with costly requests", got["c"], 30*0.97, 31)
	checkBalances(t, l)
}

// At the end of a request its measured load replaces the estimate: a costlier request is charged the rest, a cheaper
// one returns it. Settling a second time changes nothing.
func TestEstimateIsSettled(t *testing.T) {
	l := newTestLimiter(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 1})
	a := l.Bucket("a")
	reservation := l.Admit(100, "a", "t", 0.2).Reservation
	checkBetween(t, "balance with the estimate charged", a.Balance(), 0.7999, 0.8001)
	l.Settle(100, reservation, 0.5)
	checkBetween(t, "balance after settling 0.5 s", a.Balance(), 0.4999, 0.5001)
	l.Settle(100, reservation, 0.5)
	checkBetween(t, "balance after settling a second time", a.Balance(), 0.4999, 0.5001)
	reservation = l.Admit(100, "a", "t", 9).Reservation
	l.Settle(100, reservation, 0)
	checkBetween(t, "balance after a request without load", a.Balance(), 0.4999, 0.5001)
	checkBalances(t, l)
}

// A team that demands exactly its guaranteed rate is admitted in full.
func TestDemandAtGuaranteedRateIsAdmitted(t *testing.T) {
	l := newTestLimiter(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 0.2})
	got := run(l, 100, 160, flow{"a", 100, 0.01})
	checkBetween(t, "load admitted", got["a"], 59.98, 60.01)
	checkBalances(t, l)
}

// After an idle hour a team may use its burst at once, not the load of an hour. Steps of the caller's clock do not
// raise the balance above the burst.
func TestIdleTimeSavesAtMostTheBurst(t *testing.T) {
	l := newTestLimiter(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 2})
	got := run(l, 3700, 3701, flow{"a", 1000, 0.01})
	checkBetween(t, "load admitted", got["a"], 2.9, 3.05)
	l.Admit(-5000, "a", "t", 0.01)
	l.Admit(9e9, "a", "t", 0.01)
	if balance := l.Bucket("a").Balance(); balance > 2 {
		t.Errorf("balance after clock steps is %v, want at most 2", balance)
	}
	checkBalances(t, l)
}

// Unused load is divided by weight among the teams that demand more and may borrow. When the owner uses its quota
// again, it is admitted in full without delay.
func TestBorrowingByWeight(t *testing.T) {
	l := newTestLimiter(4,
		Quota{Team: "owner", GuaranteedRate: 2, Burst: 0.5},
		Quota{Team: "x", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5, Weight: 3},
		Quota{Team: "y", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5, Weight: 1},
		Quota{Team: "z", GuaranteedRate: 0.5, Burst: 0.1})
	x, y, z, owner := flow{"x", 1000, 0.01}, flow{"y", 400, 0.01}, flow{"z", 400, 0.01}, flow{"owner", 190, 0.01}
	got := run(l, 100, 120, x, y, z)
	// A rate of 2 of the owner and 0.5 of the capacity is unused. Beyond their own rates, x gets three quarters of it and
	// y one quarter; z may not borrow.
	checkBetween(t, "load per second admitted of x", got["x"]/20, 0.5+0.75*2.5-0.1, 0.5+0.75*2.5+0.1)
	checkBetween(t, "load per second admitted of y", got["y"]/20, 0.5+0.25*2.5-0.1, 0.5+0.25*2.5+0.1)
	checkBetween(t, "load per second admitted of z", got["z"]/20, 0.49, 0.52)
	checkBalances(t, l)
	got = run(l, 120, 121, x, y, z, owner)
	checkBetween(t, "load admitted of the owner in its first second", got["owner"], 1.89, 1.91)
	if l.Bucket("owner").Totals.Rejected > 0 {
		t.Error("a request of the owner was rejected")
	}
	got = run(l, 121, 141, x, y, z, owner)
	checkBetween(t, "load per second admitted of the owner", got["owner"]/20, 1.89, 1.91)
	sum := (got["x"] + got["y"] + got["z"] + got["owner"]) / 20
	checkBetween(t, "load per second admitted of all, with a capacity of 4", sum, 3.8, 4.05)
	checkBalances(t, l)
}

// If a borrower demands less than its weight allows, the rest of the unused load goes to the other borrowers.
func TestUnclaimedLoadGoesToOtherBorrowers(t *testing.T) {
	l := newTestLimiter(3,
		Quota{Team: "x", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5},
		Quota{Team: "y", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5})
	got := run(l, 100, 130, flow{"x", 60, 0.01}, flow{"y", 1000, 0.01})
	checkBetween(t, "load per second admitted of x", got["x"]/30, 0.58, 0.61)
	checkBetween(t, "load per second admitted of y", got["y"]/30, 2.2, 2.45)
	checkBalances(t, l)
}

// A team borrows at most at its borrow rate, even if more load is unused.
func TestBorrowingIsLimitedToBorrowRate(t *testing.T) {
	l := newTestLimiter(10, Quota{Team: "x", GuaranteedRate: 1, Burst: 0.1, BorrowRate: 0.5})
	got := run(l, 100, 130, flow{"x", 1000, 0.01})
	checkBetween(t, "load per second admitted of x", got["x"]/30, 1.47, 1.55)
}

// A service hangs: 200 requests with a small estimate take a second each. The debt of its team is limited to the burst,
// so that its requests are admitted again soon after, and other teams are not affected.
func TestDebtOfHungServiceIsLimited(t *testing.T) {
	l := newTestLimiter(2,
		Quota{Team: "a", GuaranteedRate: 1, Burst: 1},
		Quota{Team: "b", GuaranteedRate: 1, Burst: 1})
	var hanging []*Reservation
	for i := range 200 {
		verdict := l.Admit(100+float64(i)*0.001, "a", "t", 0.001)
		if verdict.Admitted() {
			hanging = append(hanging, verdict.Reservation)
		}
	}
	for _, reservation := range hanging {
		l.Settle(101.2, reservation, 1)
	}
	a := l.Bucket("a")
	checkBetween(t, "balance", a.Balance(), -1.01, -0.9)
	if a.Totals.Forgiven < 100 {
		t.Errorf("debt of %v was forgiven, want at least 100", a.Totals.Forgiven)
	}
	if verdict := l.Admit(102.5, "a", "t", 0.01); !verdict.Admitted() {
		t.Errorf("request 1.3 s later: reason %q, want it admitted", verdict.Reason)
	}
	if verdict := l.Admit(102.5, "b", "t", 0.01); verdict.Reason != WithinQuota {
		t.Errorf("request of the other team: reason %q, want WithinQuota", verdict.Reason)
	}
	checkBalances(t, l)
}

// Rejected requests get a Retry-After at which the bucket has filled enough for them, one after another. Without a
// guaranteed rate there is none.
func TestRetryAfter(t *testing.T) {
	l := newTestLimiter(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 0.1})
	for l.Bucket("a").Balance() > 0 {
		l.Admit(100, "a", "t", 0.05)
	}
	sum, last := 0.0, 0.0
	for i := range 20 {
		verdict := l.Admit(100, "a", "t", 0.05)
		if verdict.Reason != OverQuota {
			t.Fatalf("request %d: reason %q, want OverQuota", i, verdict.Reason)
		}
		sum += verdict.RetryAfter
		last = verdict.RetryAfter
	}
	checkBetween(t, "mean Retry-After", sum/20, 0.4, 0.7)
	checkBetween(t, "last Retry-After", last, 0.7, 1.3)
	zeroRate := newTestLimiter(0, Quota{Team: "a"})
	if verdict := zeroRate.Admit(100, "a", "t", 1); verdict.RetryAfter != 0 {
		t.Errorf("Retry-After of a team without a guaranteed rate is %v s, want 0", verdict.RetryAfter)
	}
}

// A quota that is lowered or raised during a surge takes effect immediately. After a quota has ended, requests of its
// team are rejected and its requests in flight can still be settled.
func TestQuotaChanges(t *testing.T) {
	l := newTestLimiter(3, threeQuotas...)
	surge := flow{"c", 1000, 0.01}
	run(l, 100, 105, surge)
	lowered := []Quota{threeQuotas[0], threeQuotas[1], {Team: "c", GuaranteedRate: 0.2, Burst: 0.5}}
	l.SetQuotas(105, 3, lowered)
	checkBetween(t, "load admitted with a lowered quota", run(l, 105, 115, surge)["c"], 1.9, 2.2)
	none := []Quota{threeQuotas[0], threeQuotas[1], {Team: "c", GuaranteedRate: 0, Burst: 0.5}}
	l.SetQuotas(115, 3, none)
	checkBetween(t, "load admitted with a guaranteed rate of 0", run(l, 115, 120, surge)["c"], 0, 0.05)
	l.SetQuotas(120, 3, threeQuotas)
	checkBetween(t, "load admitted with a raised quota", run(l, 120, 130, surge)["c"], 9.9, 10.2)
	checkBalances(t, l)
	verdict := l.Admit(130.5, "a", "t", 0.1)
	if verdict.Reason != WithinQuota {
		t.Fatalf("request of a: reason %q, want WithinQuota", verdict.Reason)
	}
	l.SetQuotas(131, 3, threeQuotas[1:])
	if ended := l.Admit(131, "a", "t", 0.1); ended.Reason != UnknownTeam {
		t.Errorf("request of a team whose quota has ended: reason %q, want UnknownTeam", ended.Reason)
	}
	l.Settle(132, verdict.Reservation, 0.3)
	if len(l.Buckets()) != 2 || l.unused.rate < 0 {
		t.Errorf("%d teams are left, want 2; rate of unused load is %v, want at least 0", len(l.Buckets()), l.unused.rate)
	}
	checkBalances(t, l)
	l.SetQuotas(133, 3, threeQuotas)
	checkBetween(t, "balance of a team whose quota was added again", l.Bucket("a").Balance(), 0.4999, 0.5001)
}

// Requests of unknown teams are rejected and leave no state.
func TestUnknownTeamIsRejected(t *testing.T) {
	l := newTestLimiter(1, threeQuotas...)
	for i := range 1000 {
		verdict := l.Admit(101, fmt.Sprint("unknown", i), "t", 0.1)
		if verdict.Reservation != nil || verdict.Reason != UnknownTeam {
			t.Fatalf("request of an unknown team: reason %q, want UnknownTeam and no reservation", verdict.Reason)
		}
	}
	if len(l.buckets) != 3 {
		t.Errorf("there are buckets of %d teams, want 3", len(l.buckets))
	}
	l.Settle(102, nil, 1)
}

// For random sequences of requests, clock steps and quota changes: no load is lost or created, no team with a positive
// balance is rejected, and the admitted load stays within guaranteed rates, bursts and unused load.
func TestInvariantsOfRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 10).Draw(t, "capacity")
		drawQuota := func(i int) Quota {
			return Quota{
				Team:           fmt.Sprint(i),
				GuaranteedRate: rapid.Float64Range(0, 3).Draw(t, "guaranteed rate"),
				Burst:          rapid.Float64Range(0, 2).Draw(t, "burst"),
				BorrowRate:     rapid.SampledFrom([]float64{0, 1, 5}).Draw(t, "borrow"),
				Weight:         rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "weight"),
			}
		}
		var quotas []Quota
		for i := range rapid.IntRange(1, 6).Draw(t, "teams") {
			quotas = append(quotas, drawQuota(i))
		}
		l := NewLimiter(100, capacity, 3)
		l.SetQuotas(100, capacity, quotas)
		now := 100.0
		available, spent, largest := 0.0, 0.0, 0.0 // seconds of load
		for _, quota := range quotas {
			available += quota.Burst
		}
		var open []*Reservation
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			before := l.clock.now
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				load := rapid.Float64Range(0.001, 0.2).Draw(t, "load")
				team := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "team"))
				verdict := admitChecked(t, l, now, team, load)
				if reservation := verdict.Reservation; reservation != nil {
					open = append(open, reservation)
					spent += reservation.estimate
					largest = max(largest, reservation.estimate)
				}
			case 5, 6:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "ends")
					load := open[i].estimate * rapid.Float64Range(0, 1).Draw(t, "took")
					spent -= open[i].estimate - load
					l.Settle(now, open[i], load)
					open = append(open[:i], open[i+1:]...)
				}
			case 7:
				now += rapid.SampledFrom([]float64{0.001, 0.01, 0.3, 2, 100}).Draw(t, "seconds forward")
			case 8:
				now -= rapid.Float64Range(0, 50).Draw(t, "seconds back")
			case 9:
				if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
					i := rapid.IntRange(0, len(quotas)-1).Draw(t, "quota to change")
					quotas[i] = drawQuota(i)
					available += quotas[i].Burst
					l.SetQuotas(now, capacity, quotas)
				}
			}
			checkBalances(t, l)
			guaranteed := 0.0
			for _, quota := range quotas {
				guaranteed += quota.GuaranteedRate
			}
			available += (l.clock.now - before) * max(capacity, guaranteed)
			// The balance of each team and of unused load may be one request below zero, and a change of quotas keeps the
			// balances.
			allowed := available + largest*float64(2*len(quotas)+2) + 10*float64(len(quotas))
			if spent > allowed {
				t.Fatalf("load of %v was admitted, want at most %v", spent, allowed)
			}
		}
	})
}

// admitChecked admits a request, and checks that a team with a balance is not rejected and that Retry-After is
// bounded.
func admitChecked(t *rapid.T, l *Limiter, now float64, team string, load float64) Verdict {
	l.advance(now)
	hadBalance := false
	if b := l.Bucket(team); b != nil {
		l.refill(b)
		hadBalance = b.balance > 0
	}
	verdict := l.Admit(now, team, "t", load)
	if hadBalance && verdict.Reason != WithinQuota {
		t.Fatalf("request of a team with a positive balance: reason %q, want WithinQuota", verdict.Reason)
	}
	if verdict.RetryAfter < 0 || verdict.RetryAfter > maxRetryAfter*1.25 {
		t.Fatalf("Retry-After is %v s, want 0 to 1.25 times maxRetryAfter", verdict.RetryAfter)
	}
	return verdict
}

// Attempts that wait behind another team's work are charged at most a few times their duration without waiting.
// Attempts that become costly themselves are charged in full after some time.
func TestWaitingIsNotCharged(t *testing.T) {
	l := newTestLimiter(10, Quota{Team: "a", GuaranteedRate: 10, Burst: 10})
	reservation := l.Admit(100, "a", "t", 0.01).Reservation
	mean := func(seconds func(i int) float64) (sum float64) {
		for i := range 400 {
			charged := l.ChargeableTime(reservation, seconds(i))
			if i >= 200 {
				sum += charged / 200
			}
		}
		return sum
	}
	withoutWaiting := func(i int) float64 { return 0.008 + 0.004*float64(i%3) }
	checkBetween(t, "mean charge without waiting", mean(withoutWaiting), 0.0119, 0.0121)
	// Two of three attempts wait behind work of 200 ms: they are charged a few times their own 10 ms, not 210 ms.
	waiting := func(i int) float64 { return 0.01 + 0.2*float64(min(i%3, 1)) }
	checkBetween(t, "mean charge with waiting", mean(waiting), 0.03, 0.05)
	costly := func(int) float64 { return 0.1 }
	checkBetween(t, "mean charge with all attempts costly", mean(costly), 0.09, 0.1001)
}

func BenchmarkAdmitAndSettle(b *testing.B) {
	for _, n := range []int{1, 100, 10000} {
		b.Run(fmt.Sprint(n, "-teams"), func(b *testing.B) {
			l := newTestLimiter(float64(2*n), manyQuotas(n)...)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("team-%d", i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := 100 + float64(i)*1e-5
				verdict := l.Admit(now, names[i%n], "t", 0.01)
				l.Settle(now, verdict.Reservation, 0.01)
			}
		})
	}
}

// Measures the memory of an idle team with a quota.
func BenchmarkMemoryPerTeam(b *testing.B) {
	const n = 10000
	quotas := manyQuotas(n)
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := newTestLimiter(2*n, quotas...)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(l)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/team")
}
