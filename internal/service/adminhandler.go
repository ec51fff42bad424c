package service

import (
	"errors"
	"sync/atomic"
	"time"

	"bendtrestle/internal/admin"
)

const (
	// loopCallTimeout is how long a call waits for the loop to begin it: an answer is owed in a second, and a call may
	// come to the loop twice.
	loopCallTimeout = 400 * time.Millisecond
	// lockWaitTimeout is how long after its beginning a call waits for another process to let go of the file of
	// disabled servers or evacuated zones: 0.2 s more may pass for the disk and 0.4 s for the loop. The loop waits for
	// neither.
	lockWaitTimeout = 350 * time.Millisecond
	// publishIntervalSeconds is the time between two snapshots of the metrics, which may be 0.5 s old.
	publishIntervalSeconds = 0.1
)

// Why a call is not carried out, or not in time; the admin server answers with these texts.
var (
	errShuttingDown    = errors.New("the router is ending")
	errSavedNotApplied = errors.New("the call is written down, but the router has not come to it yet")
)

// adminSide is the admin server and what it calls; both nil where the configuration names no address for it.
type adminSide struct {
	handler *adminHandler
	server  *admin.Server
}

// adminHandler is what the admin server may call, from its goroutines. Each call returns within a second.
type adminHandler struct {
	service *Service
	ready   atomic.Bool
	metrics atomic.Pointer[[]byte] // the last snapshot
	// publishScheduled, of the loop: the next snapshot is on its way.
	publishScheduled bool
}

var _ admin.Handler = (*adminHandler)(nil)

// Ready reports whether clients are accepted.
func (h *adminHandler) Ready() bool { return h.ready.Load() }

// Metrics returns the last snapshot of the metrics.
func (h *adminHandler) Metrics() []byte { return *h.metrics.Load() }

// onLoop carries a call out on the loop, and returns its error. What the loop has not begun in time is not done:
// admin.ErrBusy then.
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

// publish makes a snapshot of what the admin server shows, now and again every publishIntervalSeconds.
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
