package service

import "cmp"

// Phase is a named part of a router process's life, from its start to its exit. A process never goes back to an
// earlier one. It is not the phase of package startup, which says how far the router is on its way to full service and
// is what admin.Status shows; this one is shown in log lines alone.
type Phase int

const (
	// Starting: no endpoint list is known. Commands are taken; the health check fails: mn, memcache's no-op, which
	// clients use as a health check, is not answered by MN.
	Starting Phase = iota
	// Serving: requests are served, and the health check succeeds.
	Serving
	// Leaving: SIGTERM has come. Connections are still accepted, and all requests are served.
	Leaving
	// Finishing: no new connections are accepted; each one is closed once it is idle.
	Finishing
	// Ended: nothing is open any more.
	Ended
)

// String is the phase as log lines name it.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "finishing", "ended"}[p]
}

// Bounds of the graceful shutdown, in seconds.
const (
	// acceptAfterSignalSeconds is how long connections are accepted after SIGTERM: new ones come for up to 0.4 s.
	acceptAfterSignalSeconds = 0.5
	// killMarginSeconds: SIGKILL comes no sooner than the longest deadline and this after SIGTERM.
	killMarginSeconds = 0.7
	// lastAnswersSeconds is kept free before SIGKILL for the last answers to be sent and read.
	lastAnswersSeconds = 0.1
	// defaultClientWaitSeconds is how long a client of a traffic class without a deadline is taken to wait, as in
	// frontend.
	defaultClientWaitSeconds = 1
	// longValueExtraSeconds is how much longer a long value may be under way: 4 MiB to a slow client take seconds.
	longValueExtraSeconds = 30
	// longValuePollSeconds is the time between two looks whether the long values are sent.
	longValuePollSeconds = 0.1
	// idlePollSeconds is the time between two looks whether all clients have gone.
	idlePollSeconds = 0.01
)

// lifecycle is where the process stands between start and exit.
type lifecycle struct {
	phase        Phase
	startedAt    float64 // seconds of the loop's clock
	draining     bool    // an operator has clients sent away
	drainChanges int     // how often a drain began or ended, so that a late step of an earlier drain does nothing
}

func (s *Service) enterPhase(phase Phase) {
	s.lifecycle.phase = phase
	s.publish()
	s.log.Info().Stringer("phase", phase).Msg("phase")
}

// startServing takes clients from now on.
func (s *Service) startServing() {
	s.clients.frontend.SetReady()
	s.enterPhase(Serving)
	s.startAccepting()
}

// acceptsClients reports whether clients that come now are served by this process.
func (s *Service) acceptsClients() bool {
	return s.lifecycle.phase == Serving && !s.lifecycle.draining && s.restart.servingSuccessors == 0
}

// beginShutdown handles the signal to end. A second one changes nothing.
func (s *Service) beginShutdown() {
	if s.lifecycle.phase >= Leaving {
		return
	}
	s.enterPhase(Leaving)
	acceptFor := acceptAfterSignalSeconds
	if s.restart.servingSuccessors > 0 { // a successor accepts what comes late
		acceptFor = 0
	}
	s.loop.After(acceptFor, s.finish)
	deadline := s.loop.Now() + s.longestClientWait() + killMarginSeconds - lastAnswersSeconds
	s.clients.frontend.SetFinalDeadline(deadline)
	s.loop.Timer(func() { s.endAtDeadline(deadline + longValueExtraSeconds) }).Set(deadline)
}

// longestClientWait is how many seconds a client waits at most.
func (s *Service) longestClientWait() float64 {
	longest := s.broker.LongestDeadline()
	for _, class := range s.conf.Settings.TrafficClasses {
		longest = max(longest, cmp.Or(class.Deadline, defaultClientWaitSeconds))
	}
	return longest
}

// endAtDeadline ends the router whatever is open, except for long values under way, which have until latest
// (seconds of the loop's clock): a kill meanwhile would cut them off no earlier than ending here does.
func (s *Service) endAtDeadline(latest float64) {
	if s.clients.frontend.OpenBodyStreams() == 0 || s.loop.Now() > latest {
		s.answerAllAndEnd()
		return
	}
	s.loop.After(longValuePollSeconds, func() { s.endAtDeadline(latest) })
}

// answerAllAndEnd sends all open requests their final answer, rejects what still comes, and ends the process once
// clients have had time to read that.
func (s *Service) answerAllAndEnd() {
	for _, p := range s.pools.active() {
		p.core.FailAll()
	}
	for _, p := range s.pools.retiring {
		p.core.FailAll()
	}
	s.loop.After(lastAnswersSeconds/2, s.clients.frontend.StopReading)
	s.loop.After(lastAnswersSeconds, s.end)
}

// finish accepts no more connections and closes those that are idle, as they become so.
func (s *Service) finish() {
	s.clients.closeListeners()
	noSuccessorServes := s.restart.servingSuccessors == 0
	if s.restart.predecessor != nil && noSuccessorServes { // it is the only process left that can accept
		s.disconnectOtherProcesses()
	}
	if s.restart.listener != nil && s.restart.otherProcesses > 0 && noSuccessorServes {
		// The successor is not ready; it alone can answer now, if only that it starts.
		s.restart.listener.Close()
	}
	s.enterPhase(Finishing)
	s.clients.frontend.CloseIdle()
	s.endOnceIdle()
}

func (s *Service) endOnceIdle() {
	if s.clients.frontend.Connections() == 0 && s.loop.Finishing() == 0 {
		s.end()
		return
	}
	s.clients.frontend.ExtendSendBuffers(s.conf.MemoryBytes / 2)
	s.clients.frontend.CloseIdle() // a connection may have become idle since the last look
	s.loop.After(idlePollSeconds, s.endOnceIdle)
}

// end closes all that is open and stops the loop.
func (s *Service) end() {
	if s.lifecycle.phase == Ended {
		return
	}
	s.enterPhase(Ended)
	s.logCounts()
	if s.admin.server != nil {
		s.admin.server.Close()
	}
	s.disabled.file.Close()
	s.zones.close()
	s.startup.close()
	s.disconnectOtherProcesses()
	for _, p := range s.pools.active() {
		p.stopWatching()
	}
	s.loop.Stop()
}
