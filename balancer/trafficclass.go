package balancer

import (
	"cmp"
	"math"
)

const (
	// minObjective is the minimum latency objective, in seconds, of a class that states neither objective nor
	// deadline.
	minObjective = 1e-3
	// clientTimeoutsBeforeRetry is the time between a client's first request and its retry, in client timeouts: one
	// timeout, and half of one for the client's backoff.
	clientTimeoutsBeforeRetry = 1.5
	// clientTimeoutTolerance is the maximum difference, in event intervals, between the times left of two first
	// requests.
	clientTimeoutTolerance = 2
)

// classState holds the settings of a traffic class and the latencies observed in it.
type classState struct {
	TrafficClass
	clientTimeout clientTimeoutEstimate
	meanLatency   float64 // seconds, of successful attempts
	latencyAt     float64 // seconds, when a latency was last observed
}

// clientTimeoutEstimate is the time left with which most requests of a class arrive, found by majority vote
// (Boyer-Moore). It is the timeout of clients' first requests.
type clientTimeoutEstimate struct {
	timeLeft float64 // seconds
	votes    int     // for timeLeft, minus those against it
}

// trafficClasses holds the current traffic classes.
type trafficClasses struct {
	byName           map[string]*classState
	longestObjective float64 // seconds, of all classes
}

// SetTrafficClasses replaces the traffic classes of requests that arrive from now on. Requests that have arrived
// keep their class. Latencies observed in a class that remains are kept.
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
	clear(b.retryBudgets.byTenant) // drops the budgets of tenants that may no longer exist
}

// classOf returns the state of a class. A request of an unknown class may take the time left with which it arrived,
// in seconds, and is attempted at most once.
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

// detectClientRetry distinguishes a client's first request from a retry by the client, by the time left, in
// seconds. A client has one deadline for the first request and its retries, so a retry arrives with less time left
// than the first requests of its class. Its latency objective began with the first request; if that has passed, the
// retry is worth less, so that it does not displace requests that can still be on time.
func (b *Balancer) detectClientRetry(req *request, timeLeft float64) {
	class := req.class
	timeout := &class.clientTimeout
	// A client retry has at least this much time left. A request with less is the first one of a client with a
	// short timeout.
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
