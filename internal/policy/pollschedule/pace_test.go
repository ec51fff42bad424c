package pollschedule

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Callers that failed together must not come back together, nor for ever at the same rate.
func TestWaitsDoubleToABoundSpreadAndStartAnew(t *testing.T) {
	p, q := Backoff{Initial: 0.1, Max: 1, Seed: 1}, Backoff{Initial: 0.1, Max: 1, Seed: 2}
	for i, mean := range []float64{0.1, 0.2, 0.4, 0.8, 1, 1} {
		if a, b := p.Failed(10), q.Failed(10); a < mean/2 || a > mean*1.5 || a == b {
			t.Errorf("waits %d are %v and %v, not about %v and apart", i, a, b, mean)
		}
	}
	if p.Answered(); p.Failed(10) > 0.15 {
		t.Error("after an answer the waits do not start anew")
	}
	for range 10 { // where the next call is to begin sooner
		if a, b := p.Failed(0.3), q.Failed(0.3); a > 0.3 || b > 0.3 || a == b || p.Failed(-1) != 0 {
			t.Errorf("within 0.3 s they wait %v and %v", a, b)
		}
	}
}

// The longest delays, by reckoning: whatever hung, an agent is asked again within the grace, and a service that has been silent
// or has turned calls away before what it has counts as told (6 s, after SIGHUP 4 s).
func TestRhythmsKeepWhatIsStated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Float64Range(0.1, 1).Draw(t, "grace")
		r := ForLocalAgent(grace, 1)
		if r.LongPollWait+r.AnswerTolerance >= grace || r.RetryInterval >= grace || 1.5*max(r.Backoff.Max, r.Backoff.Initial) >= grace || r.MaxInterval >= grace || r.OutdatedRetry >= grace {
			t.Errorf("with a grace of %v it is %+v", grace, r)
		}
		within := rapid.Float64Range(0, 1000).Draw(t, "within")
		r = ForSharedService(within, 1)
		if silent := r.LongPollWait + r.AnswerTolerance; silent+1.5*r.Backoff.Initial > 6 || 1.5*r.Backoff.Max > 4 || r.MaxInterval+silent > 6 {
			t.Errorf("within %v it is %+v", within, r)
		}
	})
}

// Whatever becomes of calls, in any order: no more are out than may be, one that was given up or overtaken tells nothing, and there is
// always a next, within the longest wait and within the gap that is allowed since the last began.
func TestCallsStayBoundedAndGoOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.SampledFrom([]Schedule{ForLocalAgent(0.5, 1), ForSharedService(8, 1)}).Draw(t, "rhythm")
		longest := max(r.LongPollWait+r.AnswerTolerance, r.RetryInterval, 1.5*r.Backoff.Max, r.OutdatedRetry)
		c, out, due, now, began := Calls{Schedule: r}, []int(nil), 0.0, 0.0, 0.0
		begin := func() {
			number, hold, late, life := c.Begin(now)
			if out = append(out, number); len(out) > r.MaxInFlight || hold > late || late > longest || life <= late || life < r.MinLifetime {
				t.Fatalf("%d calls are out, the last holds %v of %v and ends after %v", len(out), hold, late, life)
			}
			due, began = now+late, now
		}
		drop := func(number int) {
			i := slices.Index(out, number)
			if i < 0 {
				t.Fatalf("call %d is given up, which is not out", number)
			}
			out = slices.Delete(out, i, i+1)
		}
		begin()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = min(due, now+rapid.Float64Range(0, 1).Draw(t, "after")*(due-now)) // not beyond it by rounding
			number := rapid.IntRange(1, 100).Draw(t, "call")
			counts := slices.Contains(out, number)
			switch rapid.SampledFrom([]string{"overdue", "told", "failed", "old"}).Draw(t, "what") {
			case "overdue":
				dropped, wait, late := c.Overdue(now)
				if late != (len(out) > 0) {
					t.Fatalf("with %d calls out an answer is late: %v", len(out), late)
				}
				if dropped > 0 {
					drop(dropped)
				}
				if due = now + wait; wait == 0 {
					begin()
				}
			case "told":
				if c.Ended(number) != counts {
					t.Fatalf("call %d counts: %v", number, !counts)
				} else if counts {
					drop(number)
					for _, other := range c.Told() {
						drop(other)
					}
					if len(out) > 0 {
						t.Fatalf("after a list %v are out", out)
					}
					begin()
				}
			case "failed", "old":
				if c.Ended(number) != counts {
					t.Fatalf("call %d counts: %v", number, !counts)
				} else if counts {
					drop(number)
					wait := c.Failed(now, rapid.Bool().Draw(t, "old"))
					if due = now + wait; wait < 0 || wait == 0 && now < began+r.MaxInterval {
						t.Fatalf("at %v, a call of %v has failed, it waits %v", now, began, wait)
					}
				}
			}
			if due < now || due-now > longest+1e-9 || due > max(now, began+r.MaxInterval)+1e-9 {
				t.Fatalf("at %v the next comes at %v, the last began at %v", now, due, began)
			}
		}
	})
}

// fates are what may become of a call that a rhythm doubts after so long: refused at its dial, turned away, not connected, broken,
// malformed or cut in the middle of its body, at once or just before it is doubted; silent; a list without the news, at once or
// after the hold; a list that is behind.
func fates(late float64) []fate {
	return []fate{{"failed", 0}, {"failed", 0.003}, {"failed", 0.2 * late}, {"failed", 0.8 * late}, {"failed", 0.999 * late}, {"hangs", 0},
		{"told", 0.003}, {"told", 0.8 * late}, {"old", 0.003}, {"old", 0.999 * late}}
}

