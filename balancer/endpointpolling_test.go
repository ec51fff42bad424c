package balancer

import "testing"

func TestFailedPollsAreRetriedWithBackoff(t *testing.T) {
	b, host := newTestBalancer(1, func(s *Settings) {
		s.PollEndpoints = true
		s.PollInterval = 16
	})
	b.OnEndpoints(1, UpdateFailed, nil)
	b.OnEndpoints(2, UpdateFailed, nil)
	expectEqual(t, "delay", b.polling.retryDelay, 2.0)
	b.OnTimer(3, "rewatch")
	expectEqual(t, "action", host.lastAction(), "watch true")
}
