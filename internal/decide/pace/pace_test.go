package pace

import "testing"

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
