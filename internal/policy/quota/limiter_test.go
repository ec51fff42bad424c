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

// A team at ten times its quota gets its guaranteed rate and its burst; the others get all that they ask for.
func TestSurgeStaysInItsQuota(t *testing.T) {
	l := newTestLimiter(3, threeQuotas...)
	got := run(l, 100, 130, flow{"a", 90, 0.01}, flow{"b", 90, 0.01}, flow{"c", 1000, 0.01})
	checkBetween(t, "what a got", got["a"], 26.9, 27)
	checkBetween(t, "what b got", got["b"], 26.9, 27)
	checkBetween(t, "what the surging team got", got["c"], 30*0.99, 30.6)
	if l.Bucket("a").Totals.Rejected+l.Bucket("b").Totals.Rejected > 0 {
		t.Error("a team within its quota was rejected")
	}
	checkBalances(t, l)
}

// The same rate with requests ten times as costly is charged ten times as much: load counts, not requests.
func TestCostlyRequestsAreChargedTheirLoad(t *testing.T) {
	l := newTestLimiter(3, threeQuotas...)
	got := run(l, 100, 130, flow{"a", 90, 0.01}, flow{"c", 90, 0.1})
	checkBetween(t, "what a got", got["a"], 26.9, 27)
	checkBetween(t, "what the team with costly requests got", got["c"], 30*0.97, 31)
	checkBalances(t, l)
}

// A request that turns out costly is charged what it took, one that turns out cheap gives the rest back.
func TestEstimateIsSettled(t *testing.T) {
	l := newTestLimiter(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 1})
	a := l.Bucket("a")
	reservation := l.Admit(100, "a", "t", 0.2).Reservation
	checkBetween(t, "the balance with the estimate charged", a.Balance(), 0.7999, 0.8001)
	l.Settle(100, reservation, 0.5)
	checkBetween(t, "the balance after it took 0.5 s", a.Balance(), 0.4999, 0.5001)
	l.Settle(100, reservation, 0.5)
	checkBetween(t, "the balance after it was settled again", a.Balance(), 0.4999, 0.5001)
	reservation = l.Admit(100, "a", "t", 9).Reservation
	l.Settle(100, reservation, 0)
	checkBetween(t, "the balance after one that took nothing", a.Balance(), 0.4999, 0.5001)
	checkBalances(t, l)
}

// Exactly at its guaranteed rate a team gets all of it; nothing beyond.
func TestExactlyAtTheGuaranteedRate(t *testing.T) {
	l := newTestLimiter(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 0.2})
	got := run(l, 100, 160, flow{"a", 100, 0.01})
	checkBetween(t, "what it got", got["a"], 59.98, 60.01)
	checkBalances(t, l)
}

// Idle for an hour, then a burst: what was saved is the burst, not the hour. A clock that jumps is no better.
func TestIdleThenBurst(t *testing.T) {
	l := newTestLimiter(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 2})
	got := run(l, 3700, 3701, flow{"a", 1000, 0.01})
	checkBetween(t, "what it got", got["a"], 2.9, 3.05)
	l.Admit(-5000, "a", "t", 0.01)
	l.Admit(9e9, "a", "t", 0.01)
	if balance := l.Bucket("a").Balance(); balance > 2 {
		t.Errorf("after clock steps it has %v", balance)
	}
	checkBalances(t, l)
}

// What is unused goes to those who ask, by weight, as far as they may borrow; its owner has it back at once.
func TestBorrowing(t *testing.T) {
	l := newTestLimiter(4,
		Quota{Team: "owner", GuaranteedRate: 2, Burst: 0.5},
		Quota{Team: "x", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5, Weight: 3},
		Quota{Team: "y", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5, Weight: 1},
		Quota{Team: "z", GuaranteedRate: 0.5, Burst: 0.1})
	x, y, z, owner := flow{"x", 1000, 0.01}, flow{"y", 400, 0.01}, flow{"z", 400, 0.01}, flow{"owner", 190, 0.01}
	got := run(l, 100, 120, x, y, z)
	// 2 of the owner and 0.5 of the capacity are left: x has three quarters of that beyond its own, y one; z may not.
	checkBetween(t, "what x got", got["x"]/20, 0.5+0.75*2.5-0.1, 0.5+0.75*2.5+0.1)
	checkBetween(t, "what y got", got["y"]/20, 0.5+0.25*2.5-0.1, 0.5+0.25*2.5+0.1)
	checkBetween(t, "what z got", got["z"]/20, 0.49, 0.52)
	checkBalances(t, l)
	got = run(l, 120, 121, x, y, z, owner)
	checkBetween(t, "what the owner got in its first second", got["owner"], 1.89, 1.91)
	if l.Bucket("owner").Totals.Rejected > 0 {
		t.Error("the owner was rejected")
	}
	got = run(l, 121, 141, x, y, z, owner)
	checkBetween(t, "what the owner got", got["owner"]/20, 1.89, 1.91)
	sum := (got["x"] + got["y"] + got["z"] + got["owner"]) / 20
	checkBetween(t, "what all got, of a capacity of 4", sum, 3.8, 4.05)
	checkBalances(t, l)
}

