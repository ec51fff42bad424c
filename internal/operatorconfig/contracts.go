package operatorconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/broker"
	"bendtrestle/internal/policy/quota"
	"bendtrestle/internal/tiles"
)

// Broker says what becomes of traffic that no contract holds for.
type Broker struct {
	Others string `toml:"others"` // platform: its pool takes it; nobody: it is an error
}

// Pool is a set of servers besides the platform's. What it does not say is as the platform's.
type Pool struct {
	Name             string   `toml:"name"`
	Discovery        string   `toml:"discovery"`
	Capacity         float64  `toml:"capacity"`    // seconds of load a second, over all routers
	Connections      float64  `toml:"connections"` // part of the connections to servers
	MostExecutions   *int     `toml:"most_executions"`
	SecondCopies     *bool    `toml:"second_copies"`
	Cancelling       *bool    `toml:"cancelling"`
	ConnectTimeoutMS *float64 `toml:"connect_timeout_ms"`
	Idle             *float64 `toml:"idle"`
	PerConnection    *int     `toml:"per_connection"`
	ColdFrom         *float64 `toml:"cold_from"`
	Warm             *float64 `toml:"warm"`
	Fall             *float64 `toml:"fall"`
	Multiple         *float64 `toml:"multiple"`

	Protocol  string   `toml:"protocol"`   // memcache, and the default; or tiles
	Scheme    string   `toml:"scheme"`     // how tile servers are asked: xyz, wmts-kvp, wmts-rest
	Host      string   `toml:"host"`       // that requests to tile servers name
	Probe     string   `toml:"probe"`      // a path at which a tile server tells that it is there
	LargestKB int      `toml:"largest_kb"` // of a tile
	StallMS   *float64 `toml:"stall_ms"`   // a reply that has begun and gets no further byte for so long will not go on
}

// Team is a contract.
type Team struct {
	Name   string   `toml:"name"`
	Pool   string   `toml:"pool"`
	Listen string   `toml:"listen"`
	Tenant string   `toml:"tenant"`
	Prefix string   `toml:"prefix"`
	Budget float64  `toml:"budget"`
	Burst  *float64 `toml:"burst"`
	Borrow float64  `toml:"borrow"`
	Weight float64  `toml:"weight"`
	Types  []Type   `toml:"type"`
	Tiles  *Tiles   `toml:"tiles"`
}

// Type is a traffic type of a team.
type Type struct {
	Name           string   `toml:"name"`
	Effect         string   `toml:"effect"`
	Group          string   `toml:"group"`
	Window         float64  `toml:"window"`
	PromisedMS     float64  `toml:"promised_ms"`
	HardStopMS     float64  `toml:"hard_stop_ms"`
	Benefit        float64  `toml:"benefit"`
	OverdueBenefit float64  `toml:"overdue_benefit"`
	RunsIn         []string `toml:"runs_in"`    // zones; left out: any
	AllowedOn      []string `toml:"allowed_on"` // kinds of machine; left out: any
}

