package service

import (
	"bendtrestle/internal/broker"
	"bendtrestle/internal/config"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/operatorconfig"
)

// reservedDescriptors returns how many descriptors are reserved for the operators' file: for teams' listeners and for
// watches of pools' endpoint lists.
func reservedDescriptors(operators operatorconfig.File) int {
	reserved := len(operators.Pools) * config.DescriptorsPerWatch
	for _, team := range operators.Teams {
		if team.Listen != "" {
			reserved += config.DescriptorsPerListener
		}
	}
	return reserved
}

// warnIfDescriptorsShort warns if there are too few descriptors for the operators' file: listeners and polls of list
// services may fail.
func (s *Service) warnIfDescriptorsShort(enough bool) {
	if !enough {
		s.log.Warn().Int("sockets", s.conf.Descriptors).
			Msg("limits.sockets is too low for the listeners and pools of the operators' file; some may fail")
	}
}

// processLimits returns the configuration with the limits of this process: all processes of a router share its limits.
func (s *Service) processLimits() config.Config {
	if s.restart.otherProcesses > 0 {
		return s.conf.WithHalfLimits()
	}
	return s.conf
}

// addOtherProcesses changes the number of other processes of this router, and adjusts the limits.
func (s *Service) addOtherProcesses(change int) {
	s.restart.otherProcesses += change
	s.applyLimits()
}

// applyLimits updates all limits of this process.
func (s *Service) applyLimits() {
	limits := s.processLimits()
	limitMemory(limits)
	s.clients.frontend.SetLimits(frontendLimits(limits))
	s.memory.setLimits(limits)
	s.broker.SetLimits(brokerLimits(limits))
	namedFraction := 0.0
	for _, named := range s.operators.Pools {
		namedFraction += named.Connections
		if p := s.pools.named[named.Name]; p != nil {
			p.servers.SetMaxConnections(connectionLimit(limits.UpstreamConnections, named.Connections))
		}
	}
	s.pools.platform.servers.SetMaxConnections(connectionLimit(limits.UpstreamConnections, 1-namedFraction))
}

func frontendLimits(conf config.Config) frontend.Limits {
	return frontend.Limits{
		Connections:       conf.ClientConnections,
		RejectConnections: conf.RejectConnections,
		WriteBytes:        conf.BufferedBytes,
	}
}

func brokerLimits(conf config.Config) broker.Limits {
	return broker.Limits{
		Requests:      conf.OpenRequests,
		BufferedBytes: valueLimits(conf).TotalBytes,
		Connections:   conf.ClientConnections,
	}
}

// connectionLimit returns a fraction (0 to 1) of the connections to servers, at least one.
func connectionLimit(connections int, fraction float64) int {
	return max(1, int(float64(connections)*fraction))
}
