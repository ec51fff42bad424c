package quota

import (
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

var three = []Quota{{Team: "a", GuaranteedRate: 1, Burst: 0.5}, {Team: "b", GuaranteedRate: 1, Burst: 0.5}, {Team: "c", GuaranteedRate: 1, Burst: 0.5}}

// A team at ten times its budget gets its budget and its burst; the others get all that they ask for.
func TestSurgeStaysInItsBudget(t *testing.T) {
	p := pool(3, three...)
	got := run(p, 100, 130, flow{"a", 90, 0.01}, flow{"b", 90, 0.01}, flow{"c", 1000, 0.01})
	between(t, "what a got", got["a"], 26.9, 27)
	between(t, "what b got", got["b"], 26.9, 27)
	between(t, "what the surging team got", got["c"], 30*0.99, 30.6)
	if p.Bucket("a").Totals.Rejected+p.Bucket("b").Totals.Rejected > 0 {
		t.Error("a team within its budget was declined")
	}
	balanced(t, p)
}

// The same rate with operations ten times as dear costs ten times as much: load counts, not operations.
func TestDearOperationsWeighWhatTheyCost(t *testing.T) {
	p := pool(3, three...)
	got := run(p, 100, 130, flow{"a", 90, 0.01}, flow{"c", 90, 0.1})
	between(t, "what a got", got["a"], 26.9, 27)
	between(t, "what the dear team got", got["c"], 30*0.97, 31)
	balanced(t, p)
}

// An operation that turns out dear is charged what it took, one that turns out cheap gives the rest back.
func TestEstimateIsSettled(t *testing.T) {
	p := pool(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 1})
	a := p.Bucket("a")
	k, _, _ := p.Admit(100, "a", "t", 0.2)
	between(t, "the balance with the estimate held", a.Balance(), 0.7999, 0.8001)
	p.Settle(100, k, 0.5)
	between(t, "the balance after it took 0.5 s", a.Balance(), 0.4999, 0.5001)
	p.Settle(100, k, 0.5)
	between(t, "the balance after it was settled again", a.Balance(), 0.4999, 0.5001)
	k, _, _ = p.Admit(100, "a", "t", 9)
	p.Settle(100, k, 0)
	between(t, "the balance after one that took nothing", a.Balance(), 0.4999, 0.5001)
	balanced(t, p)
}

// Exactly at its budget a team gets all of it; nothing beyond.
func TestExactlyAtTheBudget(t *testing.T) {
	p := pool(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 0.2})
	got := run(p, 100, 160, flow{"a", 100, 0.01})
	between(t, "what it got", got["a"], 59.98, 60.01)
	balanced(t, p)
}

// Idle for an hour, then a burst: what was saved is the burst, not the hour. A clock that jumps is no better.
func TestIdleThenBurst(t *testing.T) {
	p := pool(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 2})
	got := run(p, 3700, 3701, flow{"a", 1000, 0.01})
	between(t, "what it got", got["a"], 2.9, 3.05)
	p.Admit(-5000, "a", "t", 0.01)
	p.Admit(9e9, "a", "t", 0.01)
	if b := p.Bucket("a").Balance(); b > 2 {
		t.Errorf("after clock steps it has %v", b)
	}
	balanced(t, p)
}

// What is left unused goes to those who ask, by weight, as far as they may borrow; its owner has it back at once.
func TestBorrowing(t *testing.T) {
	p := pool(4, Quota{Team: "owner", GuaranteedRate: 2, Burst: 0.5}, Quota{Team: "x", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5, Weight: 3},
		Quota{Team: "y", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5, Weight: 1}, Quota{Team: "z", GuaranteedRate: 0.5, Burst: 0.1})
	x, y, z, owner := flow{"x", 1000, 0.01}, flow{"y", 400, 0.01}, flow{"z", 400, 0.01}, flow{"owner", 190, 0.01}
	got := run(p, 100, 120, x, y, z)
	// 2 of the owner and 0.5 of the capacity are left: x has three quarters of that beyond its own, y one; z may not.
	between(t, "what x got", got["x"]/20, 0.5+0.75*2.5-0.1, 0.5+0.75*2.5+0.1)
	between(t, "what y got", got["y"]/20, 0.5+0.25*2.5-0.1, 0.5+0.25*2.5+0.1)
	between(t, "what z got", got["z"]/20, 0.49, 0.52)
	balanced(t, p)
	got = run(p, 120, 121, x, y, z, owner)
	between(t, "what the owner got in its first second", got["owner"], 1.89, 1.91)
	if p.Bucket("owner").Totals.Rejected > 0 {
		t.Error("the owner was declined")
	}
	got = run(p, 121, 141, x, y, z, owner)
	between(t, "what the owner got", got["owner"]/20, 1.89, 1.91)
	sum := (got["x"] + got["y"] + got["z"] + got["owner"]) / 20
	between(t, "what all got, of a capacity of 4", sum, 3.8, 4.05)
	balanced(t, p)
}

