package service

import (
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/zonefailover"
)

// How an attempt ended says something against its zone, or not: a client in a hurry and what was never sent say
// nothing.
func TestZoneEvidence(t *testing.T) {
	s, _ := startProcess(t, freeAddress(t), "127.0.0.1:1", t.TempDir())
	runOnLoop(s, func() {
		s.openZones(operatorconfig.File{Zones: operatorconfig.Zones{On: true}})
		s.zones.begin()
	})
	const within = 0.2 // seconds
	for _, attempt := range []struct {
		name    string
		outcome balancer.Outcome
		took    float64 // seconds
		against bool
	}{
		{"timed out", balancer.TimedOut, 0.5, true},
		{"timed out, in a hurry", balancer.TimedOut, 0.05, false},
		{"connect failed", balancer.ConnectFailed, 0, true},
		{"connection lost", balancer.ConnectionLost, 0, true},
		{"not attempted", balancer.NotAttempted, 0.5, false},
		{"cancelled", balancer.Cancelled, 0.5, false},
		{"server error", balancer.ServerError, 0.1, false},
		{"overloaded", balancer.Overloaded, 0, false},
	} {
		votes := callOnLoop(s, func() int {
			controller := zonefailover.New(zonefailover.Settings{RouterCount: 1})
			s.zones.controller = controller
			controller.OnEndpoints(s.loop.Now(), map[string]int{"a": 1, "b": 1}, nil)
			mark := s.zones.AttemptStarted("a", within)
			s.zones.AttemptEnded("a", mark, attempt.outcome, attempt.took, within)
			return controller.Statuses(s.loop.Now())[0].VotesAgainst
		})
		if (votes > 0) != attempt.against {
			t.Errorf("%s: %d against the zone, want some: %t", attempt.name, votes, attempt.against)
		}
	}
}
