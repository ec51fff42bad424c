package broker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/policy/quota"
	"bendtrestle/internal/requestcore"
)

// TeamConfig is the configuration of a team: its quota and pool, how its requests are recognized, and its traffic
// classes.
type TeamConfig struct {
	quota.Quota
	Pool           string // "" for the platform's pool
	Listen         string // address of the team's own listener; all requests that arrive there are the team's
	Tenant         string // tenant that the team's clients name
	Prefix         string // prefix of the team's keys
	TrafficClasses []balancer.TrafficClass
}

// Pool is a pool as configured in the operators' file.
type Pool struct {
	Name        string // "" for the platform's pool
	Core        *requestcore.Core
	Capacity    float64 // seconds of load per second, over all routers; 0 if not stated
	Connections int     // to the pool's servers
}

// Limits are the limits on requests in flight, buffered bytes and connections, over all teams.
type Limits struct {
	Requests      int // in flight
	BufferedBytes int // of values
	Connections   int // of clients
}

// UnmatchedTraffic decides what is done with requests that match no team.
type UnmatchedTraffic bool

// Unmatched requests are routed to the platform's pool, as without teams, or rejected.
const (
	UnmatchedToPlatform UnmatchedTraffic = false
	UnmatchedRejected   UnmatchedTraffic = true
)

// idempotencyNames are the names in the operators' file.
var idempotencyNames = [...]string{"at-most-once", "numbered", "reissuable"}

// describe formats the terms in one line, with the names used in the operators' file.
func (t TeamConfig) describe() string {
	text := fmt.Sprintf("pool %q, budget %v, burst %v, borrow %v, weight %v, listen %q, tenant %q, prefix %q",
		t.Pool, t.GuaranteedRate, t.Burst, t.BorrowRate, t.Weight, t.Listen, t.Tenant, t.Prefix)
	for _, class := range t.TrafficClasses {
		text += fmt.Sprintf("; %s %s %v/%v s benefit %v", class.Name, idempotencyNames[class.Idempotency],
			class.LatencyObjective, class.Deadline, class.PriorityWeight)
	}
	return text
}

// differences returns a line for each change, with the old and the new values.
func (b *Broker) differences(pools []Pool, teams []TeamConfig, unmatched UnmatchedTraffic) []string {
	lines := b.teamDifferences(teams)
	lines = append(lines, b.poolDifferences(pools)...)
	if b.revision > 1 && unmatched != b.unmatched {
		lines = append(lines, fmt.Sprintf("traffic that matches no team changed from rejected %v to %v",
			bool(b.unmatched), bool(unmatched)))
	}
	return lines
}

func (b *Broker) teamDifferences(teams []TeamConfig) (lines []string) {
	named := map[string]bool{}
	for _, terms := range teams {
		named[terms.Team] = true
		before := b.teams[terms.Team]
		if before == nil {
			lines = append(lines, fmt.Sprintf("team %s added: %s", terms.Team, terms.describe()))
			continue
		}
		from, to := before.TeamConfig.describe(), terms.describe()
		if from != to {
			lines = append(lines, fmt.Sprintf("team %s changed from: %s, to: %s", terms.Team, from, to))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.teams)) {
		if !named[name] {
			lines = append(lines, fmt.Sprintf("team %s removed: %s", name, b.teams[name].TeamConfig.describe()))
		}
	}
	return lines
}

func (b *Broker) poolDifferences(pools []Pool) (lines []string) {
	named := map[string]bool{}
	for _, p := range pools {
		named[p.Name] = true
		before := b.pools[p.Name]
		if before == nil && p.Name != "" {
			lines = append(lines, fmt.Sprintf("pool %s added, capacity %v", p.Name, p.Capacity))
		}
		if before != nil && before.Capacity != p.Capacity {
			name := cmp.Or(p.Name, "of the platform")
			lines = append(lines, fmt.Sprintf("pool %s changed from capacity %v to %v", name, before.Capacity, p.Capacity))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		if !named[name] {
			lines = append(lines, fmt.Sprintf("pool %s removed", name))
		}
	}
	return lines
}
