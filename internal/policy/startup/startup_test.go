package startup

import (
	"math"
	"testing"
)

// A start passes its phases in order. It reaches full service once enough requests of a whole window were completed and
// the endpoint list is confirmed, or when hardly any requests arrive, and it never goes back.
func TestPhasesAreReachedInOrder(t *testing.T) {
	tracker := NewTracker(100)
	for _, c := range []struct {
		now                 float64
		known, confirmed    bool
		received, completed uint64
		want                Phase
	}{
		{100.1, false, false, 10, 0, Listening},
		{101.2, true, false, 30, 0, EndpointsCached},
		{101.4, true, false, 40, 5, WarmingUp},
		{102.5, true, false, 60, 25, WarmingUp}, // all requests are completed, but the endpoint list is not confirmed
		{103.6, true, true, 90, 40, WarmingUp},
		{104.7, true, true, 120, 70, FullService},
		{106, true, true, 220, 70, FullService},
	} {
		if c.known {
			tracker.OnEndpoints(3, c.confirmed)
		}
		tracker.Tick(c.now, c.received, c.completed)
		if phase, _, _ := tracker.Phase(); phase != c.want {
			t.Errorf("at %v s: got phase %v, want %v", c.now, phase, c.want)
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
		t.Errorf("without requests: got phase %v, want full", phase)
	}
}

// Hints are usable up to their maximum age, binding records at any time. A hint from the future is not usable: the
// clock was set back, so its age is unknown.
func TestUsableDependsOnKindAndAge(t *testing.T) {
	for _, c := range []struct {
		name          string
		kind          string
		storedAt, now float64
		want          bool
	}{
		{"a recent hint", CompletionRate, 100, 110, true},
		{"a hint beyond its maximum age", CompletionRate, 100, 401, false},
		{"a hint from the future", CompletionRate, 100, 99, false},
		{"a hint without a valid time", CompletionRate, math.NaN(), 99, false},
		{"a hint within a longer maximum age", EndpointList, 100, 401, true},
		{"a binding record from the future", DisabledServers, 100, 9, true},
		{"an unknown kind", "none", 1, 1, false},
	} {
		if got := Usable(c.kind, c.storedAt, c.now); got != c.want {
			t.Errorf("%s: %s stored at %v, now %v: got %t, want the opposite", c.name, c.kind, c.storedAt, c.now, got)
		}
	}
}
