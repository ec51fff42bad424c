package broker

import (
	"cmp"
	"maps"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/policy/bulkhead"
	"bendtrestle/internal/policy/quota"
)

// minSlotWeight is the weight of a team without a guaranteed rate. It is above 0, so that the team has a reserved slot.
const minSlotWeight = 1e-6

// Configure replaces the teams and pools, and returns a line for each change. Requests in flight end under the old
// terms. Balances carry over, also to another pool.
func (b *Broker) Configure(pools []Pool, teams []TeamConfig, unmatched UnmatchedTraffic) []string {
	now := b.now()
	b.revision++
	lines := b.differences(pools, teams, unmatched)
	before := b.teams
	balances := map[string]float64{}
	for name, t := range before {
		balances[name] = t.pool.limiter.Balance(now, name)
	}
	b.configurePools(now, pools, teams)
	b.weights = newSlotWeights(teams)
	b.SetLimits(b.limits)
	b.setTeams(teams)
	b.unmatched = unmatched
	for _, terms := range teams { // in a fixed order, because sums of floats depend on it
		previous := before[terms.Team]
		if previous != nil && previous.Pool != terms.Pool {
			b.teams[terms.Team].pool.limiter.AdoptBalance(now, terms.Team, balances[terms.Team])
		}
	}
	maps.DeleteFunc(b.tallies, func(name string, _ *Tally) bool { return b.teams[name] == nil })
	return lines
}

// SetLimits sets new limits. Requests, bytes and connections in excess of them are not ended.
func (b *Broker) SetLimits(limits Limits) {
	b.limits = limits
	b.slots.requests.Repartition(limits.Requests, b.weights.requests)
	b.slots.bytes.Repartition(limits.BufferedBytes, b.weights.requests)
	b.slots.connections.Repartition(limits.Connections, b.weights.connections)
}

func newSlotWeights(teams []TeamConfig) slotWeights {
	weights := slotWeights{requests: map[string]float64{}, connections: map[string]float64{}}
	for _, terms := range teams {
		weights.requests[terms.Team] = terms.slotWeight()
		if terms.Listen != "" {
			weights.connections[terms.Team] = terms.slotWeight()
		}
	}
	return weights
}

func (t TeamConfig) slotWeight() float64 { return cmp.Or(t.GuaranteedRate, minSlotWeight) }

// setTeams creates the routes of all teams and the matchers for their requests.
func (b *Broker) setTeams(teams []TeamConfig) {
	b.teams = map[string]*team{}
	b.matchers = matchers{byListener: map[string]*team{}, byTenant: map[string]*team{}}
	for _, terms := range teams {
		t := b.newTeam(terms)
		b.teams[t.Team] = t
		if t.Listen != "" {
			b.matchers.byListener[t.Listen] = t
		}
		if t.Tenant != "" {
			b.matchers.byTenant[t.Tenant] = t
		}
		if t.Prefix != "" {
			b.matchers.byPrefix = append(b.matchers.byPrefix, t)
		}
	}
	slices.SortStableFunc(b.matchers.byPrefix, func(x, y *team) int { return cmp.Compare(len(y.Prefix), len(x.Prefix)) })
}

// configurePools configures the quotas, shares, slots and traffic classes of all pools.
func (b *Broker) configurePools(now float64, pools []Pool, teams []TeamConfig) {
	before := b.pools
	b.pools = map[string]*pool{}
	for _, settings := range pools {
		p := before[settings.Name]
		if p == nil {
			p = b.newPool(now, settings)
		}
		p.Pool = settings
		var quotas []quota.Quota
		var classes []balancer.TrafficClass
		weights := map[string]float64{}
		for _, terms := range teams {
			if terms.Pool != settings.Name {
				continue
			}
			quotas = append(quotas, terms.Quota)
			weights[terms.Team] = terms.slotWeight()
			classes = append(classes, terms.qualifiedClasses()...)
		}
		if settings.Name == "" {
			classes = append(classes, b.platform.classes...)
		}
		p.limiter.SetQuotas(now, settings.Capacity, quotas)
		p.shares.Recompute(now)
		p.requests.Repartition(settings.Connections, weights)
		settings.Core.SetTrafficClasses(classes)
		b.pools[settings.Name] = p
	}
}

func (b *Broker) newPool(now float64, settings Pool) *pool {
	limiter := quota.NewLimiter(now, settings.Capacity, b.seed+uint32(len(b.pools)))
	return &pool{
		limiter:  limiter,
		shares:   quota.NewShares(limiter, b.self, b.routers),
		requests: bulkhead.New(settings.Connections),
	}
}

// qualifiedClasses returns a team's traffic classes under the names that its pool's balancer uses.
func (t TeamConfig) qualifiedClasses() (classes []balancer.TrafficClass) {
	for _, class := range t.TrafficClasses {
		class.Name = qualifiedName(t.Team, class.Name)
		classes = append(classes, class)
	}
	return classes
}
