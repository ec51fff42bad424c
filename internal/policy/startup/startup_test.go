package startup

import (
	"math"
	"testing"
)

// A start goes through its phases in order, is in full service once a whole second was served as usual and the list is
// confirmed, and does not go back.
func TestPhases(t *testing.T) {
	tracker := NewTracker(100)
	for _, c := range []struct {
		now              float64
		known, confirmed bool
		taken, completed uint64
		want             Phase
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
			tracker.OnEndpoints(3, c.confirmed)
		}
		tracker.Tick(c.now, c.taken, c.completed)
		if phase, _, _ := tracker.Phase(); phase != c.want {
			t.Errorf("at %v s: %v, want %v", c.now, phase, c.want)
		}
	}
	if _, _, seconds := tracker.Phase(); seconds < 4.6 || seconds > 4.8 {
		t.Errorf("full service took %v s, want 4.7", seconds)
	}
	quiet := NewTracker(0)
	quiet.OnEndpoints(1, true)
	for now := 0.1; now < 6; now += 0.1 {
		quiet.Tick(now, 0, 0)
	}
	if phase, _, _ := quiet.Phase(); phase != FullService {
		t.Errorf("nobody came, and it is %v", phase)
	}
}

func TestUsable(t *testing.T) {
	for _, c := range []struct {
		name          string
		kind          string
		storedAt, now float64
		want          bool
	}{
		{"a young hint", CompletionRate, 100, 110, true},
		{"a hint beyond its age", CompletionRate, 100, 401, false},
		{"a hint of the future", CompletionRate, 100, 99, false},
		{"a hint of no time", CompletionRate, math.NaN(), 99, false},
		{"a hint within a longer age", EndpointList, 100, 401, true},
		{"a binding record of the future", DisabledServers, 100, 9, true},
		{"an unknown kind", "none", 1, 1, false},
	} {
		if got := Usable(c.kind, c.storedAt, c.now); got != c.want {
			t.Errorf("%s: %s of %v at %v: %t", c.name, c.kind, c.storedAt, c.now, got)
		}
	}
}
