package fleetsize

import "testing"

// Fewer than stated are silent ones; more count from when they are heard until they have been silent for long; no end of senders is kept.
func TestRouters(t *testing.T) {
	for _, x := range []struct {
		stated, heard int
		later         float64
		want          int
	}{
		{0, 0, 0, 1}, {30, 0, 0, 30}, {30, 10, 0, 30}, {30, 29, 0, 30}, {30, 30, 0, 31}, {30, 299, 0, 300}, {30, 299, 9.9, 300},
		{30, 299, 10, 30}, {1, 3, 2, 4}, {30, 100000, 0, 4097}, {30, 100000, 10, 30},
	} {
		c := New[int](x.stated)
		for from := range x.heard {
			c.OnMessage(5, from)
		}
		if got := c.Size(5 + x.later); got != x.want {
			t.Errorf("%+v: %d routers", x, got)
		}
	}
}

// Who speaks on counts on, once.
func TestWhoSpeaksOn(t *testing.T) {
	c := New[string](1)
	for now := 0.0; now < 100; now += 3 {
		c.OnMessage(now, "a")
		if now < 50 {
			c.OnMessage(now, "b")
		}
		want := 3
		if now >= 60 {
			want = 2
		}
		if got := c.Size(now); got != want {
			t.Errorf("at %v there are %d routers, want %d", now, got, want)
		}
	}
}
