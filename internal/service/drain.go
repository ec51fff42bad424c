package service

// drainRejectSeconds is the time after the start of a drain from which further requests are rejected. The requirement
// is that 4 s after the start of a drain no open request is younger than 2 s.
const drainRejectSeconds = 1.5

// Drain sends clients away until Undrain. The process keeps running.
func (h *adminHandler) Drain() error {
	return h.onLoop(func() error { return h.service.setDraining(true) })
}

// Undrain accepts clients again.
func (h *adminHandler) Undrain() error {
	return h.onLoop(func() error { return h.service.setDraining(false) })
}

// setDraining begins or ends a drain. In a drain the health check fails immediately. After acceptAfterSignalSeconds
// connections are closed as they become idle; from drainRejectSeconds on the others reject further requests, and are
// closed once all that their clients have sent is answered.
func (s *Service) setDraining(on bool) error {
	if s.lifecycle.phase >= Leaving {
		return errShuttingDown
	}
	if s.lifecycle.draining == on {
		return nil
	}
	s.lifecycle.draining = on
	s.lifecycle.drainChanges++
	s.log.Info().Bool("draining", on).Int("clients", s.clients.frontend.Connections()).Msg("drain")
	s.clients.frontend.SetDraining(on)
	if on {
		s.scheduleDrainStep(acceptAfterSignalSeconds, s.clients.frontend.CloseIdle)
		s.scheduleDrainStep(drainRejectSeconds, s.clients.frontend.RejectNew)
	}
	return nil
}

// scheduleDrainStep runs a step of the current drain after a delay in seconds, unless the drain has ended or the
// process is shutting down by then.
func (s *Service) scheduleDrainStep(delay float64, step func()) {
	drain := s.lifecycle.drainChanges
	s.loop.After(delay, func() {
		sameDrain := s.lifecycle.draining && s.lifecycle.drainChanges == drain
		if sameDrain && s.lifecycle.phase < Leaving {
			step()
		}
	})
}
