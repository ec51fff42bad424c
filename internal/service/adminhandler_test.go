package service

import (
	"testing"
	"time"

	"bendtrestle/internal/admin"
)

// The loop is blocked while an operator calls Drain. The call must fail within a second, and must not be executed once
// the loop runs again.
func TestAdminCallThatTimesOutIsNotExecuted(t *testing.T) {
	handler, addr, _ := startWithAdmin(t, startCacheServer(t, 0))
	release := make(chan bool)
	handler.service.loop.Post(func() { <-release })
	began := time.Now()
	if err := handler.Drain(); err != admin.ErrBusy || time.Since(began) > time.Second {
		t.Errorf("got %v after %v, want ErrBusy within a second", err, time.Since(began))
	}
	close(release)
	if got := sendCommand(addr, "mn"); got != "MN" {
		t.Errorf("after the loop was blocked: mn got %q, want MN", got)
	}
}
