package operatorconfig

import (
	"strings"

	"bendtrestle/internal/broker"
	"bendtrestle/internal/policy/quota"
)

// Broker sets what happens to requests that match no contract.
type Broker struct {
	Others string `toml:"others"` // platform: its pool serves them; nobody: they get an error
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
	Burst  *float64 `toml:"burst"`  // seconds of load that may arrive at the same time; nil: one second's budget
	Borrow float64  `toml:"borrow"` // seconds of load a second beyond the budget
	Weight float64  `toml:"weight"`
	Types  []Type   `toml:"type"`
	Tiles  *Tiles   `toml:"tiles"`
}

const (
	maxKeyBytes = 250 // limit of the protocol
	maxTeams    = 10000

	// budgetTolerance allows for rounding errors in the sum of budgets that equal the capacity.
	budgetTolerance = 1 + 1e-9
)

// routeOwners maps each name, listener address, tenant and key prefix to the name of the team that has it.
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
		f.toml.Fault("team", "%d teams, but at most %d are allowed", len(f.Teams), maxTeams)
	}
	seen := routeOwners{}
	budgets := map[string]float64{} // of the teams so far, by pool
	for i, team := range f.Teams {
		key := keyIn("team.%d", i)
		f.checkName(key("name"), team.Name)
		_, duplicate := seen[route{byName, team.Name}]
		if duplicate {
			f.toml.Fault(key("name"), "duplicate name %q", team.Name)
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
		f.toml.Fault(key("pool"),
			"a team with tiles needs a pool whose protocol is tiles, and such a pool is only for teams with tiles")
	}
}

// checkRoutes checks that requests can match the team.
func (f *File) checkRoutes(key func(string) string, team Team) {
	if team.Listen == "" && team.Tenant == "" && team.Prefix == "" {
		f.toml.Fault(key("tenant"), "missing, as are listen and prefix; without one of them no request matches the team")
	}
	if team.Listen != "" {
		f.checkAddress(key("listen"), team.Listen)
	}
	if strings.ContainsAny(team.Tenant, " ,=\r\n") {
		f.toml.Fault(key("tenant"),
			"%q can never match; a tenant has no spaces, commas, equals signs or line breaks", team.Tenant)
	}
	if strings.ContainsAny(team.Prefix, " \r\n") || len(team.Prefix) > maxKeyBytes {
		f.toml.Fault(key("prefix"),
			"%q can never match; a key has at most 250 bytes, and no spaces or line breaks", team.Prefix)
	}
}

// checkDuplicateRoutes checks that no earlier team has the same routes, and adds this team's routes to seen.
func (f *File) checkDuplicateRoutes(key func(string) string, team Team, seen routeOwners) {
	own := []route{{byListen, team.Listen}, {byTenant, team.Tenant}, {byPrefix, team.Prefix}}
	for _, r := range own {
		first, duplicate := seen[r]
		if duplicate && r.value != "" {
			f.toml.Fault(key(r.kind), "%q already belongs to team %s; this route would never match", r.value, first)
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

// checkCapacity reports the first team whose budget makes the sum of the pool's budgets exceed its capacity. The sum
// includes this team's budget. A capacity of 0 means that none is stated.
func (f *File) checkCapacity(key func(string) string, team Team, capacity, sum float64) {
	limit := capacity * budgetTolerance
	if capacity > 0 && sum > limit && sum-team.Budget <= limit {
		f.toml.Fault(key("budget"), "with this budget the budgets of pool %q add up to %v, more than its capacity of %v",
			team.Pool, sum, capacity)
	}
}

// Terms returns the contracts in the form that the broker uses.
func (f *File) Terms() (all []broker.TeamConfig) {
	for _, team := range f.Teams {
		contract := quota.Quota{
			Team:           team.Name,
			GuaranteedRate: team.Budget,
			Burst:          team.Budget,
			BorrowRate:     team.Borrow,
			Weight:         team.Weight,
		}
		override(&contract.Burst, team.Burst)
		terms := broker.TeamConfig{
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

// UnmatchedTraffic returns how the broker treats requests that match no contract.
func (f *File) UnmatchedTraffic() broker.UnmatchedTraffic {
	return broker.UnmatchedTraffic(f.Broker.Others == othersRejected)
}
