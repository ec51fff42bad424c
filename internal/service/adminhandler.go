package service

import (
	"errors"
	"sync/atomic"
	"time"

	"bendtrestle/internal/admin"
)

const (
	// loopCallTimeout is how long a call waits for the loop to begin it: each call must return within a second, and a
	// call may use the loop twice.
	loopCallTimeout = 400 * time.Millisecond
	// lockWaitTimeout is how long after its start a call waits for another process to release the lock of the file of
	// disabled servers or evacuated zones. Up to 0.2 s for the disk and 0.4 s for the loop may follow. The loop itself
	// waits for neither the lock nor the disk.
	lockWaitTimeout = 350 * time.Millisecond
	// publishIntervalSeconds is the time between two copies of the metrics, which may be 0.5 s old when they are read.
	publishIntervalSeconds = 0.1
)

// Reasons why a call is refused or not applied in time. The admin server answers with these texts.
var (
	errShuttingDown    = errors.New("the router is ending")
	errSavedNotApplied = errors.New("the call is written down, but the router has not come to it yet")
)

// adminSide is the admin server and its handler; both are nil if the configuration names no address for it.
type adminSide struct {
	handler *adminHandler
	server  *admin.Server
}

// adminHandler implements the calls of the admin server, on the server's goroutines. Each call returns within a second.
type adminHandler struct {
	service *Service
	ready   atomic.Bool
	metrics atomic.Pointer[[]byte] // the last copy
	// publishScheduled reports whether the next publish is scheduled. It belongs to the loop's goroutine.
	publishScheduled bool
}

var _ admin.Handler = (*adminHandler)(nil)

// Ready reports whether clients are accepted.
func (h *adminHandler) Ready() bool { return h.ready.Load() }

// Metrics returns the last copy of the metrics.
func (h *adminHandler) Metrics() []byte { return *h.metrics.Load() }

// onLoop runs a call on the loop and returns its error. A call that the loop has not begun within loopCallTimeout is
// not executed; the error is admin.ErrBusy then.
func (h *adminHandler) onLoop(act func() error) error {
	var begun atomic.Bool
	result := make(chan error, 1)
	h.service.loop.Post(func() {
		if !begun.CompareAndSwap(false, true) {
			return
		}
		err := act()
		h.service.publish()
		result <- err
	})
	select {
	case err := <-result:
		return err
	case <-time.After(loopCallTimeout):
	}
	if begun.CompareAndSwap(false, true) {
		return admin.ErrBusy
	}
	return <-result
}

// publish copies the readiness and the metrics for the admin server, and repeats that every publishIntervalSeconds.
func (s *Service) publish() {
	h := s.admin.handler
	if h == nil {
		return
	}
	h.ready.Store(s.acceptsClients())
	text := s.metrics()
	h.metrics.Store(&text)
	if h.publishScheduled || s.lifecycle.phase == Ended {
		return
	}
	h.publishScheduled = true
	s.loop.After(publishIntervalSeconds, func() {
		h.publishScheduled = false
		s.publish()
	})
}
