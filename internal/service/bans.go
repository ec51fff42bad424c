package service

import (
	"errors"
	"time"

	"bendtrestle/internal/admin"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/hotrestart"
)

// openBans takes what operators have called before this process began, and what they call at another process of this router.
func (s *Service) openBans() {
	path := hotrestart.Path(s.conf.Shared, s.conf.Listen, "out")
	bans, ids := disabledservers.Open(path, func(ids []string) { s.loop.Post(func() { s.bar(ids) }) }, s.log)
	s.bans = bans
	s.bar(ids)
}

// bar takes the whole set of cache servers that are out.
func (s *Service) bar(ids []string) {
	now := map[string]bool{}
	for _, id := range ids {
		if now[id] = true; !s.out[id] {
			s.barOne(id, true)
		}
	}
	for id := range s.out {
		if !now[id] {
			s.barOne(id, false)
		}
	}
	s.publish()
}

func (s *Service) barOne(id string, out bool) {
	if s.out[id] = true; !out {
		delete(s.out, id)
	}
	s.log.Info().Str("server", id).Bool("out", out).Msg("by hand")
	s.platform.bar(discovery.ID(id), out)
	for _, p := range s.pools {
		p.bar(discovery.ID(id), out)
	}
}

// known tells whether a list has named a server, or it is out.
func (s *Service) known(id string) bool {
	if s.out[id] {
		return true
	}
	_, known := s.platform.known[discovery.ID(id)]
	for _, p := range s.pools {
		_, there := p.known[discovery.ID(id)]
		known = known || there
	}
	return known
}

// DisableServer leaves a cache server out until Enable.
func (d *desk) DisableServer(id string) error { return d.hand(id, true) }

// EnableServer lets a cache server serve again.
func (d *desk) EnableServer(id string) error { return d.hand(id, false) }

// patience is how long after its beginning a call waits for the other process to let go of the file: 0.2 s more may go by for the disk
// and 0.4 s for the loop, and an answer is owed in a second. The loop waits for neither.
const patience = 350 * time.Millisecond

// hand writes the call down and says yes once the loop has acted on it. The loop takes whole sets in the order in which they were
// written, so that two calls at once do not undo one another for a moment: a server would count as back, and cold.
func (d *desk) hand(id string, out bool) error {
	until := time.Now().Add(patience)
	err := d.do(func() error {
		if !d.s.known(id) {
			return admin.ErrUnknownServer
		}
		return nil
	})
	if err != nil {
		return err
	}
	err = d.s.bans.Update(id, out, until)
	if err != nil && !errors.Is(err, disabledservers.ErrLocalOnly) {
		return err
	}
	if err != nil {
		d.s.log.Error().Err(err).Str("server", id).Msg("what was called by hand cannot be kept for the next process")
	}
	if late := d.do(func() error { return nil }); late != nil && err == nil {
		return errWritten
	}
	return err
}

var errWritten = errors.New("the call is written down, but the router has not come to it yet")
