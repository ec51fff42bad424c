package pace

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Callers that failed together must not come back together, nor for ever at the same rate.
func TestWaitsDoubleToABoundSpreadAndStartAnew(t *testing.T) {
	p, q := Pace{First: 0.1, Most: 1, Seed: 1}, Pace{First: 0.1, Most: 1, Seed: 2}
	for i, mean := range []float64{0.1, 0.2, 0.4, 0.8, 1, 1} {
		if a, b := p.Failed(), q.Failed(); a < mean/2 || a > mean*1.5 || a == b {
			t.Errorf("waits %d are %v and %v, not about %v and apart", i, a, b, mean)
		}
	}
	if p.Answered(); p.Failed() > 0.15 {
		t.Error("after an answer the waits do not start anew")
	}
}

// The longest delays, by reckoning: whatever hung, an agent is asked again within the grace, and a service that has been silent
// or has turned calls away before what it has counts as told (6 s, after SIGHUP 4 s).
func TestRhythmsKeepWhatIsStated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Float64Range(0.1, 1).Draw(t, "grace")
		r := Pushed(grace, 1)
		if r.Hold+r.Late >= grace || r.Again >= grace || 1.5*max(r.Pace.Most, r.Pace.First) >= grace {
			t.Errorf("with a grace of %v it is %+v", grace, r)
		}
		within := rapid.Float64Range(0, 1000).Draw(t, "within")
		r = OnRequest(within, 1)
		if silent := r.Hold + r.Late; silent+1.5*r.Pace.First > 6 || 1.5*r.Pace.Most > 4 {
			t.Errorf("within %v it is %+v", within, r)
		}
	})
}

// Whatever becomes of calls, in any order: no more are out than may be, one that was given up or overtaken tells nothing, and there is
// always a next, within the longest wait.
func TestCallsStayBoundedAndGoOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.SampledFrom([]Rhythm{Pushed(0.5, 1), OnRequest(8, 1)}).Draw(t, "rhythm")
		longest := max(r.Hold+r.Late, r.Again, 1.5*r.Pace.Most, lagging)
		c, out, next := Calls{Rhythm: r}, []int(nil), 0.0
		begin := func() {
			number, hold, late, life := c.Begin()
			if out = append(out, number); len(out) > r.Most || hold > late || late > longest || life <= late {
				t.Fatalf("%d calls are out, the last holds %v of %v and ends after %v", len(out), hold, late, life)
			}
			next = late
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
			number := rapid.IntRange(1, 100).Draw(t, "call")
			counts := slices.Contains(out, number)
			switch rapid.SampledFrom([]string{"overdue", "told", "failed", "old"}).Draw(t, "what") {
			case "overdue":
				dropped, wait, late := c.Overdue()
				if late != (len(out) > 0) {
					t.Fatalf("with %d calls out an answer is late: %v", len(out), late)
				}
				if dropped > 0 {
					drop(dropped)
				}
				if next = wait; wait == 0 {
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
					next = c.Failed(rapid.Bool().Draw(t, "old"))
				}
			}
			if next <= 0 || next > longest {
				t.Fatalf("the next comes after %v", next)
			}
		}
	})
}
