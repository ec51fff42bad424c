package upstream

import "bendtrestle/balancer"

// failureTexts describe in the log how an attempt failed, for the outcomes that indicate a failing server.
var failureTexts = map[balancer.Outcome]string{
	balancer.ConnectFailed:  "no connection",
	balancer.ConnectionLost: "connection lost",
	balancer.TimedOut:       "no answer",
	balancer.ServerError:    "an error",
}

// logHealthChange logs that a server begins to fail or answers again. It is called with the outcome of each attempt.
func (s *serverPool) logHealthChange(outcome balancer.Outcome) {
	failure := failureTexts[outcome]
	if failure != "" && !s.loggedFailing {
		s.loggedFailing = true
		s.pools.log.Warn().Stringer("server", s.addr).Str("how", failure).Msg("attempts at a cache server fail")
		return
	}
	if outcome == balancer.Succeeded && s.loggedFailing {
		s.loggedFailing = false
		s.pools.log.Info().Stringer("server", s.addr).Msg("a cache server answers again")
	}
}
