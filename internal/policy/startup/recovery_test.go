package startup

import (
	"math"
	"testing"
)

// A start goes through its phases in order, is in full service once a whole second was served as usual and the list is confirmed, and
// does not go back.
func TestPhases(t *testing.T) {
	s := NewTracker(100)
	for _, c := range []struct {
		now             float64
		known, conf     bool
		taken, finished uint64
		want            Phase
	}{
		{100.1, false, false, 10, 0, Listening},
		{101.2, true, false, 30, 0, EndpointsCached},
		{101.4, true, false, 40, 5, WarmingUp},
		{102.5, true, false, 60, 25, WarmingUp}, // all is served, but by a list that nobody has confirmed
		{103.6, true, true, 90, 40, WarmingUp},
		{104.7, true, true, 120, 70, FullService},
		{106, true, true, 220, 70, FullService},
	} {
		if c.known {
			s.OnEndpoints(3, c.conf)
		}
		s.Tick(c.now, c.taken, c.finished)
		if p, _, _ := s.Phase(); p != c.want {
			t.Errorf("at %v s: %v, want %v", c.now, p, c.want)
		}
	}
	if _, _, full := s.Phase(); full < 4.6 || full > 4.8 {
		t.Errorf("full service took %v s, want 4.7", full)
	}
	quiet := NewTracker(0)
	quiet.OnEndpoints(1, true)
	for now := 0.1; now < 6; now += 0.1 {
		quiet.Tick(now, 0, 0)
	}
	if p, _, _ := quiet.Phase(); p != FullService {
		t.Errorf("nobody came, and it is %v", p)
	}
}

func TestBelieve(t *testing.T) {
	for _, c := range []struct {
		kind    string
		at, now float64
		want    bool
	}{{CompletionRate, 100, 110, true}, {CompletionRate, 100, 401, false}, {CompletionRate, 100, 99, false}, {CompletionRate, math.NaN(), 99, false}, {EndpointList, 100, 401, true}, {DisabledServers, 100, 9, true}, {"none", 1, 1, false}} {
		if got := Usable(c.kind, c.at, c.now); got != c.want {
			t.Errorf("%s of %v at %v: %t", c.kind, c.at, c.now, got)
		}
	}
}
