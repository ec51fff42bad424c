package operatorconfig

import (
	"strings"

	"bendtrestle/internal/broker"
	"bendtrestle/internal/policy/quota"
)

// Broker says what becomes of traffic that no contract holds for.
type Broker struct {
	Others string `toml:"others"` // platform: its pool takes it; nobody: it is an error
}

const (
	othersToPlatform = "platform"
	othersRejected   = "nobody"
)

// Team is a contract.
type Team struct {
	Name   string   `toml:"name"`
	Pool   string   `toml:"pool"`
	Listen string   `toml:"listen"`
	Tenant string   `toml:"tenant"`
	Prefix string   `toml:"prefix"`
	Budget float64  `toml:"budget"` // its quota: seconds of load a second, over all routers
	Burst  *float64 `toml:"burst"`  // seconds of load that may come at once; nil: as the budget
	Borrow float64  `toml:"borrow"` // seconds of load a second beyond the budget
	Weight float64  `toml:"weight"`
	Types  []Type   `toml:"type"`
	Tiles  *Tiles   `toml:"tiles"`
}

const (
	maxKeyBytes = 250 // by the protocol
	maxTeams    = 10000

	// budgetTolerance is for sums of budgets that are as large as the capacity, but for rounding.
	budgetTolerance = 1 + 1e-9
)

// routeOwners knows which team has a way by which requests are recognised: a name, a listener, a tenant or a prefix.
type routeOwners map[route]string

type route struct{ kind, value string }

const (
	byName   = "name"
	byListen = "listen"
	byTenant = "tenant"
	byPrefix = "prefix"
)

func (f *File) checkTeams(pools checkedPools) {
	if len(f.Teams) > maxTeams {
		f.toml.Fault("team", "%d are more than %d", len(f.Teams), maxTeams)
	}
	seen := routeOwners{}
	budgets := map[string]float64{} // of the teams so far, by pool
	for i, team := range f.Teams {
		key := keyIn("team.%d", i)
		f.checkName(key("name"), team.Name)
		_, twice := seen[route{byName, team.Name}]
		if twice {
			f.toml.Fault(key("name"), "%q is there twice", team.Name)
		}
		f.checkPoolOfTeam(key, team, pools)
		f.checkTiles(key, team)
		f.checkRoutes(key, team)
		f.checkDuplicateRoutes(key, team, seen)
		f.checkBudget(key, team)
		budgets[team.Pool] += team.Budget
		f.checkCapacity(key, team, pools.capacity[team.Pool], budgets[team.Pool])
		f.checkTypes(key, team.Types)
	}
}

func (f *File) checkPoolOfTeam(key func(string) string, team Team, pools checkedPools) {
	_, known := pools.capacity[team.Pool]
	if !known {
		f.toml.Want(key("pool"), team.Pool, "the name of a pool")
	}
	if pools.tiles[team.Pool] != (team.Tiles != nil) {
		f.toml.Fault(key("pool"), "a team with tiles needs a pool whose protocol is tiles, and the other way round")
	}
}

// checkRoutes checks how requests of a team are recognised.
func (f *File) checkRoutes(key func(string) string, team Team) {
	if team.Listen == "" && team.Tenant == "" && team.Prefix == "" {
		f.toml.Fault(key("tenant"), "missing, as are listen and prefix: nothing would ever match")
	}
	if team.Listen != "" {
		f.checkAddress(key("listen"), team.Listen)
	}
	if strings.ContainsAny(team.Tenant, " ,=\r\n") {
		f.toml.Fault(key("tenant"), "%q can never match: no client can name it", team.Tenant)
	}
	if strings.ContainsAny(team.Prefix, " \r\n") || len(team.Prefix) > maxKeyBytes {
		f.toml.Fault(key("prefix"), "%q can never match: no key begins so", team.Prefix)
	}
}

// checkDuplicateRoutes checks that no team before has the same routes, and notes this one's.
func (f *File) checkDuplicateRoutes(key func(string) string, team Team, seen routeOwners) {
	own := []route{{byListen, team.Listen}, {byTenant, team.Tenant}, {byPrefix, team.Prefix}}
	for _, r := range own {
		first, twice := seen[r]
		if twice && r.value != "" {
			f.toml.Fault(key(r.kind), "%q is team %s's already: this route would never match", r.value, first)
		}
	}
	seen[route{byName, team.Name}] = team.Name
	for _, r := range own {
		seen[r] = team.Name
	}
}

func (f *File) checkBudget(key func(string) string, team Team) {
	f.checkNotNegative(key("budget"), team.Budget)
	f.checkNotNegative(key("borrow"), team.Borrow)
	f.checkNotNegative(key("weight"), team.Weight)
	if team.Burst != nil {
		f.checkNotNegative(key("burst"), *team.Burst)
	}
}

// checkCapacity reports the team with which a pool's budgets exceed its capacity; sum is theirs so far. Capacity 0 is
// not stated.
func (f *File) checkCapacity(key func(string) string, team Team, capacity, sum float64) {
	limit := capacity * budgetTolerance
	if capacity > 0 && sum > limit && sum-team.Budget <= limit {
		f.toml.Fault(key("budget"), "with it the budgets of pool %q come to %v, more than its capacity, %v",
			team.Pool, sum, capacity)
	}
}

// Terms returns the contracts as the broker takes them.
func (f *File) Terms() (all []broker.TeamTerms) {
	for _, team := range f.Teams {
		contract := quota.Quota{
			Team:           team.Name,
			GuaranteedRate: team.Budget,
			Burst:          team.Budget,
			BorrowRate:     team.Borrow,
			Weight:         team.Weight,
		}
		override(&contract.Burst, team.Burst)
		terms := broker.TeamTerms{
			Quota:  contract,
			Pool:   team.Pool,
			Listen: team.Listen,
			Tenant: team.Tenant,
			Prefix: team.Prefix,
		}
		for _, t := range team.Types {
			terms.TrafficClasses = append(terms.TrafficClasses, t.trafficClass())
		}
		all = append(all, terms)
	}
	return all
}

// Others says who takes what no contract holds for.
func (f *File) Others() broker.UnmatchedTraffic {
	return broker.UnmatchedTraffic(f.Broker.Others == othersRejected)
}
