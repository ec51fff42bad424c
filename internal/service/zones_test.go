package service

import (
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/zonefailover"
	"bendtrestle/internal/testaddress"
)

// Which outcomes of an attempt count against its zone. A timeout before the latency objective does not, nor does an
// attempt that was never sent.
func TestZoneEvidence(t *testing.T) {
	s, _ := startProcess(t, testaddress.New(), "127.0.0.1:1", t.TempDir())
	runOnLoop(s, func() {
		s.openZones(operatorconfig.File{Zones: operatorconfig.Zones{On: true}})
		s.zones.begin()
	})
	const objective = 0.2 // seconds
	for _, attempt := range []struct {
		name    string
		outcome balancer.Outcome
		took    float64 // seconds
		against bool
	}{
		{"timed out", balancer.TimedOut, 0.5, true},
		{"timed out before the objective", balancer.TimedOut, 0.05, false},
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
			token := s.zones.AttemptStarted("a", objective)
			s.zones.AttemptEnded("a", token, attempt.outcome, attempt.took, objective)
			return controller.Statuses(s.loop.Now())[0].VotesAgainst
		})
		if (votes > 0) != attempt.against {
			t.Errorf("%s: got %d votes against the zone, want some: %t", attempt.name, votes, attempt.against)
		}
	}
}
