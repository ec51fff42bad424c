package broker

import (
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/policy/bulkhead"
	"bendtrestle/internal/policy/quota"
	"bendtrestle/internal/requestcore"
)

// Broker is all teams and pools of one router. It belongs to the event loop.
type Broker struct {
	now     func() float64 // the loop's clock, in seconds
	self    int            // index of this router
	routers int
	seed    uint32

	revision  int // of the operators' settings
	platform  *platform
	unmatched UnmatchedTraffic
	teams     map[string]*team
	matchers  matchers
	pools     map[string]*pool
	tallies   map[string]*Tally // by team

	limits  Limits
	slots   slots
	weights slotWeights

	longestDeadline float64 // seconds, of all teams there ever were
}

// matchers say which team a request is of.
type matchers struct {
	byListener map[string]*team
	byTenant   map[string]*team
	byPrefix   []*team // the longest prefix first
}

// slots are what the teams share.
type slots struct {
	requests    *bulkhead.Bulkhead
	bytes       *bulkhead.Bulkhead // of values
	connections *bulkhead.Bulkhead // of clients
}

// slotWeights are the weights of teams by which slots are reserved.
type slotWeights struct {
	requests    map[string]float64 // and bytes
	connections map[string]float64 // of teams with a listener
}

// pool is one pool with its quotas.
type pool struct {
	Pool
	limiter  *quota.Limiter
	shares   *quota.Shares
	requests *bulkhead.Bulkhead // as many as there are connections to its servers
}

// New makes a broker without teams: all requests go to the platform's core, within the limits.
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

// Route tells who takes a request: the team whose listener it came in at, else the one that its client names, else
// the one whose keys begin so; nil: nobody does.
func (b *Broker) Route(listener, tenant, key string) requestcore.Route {
	if t := b.match(listener, tenant, key); t != nil {
		return t
	}
	listenerEnded := listener != "" // its team is gone
	if listenerEnded || b.unmatched == UnmatchedRejected {
		return nil
	}
	return b.platform
}

// match tells which team a request is of; nil: of none.
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

// AdmitConnection tells whether another connection may come in, and takes a slot for it. Those at the platform's
// listener are bounded by the front end, all together.
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

// ReleaseConnection takes the end of a connection.
func (b *Broker) ReleaseConnection(listener string) {
	t := b.matchers.byListener[listener]
	if t != nil && t.connections.InUse() > 0 {
		b.slots.connections.Release(t.connections, 1)
		return
	}
	b.slots.connections.Release(nil, 1)
}
