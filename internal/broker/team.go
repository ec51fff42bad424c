package broker

import (
	"bendtrestle/internal/policy/bulkhead"
	"bendtrestle/internal/requestcore"
)

// initialEstimateFraction is the fraction of a traffic class's latency objective that is the estimated cost of a
// request until some have ended. The balancer uses the same fraction.
const initialEstimateFraction = 1.0 / 4

// team is the route of a team's requests, under the current terms.
type team struct {
	TeamConfig
	broker  *Broker
	pool    *pool
	classes map[string]teamClass // by the name used by clients
	tally   *Tally

	requests     *bulkhead.Partition
	bytes        *bulkhead.Partition
	connections  *bulkhead.Partition
	poolRequests *bulkhead.Partition // of pool.requests
}

// teamClass is a traffic class of a team.
type teamClass struct {
	name     string  // name used by the pool's balancer
	deadline float64 // seconds
	estimate float64 // seconds of load per request, until some requests have ended
}

// newTeam creates the route of a team. Its partitions and its pool must already exist.
func (b *Broker) newTeam(terms TeamConfig) *team {
	p := b.pools[terms.Pool]
	t := &team{
		TeamConfig:   terms,
		broker:       b,
		pool:         p,
		classes:      map[string]teamClass{},
		tally:        b.tallies[terms.Team],
		requests:     b.slots.requests.Partition(terms.Team),
		bytes:        b.slots.bytes.Partition(terms.Team),
		connections:  b.slots.connections.Partition(terms.Team),
		poolRequests: p.requests.Partition(terms.Team),
	}
	for _, class := range terms.TrafficClasses {
		b.longestDeadline = max(b.longestDeadline, class.Deadline)
		t.classes[class.Name] = teamClass{
			name:     qualifiedName(terms.Team, class.Name),
			deadline: class.Deadline,
			estimate: class.LatencyObjective * initialEstimateFraction,
		}
	}
	if t.tally == nil {
		t.tally = &Tally{}
		b.tallies[terms.Team] = t.tally
	}
	return t
}

// qualifiedName returns the name that a pool's balancer uses for a team's traffic class.
func qualifiedName(team, class string) string { return team + "/" + class }

// MaxDeadline returns the deadline of a traffic class, in seconds. known is false if the team has no such class.
func (t *team) MaxDeadline(class string) (seconds float64, known bool) {
	named, known := t.classes[class]
	return named.deadline, known
}

// HasCapacity reports whether there is a slot for another request that is not reserved for another team. If there is
// none, it counts a received and a rejected request of the team, because the caller then rejects the request without
// calling Submit.
func (t *team) HasCapacity() bool {
	if t.broker.slots.requests.CanAcquire(t.requests, 1) &&
		t.broker.slots.bytes.CanAcquire(t.bytes, 1) &&
		t.pool.requests.CanAcquire(t.poolRequests, 1) {
		return true
	}
	t.tally.Received++
	t.tally.reject(requestcore.ReasonNoCapacity)
	return false
}

// Submit admits a request by the team's quota and submits it to the pool's core. If the quota rejects the request,
// Submit answers the client and returns a nil core.
func (t *team) Submit(request *requestcore.Request, client requestcore.Client) (*requestcore.Core, uint64) {
	class := t.classes[request.Class]
	t.tally.Received++
	verdict := t.pool.limiter.Admit(t.broker.now(), t.Team, request.Class, class.estimate)
	if !verdict.Admitted() {
		t.tally.reject(requestcore.ReasonQuota)
		client.Rejected(verdict.RetryAfter)
		return nil, 0
	}
	t.broker.slots.requests.ForceAcquire(t.requests, 1)
	t.pool.requests.ForceAcquire(t.poolRequests, 1)
	request.Usage = &usage{team: t, reservation: verdict.Reservation}
	request.Class = class.name
	request.Tenant = t.Team
	return t.pool.Core, t.pool.Core.Submit(request, client)
}

// AddBufferedBytes adds n, which may be negative, to the bytes that are buffered for the team's clients.
func (t *team) AddBufferedBytes(n int) { t.broker.slots.bytes.ForceAcquire(t.bytes, n) }
