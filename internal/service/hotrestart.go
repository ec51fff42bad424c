package service

import (
	"encoding/json"

	"bendtrestle/balancer"
	"bendtrestle/internal/hotrestart"

	"golang.org/x/sys/unix"
)

// hotRestart is the state that concerns the other processes of this router.
type hotRestart struct {
	predecessor       *hotrestart.Predecessor // nil: there is none, or it has ended
	inheritedSockets  map[string]int          // descriptors of its listening sockets, by address, until used here
	listener          *hotrestart.Listener    // for successors; nil: not open
	otherProcesses    int                     // processes of this router other than this one
	servingSuccessors int                     // successors that accept clients
}

// closeUnusedSockets closes the predecessor's sockets at addresses that this process does not listen at.
func (r *hotRestart) closeUnusedSockets() {
	for address, descriptor := range r.inheritedSockets {
		unix.Close(descriptor)
		delete(r.inheritedSockets, address)
	}
}

// hotRestartSocket returns the path of the socket at which a process waits for its successor; "" if there is no folder
// for it.
func (s *Service) hotRestartSocket() string {
	return hotrestart.Path(s.conf.SharedFolder, s.conf.Listen, "sock")
}

// findPredecessor connects to a process of this router that is already running and receives its listening sockets.
// This process accepts clients at them once it serves.
func (s *Service) findPredecessor() {
	predecessor, sockets, err := hotrestart.Takeover(s.hotRestartSocket())
	if err != nil {
		return // there is none, or it uses another protocol: then both processes listen at the address
	}
	s.restart.predecessor = predecessor
	s.restart.inheritedSockets = sockets
	s.loadRestartState(predecessor.State)
	s.log.Info().Int("sockets", len(sockets)).
		Msg("another process of this router is serving; this one takes over once it is ready")
	s.addOtherProcesses(1)
	go func() {
		predecessor.WaitForExit()
		predecessor.Close()
		s.loop.Post(s.onPredecessorEnded)
	}()
}

// onPredecessorEnded accepts clients even if this process is still starting, so that they get an answer.
func (s *Service) onPredecessorEnded() {
	s.restart.predecessor = nil
	s.removeOtherProcessLater()
	if s.lifecycle.phase == Starting { // no other process accepts clients now
		s.startAccepting()
	}
}

// removeOtherProcessLater reduces the number of other processes by one, after a delay in which that process can
// complete the requests that it has accepted. Until then it keeps its share of the limits.
func (s *Service) removeOtherProcessLater() {
	s.loop.After(s.earliestKill(), func() { s.addOtherProcesses(-1) })
}

// loadRestartState adopts the predecessor's endpoint list if it is of the same list service and no older than the list
// that this process already knows. Otherwise it adopts only the withdrawals of servers: this process's list service may
// not know of them yet.
func (s *Service) loadRestartState(text []byte) {
	var state restartState
	if json.Unmarshal(text, &state) != nil {
		return
	}
	list := state.List.list()
	sameService := state.Discovery == s.conf.Discovery && len(list.Instances) > 0
	if sameService && list.Generation >= s.conf.InitialEndpoints.Generation {
		s.conf.InitialEndpoints = list
		return
	}
	s.pools.platform.recordWithdrawals(balancer.UpdateSaved, list)
}

// offerSockets listens for a successor, which may take over the sockets.
func (s *Service) offerSockets() {
	if s.restart.listener != nil || s.lifecycle.phase >= Leaving {
		return
	}
	path := s.hotRestartSocket()
	if path == "" {
		return
	}
	var err error
	s.restart.listener, err = hotrestart.Listen(path, successorHandler{s}, s.log)
	if err != nil {
		s.log.Info().Err(err).
			Msg("cannot listen for a successor process; it will share the address instead of taking over the sockets")
	}
}

// disconnectOtherProcesses closes the connections to the predecessor and to successors.
func (s *Service) disconnectOtherProcesses() {
	if s.restart.listener != nil {
		s.restart.listener.Close()
	}
	if s.restart.predecessor != nil {
		s.restart.predecessor.Close()
	}
}
