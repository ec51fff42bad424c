package gossip

import "math"

const (
	maxSynthesizedPerSecond = 6000.0 // observations for the balancer, which spends a microsecond on each
	maxSynthesisPause       = 1.0    // largest time in seconds since the last call that is used for the limit

	// refusalRepeatInterval is the time in seconds between two synthesized refusals of a server. They are repeated
	// because the balancer drops a refusal after its longest latency objective.
	refusalRepeatInterval = 0.25

	refusalSynthesisAge = 1.5 * changedSummaryInterval // largest age in seconds at which a summary yields refusals
)

// synthesizedState is the state of a server that the observations passed to the balancer add up to.
type synthesizedState struct {
	load      float64 // sum of relative times, decayed as the balancer does
	updatedAt float64
	refusalAt float64
}

// SynthesizeObservations returns observations, three bytes each as in Report, from which the balancer computes the
// loads, means and refusals that it would have if every router broadcast its observations. If the held summaries stand
// for more than maxSynthesizedPerSecond observations per second, all loads are reduced by the same factor, since the
// balancer only compares them. Loads are held until the next summary, and decay if none arrives.
func (g *Gossiper) SynthesizeObservations(now float64) (observations []byte) {
	g.observeTime(now)
	g.synthesizedFraction = min(1, maxSynthesizedPerSecond/max(g.heldObservationRate(now), 1))
	room := int(maxSynthesizedPerSecond * min(now-g.synthesizedAt, maxSynthesisPause) * 2)
	g.synthesizedAt = now
	for _, s := range g.servers {
		if s.held.expired(now) {
			continue
		}
		if s.held.unavailable() && now-s.held.originatedAt < refusalSynthesisAge {
			if now-s.synthesized.refusalAt >= refusalRepeatInterval && room > 0 {
				s.synthesized.refusalAt = now
				room--
				observations = append(observations, byte(s.id), byte(s.id>>8), refusalByte)
			}
			continue
		}
		relativeTime := math.Round(min(maxMean, max(1, s.held.mean*timeUnit)))
		step := relativeTime / timeUnit
		s.synthesized.load *= math.Exp((s.synthesized.updatedAt - now) / loadDecay)
		s.synthesized.updatedAt = now
		for s.synthesized.load+step/2 <= s.held.load*g.synthesizedFraction && room > 0 {
			s.synthesized.load += step
			room--
			observations = append(observations, byte(s.id), byte(s.id>>8), byte(relativeTime))
		}
	}
	return observations
}

// heldObservationRate returns the number of observations per second that the held summaries stand for.
func (g *Gossiper) heldObservationRate(now float64) float64 {
	rate := 0.0
	for _, s := range g.servers {
		if !s.held.expired(now) {
			rate += s.held.attempts() / loadDecay
		}
	}
	return rate
}
