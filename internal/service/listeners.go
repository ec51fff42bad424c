package service

import (
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/frontend/tileserver"
	"bendtrestle/internal/operatorconfig"
)

// clientSide is what clients connect to.
type clientSide struct {
	frontend          *frontend.Frontend
	listener          *eventloop.Listener            // at the platform's address; nil while another process holds that
	teamListeners     map[string]*eventloop.Listener // by their addresses
	tileServers       map[string]*tileserver.Server  // those of the teams' listeners that speak HTTP, by their addresses
	listenWhenServing bool                           // the platform's address is shared once this process serves
}

func newClientSide() clientSide {
	return clientSide{
		teamListeners: map[string]*eventloop.Listener{},
		tileServers:   map[string]*tileserver.Server{},
	}
}

func (c *clientSide) closeListeners() {
	c.listener.Close()
	for _, listener := range c.teamListeners {
		listener.Close()
	}
}

// suspendListeners accepts nothing until resumeListeners.
func (c *clientSide) suspendListeners() {
	c.listener.Suspend()
	for _, listener := range c.teamListeners {
		listener.Suspend()
	}
}

func (c *clientSide) resumeListeners() {
	c.listener.Resume()
	for _, listener := range c.teamListeners {
		listener.Resume()
	}
}

// openListener listens at the platform's address. Where another process serves there, this one joins it once it
// serves, too.
func (s *Service) openListener() error {
	if s.restart.predecessor == nil {
		held, err := eventloop.Held(s.conf.Listen)
		if err != nil {
			return err
		}
		if held {
			s.log.Info().Str("listen", s.conf.Listen).Msg("the address is held; it is shared once this process can serve")
			s.clients.listenWhenServing = true
			return nil
		}
	}
	var err error
	s.clients.listener, err = s.listenAt(s.conf.Listen, frontend.Memcache)
	if err != nil {
		return err
	}
	if s.restart.predecessor == nil {
		s.offerSockets()
	}
	return nil
}

// listenAt accepts at an address, by the predecessor's socket where it has one there.
func (s *Service) listenAt(address string, protocol frontend.Protocol) (*eventloop.Listener, error) {
	name := address
	if address == s.conf.Listen {
		name = ""
	}
	accept := s.clients.frontend.Acceptor(name, protocol)
	if descriptor, inherited := s.restart.inheritedSockets[address]; inherited {
		delete(s.restart.inheritedSockets, address)
		listener, err := s.loop.Adopt(descriptor, s.clients.frontend.CanAccept, accept)
		if err == nil {
			if s.lifecycle.phase != Starting {
				err = listener.Resume()
			}
			return listener, err
		}
	}
	return s.loop.Listen(address, s.clients.frontend.CanAccept, accept)
}

// startAccepting accepts from now on, and lets the predecessor know.
func (s *Service) startAccepting() {
	var err error
	if s.clients.listenWhenServing {
		s.clients.listenWhenServing = false
		accept := s.clients.frontend.Acceptor("", frontend.Memcache)
		s.clients.listener, err = s.loop.Listen(s.conf.Listen, s.clients.frontend.CanAccept, accept)
	} else if s.clients.listener != nil {
		err = s.clients.listener.Resume()
	}
	if err != nil {
		s.log.Error().Err(err).Str("listen", s.conf.Listen).Msg("clients cannot connect")
	}
	s.openTeamListeners(s.operators)
	if s.restart.predecessor != nil {
		s.restart.predecessor.NotifyServing()
	}
	s.restart.closeUnusedSockets()
	s.offerSockets()
}

// openTeamListeners opens and closes the teams' listeners, as the operators' file has them. One that cannot be
// opened is logged, and its team has none until the next change.
func (s *Service) openTeamListeners(operators operatorconfig.File) {
	if s.lifecycle.phase == Starting && s.restart.otherProcesses > 0 {
		return // the predecessor serves their clients
	}
	wanted := map[string]bool{}
	for _, team := range operators.Teams {
		if team.Listen != "" {
			wanted[team.Listen] = true
		}
	}
	tileFronts := map[string]operatorconfig.TileFront{}
	for _, front := range operators.TileFronts() {
		tileFronts[front.Listen] = front
	}
	s.closeTeamListeners(wanted, tileFronts)
	for address := range wanted {
		if s.clients.teamListeners[address] == nil && s.lifecycle.phase < Finishing {
			s.openTeamListener(address, tileFronts)
		}
	}
}

// closeTeamListeners changes the listeners that stay and closes those that are not wanted, or not with their
// protocol. What is open goes on.
func (s *Service) closeTeamListeners(wanted map[string]bool, tileFronts map[string]operatorconfig.TileFront) {
	for address, listener := range s.clients.teamListeners {
		front, wantsTiles := tileFronts[address]
		server := s.clients.tileServers[address]
		if wantsTiles && server != nil {
			server.Configure(front.Service, front.Kind, front.WaitHeader)
		}
		sameProtocol := wantsTiles == (server != nil)
		if wanted[address] && sameProtocol {
			continue
		}
		listener.Close()
		delete(s.clients.teamListeners, address)
		delete(s.clients.tileServers, address)
	}
}

func (s *Service) openTeamListener(address string, tileFronts map[string]operatorconfig.TileFront) {
	protocol := frontend.Memcache
	if front, wantsTiles := tileFronts[address]; wantsTiles {
		server := tileserver.New(front.Service, front.Kind, front.WaitHeader)
		s.clients.tileServers[address] = server
		protocol = server.Protocol
	}
	listener, err := s.listenAt(address, protocol)
	if err != nil {
		s.log.Error().Err(err).Str("listen", address).Msg("a team's listener cannot be opened")
		delete(s.clients.tileServers, address)
		return
	}
	s.clients.teamListeners[address] = listener
}
