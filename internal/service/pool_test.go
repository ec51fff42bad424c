package service

import (
	"testing"

	"bendtrestle/balancer"
)

// Where hedging is not allowed no attempt is sent behind another: one that is given up behind a long value would
// stay in flight.
func TestOneAttemptAConnectionWithoutHedging(t *testing.T) {
	if got := requestsPerConnection(balancer.Settings{}, 100); got != 1 {
		t.Errorf("without hedging %d attempts share a connection", got)
	}
	if got := requestsPerConnection(balancer.Settings{HedgingAllowed: true}, 100); got != 100 {
		t.Errorf("with hedging %d attempts share a connection", got)
	}
}
