package pace

import "testing"

// A service that takes ten calls a second, in a fleet of eighty callers that all begin at once, is to have answered each of
// them soon: calls every tenth of a second would have kept it full for ever, as it counts those that it turns away.
func TestManyCallersAreAllAnswered(t *testing.T) {
	const callers, perSecond, step = 80, 10, 0.1
	paces, next, answered := [callers]Pace{}, [callers]float64{}, 0
	for i := range paces {
		paces[i] = Pace{First: 0.6, Most: 5, Seed: uint32(i)}
	}
	for now := 0.0; now < 30; now += step {
		called := []int(nil)
		for i := range next {
			if next[i] >= 0 && next[i] <= now {
				called = append(called, i)
			}
		}
		for k, i := range called {
			if k < perSecond*step && len(called) <= 10*perSecond*step { // more than that and it has no time to answer any
				next[i] = -1
				answered++
			} else {
				next[i] = now + paces[i].Failed()
			}
		}
	}
	if answered != callers {
		t.Errorf("%d of %d callers were answered in 30 s", answered, callers)
	}
}

func TestWaitsDoubleToABoundAndStartAnew(t *testing.T) {
	p, q := Pace{First: 0.1, Most: 1, Seed: 1}, Pace{First: 0.1, Most: 1, Seed: 2}
	same := 0
	for i, mean := range []float64{0.1, 0.2, 0.4, 0.8, 1, 1} {
		a, b := p.Failed(), q.Failed()
		if a < mean/2 || a > mean*1.5 {
			t.Errorf("wait %d is %v, not about %v", i, a, mean)
		}
		if a == b {
			same++
		}
	}
	if same > 0 {
		t.Errorf("%d waits of two callers are equal", same)
	}
	if p.Answered(); p.Failed() > 0.15 {
		t.Error("after an answer the waits do not start anew")
	}
}