var (
	effects = map[string]balancer.Idempotency{"reissuable": balancer.Idempotent, "numbered": balancer.IdempotencyKeyed, "at-most-once": balancer.AtMostOnce}
	groups  = map[string]balancer.DeduplicationScope{"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell}
)

const (
	longestKey = 250 // bytes, by the protocol
	mostTeams  = 10000
)

// checkContracts tells every fault of pools and teams.
func (f *File) checkContracts() {
	if f.Broker.Others != "platform" && f.Broker.Others != "nobody" {
		f.from.Fault("broker.others", "%q is not one of platform, nobody", f.Broker.Others)
	}
	tilePools := map[string]bool{}
	capacity, connections, budgets := map[string]float64{"": 0}, 0.0, map[string]float64{}
	for i, p := range f.Pools {
		key := func(k string) string { return fmt.Sprintf("pool.%d.%s", i, k) }
		f.word(key("name"), p.Name)
		if _, twice := capacity[p.Name]; twice && p.Name != "" {
			f.from.Fault(key("name"), "%q is there twice", p.Name)
		}
		capacity[p.Name] = p.Capacity
		f.address(key("discovery"), p.Discovery)
		f.notBelow(key("capacity"), p.Capacity, 0)
		if !slices.Contains([]string{"", "memcache", "tiles"}, p.Protocol) {
			f.from.Fault(key("protocol"), "%q is not one of memcache, tiles", p.Protocol)
		}
		if p.Scheme != "" && !slices.Contains(tiles.Schemes, tiles.Scheme(p.Scheme)) {
			f.from.Fault(key("scheme"), "%q is not one of xyz, wmts-kvp, wmts-rest", p.Scheme)
		}
		if p.Probe != "" && (p.Probe[0] != '/' || strings.ContainsAny(p.Probe, " \r\n")) {
			f.from.Fault(key("probe"), "%q is not a path", p.Probe)
		}
		if strings.ContainsAny(p.Host, " /\r\n") {
			f.from.Fault(key("host"), "%q is not a host", p.Host)
		}
		if p.LargestKB < 0 || p.LargestKB > 16<<10 {
			f.from.Fault(key("largest_kb"), "%d is not between 0 and %d", p.LargestKB, 16<<10)
		}
		tilePools[p.Name] = p.Protocol == "tiles"
		if !(p.Connections > 0 && p.Connections <= 0.9) {
			f.from.Fault(key("connections"), "%v is not above 0 and at most 0.9 of all", p.Connections)
		}
		connections += p.Connections
		for name, x := range map[string]*float64{"connect_timeout_ms": p.ConnectTimeoutMS, "stall_ms": p.StallMS, "idle": p.Idle, "warm": p.Warm, "fall": p.Fall,
			"multiple": p.Multiple, "cold_from": p.ColdFrom} {
			if x != nil && !(*x > 0) {
				f.from.Fault(key(name), "%v is not above 0", *x)
			}
		}
		for name, x := range map[string]*int{"most_executions": p.MostExecutions, "per_connection": p.PerConnection} {
			if x != nil && *x < 1 {
				f.from.Fault(key(name), "%d is not above 0", *x)
			}
		}
	}
	if connections > 0.9 {
		f.from.Fault("pool", "together they have %v of the connections, more than 0.9: the platform's pool needs some", connections)
	}
	if len(f.Teams) > mostTeams {
		f.from.Fault("team", "%d are more than %d", len(f.Teams), mostTeams)
	}
	seen := map[string]string{}
	once := func(key, what, value string) {
		if value == "" {
			return
		}
		if first, twice := seen[what+value]; twice {
			f.from.Fault(key, "%q is team %s's already: this route would never match", value, first)
		}
	}
	for i, t := range f.Teams {
		key := func(k string) string { return fmt.Sprintf("team.%d.%s", i, k) }
		f.word(key("name"), t.Name)
		if _, twice := seen["name"+t.Name]; twice {
			f.from.Fault(key("name"), "%q is there twice", t.Name)
		}
		if _, there := capacity[t.Pool]; !there {
			f.from.Fault(key("pool"), "%q is not the name of a pool", t.Pool)
		}
		if tilePools[t.Pool] != (t.Tiles != nil) {
			f.from.Fault(key("pool"), "a team with tiles needs a pool whose protocol is tiles, and the other way round")
		}
		f.checkTiles(fmt.Sprintf("team.%d", i), t)
		if t.Listen == "" && t.Tenant == "" && t.Prefix == "" {
			f.from.Fault(key("tenant"), "missing, as are listen and prefix: nothing would ever match")
		}
		if t.Listen != "" {
			f.address(key("listen"), t.Listen)
		}
		if strings.ContainsAny(t.Tenant, " ,=\r\n") {
			f.from.Fault(key("tenant"), "%q can never match: no client can name it", t.Tenant)
		}
		if strings.ContainsAny(t.Prefix, " \r\n") || len(t.Prefix) > longestKey {
			f.from.Fault(key("prefix"), "%q can never match: no key begins so", t.Prefix)
		}
		once(key("listen"), "listen", t.Listen)
		once(key("tenant"), "tenant", t.Tenant)
		once(key("prefix"), "prefix", t.Prefix)
		seen["name"+t.Name], seen["listen"+t.Listen], seen["tenant"+t.Tenant], seen["prefix"+t.Prefix] = t.Name, t.Name, t.Name, t.Name
		f.notBelow(key("budget"), t.Budget, 0)
		f.notBelow(key("borrow"), t.Borrow, 0)
		f.notBelow(key("weight"), t.Weight, 0)
		if t.Burst != nil {
			f.notBelow(key("burst"), *t.Burst, 0)
		}
		budgets[t.Pool] += t.Budget
		if sum := budgets[t.Pool]; capacity[t.Pool] > 0 && sum > capacity[t.Pool]*(1+1e-9) && sum-t.Budget <= capacity[t.Pool]*(1+1e-9) {
			f.from.Fault(key("budget"), "with it the budgets of pool %q come to %v, more than its capacity, %v", t.Pool, sum, capacity[t.Pool])
		}
		f.checkTypes(fmt.Sprintf("team.%d", i), t.Types)
	}
}

func (f *File) checkTypes(team string, types []Type) {
	if len(types) == 0 {
		f.from.Fault(team+".type", "none: a contract needs at least one [[team.type]]")
	}
	names := map[string]bool{}
	for i, k := range types {
		key := func(name string) string { return fmt.Sprintf("%s.type.%d.%s", team, i, name) }
		f.word(key("name"), k.Name)
		if names[k.Name] {
			f.from.Fault(key("name"), "traffic type %q is there twice", k.Name)
		}
		names[k.Name] = true
		if _, known := effects[k.Effect]; !known {
			f.from.Fault(key("effect"), "%q is not one of reissuable, numbered, at-most-once", k.Effect)
		}
		if _, known := groups[k.Group]; !known {
			f.from.Fault(key("group"), "%q is not one of all, zone, cell", k.Group)
		}
		if k.Effect == "numbered" && !(k.Window > 0) {
			f.from.Fault(key("window"), "%v is not above 0: nobody would know a repeat", k.Window)
		}
		if !(k.PromisedMS > 0) {
			f.from.Fault(key("promised_ms"), "%v is not above 0", k.PromisedMS)
		}
		if k.HardStopMS < k.PromisedMS {
			f.from.Fault(key("hard_stop_ms"), "%v is before the promised time, %v", k.HardStopMS, k.PromisedMS)
		}
		if !(k.Benefit > 0) {
			f.from.Fault(key("benefit"), "%v is not above 0", k.Benefit)
		}
		if !(k.OverdueBenefit >= 0 && k.OverdueBenefit <= 1) {
			f.from.Fault(key("overdue_benefit"), "%v is not between 0 and 1", k.OverdueBenefit)
		}
		for name, places := range map[string][]string{"runs_in": k.RunsIn, "allowed_on": k.AllowedOn} {
			if places != nil && len(places) == 0 || slices.Contains(places, "") {
				f.from.Fault(key(name), "%q leaves it nowhere to run; name at least one, or leave it out where any will do", places)
			}
		}
	}
}

func (f *File) word(key, text string) {
	if text == "" || strings.ContainsAny(text, " ,=/\r\n") {
		f.from.Fault(key, "%q is not a word without spaces, commas, slashes and equals signs", text)
	}
}

func (f *File) address(key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		f.from.Fault(key, "%q is not an address and a port", text)
	}
}