// A borrower that asks for little more than its own leaves the rest of its part to others.
func TestUnwantedPartsGoToOthers(t *testing.T) {
	l := newTestLimiter(3,
		Quota{Team: "x", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5},
		Quota{Team: "y", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5})
	got := run(l, 100, 130, flow{"x", 60, 0.01}, flow{"y", 1000, 0.01})
	checkBetween(t, "what x got", got["x"]/30, 0.58, 0.61)
	checkBetween(t, "what y got", got["y"]/30, 2.2, 2.45)
	checkBalances(t, l)
}

// A team may borrow no more than its quota says.
func TestBorrowingIsBounded(t *testing.T) {
	l := newTestLimiter(10, Quota{Team: "x", GuaranteedRate: 1, Burst: 0.1, BorrowRate: 0.5})
	got := run(l, 100, 130, flow{"x", 1000, 0.01})
	checkBetween(t, "what x got", got["x"]/30, 1.47, 1.55)
}

// A service hangs: 200 requests come at a small estimate and take a second each. Its team is charged that within
// bounds, and is served again soon after.
func TestHungServiceIsForgiven(t *testing.T) {
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
	checkBetween(t, "the balance", a.Balance(), -1.01, -0.9)
	if a.Totals.Forgiven < 100 {
		t.Errorf("%v was forgiven", a.Totals.Forgiven)
	}
	if verdict := l.Admit(102.5, "a", "t", 0.01); !verdict.Admitted() {
		t.Errorf("1.3 s later it is %v", verdict.Reason)
	}
	if verdict := l.Admit(102.5, "b", "t", 0.01); verdict.Reason != WithinQuota {
		t.Errorf("the other team is %v", verdict.Reason)
	}
	checkBalances(t, l)
}

// Clients of rejected requests are told to come back when there is room, one behind another.
func TestRetryAfter(t *testing.T) {
	l := newTestLimiter(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 0.1})
	for l.Bucket("a").Balance() > 0 {
		l.Admit(100, "a", "t", 0.05)
	}
	sum, last := 0.0, 0.0
	for i := range 20 {
		verdict := l.Admit(100, "a", "t", 0.05)
		if verdict.Reason != OverQuota {
			t.Fatalf("request %d is %v", i, verdict.Reason)
		}
		sum += verdict.RetryAfter
		last = verdict.RetryAfter
	}
	checkBetween(t, "the mean Retry-After", sum/20, 0.4, 0.7)
	checkBetween(t, "the last one", last, 0.7, 1.3)
	zeroRate := newTestLimiter(0, Quota{Team: "a"})
	if verdict := zeroRate.Admit(100, "a", "t", 1); verdict.RetryAfter != 0 {
		t.Errorf("a team without a guaranteed rate is told to come back in %v s", verdict.RetryAfter)
	}
}