// Whatever became of calls before, a change is told 6 s after the service had it and could be reached: each call that begins from
// then on is answered, however slowly up to half of that (on request: up to where a call is given up). An agent's is known within
// the grace of a drain. Every sequence of three, and longer ones drawn, at every rhythm that settings allow.
func TestNothingBeforeHidesAChange(t *testing.T) {
	check := func(t interface{ Errorf(string, ...any) }, name string, r Schedule, fates []fate, answer, most float64) {
		begun, told, _ := play(r, list{fates: fates, answer: answer})
		if begun > r.MaxInterval+1e-9 || told > most {
			t.Errorf("%s: after %v the next call begins %v s after the change, which is told after %v s", name, fates, begun, told)
		}
	}
	pushed := func(t interface{ Errorf(string, ...any) }, grace float64, seed uint32, fates []fate) {
		r := ForLocalAgent(grace, seed)
		for _, answer := range []float64{0.3, 1, 2, 2.999} {
			check(t, "pushed", r, fates, answer, 6)
		}
		check(t, "pushed", r, fates, 0.0005, min(max(grace, 0.1), 1))
	}
	asked := func(t interface{ Errorf(string, ...any) }, within float64, seed uint32, fates []fate) {
		for _, answer := range []float64{0.001, 0.5, 2, 2.499} {
			check(t, "on request", ForSharedService(within, seed), fates, answer, 6)
		}
	}
	for seed := uint32(1); seed < 4; seed++ {
		for _, grace := range []float64{0, 0.1, 0.25, 0.5, 1, 30} {
			sequences(fates(ForLocalAgent(grace, 1).MaxInterval), 3, func(f []fate) { pushed(t, grace, seed, f) })
		}
		for _, within := range []float64{0, 0.5, 1, 4, 10, 1000} {
			sequences(fates(2.5), 3, func(f []fate) { asked(t, within, seed, f) })
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		grace, within, seed := rapid.Float64Range(0, 2).Draw(t, "grace"), rapid.Float64Range(0, 20).Draw(t, "within"), rapid.Uint32().Draw(t, "seed")
		of := func(late float64) []fate {
			return rapid.SliceOfN(rapid.SampledFrom(fates(late)), 1, 20).Draw(t, "fates")
		}
		pushed(t, grace, seed, of(ForLocalAgent(grace, seed).MaxInterval))
		asked(t, within, seed, of(2.5))
	})
}

// A service on request that was silent and is full at its return turns a call away once: the next is still answered in time, if soon, for
// silence does not tell that it is full.
func TestACallTurnedAwayAfterSilenceCostsNoMoreThanIsStated(t *testing.T) {
	for _, within := range []float64{0, 1, 4, 10, 1000} {
		for seed := uint32(1); seed < 100; seed++ {
			sequences([]fate{{"hangs", 0}, {"told", 0.003}}, 5, func(f []fate) {
				if _, told, _ := play(ForSharedService(within, seed), list{fates: f, answer: 0.5, turned: 1}); told > 6 {
					t.Errorf("within %v: after %v and a call that is turned away it is told after %v s", within, f, told)
				}
			})
		}
	}
}

// The same where a service that the router moves to lags, or counts anew, and its list is taken whole only after 2 s: with the agent
// the news is there within the 4 s that count after SIGHUP.
func TestAServiceThatLagsHidesAChangeNoLonger(t *testing.T) {
	for seed := uint32(1); seed < 4; seed++ {
		for _, grace := range []float64{0.1, 0.5, 1} {
			sequences(fates(ForLocalAgent(grace, 1).MaxInterval), 2, func(f []fate) {
				if _, told, _ := play(ForLocalAgent(grace, seed), list{fates: f, answer: 0.001, lags: 2}); told > 4 {
					t.Errorf("grace %v: after %v it is told after %v s", grace, f, told)
				}
			})
		}
		for _, within := range []float64{0, 1, 4, 10} {
			sequences(fates(2.5), 2, func(f []fate) {
				if _, told, _ := play(ForSharedService(within, seed), list{fates: f, answer: 2, lags: 2}); told > 6 {
					t.Errorf("within %v: after %v it is told after %v s", within, f, told)
				}
			})
		}
	}
}

// Calls that a full service turns away cost it, too: all routers of a fleet that find it back after 8 s must come to be answered, by
// refusals as by silence, and where it can take them all in 4 s none is called for nothing.
func TestAFleetIsAnsweredByAFullService(t *testing.T) {
	const routers = 300
	for _, c := range []struct {
		hangs       bool
		takes, last float64 // seconds in which it takes a call of each, and by when the last is to be answered
		turned      int     // calls that it turns away at the most
	}{{false, 4, 5, 0}, {true, 4, 5, 0}, {false, 6, 8, routers}, {true, 6, 8, routers}, {false, 10, 40, 10 * routers}, {true, 10, 40, 10 * routers}} {
		last, turned := crowd(routers, routers/c.takes, c.hangs)
		t.Logf("hangs %v, takes all in %v s: the last is answered after %.1f s, %d turned away", c.hangs, c.takes, last, turned)
		if last > c.last || turned > c.turned {
			t.Errorf("hangs %v, takes all in %v s: the last is answered after %.1f s, %d are turned away", c.hangs, c.takes, last, turned)
		}
	}
}
