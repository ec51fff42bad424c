package service

import (
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"

	"github.com/rs/zerolog"
)

const (
	countsIntervalSeconds = 10 // between two logs of the counts
	maxTeamsLogged        = 20 // in one log of the counts: about as many as a person reads
)

// countsLog is the state between two logs of the counts.
type countsLog struct {
	receivedByTeam map[string]uint64 // requests of each team that has a contract, as last logged
}

func (s *Service) logCountsRepeatedly() {
	s.announceFleetSize()
	s.logCounts()
	s.loop.After(countsIntervalSeconds, s.logCountsRepeatedly)
}

// logCounts logs the counts since the start: a line for each pool, and one for each team that received requests since
// the last log.
func (s *Service) logCounts() {
	clients := s.clients.frontend.Connections()
	s.pools.platform.logCounts(s.log, clients)
	for _, p := range s.pools.namedInOrder() {
		p.logCounts(s.log.With().Str("pool", p.name).Logger(), clients)
	}
	logged := 0
	for _, team := range s.broker.TeamStates() {
		if team.Received == s.counts.receivedByTeam[team.Team] || logged >= maxTeamsLogged {
			continue
		}
		logged++
		s.counts.receivedByTeam[team.Team] = team.Received
		event := s.log.Info().
			Str("team", team.Team).
			Str("pool", team.Pool).
			Uint64("taken", team.Received).
			Uint64("finished", team.Succeeded).
			Uint64("declined", team.Rejected).
			Uint64("terminated", team.Failed).
			Uint64("left", team.Disconnected).
			Int("open", team.OpenRequests).
			Float64("load", team.LoadUsed).
			Float64("budget", team.GuaranteedRate).
			Float64("part", team.Share).
			Float64("balance", team.Balance)
		withRejectReasons(event, team.Reasons[:]).Msg("contract")
	}
}

// logCounts logs the counts of one pool. Dashboards read the names of the fields, so they never change. Those of a
// team's line (Service.logCounts) have the same meaning:
//
//	field               counter
//	taken               requests received from clients
//	finished            requests that succeeded
//	declined            requests that were rejected: a retry is safe
//	terminated          requests that failed: whether they took effect is unknown
//	left                requests whose clients disconnected before an answer
//	executions          attempts
//	faults              panics of the balancer
//	open                requests without an answer, or with an attempt in flight
//	clients             clients' connections, of the whole process
//	idle                servers' connections without a request
//	declined for REASON rejected requests by requestcore.ReasonNames
//
// Only a team's line has load, the load that the team has used; budget, its guaranteed rate (its quota); part, this
// router's share of that rate; and balance, what is left in its token bucket.
func (p *pool) logCounts(log zerolog.Logger, clients int) {
	counts := p.core.Counts
	event := log.Info().
		Uint64("taken", counts.Received).
		Uint64("finished", counts.Succeeded).
		Uint64("declined", counts.Rejected).
		Uint64("terminated", counts.Failed).
		Uint64("left", counts.Disconnected).
		Uint64("executions", counts.Attempts).
		Uint64("faults", counts.Panics).
		Int("open", p.core.OpenRequests()).
		Int("clients", clients).
		Int("idle", p.servers.IdleConnections())
	for reason, n := range p.servers.CloseCounts() {
		if n > 0 {
			event = event.Uint64("servers' connections cut, "+upstream.CloseReasons[reason], n)
		}
	}
	for reason, n := range p.service.clients.frontend.CutConnections() {
		if n > 0 {
			event = event.Uint64("clients' connections cut, "+frontend.CutReasonNames[reason], n)
		}
	}
	withRejectReasons(event, counts.Reasons[:]).Msg("counts")
}

// withRejectReasons adds a field for each reason for which requests were rejected.
func withRejectReasons(event *zerolog.Event, counts []uint64) *zerolog.Event {
	for reason, n := range counts {
		if n > 0 {
			event = event.Uint64("declined for "+requestcore.ReasonNames[reason], n)
		}
	}
	return event
}