// One who asks for little more than its own leaves the rest of its share to others.
func TestUnwantedSharesGoOn(t *testing.T) {
	p := pool(3, Quota{Team: "x", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5}, Quota{Team: "y", GuaranteedRate: 0.5, Burst: 0.1, BorrowRate: 5})
	got := run(p, 100, 130, flow{"x", 60, 0.01}, flow{"y", 1000, 0.01})
	between(t, "what x got", got["x"]/30, 0.58, 0.61)
	between(t, "what y got", got["y"]/30, 2.2, 2.45)
	balanced(t, p)
}

// It may borrow no more than its contract says.
func TestBorrowIsBounded(t *testing.T) {
	p := pool(10, Quota{Team: "x", GuaranteedRate: 1, Burst: 0.1, BorrowRate: 0.5})
	got := run(p, 100, 130, flow{"x", 1000, 0.01})
	between(t, "what x got", got["x"]/30, 1.47, 1.55)
}

// A service that hangs costs its team what it held, within bounds: it is served again soon after.
func TestHungServiceIsForgiven(t *testing.T) {
	p := pool(2, Quota{Team: "a", GuaranteedRate: 1, Burst: 1}, Quota{Team: "b", GuaranteedRate: 1, Burst: 1})
	var held []*Reservation
	for i := range 200 { // all come at the estimate, and take a second each
		if k, why, _ := p.Admit(100+float64(i)*0.001, "a", "t", 0.001); why.Admitted() {
			held = append(held, k)
		}
	}
	for _, k := range held {
		p.Settle(101.2, k, 1)
	}
	a := p.Bucket("a")
	between(t, "the balance", a.Balance(), -1.01, -0.9)
	if a.Totals.Forgiven < 100 {
		t.Errorf("%v was forgiven", a.Totals.Forgiven)
	}
	if _, why, _ := p.Admit(102.5, "a", "t", 0.01); why.Admitted() != true {
		t.Errorf("1.3 s later it is %v", why)
	}
	if _, why, _ := p.Admit(102.5, "b", "t", 0.01); why != WithinQuota {
		t.Errorf("the other team is %v", why)
	}
	balanced(t, p)
}

// Those that are declined are told to come back when there is room, one behind another.
func TestComingBack(t *testing.T) {
	p := pool(1, Quota{Team: "a", GuaranteedRate: 1, Burst: 0.1})
	for p.Bucket("a").Balance() > 0 {
		p.Admit(100, "a", "t", 0.05)
	}
	sum, last := 0.0, 0.0
	for i := range 20 {
		_, why, after := p.Admit(100, "a", "t", 0.05)
		if why != OverQuota {
			t.Fatalf("operation %d is %v", i, why)
		}
		sum, last = sum+after, after
	}
	between(t, "the mean time away", sum/20, 0.4, 0.7)
	between(t, "the last one's", last, 0.7, 1.3)
	if _, _, after := pool(0, Quota{Team: "a"}).Admit(100, "a", "t", 1); after != 0 {
		t.Errorf("a team without a budget is told to come back in %v s", after)
	}
}

// A contract that is lowered in the middle of a surge acts at once, raised again too; one that ends takes no more, and
// what it had open ends under it.
func TestChanges(t *testing.T) {
	p := pool(3, three...)
	surge := flow{"c", 1000, 0.01}
	run(p, 100, 105, surge)
	p.SetQuotas(105, 3, []Quota{three[0], three[1], {Team: "c", GuaranteedRate: 0.2, Burst: 0.5}})
	between(t, "a lowered one got", run(p, 105, 115, surge)["c"], 1.9, 2.2)
	p.SetQuotas(115, 3, []Quota{three[0], three[1], {Team: "c", GuaranteedRate: 0, Burst: 0.5}})
	between(t, "one of nothing got", run(p, 115, 120, surge)["c"], 0, 0.05)
	p.SetQuotas(120, 3, three)
	between(t, "a raised one got", run(p, 120, 130, surge)["c"], 9.9, 10.2)
	balanced(t, p)
	k, why, _ := p.Admit(130.5, "a", "t", 0.1)
	if why != WithinQuota {
		t.Fatalf("a was %v", why)
	}
	p.SetQuotas(131, 3, three[1:])
	if _, why, _ := p.Admit(131, "a", "t", 0.1); why != UnknownTeam {
		t.Errorf("a team whose contract ended is %v", why)
	}
	p.Settle(132, k, 0.3)
	if len(p.Buckets()) != 2 || p.rate < 0 {
		t.Errorf("%d teams are left, and %v is unused", len(p.Buckets()), p.rate)
	}
	balanced(t, p)
	p.SetQuotas(133, 3, three)
	between(t, "the balance of one that came back", p.Bucket("a").Balance(), 0.4999, 0.5001)
}

