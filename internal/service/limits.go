package service

import (
	"bendtrestle/internal/broker"
	"bendtrestle/internal/config"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/operatorconfig"
)

// reservedDescriptors is how many descriptors are set apart for what the operators' file names: teams' listeners,
// and watches of pools' endpoint lists.
func reservedDescriptors(operators operatorconfig.File) int {
	reserved := len(operators.Pools) * config.DescriptorsPerWatch
	for _, team := range operators.Teams {
		if team.Listen != "" {
			reserved += config.DescriptorsPerListener
		}
	}
	return reserved
}

// warnIfDescriptorsShort warns where descriptors do not suffice for what is named: listeners and polls of list services may
// fail.
func (s *Service) warnIfDescriptorsShort(enough bool) {
	if !enough {
		s.log.Warn().Int("sockets", s.conf.Descriptors).
			Msg("limits.sockets is too low for the listeners and pools of the operators' file")
	}
}

// processLimits is the configuration as it limits this process: all processes of a router share its limits.
func (s *Service) processLimits() config.Config {
	if s.restart.otherProcesses > 0 {
		return s.conf.Half()
	}
	return s.conf
}

// addOtherProcesses counts the processes of this router beside this one, and changes the limits accordingly.
func (s *Service) addOtherProcesses(change int) {
	s.restart.otherProcesses += change
	s.applyLimits()
}

// applyLimits sets all bounds of this process anew.
func (s *Service) applyLimits() {
	limits := s.processLimits()
	limitMemory(limits)
	s.clients.frontend.SetLimits(frontendLimits(limits))
	s.broker.SetLimits(brokerLimits(limits))
	namedParts := 0.0
	for _, named := range s.operators.Pools {
		namedParts += named.Connections
		if p := s.pools.named[named.Name]; p != nil {
			p.servers.SetMaxConnections(connectionLimit(limits.UpstreamConnections, named.Connections))
		}
	}
	s.pools.platform.servers.SetMaxConnections(connectionLimit(limits.UpstreamConnections, 1-namedParts))
}

func frontendLimits(conf config.Config) frontend.Limits {
	return frontend.Limits{Connections: conf.ClientConnections, RejectConnections: conf.RejectConnections, LongWriteBytes: conf.HeldBytes}
}

func brokerLimits(conf config.Config) broker.Limits {
	return broker.Limits{Requests: conf.OpenRequests, BufferedBytes: conf.HeldBytes, Connections: conf.ClientConnections}
}

// connectionLimit is a part (0 to 1) of the connections to servers, one at the least.
func connectionLimit(connections int, fraction float64) int {
	return max(1, int(float64(connections)*fraction))
}
