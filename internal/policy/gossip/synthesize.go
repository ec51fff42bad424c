package gossip

import "math"

const (
	maxSynthesizedPerSecond = 6000.0 // observations to the balancer, at the cost of a microsecond each
	maxSynthesisPause       = 1.0    // seconds since the last call that count for the limit

	// refusalRepeatInterval is the time in seconds between two refusals of a server: the balancer forgets one after
	// its longest latency objective.
	refusalRepeatInterval = 0.25

	refusalFeedAge = 1.5 * changeInterval // seconds of age up to which a summary stands for refusals
)

// feedState is what was passed to the balancer about a server.
type feedState struct {
	load      float64 // sum of relative times, decayed as the balancer does
	updatedAt float64
	refusalAt float64
}

// SynthesizeObservations returns observations, three bytes each as in Report, by which the balancer arrives at the
// loads, means and refusals that it would have if every router sent its observations to every other. Where all would
// send more than that limit, all loads are the same part of what they would be: the balancer compares them. Loads are
// held until the next summary, and decay once none comes.
func (g *Gossiper) SynthesizeObservations(now float64) (observations []byte) {
	g.observeTime(now)
	g.feedFraction = min(1, maxSynthesizedPerSecond/max(g.heldObservationRate(now), 1))
	room := int(maxSynthesizedPerSecond * min(now-g.synthesizedAt, maxSynthesisPause) * 2)
	g.synthesizedAt = now
	for _, s := range g.servers {
		if s.held.expired(now) {
			continue
		}
		if s.held.unavailable() && now-s.held.originatedAt < refusalFeedAge {
			if now-s.feed.refusalAt >= refusalRepeatInterval && room > 0 {
				s.feed.refusalAt = now
				room--
				observations = append(observations, byte(s.id), byte(s.id>>8), refusalByte)
			}
			continue
		}
		relativeTime := math.Round(min(maxMean, max(1, s.held.mean*timeUnit)))
		step := relativeTime / timeUnit
		s.feed.load *= math.Exp((s.feed.updatedAt - now) / loadDecay)
		s.feed.updatedAt = now
		for s.feed.load+step/2 <= s.held.load*g.feedFraction && room > 0 {
			s.feed.load += step
			room--
			observations = append(observations, byte(s.id), byte(s.id>>8), byte(relativeTime))
		}
	}
	return observations
}

// heldObservationRate is how many observations a second the held summaries stand for.
func (g *Gossiper) heldObservationRate(now float64) float64 {
	rate := 0.0
	for _, s := range g.servers {
		if !s.held.expired(now) {
			rate += s.held.attempts() / loadDecay
		}
	}
	return rate
}
