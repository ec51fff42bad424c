package service

import (
	"os"
	"os/signal"
	"syscall"
)

// signalBufferSize is how many signals are buffered: some may arrive before the router runs.
const signalBufferSize = 8

// reloadCounts counts the configurations that were read.
type reloadCounts struct {
	accepted uint64 // with the one at the start
	rejected uint64
}

// Signals catches SIGTERM, SIGINT and SIGHUP and buffers them for [Run]: one that arrives before the configuration is
// read must not kill the process, as it does by default. SIGPIPE is ignored, because a write to a log whose reader has
// exited must not kill the process either.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return signals
}

// handleSignals posts signals to the loop until the channel is closed; it runs on a goroutine of its own. Files are
// read on another one: a hung disk must block neither the loop nor the signal to shut down.
func (s *Service) handleSignals(signals <-chan os.Signal, reload func() (Setup, error)) {
	reloads := make(chan struct{}, 1)
	defer close(reloads)
	go func() {
		for range reloads {
			s.readConfiguration(reload)
		}
	}()
	for received := range signals {
		if received != syscall.SIGHUP {
			s.loop.Post(s.beginShutdown)
			continue
		}
		select {
		case reloads <- struct{}{}:
		default: // the reload that is waiting reads the same files
		}
	}
}

// readConfiguration reads the configuration again, outside the loop, and posts the result to the loop.
func (s *Service) readConfiguration(reload func() (Setup, error)) {
	setup, err := reload()
	if err != nil {
		s.log.Error().Err(err).Msg("the new configuration cannot be used; the old one stays")
		s.loop.Post(func() { s.reloads.rejected++ })
		return
	}
	s.loop.Post(func() { s.reconfigure(setup) })
}

// reconfigure applies a new configuration while the router serves: another list service, other pools and contracts.
// Changes that need a restart are logged and not applied.
func (s *Service) reconfigure(setup Setup) {
	if s.lifecycle.phase == Ended {
		return
	}
	if s.lifecycle.phase >= Leaving {
		s.reconfigureWhileLeaving(setup)
		return
	}
	conf := setup.Platform
	if keys := s.conf.RestartKeys(conf); len(keys) > 0 {
		s.log.Warn().Strs("keys", keys).Msg("these changes need a restart; the old values stay")
	}
	s.conf.Discovery = conf.Discovery
	s.reloads.accepted++
	s.log.Info().Str("discovery", conf.Discovery).Msg("configured anew")
	s.pools.platform.watchListService(conf.Discovery)
	if keys := s.operators.RestartKeys(setup.Operators); len(keys) > 0 {
		s.log.Warn().Strs("keys", keys).
			Msg("these changes of the operators' file need a restart; the old values stay")
		setup.Operators.Zones = s.operators.Zones
		setup.Operators.Recovery = s.operators.Recovery
		setup.Operators.Gossip = s.operators.Gossip
		setup.Operators.Cold = s.operators.Cold
	}
	s.applyContracts(setup)
	s.zones.reconfigure(setup.Operators)
}

// reconfigureWhileLeaving applies only a change of the list service. Drains still matter, but new listeners and
// contracts would have no clients.
func (s *Service) reconfigureWhileLeaving(setup Setup) {
	discovery := setup.Platform.Discovery
	s.log.Info().Str("discovery", discovery).
		Msg("configuration reloaded during the shutdown; only a change of the list service is applied")
	s.conf.Discovery = discovery
	s.pools.platform.watchListService(discovery)
}
