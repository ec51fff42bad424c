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

// votes is what all routers heard of lately, this one among them, say of one zone.
type votes struct {
	routers  int // heard of lately
	against  int // without an answer since failingSince
	inFavour int // with a later answer
	// failingSince is the median of when those against the zone began to have no answer.
	failingSince float64
	// The routers that say they have evacuated the zone, that let it recover, that serve all of its keys.
	evacuated, recovering, serving int
	// share is a low one of the shares that routers give the zone: at the place of the quorum in their sorted row, so
	// that one router that alone sees strain holds no other back.
	share float64
}

// count counts the votes on a zone. Its sums are counts, a median and a place in a sorted row: the same votes give
// the same result in any order.
func (c *Controller) count(now float64, z *zone) votes {
	ballot := ballot{recoveryBegan: z.history.recoveryBegan}
	ballot.votes.routers = 1
	if !z.operatorOverride {
		ballot.add(vote{
			lastAnswer:    z.evidence.lastAnswer,
			failingSince:  z.evidence.failingSince,
			state:         z.state,
			share:         z.share,
			failureCounts: !c.isolated(now),
		})
	}
	for _, p := range c.peers {
		if !c.heardLately(now, p) {
			continue
		}
		ballot.votes.routers++
		report, reported := p.reports[z.hash]
		if !reported {
			ballot.addSilent()
			continue
		}
		if report.operatorOverride {
			continue
		}
		ballot.add(vote{
			lastAnswer:    report.lastAnswer,
			failingSince:  report.failingSince,
			state:         report.state,
			share:         report.share,
			failureCounts: !p.isolated,
		})
	}
	return ballot.result(c.quorum(ballot.votes.routers))
}

// ballot collects votes.
type ballot struct {
	recoveryBegan float64 // failures from before it are over
	votes         votes
	failures      []float64 // when those against the zone began to have no answer
	answers       []float64 // when each router had its last answer
	shares        []float64 // of those that do not evacuate the zone
}

func (b *ballot) add(v vote) {
	if v.failureCounts && v.failingSince > b.recoveryBegan && v.failingSince > 0 {
		b.failures = append(b.failures, v.failingSince)
	}
	b.answers = append(b.answers, v.lastAnswer)
	switch v.state {
	case Evacuated, Probing:
		b.votes.evacuated++
	case Recovering:
		b.votes.recovering++
		b.shares = append(b.shares, v.share)
	default:
		b.votes.serving++
		b.shares = append(b.shares, 1)
	}
}

// addSilent counts a router that is heard and has not said anything of the zone.
func (b *ballot) addSilent() {
	b.votes.serving++
	b.shares = append(b.shares, 1)
}

// result gives the votes with their median and the share at the quorum's place.
func (b *ballot) result(quorum int) votes {
	votes := b.votes
	votes.share = 1
	slices.Sort(b.failures)
	slices.Sort(b.shares)
	votes.against = len(b.failures)
	if votes.against > 0 {
		votes.failingSince = b.failures[len(b.failures)/2]
		votes.inFavour = b.answeredAfter(votes.failingSince)
	}
	if len(b.shares) > 0 {
		votes.share = b.shares[min(quorum, len(b.shares))-1]
	}
	return votes
}

// answeredAfter counts the routers with an answer after a time. Messages carry ages in steps, so it has to be two of
// these later.
func (b *ballot) answeredAfter(at float64) int {
	count := 0
	for _, lastAnswer := range b.answers {
		if lastAnswer > at+2*ageStep {
			count++
		}
	}
	return count
}
