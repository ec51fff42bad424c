package service

import (
	"testing"

	"bendtrestle/balancer"
)

// If hedging is not allowed, no attempt may share a connection with another: an attempt that is given up behind a long
// value would stay in flight.
func TestOneAttemptPerConnectionWithoutHedging(t *testing.T) {
	if got := requestsPerConnection(balancer.Settings{}, 100); got != 1 {
		t.Errorf("without hedging: got %d attempts per connection, want 1", got)
	}
	if got := requestsPerConnection(balancer.Settings{HedgingAllowed: true}, 100); got != 100 {
		t.Errorf("with hedging: got %d attempts per connection, want 100", got)
	}
}
