package balancer

import (
	"cmp"
	"math"
)

const (
	// minObjective is the least latency objective, in seconds, of a class that states neither objective nor deadline.
	minObjective = 1e-3
	// clientTimeoutsBeforeRetry is how much of a client's deadline is spent, in whole first tries, when its second try
	// comes: one try, and half of one for the pause between.
	clientTimeoutsBeforeRetry = 1.5
	// clientTimeoutTolerance is by how many event intervals the times left of two first tries may differ.
	clientTimeoutTolerance = 2
)

// classState is the settings of a traffic class and what was observed of it.
type classState struct {
	TrafficClass
	clientTimeout clientTimeoutEstimate
	meanLatency   float64 // seconds, of an attempt that succeeded
	latencyAt     float64 // seconds, when that was last observed
}

// clientTimeoutEstimate is the time left with which most requests of a class arrive, found by majority vote (Boyer-Moore):
// that of clients' first tries.
type clientTimeoutEstimate struct {
	timeLeft float64 // seconds
	votes    int     // for timeLeft, minus those against it
}

// trafficClasses holds the classes that requests may have now.
type trafficClasses struct {
	byName           map[string]*classState
	longestObjective float64 // seconds, of all classes
}

// SetTrafficClasses replaces the traffic classes of requests from now on. Requests that have arrived end under
// their own. What was observed of a class that stays is kept.
func (b *Balancer) SetTrafficClasses(classes []TrafficClass) {
	byName := map[string]*classState{}
	b.classes.longestObjective = 0
	for _, class := range classes {
		defaultObjective := max(class.Deadline, b.settings.EventInterval, minObjective)
		class.LatencyObjective = cmp.Or(max(0, class.LatencyObjective), defaultObjective)
		state := &classState{TrafficClass: class, meanLatency: class.LatencyObjective / unobservedLatencyDivisor}
		previous := b.classes.byName[class.Name]
		if previous != nil {
			state.meanLatency = previous.meanLatency
			state.latencyAt = previous.latencyAt
		}
		byName[class.Name] = state
		b.classes.longestObjective = max(b.classes.longestObjective, class.LatencyObjective)
	}
	b.classes.byName = byName
	clear(b.retryBudgets.byTenant) // of tenants that may be gone
}

// classOf returns the state of a class. A request of a class that the settings lack may take the time that it
// brought, in seconds, and is attempted at most once.
func (b *Balancer) classOf(name string, timeLeft float64) *classState {
	class := b.classes.byName[name]
	if class != nil {
		return class
	}
	deadline := max(timeLeft, b.settings.EventInterval, minObjective)
	return &classState{
		TrafficClass: TrafficClass{LatencyObjective: deadline, Deadline: deadline},
		meanLatency:  deadline / unobservedLatencyDivisor,
	}
}

// detectClientRetry distinguishes a client's first try from a later one by the time left, in seconds. A client gives all
// its tries one deadline together, so a later try arrives with less time than the first ones of its class. Its latency
// objective began with the first try; if that has passed, the request is worth less, so that it does not crowd out
// those that can be in time.
func (b *Balancer) detectClientRetry(req *request, timeLeft float64) {
	class := req.class
	timeout := &class.clientTimeout
	// A later try has at least this time left. A request with less is the first try of a client in a hurry.
	minRetryTimeLeft := min(class.LatencyObjective, class.Deadline-clientTimeoutsBeforeRetry*timeout.timeLeft)
	switch {
	case math.Abs(timeLeft-timeout.timeLeft) <= clientTimeoutTolerance*b.settings.EventInterval:
		timeout.votes++
	case timeout.votes == 0:
		timeout.timeLeft = timeLeft
		timeout.votes = 1
	case timeLeft >= minRetryTimeLeft:
		timeout.votes--
		req.objectiveAt = b.now + timeLeft - class.Deadline + class.LatencyObjective
		if req.objectiveAt <= b.now {
			req.valueFraction *= class.LateValue
		}
	}
}
