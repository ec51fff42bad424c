package service

// drainCloseSeconds is how long after a drain began no connection is read any more: 4 s after it no request may be
// younger than 2 s.
const drainCloseSeconds = 1.5

// Drain sends clients away until Undrain. The process goes on.
func (h *adminHandler) Drain() error {
	return h.onLoop(func() error { return h.service.setDraining(true) })
}

// Undrain accepts clients again.
func (h *adminHandler) Undrain() error {
	return h.onLoop(func() error { return h.service.setDraining(false) })
}

// setDraining begins or ends sending clients away: the health check says so at once, connections are closed as they
// become idle from acceptAfterSignalSeconds on, and all others drainCloseSeconds after the beginning.
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
		s.scheduleDrainStep(drainCloseSeconds, s.clients.frontend.StopReading)
	}
	return nil
}

// scheduleDrainStep takes a step of the present drain after a delay in seconds, unless it has been called off by then or
// the process ends.
func (s *Service) scheduleDrainStep(delay float64, step func()) {
	drain := s.lifecycle.drainChanges
	s.loop.After(delay, func() {
		sameDrain := s.lifecycle.draining && s.lifecycle.drainChanges == drain
		if sameDrain && s.lifecycle.phase < Leaving {
			step()
		}
	})
}
