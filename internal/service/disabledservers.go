package service

import (
	"errors"
	"time"

	"bendtrestle/internal/admin"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/hotrestart"
)

// disabledServers is the servers that operators have disabled, by their ids in the endpoint list.
type disabledServers struct {
	ids  map[string]bool
	file *disabledservers.Registry // for all processes of this router
}

// openDisabledServers takes what operators have called before this process began, and what they call at another
// process of this router.
func (s *Service) openDisabledServers() {
	path := hotrestart.Path(s.conf.SharedFolder, s.conf.Listen, "out")
	changed := func(ids []string) { s.loop.Post(func() { s.applyDisabled(ids) }) }
	file, ids := disabledservers.Open(path, changed, s.log)
	s.disabled.file = file
	s.applyDisabled(ids)
}

// applyDisabled applies the whole set of servers that are disabled.
func (s *Service) applyDisabled(ids []string) {
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
		if !s.disabled.ids[id] {
			s.setServerDisabled(id, true)
		}
	}
	for id := range s.disabled.ids {
		if !wanted[id] {
			s.setServerDisabled(id, false)
		}
	}
	s.publish()
}

func (s *Service) setServerDisabled(id string, disabled bool) {
	if disabled {
		s.disabled.ids[id] = true
	} else {
		delete(s.disabled.ids, id)
	}
	s.log.Info().Str("server", id).Bool("out", disabled).Msg("server disabled or enabled by an operator")
	for _, p := range s.pools.active() {
		p.setDisabled(discovery.ID(id), disabled)
	}
}

// isKnownServer reports whether an endpoint list has named a server, or it is disabled.
func (s *Service) isKnownServer(id string) bool {
	if s.disabled.ids[id] {
		return true
	}
	for _, p := range s.pools.active() {
		if _, known := p.knownServers[discovery.ID(id)]; known {
			return true
		}
	}
	return false
}

// DisableServer leaves a server out until EnableServer.
func (h *adminHandler) DisableServer(id string) error { return h.setServerDisabled(id, true) }

// EnableServer lets a server serve again.
func (h *adminHandler) EnableServer(id string) error { return h.setServerDisabled(id, false) }

// setServerDisabled saves the call and returns once the loop has applied it. The loop takes whole sets in the order
// in which they were saved, so that two calls at once do not undo one another for a moment: a server would count as
// back, and as warming up.
func (h *adminHandler) setServerDisabled(id string, disabled bool) error {
	until := time.Now().Add(lockWaitTimeout)
	err := h.onLoop(func() error {
		if !h.service.isKnownServer(id) {
			return admin.ErrUnknownServer
		}
		return nil
	})
	if err != nil {
		return err
	}
	err = h.service.disabled.file.Update(id, disabled, until)
	if err != nil && !errors.Is(err, disabledservers.ErrLocalOnly) {
		return err
	}
	if err != nil {
		h.service.log.Error().Err(err).Str("server", id).
			Msg("an operator's call holds here, but cannot be kept for the next process")
	}
	late := h.onLoop(func() error { return nil }) // behind the set, which the file has posted
	if late != nil && err == nil {
		return errSavedNotApplied
	}
	return err
}
