package fleetsize

import "testing"

// The size is at least the configured one, because silent routers still send requests. Routers beyond it count from
// their first message until silenceTimeout after their last. The number of stored senders is bounded.
func TestSizeCountsConfiguredAndHeardRouters(t *testing.T) {
	for _, c := range []struct {
		name              string
		configured, heard int
		later             float64
		want              int
	}{
		{"nothing configured", 0, 0, 0, 1},
		{"none heard", 30, 0, 0, 30},
		{"some heard", 30, 10, 0, 30},
		{"all heard", 30, 29, 0, 30},
		{"one more heard", 30, 30, 0, 31},
		{"many more heard", 30, 299, 0, 300},
		{"silent for less than the timeout", 30, 299, 9.9, 300},
		{"silent for the timeout", 30, 299, 10, 30},
		{"one configured", 1, 3, 2, 4},
		{"more than the bound", 30, 100000, 0, 4097},
		{"more than the bound, silent for the timeout", 30, 100000, 10, 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			estimator := New[int](c.configured)
			for from := range c.heard {
				estimator.OnMessage(5, from)
			}
			if got := estimator.Size(5 + c.later); got != c.want {
				t.Errorf("got size %d, want %d", got, c.want)
			}
		})
	}
}

// A router that keeps sending messages counts once, and for as long as it sends them.
func TestSizeCountsEachSenderOnce(t *testing.T) {
	estimator := New[string](1)
	for now := 0.0; now < 100; now += 3 {
		estimator.OnMessage(now, "a")
		if now < 50 {
			estimator.OnMessage(now, "b")
		}
		want := 3
		if now >= 60 {
			want = 2
		}
		if got := estimator.Size(now); got != want {
			t.Errorf("at %v: got size %d, want %d", now, got, want)
		}
	}
}
