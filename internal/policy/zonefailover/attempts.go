package zonefailover

import "math"

// attempts are those of this router in one zone.
type attempts struct {
	inFlight map[uint64]inFlightAttempt // by token
	// rate is the attempts a second, averaged over rateWindow. It decays only while the zone serves all of its keys
	// (Serving, Suspected): after the evacuation it holds what the zone had before, from which probeShare follows.
	// Attempts are added in every state, those of probes and of a recovery, too.
	rate float64
}

// inFlightAttempt is an attempt without an outcome yet.
type inFlightAttempt struct {
	began     float64
	objective float64 // seconds within which an answer is promised
}

// OnAttemptStart handles the start of an attempt in a zone that promises an answer within objective seconds. The
// token names the attempt in OnAttemptEnd; 0: it is not watched, as the zone is not known or too many attempts are
// open.
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

// OnAttemptEnd handles the outcome of an attempt. Tokens that are not open, 0 among them, are ignored.
func (c *Controller) OnAttemptEnd(now float64, name string, token uint64, outcome Outcome) {
	z := c.find(name)
	if z == nil || token == 0 {
		return
	}
	attempt, open := z.attempts.inFlight[token]
	if !open {
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

// add counts an attempt. Late and rejected ones count as answered and as degraded.
func (s *stepCounts) add(outcome Outcome) {
	if outcome != Answered {
		s.degraded++
	}
	if outcome != NoAnswer {
		s.answered++
	}
}

// ageAttempts lets the rates of zones decay that serve all of their keys, and counts attempts beyond their latency
// objective as unanswered.
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

// oldestOverdue is when the oldest open attempt beyond its objective began, of those since the last answer; +Inf:
// there is none.
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

// forgetAttempts drops all open attempts of a zone.
func (c *Controller) forgetAttempts(z *zone) {
	c.watchedAttempts -= len(z.attempts.inFlight)
	clear(z.attempts.inFlight)
}
