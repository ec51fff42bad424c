package service

import "cmp"

// Phase is a stage of a router process between its start and its exit. A process never goes back to an earlier one.
// It is not the phase of package startup, which is the router's progress to full service and is shown in admin.Status;
// this one appears only in log lines.
type Phase int

const (
	// Starting: no endpoint list is known. Commands are read, but the health check fails: mn, memcache's no-op, which
	// clients use as a health check, is not answered with MN.
	Starting Phase = iota
	// Serving: requests are served, and the health check succeeds.
	Serving
	// Leaving: SIGTERM was received. Connections are still accepted, and all requests are served.
	Leaving
	// Finishing: no new connections are accepted; each one is closed once it is idle.
	Finishing
	// Ended: the process no longer serves and is about to exit.
	Ended
)

// String returns the phase's name in log lines.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "finishing", "ended"}[p]
}

// Bounds of the graceful shutdown, in seconds.
const (
	// acceptAfterSignalSeconds is how long connections are accepted after SIGTERM: clients open new ones for up to 0.4 s.
	acceptAfterSignalSeconds = 0.5
	// maxKillWaitSeconds: the platform waits for the longest deadline before SIGKILL, but no longer than this.
	maxKillWaitSeconds = 3
	// killMarginSeconds is how long the platform waits beyond that.
	killMarginSeconds = 0.7
	// maxHoldUpSeconds is how long the process may be held up between a look at the clock and a write.
	maxHoldUpSeconds = 0.15
	// finalAnswerLeadSeconds is how long before the earliest SIGKILL all open requests get their final answers. Both the
	// signal and the timer may be handled late.
	finalAnswerLeadSeconds = 2 * maxHoldUpSeconds
	// lastAnswersSeconds is how long clients have to read the final answers before the process ends.
	lastAnswersSeconds = 0.1
	// defaultClientWaitSeconds is the longest deadline if the settings state none, as in package frontend.
	defaultClientWaitSeconds = 1
	// longValueExtraSeconds is how much longer a long value may be in flight: 4 MiB to a slow client take seconds.
	longValueExtraSeconds = 30
	// longValuePollSeconds is the time between two checks whether the long values are sent.
	longValuePollSeconds = 0.1
	// idlePollSeconds is the time between two checks whether all clients have disconnected.
	idlePollSeconds = 0.01
)

// lifecycle is the phase of the process and the state of its drain.
type lifecycle struct {
	phase        Phase
	startedAt    float64 // seconds of the loop's clock
	draining     bool    // an operator drains this process
	drainChanges int     // counts starts and ends of drains, to skip delayed steps of earlier drains
}

func (s *Service) enterPhase(phase Phase) {
	s.lifecycle.phase = phase
	s.publish()
	s.log.Info().Stringer("phase", phase).Msg("phase")
}

// startServing enters Serving and accepts clients.
func (s *Service) startServing() {
	s.clients.frontend.SetReady()
	s.enterPhase(Serving)
	s.startAccepting()
}

// acceptsClients reports whether this process serves new clients.
func (s *Service) acceptsClients() bool {
	return s.lifecycle.phase == Serving && !s.lifecycle.draining && s.restart.servingSuccessors == 0
}

// beginShutdown begins the graceful shutdown. A second call does nothing.
func (s *Service) beginShutdown() {
	if s.lifecycle.phase >= Leaving {
		return
	}
	s.enterPhase(Leaving)
	acceptFor := acceptAfterSignalSeconds
	if s.restart.servingSuccessors > 0 { // a successor accepts late connections
		acceptFor = 0
	}
	s.loop.After(acceptFor, s.finish)
	answerWithin := max(s.earliestKill()-finalAnswerLeadSeconds, acceptAfterSignalSeconds)
	deadline := s.loop.Now() + answerWithin
	s.log.Info().
		Float64("answered_within", answerWithin).
		Float64("longest_deadline", s.longestDeadline()).
		Int("open", s.clients.frontend.OpenRequests()).
		Msg("shutdown begins")
	s.clients.frontend.SetFinalDeadline(deadline)
	s.loop.Timer(s.answerOpenRequests).Set(deadline)
}

// longestDeadline returns the longest deadline, in seconds, of the platform's classes and of all teams since the start.
func (s *Service) longestDeadline() float64 {
	return max(s.longestPlatformDeadline(), s.broker.LongestDeadline())
}

// longestPlatformDeadline returns the longest deadline, in seconds, that the platform's settings state.
func (s *Service) longestPlatformDeadline() float64 {
	longest := 0.0
	for _, class := range s.conf.Settings.TrafficClasses {
		longest = max(longest, class.Deadline)
	}
	return cmp.Or(longest, defaultClientWaitSeconds)
}

// earliestKill returns the shortest time, in seconds, between SIGTERM and SIGKILL. The platform derives it from the
// traffic classes in its own settings: the deadlines of teams, and the times that clients state, do not extend it.
func (s *Service) earliestKill() float64 {
	return min(s.longestPlatformDeadline(), maxKillWaitSeconds) + killMarginSeconds
}

// answerOpenRequests gives all open requests their final answers, rejects new ones, and ends the process after clients
// have had time to read the answers. Long values in flight do not delay the answers on other connections.
func (s *Service) answerOpenRequests() {
	s.log.Info().
		Int("open", s.clients.frontend.OpenRequests()).
		Int("long_values", s.clients.frontend.OpenBodyStreams()).
		Msg("shutdown: open requests get their final answers")
	for _, p := range s.pools.active() {
		p.core.FailAll()
	}
	for _, p := range s.pools.retiring {
		p.core.FailAll()
	}
	latest := s.loop.Now() + longValueExtraSeconds
	s.loop.After(lastAnswersSeconds/2, s.clients.frontend.StopReading)
	s.loop.After(lastAnswersSeconds, func() { s.endAfterLongValues(latest) })
}

// endAfterLongValues ends the process once no long value is in flight, or at latest (seconds of the loop's clock). A
// SIGKILL in that time cuts them off no earlier than ending here would.
func (s *Service) endAfterLongValues(latest float64) {
	if s.clients.frontend.OpenBodyStreams() == 0 || s.loop.Now() > latest {
		s.end()
		return
	}
	s.loop.After(longValuePollSeconds, func() { s.endAfterLongValues(latest) })
}

// finish stops accepting connections and closes each open one once it is idle.
func (s *Service) finish() {
	s.clients.closeListeners()
	noSuccessorServes := s.restart.servingSuccessors == 0
	if s.restart.predecessor != nil && noSuccessorServes {
		// Only the predecessor can still accept clients; it does so when this process disconnects from it.
		s.disconnectOtherProcesses()
	}
	if s.restart.listener != nil && s.restart.otherProcesses > 0 && noSuccessorServes {
		// The successor is still starting. Only it can still answer clients, if only with an error that it is starting;
		// it does so when this listener is closed.
		s.restart.listener.Close()
	}
	s.enterPhase(Finishing)
	s.clients.frontend.CloseIdle()
	s.endOnceIdle()
}

func (s *Service) endOnceIdle() {
	if s.clients.frontend.Connections() == 0 && s.loop.HalfClosedConns() == 0 {
		s.end()
		return
	}
	s.clients.frontend.ExtendSendBuffers(s.conf.MemoryBytes / 2)
	s.clients.frontend.CloseIdle() // a connection may have become idle since the last check
	s.loop.After(idlePollSeconds, s.endOnceIdle)
}

// end closes what is still open, such as the admin server and the files, and stops the loop.
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
