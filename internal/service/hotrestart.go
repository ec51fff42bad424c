package service

import (
	"encoding/json"

	"bendtrestle/internal/hotrestart"

	"golang.org/x/sys/unix"
)

// hotRestart is what this process knows of the other processes of its router.
type hotRestart struct {
	predecessor       *hotrestart.Predecessor // nil: there is none, or none any more
	inheritedSockets  map[string]int          // descriptors of its listening sockets by address, until in use here
	listener          *hotrestart.Listener    // where successors ask; nil: it is not open
	otherProcesses    int                     // processes of this router beside this one
	servingSuccessors int                     // successors that accept clients
}

// closeUnusedSockets closes the predecessor's sockets where nobody here listens any more.
func (r *hotRestart) closeUnusedSockets() {
	for address, descriptor := range r.inheritedSockets {
		unix.Close(descriptor)
		delete(r.inheritedSockets, address)
	}
}

// hotRestartSocket is the path at which a process waits for its successor; "" where there is no folder for it.
func (s *Service) hotRestartSocket() string {
	return hotrestart.Path(s.conf.SharedFolder, s.conf.Listen, "sock")
}

// findPredecessor looks for a process of this router that runs already, and takes its listening sockets, to accept
// once this one serves.
func (s *Service) findPredecessor() {
	predecessor, sockets, err := hotrestart.Takeover(s.hotRestartSocket())
	if err != nil {
		return // there is none, or it does not speak this protocol: then the address is shared
	}
	s.restart.predecessor = predecessor
	s.restart.inheritedSockets = sockets
	s.loadRestartState(predecessor.State)
	s.log.Info().Int("sockets", len(sockets)).
		Msg("another process of this router serves; this one takes over once it can")
	s.addOtherProcesses(1)
	go func() {
		predecessor.WaitForExit()
		predecessor.Close()
		s.loop.Post(s.onPredecessorEnded)
	}()
}

// onPredecessorEnded takes over what is left.
func (s *Service) onPredecessorEnded() {
	s.restart.predecessor = nil
	s.removeOtherProcessLater()
	if s.lifecycle.phase == Starting { // nobody else accepts clients now
		s.startAccepting()
	}
}

// removeOtherProcessLater counts one process less beside this one, once it has had time to end what it had
// accepted: it has its part of the limits until then.
func (s *Service) removeOtherProcessLater() {
	s.loop.After(s.longestClientWait()+killMarginSeconds, func() { s.addOtherProcesses(-1) })
}

// loadRestartState takes the predecessor's endpoint list, if it is of the same list service and no older than what
// the start says.
func (s *Service) loadRestartState(text []byte) {
	var state restartState
	if json.Unmarshal(text, &state) != nil {
		return
	}
	if state.Discovery != s.conf.Discovery || len(state.List.Entries) == 0 {
		return
	}
	if state.List.Generation >= s.conf.Known.Generation {
		s.conf.Known = state.List.list()
	}
}

// offerSockets waits for a successor.
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
		s.log.Info().Err(err).Msg("no socket for a successor; it will share the address")
	}
}

// disconnectOtherProcesses lets go of the predecessor and of successors.
func (s *Service) disconnectOtherProcesses() {
	if s.restart.listener != nil {
		s.restart.listener.Close()
	}
	if s.restart.predecessor != nil {
		s.restart.predecessor.Close()
	}
}