func (f *File) notBelow(key string, x, least float64) {
	if !(x >= least) {
		f.from.Fault(key, "%v is below %v", x, least)
	}
}

// Terms gives the contracts as the broker takes them.
func (f *File) Terms() (all []broker.TeamTerms) {
	for _, t := range f.Teams {
		burst := t.Budget // what it may do in a second
		if t.Burst != nil {
			burst = *t.Burst
		}
		terms := broker.TeamTerms{Pool: t.Pool, Listen: t.Listen, Tenant: t.Tenant, Prefix: t.Prefix,
			Quota: quota.Quota{Team: t.Name, GuaranteedRate: t.Budget, Burst: burst, BorrowRate: t.Borrow, Weight: t.Weight}}
		for _, k := range t.Types {
			terms.TrafficClasses = append(terms.TrafficClasses, balancer.TrafficClass{Name: k.Name, Idempotency: effects[k.Effect], DeduplicationScope: groups[k.Group],
				DeduplicationWindow: k.Window, LatencyObjective: k.PromisedMS / 1e3, Deadline: k.HardStopMS / 1e3, PriorityWeight: k.Benefit,
				LateValue: k.OverdueBenefit, AllowedZones: k.RunsIn, AllowedMachineTypes: k.AllowedOn})
		}
		all = append(all, terms)
	}
	return all
}