// An unknown team is declined and leaves nothing behind.
func TestUnknownTeam(t *testing.T) {
	p := pool(1, three...)
	for i := range 1000 {
		if k, why, _ := p.Admit(101, fmt.Sprint("who", i), "t", 0.1); k != nil || why != UnknownTeam {
			t.Fatalf("it is %v", why)
		}
	}
	if len(p.teams) != 3 {
		t.Errorf("there are %d teams", len(p.teams))
	}
	p.Settle(102, nil, 1)
}

// Whatever comes in whatever order, with clock steps and changes: no load is lost or invented, no team within its
// balance is declined, and what is admitted is within budget, burst and what was free.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 10).Draw(t, "capacity")
		contract := func(i int) Quota {
			return Quota{Team: fmt.Sprint(i), GuaranteedRate: rapid.Float64Range(0, 3).Draw(t, "budget"),
				Burst: rapid.Float64Range(0, 2).Draw(t, "burst"), BorrowRate: rapid.SampledFrom([]float64{0, 1, 5}).Draw(t, "borrow"),
				Weight: rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "weight")}
		}
		var all []Quota
		for i := range rapid.IntRange(1, 6).Draw(t, "teams") {
			all = append(all, contract(i))
		}
		p := NewLimiter(100, capacity, 3)
		p.SetQuotas(100, capacity, all)
		now, free, spent, most := 100.0, 0.0, 0.0, 0.0
		for _, c := range all {
			free += c.Burst
		}
		var out []*Reservation
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			before := p.clock
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				load := rapid.Float64Range(0.001, 0.2).Draw(t, "load")
				name := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "team"))
				m := p.Bucket(name)
				p.advance(now)
				had := m != nil && func() bool { p.settle(m); return m.balance > 0 }()
				k, why, after := p.Admit(now, name, "t", load)
				if had && why != WithinQuota {
					t.Fatalf("a team within its budget is %v", why)
				}
				if after < 0 || after > longestWait*1.25 {
					t.Fatalf("it is told to come back after %v", after)
				}
				if k != nil {
					out, spent, most = append(out, k), spent+k.held, max(most, k.held)
				}
			case 5, 6:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "ends")
					took := out[i].held * rapid.Float64Range(0, 1).Draw(t, "took")
					spent -= out[i].held - took
					p.Settle(now, out[i], took)
					out = append(out[:i], out[i+1:]...)
				}
			case 7:
				now += rapid.SampledFrom([]float64{0.001, 0.01, 0.3, 2, 100}).Draw(t, "passes")
			case 8:
				now -= rapid.Float64Range(0, 50).Draw(t, "steps back")
			case 9:
				if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
					i := rapid.IntRange(0, len(all)-1).Draw(t, "whose")
					all[i] = contract(i)
					free += all[i].Burst
					p.SetQuotas(now, capacity, all)
				}
			}
			balanced(t, p)
			budgets := 0.0
			for _, c := range all {
				budgets += c.GuaranteedRate
			}
			free += (p.clock - before) * max(capacity, budgets)
			// A team may be one operation below zero, as may what is left unused; a change lets what was saved stand.
			if allowed := free + most*float64(2*len(all)+2) + 10*float64(len(all)); spent > allowed {
				t.Fatalf("%v of load was admitted where %v was free", spent, allowed)
			}
		}
	})
}

func BenchmarkArriveAndSettle(b *testing.B) {
	for _, n := range []int{1, 100, 10000} {
		b.Run(fmt.Sprint(n, "-teams"), func(b *testing.B) {
			p := pool(float64(2*n), many(n)...)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("team-%d", i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := 100 + float64(i)*1e-5
				if k, _, _ := p.Admit(now, names[i%n], "t", 0.01); k != nil {
					p.Settle(now, k, 0.01)
				}
			}
		})
	}
}

// What waits behind another team's work counts no more than a few times what it takes where it does not wait; what
// became dear itself counts in full after a while.
func TestWaitingIsNotCharged(t *testing.T) {
	p := pool(10, Quota{Team: "a", GuaranteedRate: 10, Burst: 10})
	k, _, _ := p.Admit(100, "a", "t", 0.01)
	mean := func(took func(i int) float64) (sum float64) {
		for i := range 400 {
			if x := p.ChargeableTime(k, took(i)); i >= 200 {
				sum += x / 200
			}
		}
		return sum
	}
	between(t, "what it counts undisturbed", mean(func(i int) float64 { return 0.008 + 0.004*float64(i%3) }), 0.0119, 0.0121)
	// Two of three wait behind work of 200 ms: they count a few times their own, not 210.
	between(t, "what it counts behind others", mean(func(i int) float64 { return 0.01 + 0.2*float64(min(i%3, 1)) }), 0.03, 0.05)
	between(t, "what it counts once all are dear", mean(func(int) float64 { return 0.1 }), 0.09, 0.1001)
}

// What a team holds that is known and idle, in bytes.
func BenchmarkBytesATeam(b *testing.B) {
	const n = 10000
	all := many(n)
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := pool(2*n, all...)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(p)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/team")
}
