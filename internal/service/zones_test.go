package service

import (
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/zonefailover"
)

// How an execution ended says something of a zone, or not: a client in a hurry and what was never sent say nothing.
func TestWhatSpeaksOfZones(t *testing.T) {
	s, _ := next(t, freeAddress(t), "127.0.0.1:1", t.TempDir())
	on(s, func() bool {
		s.openZones(operatorconfig.File{Zones: operatorconfig.Zones{On: true}})
		s.zones.begin()
		return true
	})
	for _, c := range []struct {
		how  balancer.Outcome
		took float64
		bad  bool
	}{{balancer.TimedOut, 0.5, true}, {balancer.TimedOut, 0.05, false}, {balancer.ConnectFailed, 0, true}, {balancer.ConnectionLost, 0, true},
		{balancer.NotAttempted, 0.5, false}, {balancer.Cancelled, 0.5, false}, {balancer.ServerError, 0.1, false}, {balancer.Overloaded, 0, false}} {
		suspected := on(s, func() int {
			f := zonefailover.New(zonefailover.Settings{RouterCount: 1})
			s.zones.fleet = f
			f.OnEndpoints(s.loop.Now(), map[string]int{"a": 1, "b": 1}, nil)
			s.zones.AttemptEnded("a", s.zones.AttemptStarted("a", 0.2), c.how, c.took, 0.2)
			return f.Statuses(s.loop.Now())[0].VotesAgainst
		})
		if (suspected > 0) != c.bad {
			t.Errorf("outcome %d after %v s: %d against the zone, want some: %t", c.how, c.took, suspected, c.bad)
		}
	}
}
