package service

import (
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/frontend/tileserver"
	"bendtrestle/internal/operatorconfig"
)

// clientSide is the frontend and the listeners for clients.
type clientSide struct {
	frontend          *frontend.Frontend
	listener          *eventloop.Listener            // at the platform's address; nil until this process listens there
	teamListeners     map[string]*eventloop.Listener // by their addresses
	tileServers       map[string]*tileserver.Server  // of the teams' listeners for HTTP, by their addresses
	listenWhenServing bool                           // listen at the platform's address once this process serves
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

// suspendListeners stops accepting connections until resumeListeners.
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

// openListener listens at the platform's address. If another process listens there and offers no sockets, this one
// listens there too once it serves.
func (s *Service) openListener() error {
	if s.restart.predecessor == nil {
		inUse, err := eventloop.AddressInUse(s.conf.Listen)
		if err != nil {
			return err
		}
		if inUse {
			s.log.Info().Str("listen", s.conf.Listen).
				Msg("another process listens at the address; this one will share it once it serves")
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

// listenAt listens at an address, on the predecessor's socket if it has handed over one for that address.
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

// startAccepting accepts clients and notifies the predecessor.
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
		s.log.Error().Err(err).Str("listen", s.conf.Listen).Msg("cannot accept clients at the platform's address")
	}
	s.openTeamListeners(s.operators)
	if s.restart.predecessor != nil {
		s.restart.predecessor.NotifyServing()
	}
	s.restart.closeUnusedSockets()
	s.offerSockets()
}

// openTeamListeners opens and closes the teams' listeners according to the operators' file. If one cannot be opened,
// that is logged, and its team has no listener until the next reload.
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

// closeTeamListeners reconfigures the listeners that remain, and closes those that are no longer wanted or whose
// protocol has changed. Their open connections continue.
func (s *Service) closeTeamListeners(wanted map[string]bool, tileFronts map[string]operatorconfig.TileFront) {
	for address, listener := range s.clients.teamListeners {
		front, wantsTiles := tileFronts[address]
		server := s.clients.tileServers[address]
		if wantsTiles && server != nil {
			server.Configure(front.Service, front.TrafficClass, front.WaitHeader)
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
		server := tileserver.New(front.Service, front.TrafficClass, front.WaitHeader)
		s.clients.tileServers[address] = server
		protocol = server.Protocol
	}
	listener, err := s.listenAt(address, protocol)
	if err != nil {
		s.log.Error().Err(err).Str("listen", address).
			Msg("a team's listener cannot be opened; the team has none until the next reload")
		delete(s.clients.tileServers, address)
		return
	}
	s.clients.teamListeners[address] = listener
}