// Others says who takes what no contract holds for.
func (f *File) Others() broker.UnmatchedTraffic {
	return broker.UnmatchedTraffic(f.Broker.Others == "nobody")
}

// Settings gives the module's settings for a pool: the platform's, but for what the pool says.
func (p Pool) Settings(set balancer.Settings) balancer.Settings {
	set.TrafficClasses, set.Tenants = nil, nil
	set.RetryBudgetPerTenant, set.GossipAllowed, set.PollEndpoints, set.OrderedConnections = true, false, false, false
	take(&set.MaxAttempts, p.MostExecutions)
	take(&set.HedgingAllowed, p.SecondCopies)
	take(&set.CancellationAllowed, p.Cancelling)
	take(&set.WarmupStartCapacity, p.ColdFrom)
	take(&set.WarmupDuration, p.Warm)
	take(&set.OverloadWindow, p.Fall)
	take(&set.OverloadFactor, p.Multiple)
	return set
}

func take[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// ConnectTimeout is the pool's limit in seconds for a connection to come up; usual, the platform's, where it states none.
func (p Pool) ConnectTimeout(usual float64) float64 {
	if p.ConnectTimeoutMS != nil {
		return *p.ConnectTimeoutMS / 1e3
	}
	return usual
}

// ConnIdle is after how long its servers close an idle connection.
func (p Pool) ConnIdle(usual float64) float64 {
	take(&usual, p.Idle)
	return usual
}

// Stall is how long a reply that has begun may stand still; usual is what suits the platform's protocol. Tiles are larger
// and may be made as they are sent.
func (p Pool) Stall(usual float64) float64 {
	if p.StallMS != nil {
		return *p.StallMS / 1e3
	}
	if p.Protocol == "tiles" {
		return 1
	}
	return usual
}

// Streams is how many executions a connection to its servers carries at once.
func (p Pool) Streams(usual int) int {
	if p.Protocol == "tiles" {
		return 1 // a tile behind another would wait for it
	}
	take(&usual, p.PerConnection)
	return usual
}

// Table gives the contracts as rows, the first being their headings.
func (f *File) Table() [][]string {
	if len(f.Teams) == 0 {
		return nil
	}
	rows := [][]string{{"TEAM", "POOL", "KNOWN BY", "BUDGET s/s", "BURST s", "BORROW s/s", "TYPE", "EFFECT", "PROMISED ms", "HARD STOP ms", "BENEFIT", "ONLY"}}
	for i, t := range f.Terms() {
		var by []string
		for _, route := range [][2]string{{"listen", t.Listen}, {"tenant", t.Tenant}, {"prefix", t.Prefix}} {
			if route[1] != "" {
				by = append(by, route[0]+" "+route[1])
			}
		}
		for j, k := range f.Teams[i].Types {
			row := []string{t.Team, cmp.Or(t.Pool, "platform's"), strings.Join(by, ", "), fmt.Sprint(t.GuaranteedRate), fmt.Sprint(t.Burst), fmt.Sprint(t.BorrowRate)}
			if j > 0 {
				row = []string{"", "", "", "", "", ""}
			}
			effect := k.Effect
			if k.Effect == "numbered" {
				effect += fmt.Sprintf(" in %s, %v s", cmp.Or(k.Group, "all"), k.Window)
			}
			rows = append(rows, append(row, k.Name, effect, fmt.Sprint(k.PromisedMS), fmt.Sprint(k.HardStopMS), fmt.Sprint(k.Benefit), t.TrafficClasses[j].PlacementRules()))
		}
	}
	return rows
}
