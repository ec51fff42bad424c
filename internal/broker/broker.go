package broker

import (
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/policy/bulkhead"
	"bendtrestle/internal/policy/quota"
	"bendtrestle/internal/requestcore"
)

// Broker manages all teams and pools of one router. It belongs to the event loop.
type Broker struct {
	now     func() float64 // the event loop's clock, in seconds
	self    int            // index of this router
	routers int
	seed    uint32

	revision  int // number of configurations applied
	platform  *platform
	unmatched UnmatchedTraffic
	teams     map[string]*team
	matchers  matchers
	pools     map[string]*pool
	tallies   map[string]*Tally // by team

	limits  Limits
	slots   slots
	weights slotWeights

	longestDeadline float64 // in seconds, of all teams since the start, including removed ones
}

// matchers are the indexes by which the team of a request is found.
type matchers struct {
	byListener map[string]*team
	byTenant   map[string]*team
	byPrefix   []*team // the longest prefix first
}

// slots are the bulkheads that all teams share.
type slots struct {
	requests    *bulkhead.Bulkhead
	bytes       *bulkhead.Bulkhead // of buffered values
	connections *bulkhead.Bulkhead // of clients
}

// slotWeights are the teams' weights for reserving slots.
type slotWeights struct {
	requests    map[string]float64 // for requests and bytes
	connections map[string]float64 // only teams with a listener
}

// pool is one pool with its quotas.
type pool struct {
	Pool
	limiter  *quota.Limiter
	shares   *quota.Shares
	requests *bulkhead.Bulkhead // with one slot for each connection to the pool's servers
}

// New returns a broker without teams: all requests are routed to the platform's core, within the limits.
func New(now func() float64, settings balancer.Settings, core *requestcore.Core, limits Limits) *Broker {
	b := &Broker{
		now:     now,
		self:    settings.RouterIndex,
		routers: max(1, settings.RouterCount),
		seed:    settings.Seed,
		tallies: map[string]*Tally{},
		limits:  limits,
		slots: slots{
			requests:    bulkhead.New(limits.Requests),
			bytes:       bulkhead.New(limits.BufferedBytes),
			connections: bulkhead.New(limits.Connections),
		},
	}
	b.platform = newPlatform(b, settings, core)
	return b
}

// Route returns the route of a request: the team with the listener at which it arrived, else the team of the tenant
// that its client names, else the team with the longest matching key prefix, else the platform. It returns nil if the
// request is to be rejected.
func (b *Broker) Route(listener, tenant, key string) requestcore.Route {
	if t := b.match(listener, tenant, key); t != nil {
		return t
	}
	listenerEnded := listener != "" // the listener's team was removed
	if listenerEnded || b.unmatched == UnmatchedRejected {
		return nil
	}
	return b.platform
}

// match returns the team of a request, or nil if it matches none.
func (b *Broker) match(listener, tenant, key string) *team {
	if len(b.teams) == 0 {
		return nil
	}
	if t := b.matchers.byListener[listener]; t != nil {
		return t
	}
	if t := b.matchers.byTenant[tenant]; t != nil && tenant != "" {
		return t
	}
	for _, t := range b.matchers.byPrefix {
		if strings.HasPrefix(key, t.Prefix) {
			return t
		}
	}
	return nil
}

// AdmitConnection reports whether another connection is admitted at a listener, and acquires a slot for it. At the
// platform's listener all connections are admitted, because the front end limits their number.
func (b *Broker) AdmitConnection(listener string) bool {
	if listener == "" {
		b.slots.connections.ForceAcquire(nil, 1)
		return true
	}
	t := b.matchers.byListener[listener]
	if t == nil {
		return false
	}
	return b.slots.connections.TryAcquire(t.connections, 1)
}

// ReleaseConnection releases the slot of a connection that has ended.
func (b *Broker) ReleaseConnection(listener string) {
	t := b.matchers.byListener[listener]
	if t != nil && t.connections.InUse() > 0 {
		b.slots.connections.Release(t.connections, 1)
		return
	}
	b.slots.connections.Release(nil, 1)
}
