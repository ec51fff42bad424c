package service

import (
	"testing"

	"bendtrestle/balancer"
)

// Where second copies are barred nothing is sent behind another execution: one given up behind a long value would still be out.
func TestOneAttemptAConnectionWithoutHedging(t *testing.T) {
	if requestsPerConnection(balancer.Settings{}, 100) != 1 || requestsPerConnection(balancer.Settings{HedgingAllowed: true}, 100) != 100 {
		t.Error("executions are sent behind others")
	}
}
