package service

import (
	"testing"
	"time"

	"bendtrestle/internal/admin"
)

// A loop that is held up refuses a call in time, and does not carry it out later.
func TestAdminCallIsDoneInTimeOrNotAtAll(t *testing.T) {
	handler, addr, _ := startWithAdmin(t, startCacheServer(t, 0))
	held := make(chan bool)
	handler.service.loop.Post(func() { <-held })
	began := time.Now()
	if err := handler.Drain(); err != admin.ErrBusy || time.Since(began) > time.Second {
		t.Errorf("it is told %v after %v", err, time.Since(began))
	}
	close(held)
	if got := sendCommand(addr, "mn"); got != "MN" {
		t.Errorf("later mn is answered %q", got)
	}
}
