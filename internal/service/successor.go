package service

import (
	"encoding/json"
	"maps"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/hotrestart"
)

// successorHandler handles the requests and the state changes of successor processes. Package hotrestart calls it on
// goroutines of its own.
type successorHandler struct{ service *Service }

var _ hotrestart.SuccessorHandler = successorHandler{}

// Sockets returns the descriptors of the sockets that clients connect to, by address; the caller closes them.
func (h successorHandler) Sockets() map[string]int {
	result := make(chan map[string]int, 1)
	h.service.loop.Post(func() { result <- h.service.listeningSockets() })
	return <-result
}

// listeningSockets duplicates the sockets that clients connect to. It returns none if this process does not listen at
// the platform's address.
func (s *Service) listeningSockets() map[string]int {
	sockets := map[string]int{}
	if s.clients.listener == nil || s.lifecycle.phase >= Finishing {
		return sockets
	}
	listeners := maps.Clone(s.clients.teamListeners)
	listeners[s.conf.Listen] = s.clients.listener
	for address, listener := range listeners {
		descriptor, err := listener.Descriptor()
		if err == nil {
			sockets[address] = descriptor
		}
	}
	return sockets
}

// State returns the endpoint list as it was last received here, encoded.
func (h successorHandler) State() []byte {
	result := make(chan restartState, 1)
	h.service.loop.Post(func() { result <- h.service.restartState() })
	text, err := json.Marshal(<-result)
	if err != nil {
		h.service.log.Error().Err(err).
			Msg("the endpoint list cannot be encoded for the successor process; it starts without the list")
	}
	return text
}

func (s *Service) restartState() restartState {
	platform := s.pools.platform
	state := restartState{Discovery: s.conf.Discovery}
	state.List.Generation = max(platform.latestGeneration(), s.conf.InitialEndpoints.Generation)
	state.List.Full = true
	for _, entry := range platform.endpoints {
		state.List.Entries = append(state.List.Entries, saveEntry(entry))
	}
	for _, id := range platform.withdrawals.RecentlyRemoved(s.loop.Now()) {
		_, listed := platform.endpoints[id]
		if listed {
			continue
		}
		removed := discovery.Instance{Endpoint: balancer.Endpoint{ID: id, State: balancer.Removed}}
		state.List.Entries = append(state.List.Entries, saveEntry(removed))
	}
	return state
}

// Started is called when a successor has received the sockets and is starting.
func (h successorHandler) Started() { h.service.loop.Post(func() { h.service.addOtherProcesses(1) }) }

// Serving is called when a successor accepts clients. This process then stops accepting.
func (h successorHandler) Serving() { h.service.loop.Post(h.service.onSuccessorServes) }

func (s *Service) onSuccessorServes() {
	s.restart.servingSuccessors++
	s.log.Info().Msg("the successor process accepts clients; this one accepts no more")
	s.clients.suspendListeners()
	s.publish()
}

// Ended is called when a successor has ended; served reports whether it had accepted clients.
func (h successorHandler) Ended(served bool) {
	h.service.loop.Post(func() { h.service.onSuccessorEnded(served) })
}

// onSuccessorEnded accepts clients again if the last successor that served has ended, unless this process is shutting
// down too.
func (s *Service) onSuccessorEnded(served bool) {
	if s.lifecycle.phase == Ended {
		return
	}
	if !served {
		s.addOtherProcesses(-1)
		return
	}
	s.removeOtherProcessLater()
	s.restart.servingSuccessors--
	if s.restart.servingSuccessors > 0 || s.lifecycle.phase >= Leaving {
		return
	}
	s.log.Warn().Msg("the successor process has ended; this one accepts clients again")
	s.clients.resumeListeners()
	if s.restart.listener != nil { // the socket's path has been taken over by the successor
		s.restart.listener.Close()
		s.restart.listener = nil
	}
	s.offerSockets()
	s.publish()
}
