package broker

import (
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/policy/quota"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// outside is a loop and cache servers that a test drives: executions wait until it ends them.
type outside struct {
	now float64
	out []requestcore.AttemptObserver
	ops []*requestcore.Request
}

func (o *outside) Now() float64                         { return o.now }
func (o *outside) After(float64, func())                {}
func (o *outside) Probe(uint64, func(balancer.Outcome)) {}
func (o *outside) Cancel()                              {}
func (o *outside) CancelIfUnsent()                      {}
func (o *outside) StartAttempt(_ uint64, op *requestcore.Request, _, _ float64, x requestcore.AttemptObserver) requestcore.PendingAttempt {
	o.out, o.ops = append(o.out, x), append(o.ops, op)
	return o
}

// finish ends all that is out, after a time.
func (o *outside) finish(after float64) {
	o.now += after
	out := o.out
	o.out, o.ops = nil, nil
	for _, x := range out {
		x.OnAttemptEnd(balancer.Succeeded, requestcore.Result{})
	}
}

// core is a pool's, with so many servers.
func (o *outside) core(servers int, types ...balancer.TrafficClass) *requestcore.Core {
	r := requestcore.New(balancer.Settings{CancellationAllowed: true, RetryBudgetPerTenant: true, TrafficClasses: types}, requestcore.Dependencies{Clock: o, Upstream: o,
		Gossip: func([]byte) {}, WatchEndpoints: func(bool) {}, Log: zerolog.Nop()}, requestcore.DefaultBalancer)
	var all []balancer.Endpoint
	for i := range servers {
		all = append(all, balancer.Endpoint{ID: uint64(i + 1), State: balancer.Ready, Capacity: 1})
	}
	r.OnEndpoints(balancer.UpdateFull, all)
	return r
}

// client counts its answers.
type client struct {
	finished, declined, terminated int
	after                          float64
}

func (c *client) Succeeded(requestcore.Result) { c.finished++ }
func (c *client) Rejected(after float64)       { c.declined, c.after = c.declined+1, after }
func (c *client) Failed()                      { c.terminated++ }
func (c *client) Disconnected() bool           { return false }

var view = balancer.TrafficClass{Name: "view", Idempotency: balancer.Idempotent, LatencyObjective: 1, Deadline: 4, PriorityWeight: 1}

// serving is a broker with the platform's pool, of one server, and another of one, called "own".
func serving(t *testing.T, limits Limits, all ...TeamTerms) (*Broker, *outside, []Pool) {
	t.Helper()
	o := &outside{now: 1000}
	platform := o.core(1, view)
	b := New(o.Now, balancer.Settings{RouterCount: 1, TrafficClasses: []balancer.TrafficClass{view}}, platform, limits)
	pools := []Pool{{Core: platform, Connections: 100}, {Name: "own", Core: o.core(1), Connections: 10}}
	b.Configure(pools, all, UnmatchedToPlatform)
	return b, o, pools
}

func terms(team, pool string, budget float64) TeamTerms {
	return TeamTerms{Quota: quota.Quota{Team: team, GuaranteedRate: budget, Burst: budget}, Pool: pool, Tenant: team,
		TrafficClasses: []balancer.TrafficClass{view}}
}

// ask takes an operation of a tenant, if there is a place for it.
func (b *Broker) ask(tenant, key string) (*client, bool) {
	c := &client{}
	r := b.Route("", tenant, key)
	if r == nil || !r.HasCapacity() {
		return c, false
	}
	r.Submit(&requestcore.Request{Class: "view", Tenant: tenant, Key: key, TimeLeft: 3}, c)
	return c, true
}

func (b *Broker) state(team string) TeamState {
	for _, s := range b.TeamStates() {
		if s.Team == team {
			return s
		}
	}
	return TeamState{}
}

var ample = Limits{Requests: 1000, BufferedBytes: 1 << 20, Connections: 100}

// goldenTake hands an operation over and gives its client.
func goldenTake(r requestcore.Route, kind, tenant, key string) *client {
	c := &client{}
	r.Submit(&requestcore.Request{Class: kind, Tenant: tenant, Key: key, TimeLeft: 3}, c)
	return c
}