// A quota that is lowered in the middle of a surge acts at once, raised again too; one that ends admits no more, and
// the team's requests in flight end under it.
func TestChangesOfQuotas(t *testing.T) {
	l := newTestLimiter(3, threeQuotas...)
	surge := flow{"c", 1000, 0.01}
	run(l, 100, 105, surge)
	lowered := []Quota{threeQuotas[0], threeQuotas[1], {Team: "c", GuaranteedRate: 0.2, Burst: 0.5}}
	l.SetQuotas(105, 3, lowered)
	checkBetween(t, "a lowered one got", run(l, 105, 115, surge)["c"], 1.9, 2.2)
	none := []Quota{threeQuotas[0], threeQuotas[1], {Team: "c", GuaranteedRate: 0, Burst: 0.5}}
	l.SetQuotas(115, 3, none)
	checkBetween(t, "one of nothing got", run(l, 115, 120, surge)["c"], 0, 0.05)
	l.SetQuotas(120, 3, threeQuotas)
	checkBetween(t, "a raised one got", run(l, 120, 130, surge)["c"], 9.9, 10.2)
	checkBalances(t, l)
	verdict := l.Admit(130.5, "a", "t", 0.1)
	if verdict.Reason != WithinQuota {
		t.Fatalf("a was %v", verdict.Reason)
	}
	l.SetQuotas(131, 3, threeQuotas[1:])
	if ended := l.Admit(131, "a", "t", 0.1); ended.Reason != UnknownTeam {
		t.Errorf("a team whose quota ended is %v", ended.Reason)
	}
	l.Settle(132, verdict.Reservation, 0.3)
	if len(l.Buckets()) != 2 || l.unused.rate < 0 {
		t.Errorf("%d teams are left, and %v is unused", len(l.Buckets()), l.unused.rate)
	}
	checkBalances(t, l)
	l.SetQuotas(133, 3, threeQuotas)
	checkBetween(t, "the balance of one that came back", l.Bucket("a").Balance(), 0.4999, 0.5001)
}

// An unknown team is rejected and leaves nothing behind.
func TestUnknownTeam(t *testing.T) {
	l := newTestLimiter(1, threeQuotas...)
	for i := range 1000 {
		verdict := l.Admit(101, fmt.Sprint("who", i), "t", 0.1)
		if verdict.Reservation != nil || verdict.Reason != UnknownTeam {
			t.Fatalf("it is %v", verdict.Reason)
		}
	}
	if len(l.buckets) != 3 {
		t.Errorf("there are %d teams", len(l.buckets))
	}
	l.Settle(102, nil, 1)
}

// Whatever comes in whatever order, with clock steps and changes: no load is lost or invented, no team within its
// balance is rejected, and what is admitted is within guaranteed rates, bursts and what was unused.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 10).Draw(t, "capacity")
		drawQuota := func(i int) Quota {
			return Quota{
				Team:           fmt.Sprint(i),
				GuaranteedRate: rapid.Float64Range(0, 3).Draw(t, "budget"),
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
			switch rapid.IntRange(0, 9).Draw(t, "what") {
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
				now += rapid.SampledFrom([]float64{0.001, 0.01, 0.3, 2, 100}).Draw(t, "passes")
			case 8:
				now -= rapid.Float64Range(0, 50).Draw(t, "steps back")
			case 9:
				if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
					i := rapid.IntRange(0, len(quotas)-1).Draw(t, "whose")
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
			// A team may be one request below zero, as may what is unused; a change lets what was saved stand.
			allowed := available + largest*float64(2*len(quotas)+2) + 10*float64(len(quotas))
			if spent > allowed {
				t.Fatalf("%v of load was admitted where %v was free", spent, allowed)
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
		t.Fatalf("a team within its quota is %v", verdict.Reason)
	}
	if verdict.RetryAfter < 0 || verdict.RetryAfter > maxRetryAfter*1.25 {
		t.Fatalf("it is told to come back after %v", verdict.RetryAfter)
	}
	return verdict
}

// What waits behind another team's work counts no more than a few times what it takes where it does not wait; what
// became costly itself counts in full after a while.
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
	undisturbed := func(i int) float64 { return 0.008 + 0.004*float64(i%3) }
	checkBetween(t, "what it counts undisturbed", mean(undisturbed), 0.0119, 0.0121)
	// Two of three wait behind work of 200 ms: they count a few times their own, not 210.
	waiting := func(i int) float64 { return 0.01 + 0.2*float64(min(i%3, 1)) }
	checkBetween(t, "what it counts behind others", mean(waiting), 0.03, 0.05)
	costly := func(int) float64 { return 0.1 }
	checkBetween(t, "what it counts once all are costly", mean(costly), 0.09, 0.1001)
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

// What a team holds that is known and idle, in bytes.
func BenchmarkBytesATeam(b *testing.B) {
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
