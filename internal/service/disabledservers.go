package service

import (
	"errors"
	"time"

	"bendtrestle/internal/admin"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/hotrestart"
)

// disabledServers holds the servers that operators have disabled, by their ids in the endpoint list.
type disabledServers struct {
	ids  map[string]bool
	file *disabledservers.Registry // shared by all processes of this router
}

// openDisabledServers applies the servers that operators disabled before this process started, and follows the changes
// that they make at other processes of this router.
func (s *Service) openDisabledServers() {
	path := hotrestart.Path(s.conf.SharedFolder, s.conf.Listen, "out")
	changed := func(ids []string) { s.loop.Post(func() { s.applyDisabled(ids) }) }
	file, ids := disabledservers.Open(path, changed, s.log)
	s.disabled.file = file
	s.applyDisabled(ids)
}

// applyDisabled applies the complete set of disabled servers.
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

// isKnownServer reports whether any endpoint list since the start has named the server, or the server is disabled.
func (s *Service) isKnownServer(id string) bool {
	if s.disabled.ids[id] {
		return true
	}
	for _, p := range s.pools.active() {
		if _, known := p.known[discovery.ID(id)]; known {
			return true
		}
	}
	return false
}

// DisableServer sends a server no more requests until EnableServer.
func (h *adminHandler) DisableServer(id string) error { return h.setServerDisabled(id, true) }

// EnableServer undoes DisableServer.
func (h *adminHandler) EnableServer(id string) error { return h.setServerDisabled(id, false) }

// setServerDisabled saves the change and returns once the loop has applied it. The loop applies complete sets in the
// order in which they were saved. Otherwise two concurrent calls could undo each other's change for a moment, and a
// server that was enabled for that moment would count as warming up.
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
			Msg("the server is disabled in this process, but the change cannot be saved for other processes")
	}
	applyErr := h.onLoop(func() error { return nil }) // runs after the set is applied, which the registry has posted
	if applyErr != nil && err == nil {
		return errSavedNotApplied
	}
	return err
}
