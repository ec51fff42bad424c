package zonefailover

import "slices"

// vote is what one router says of a zone. Times are by this router's clock.
type vote struct {
	lastAnswer    float64 // 0: never
	failingSince  float64 // 0: it does not fail
	state         State
	share         float64
	failureCounts bool // the router is not isolated
}

// tally is what all routers heard of lately, this one among them, say of one zone.
type tally struct {
	routers  int // heard of lately
	against  int // without an answer since failingSince
	inFavour int // with a later answer
	// failingSince is the median of when those against the zone began to have no answer.
	failingSince float64
	// The routers that say they have evacuated the zone, that let it recover, that serve all of its keys.
	evacuated, recovering, serving int
	// share is a low one of the shares that routers give the zone: at the place of the quorum in their sorted row, so
	// that one router whose attempts alone are degraded holds no other back.
	share float64
}

// countVotes counts the votes on a zone. Its sums are counts, a median and a place in a sorted row: the same votes give
// the same result in any order.
func (c *Controller) countVotes(now float64, z *zone) tally {
	counter := newVoteCounter(z, 1+len(c.peers))
	counter.tally.routers = 1
	if !z.operatorOverride {
		counter.add(vote{
			lastAnswer:    z.evidence.lastAnswer,
			failingSince:  z.evidence.failingSince,
			state:         z.state,
			share:         z.share,
			failureCounts: !c.isolated(now),
		})
	}
	for _, p := range c.peers {
		if !c.heardRecently(now, p) {
			continue
		}
		counter.tally.routers++
		said, reported := p.reports[z.hash]
		if !reported {
			counter.addWithoutReport()
			continue
		}
		if said.operatorOverride {
			continue
		}
		counter.add(vote{
			lastAnswer:    said.lastAnswer,
			failingSince:  said.failingSince,
			state:         said.state,
			share:         said.share,
			failureCounts: !p.isolated,
		})
	}
	return counter.result(c.quorum(counter.tally.routers))
}

// voteCounter collects votes.
type voteCounter struct {
	recoveryBegan float64 // failures from before it are over
	tally         tally
	failures      []float64 // when those against the zone began to have no answer
	answers       []float64 // when each router had its last answer
	shares        []float64 // of those that do not evacuate the zone
}

// newVoteCounter makes a counter for a zone for at most so many votes.
func newVoteCounter(z *zone, maxVotes int) voteCounter {
	return voteCounter{
		recoveryBegan: z.history.recoveryBegan,
		answers:       make([]float64, 0, maxVotes),
		shares:        make([]float64, 0, maxVotes),
	}
}

func (v *voteCounter) add(said vote) {
	if said.failureCounts && said.failingSince > v.recoveryBegan && said.failingSince > 0 {
		v.failures = append(v.failures, said.failingSince)
	}
	v.answers = append(v.answers, said.lastAnswer)
	switch said.state {
	case Evacuated, Probing:
		v.tally.evacuated++
	case Recovering:
		v.tally.recovering++
		v.shares = append(v.shares, said.share)
	default:
		v.tally.serving++
		v.shares = append(v.shares, 1)
	}
}

// addWithoutReport counts a router that is heard and has not said anything of the zone.
func (v *voteCounter) addWithoutReport() {
	v.tally.serving++
	v.shares = append(v.shares, 1)
}

// result returns the votes with their median and the share at the quorum's place.
func (v *voteCounter) result(quorum int) tally {
	result := v.tally
	result.share = 1
	slices.Sort(v.failures)
	slices.Sort(v.shares)
	result.against = len(v.failures)
	if result.against > 0 {
		result.failingSince = v.failures[len(v.failures)/2]
		result.inFavour = v.answeredAfter(result.failingSince)
	}
	if len(v.shares) > 0 {
		result.share = v.shares[min(quorum, len(v.shares))-1]
	}
	return result
}

// answeredAfter counts the routers with an answer after a time. Messages carry ages in steps, so it has to be two of
// these later.
func (v *voteCounter) answeredAfter(at float64) int {
	count := 0
	for _, lastAnswer := range v.answers {
		if lastAnswer > at+2*ageStep {
			count++
		}
	}
	return count
}
