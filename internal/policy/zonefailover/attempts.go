package zonefailover

import "math"

// attempts holds this router's attempts in one zone.
type attempts struct {
	inFlight map[uint64]inFlightAttempt // by token
	// rate is the number of attempts a second, averaged over rateWindow. It decays only while the zone serves all of
	// its keys (Serving, Suspected). After an evacuation it therefore keeps the earlier rate, from which probeShare is
	// computed. Attempts are added in every state, including those of probes and of a recovery.
	rate float64
}

// inFlightAttempt is an attempt without an outcome yet.
type inFlightAttempt struct {
	began     float64
	objective float64 // latency objective in seconds
}

// OnAttemptStart handles the start of an attempt in a zone with a latency objective in seconds. The token identifies
// the attempt in OnAttemptEnd. It is 0 if the attempt is not watched, because the zone is not tracked or too many
// attempts are in flight.
func (c *Controller) OnAttemptStart(now float64, name string, objective float64) (token uint64) {
	z := c.find(name)
	if z == nil || c.watchedAttempts >= maxWatchedAttempts {
		return 0
	}
	c.lastToken++
	c.watchedAttempts++
	z.attempts.inFlight[c.lastToken] = inFlightAttempt{now, objective}
	z.attempts.rate += 1.0 / rateWindow
	return c.lastToken
}

// OnAttemptEnd handles the outcome of an attempt. It ignores the token 0 and tokens of attempts that are not in flight.
func (c *Controller) OnAttemptEnd(now float64, name string, token uint64, outcome Outcome) {
	z := c.find(name)
	if z == nil || token == 0 {
		return
	}
	attempt, inFlight := z.attempts.inFlight[token]
	if !inFlight {
		return
	}
	delete(z.attempts.inFlight, token)
	c.watchedAttempts--
	if outcome == Inconclusive {
		return
	}
	if attempt.began >= z.history.recoveryBegan {
		z.step.counts.add(outcome)
	}
	if outcome == NoAnswer {
		z.recordFailure(attempt.began)
		return
	}
	z.evidence.lastAnswer = now
	z.evidence.failingSince = 0
}

// add counts an attempt. Late and rejected attempts count both as answered and as degraded.
func (s *stepCounts) add(outcome Outcome) {
	if outcome != Answered {
		s.degraded++
	}
	if outcome != NoAnswer {
		s.answered++
	}
}

// ageAttempts decays the attempt rates of the zones that serve all of their keys, and records attempts in flight beyond
// their latency objective as unanswered.
func (c *Controller) ageAttempts(now, sinceLastTick float64) {
	for _, name := range c.names {
		z := c.find(name)
		if z.state == Serving || z.state == Suspected {
			z.attempts.rate *= math.Exp(-sinceLastTick / rateWindow)
		}
		if began := z.oldestOverdue(now); began < now {
			z.recordFailure(began)
		}
	}
}

// oldestOverdue returns the start of the oldest attempt in flight that is beyond its latency objective and began after
// the last answer. It returns +Inf if there is none.
func (z *zone) oldestOverdue(now float64) float64 {
	oldest := math.Inf(1)
	for _, attempt := range z.attempts.inFlight {
		overdue := now-attempt.began > attempt.objective
		if overdue && attempt.began > z.evidence.lastAnswer {
			oldest = min(oldest, attempt.began)
		}
	}
	return oldest
}

// forgetAttempts discards all attempts in flight in a zone.
func (c *Controller) forgetAttempts(z *zone) {
	c.watchedAttempts -= len(z.attempts.inFlight)
	clear(z.attempts.inFlight)
}
