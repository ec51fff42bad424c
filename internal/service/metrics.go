package service

import (
	"fmt"
	"slices"
	"strings"

	"bendtrestle/internal/frontend"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"
)

// metrics returns the metrics that operators' dashboards read, a line each. docs/operators/operations.md describes each
// of them.
func (s *Service) metrics() []byte {
	var text strings.Builder
	write := func(name string, value uint64) { fmt.Fprintf(&text, "gw.%s=%d\n", name, value) }
	for _, class := range s.trafficClassNames() {
		outcomes := s.clients.frontend.OutcomesOf(class)
		write("transactions."+class+".answered", outcomes.Succeeded)
		write("transactions."+class+".deferred", outcomes.Rejected)
		write("transactions."+class+".errored", outcomes.Failed)
	}
	attempts, serverCloses := s.serverCounts()
	listed, avoided := s.clusterHealth()
	write("sends", attempts)
	write("current", uint64(s.clients.frontend.OpenRequests()))
	write("cluster_size", uint64(listed))
	write("cluster_unhealthy", uint64(avoided))
	write("conf_loaded", s.reloads.accepted)
	write("conf_invalid", s.reloads.rejected)
	for reason, n := range s.clients.frontend.CutConnections() {
		write("cut.clients."+frontend.CutReasonNames[reason], n)
	}
	for reason, n := range serverCloses {
		write("cut.servers."+upstream.CloseReasons[reason], n)
	}
	for reason, n := range s.passedIncomplete() {
		write("passed_incomplete."+requestcore.PassReasonNames[reason], n)
	}
	s.writeMemoryMetrics(write)
	s.zones.writeMetrics(write)
	s.gossip.writeMetrics(write)
	if s.operators.Recovery.On {
		s.startup.writeMetrics(write)
	}
	return []byte(text.String())
}

// passedIncomplete returns how many long values were passed on incomplete before answers that wait behind them, by the
// reason. Pools that are no longer configured are included.
func (s *Service) passedIncomplete() requestcore.PassCounts {
	counts := s.pools.retiredPassCounts
	for _, p := range slices.Concat(s.pools.active(), s.pools.retiring) {
		counts.Add(p.core.Counts.PassedIncomplete)
	}
	return counts
}

// serverCounts returns the attempts that were sent since the start, and the servers' connections that were closed with
// a reply outstanding, by the reason. Pools that are no longer configured are included.
func (s *Service) serverCounts() (attempts uint64, closes [len(upstream.CloseReasons)]uint64) {
	attempts = s.pools.retiredAttempts
	closes = s.pools.retiredCloseCounts
	for _, p := range slices.Concat(s.pools.active(), s.pools.retiring) {
		attempts += p.servers.SentAttempts()
		for reason, n := range p.servers.CloseCounts() {
			closes[reason] += n
		}
	}
	return attempts, closes
}

// clusterHealth returns how many servers the endpoint lists of all pools name, and how many of these the balancers
// avoid now.
func (s *Service) clusterHealth() (listed, avoided int) {
	for _, p := range s.pools.active() {
		poolListed, poolAvoided := p.health()
		listed += poolListed
		avoided += poolAvoided
	}
	return listed, avoided
}

// trafficClassNames returns the traffic classes of the settings and of the contracts, sorted.
func (s *Service) trafficClassNames() []string {
	var names []string
	for _, class := range s.conf.Settings.TrafficClasses {
		names = append(names, class.Name)
	}
	names = append(names, s.broker.TrafficClassNames()...)
	slices.Sort(names)
	return slices.Compact(names)
}
