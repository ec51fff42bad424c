package zonefailover

import "slices"

// vote is one router's evidence and state of a zone. Times are by this router's clock.
type vote struct {
	lastAnswer    float64 // 0: never
	failingSince  float64 // 0: the zone doesn't fail
	state         State
	share         float64
	failureCounts bool // the router is not isolated, so its failures are evidence
}

// tally sums up the votes on one zone of all routers heard from recently, including this one.
type tally struct {
	routers  int // heard from recently
	against  int // routers whose attempts get no answer
	inFavour int // routers with an answer after failingSince
	// failingSince is the median of the times since which the routers against the zone get no answer.
	failingSince float64
	// The number of routers that have evacuated the zone, that let it recover, and that send it all of its keys.
	evacuated, recovering, serving int
	// share is the n-th smallest of the shares that routers give the zone, with n the quorum. A low share at fewer
	// routers, such as a single one with degraded attempts, doesn't hold back the others.
	share float64
}

// countVotes counts the votes on a zone. The result doesn't depend on the order of the votes, because it consists of
// counts, a median and an element of a sorted list.
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
		r, reported := p.reports[z.hash]
		if !reported {
			counter.addWithoutReport()
			continue
		}
		if r.operatorOverride {
			continue
		}
		counter.add(vote{
			lastAnswer:    r.lastAnswer,
			failingSince:  r.failingSince,
			state:         r.state,
			share:         r.share,
			failureCounts: !p.isolated,
		})
	}
	return counter.result(c.quorum(counter.tally.routers))
}

// voteCounter collects the votes on one zone.
type voteCounter struct {
	recoveryBegan float64 // failures from before this time are ignored
	tally         tally
	failures      []float64 // since when each router against the zone gets no answer
	answers       []float64 // when each router had its last answer
	shares        []float64 // of the routers that have not evacuated the zone
}

// newVoteCounter returns a counter for at most maxVotes votes on a zone.
func newVoteCounter(z *zone, maxVotes int) voteCounter {
	return voteCounter{
		recoveryBegan: z.history.recoveryBegan,
		answers:       make([]float64, 0, maxVotes),
		shares:        make([]float64, 0, maxVotes),
	}
}

func (v *voteCounter) add(newVote vote) {
	if newVote.failureCounts && newVote.failingSince > v.recoveryBegan && newVote.failingSince > 0 {
		v.failures = append(v.failures, newVote.failingSince)
	}
	v.answers = append(v.answers, newVote.lastAnswer)
	switch newVote.state {
	case Evacuated, Probing:
		v.tally.evacuated++
	case Recovering:
		v.tally.recovering++
		v.shares = append(v.shares, newVote.share)
	default:
		v.tally.serving++
		v.shares = append(v.shares, 1)
	}
}

// addWithoutReport counts a router whose messages have not reported the zone yet as serving all of its keys.
func (v *voteCounter) addWithoutReport() {
	v.tally.serving++
	v.shares = append(v.shares, 1)
}

// result returns the tally with the median of the failure times and the quorum's share (see tally.share).
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

// answeredAfter counts the routers with an answer after a time. Messages round ages to steps of ageStep, so the answer
// has to be more than two steps later.
func (v *voteCounter) answeredAfter(at float64) int {
	count := 0
	for _, lastAnswer := range v.answers {
		if lastAnswer > at+2*ageStep {
			count++
		}
	}
	return count
}
