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

// TeamTerms are what a team and the operators have agreed on, and how the team's requests are known.
type TeamTerms struct {
	quota.Quota
	Pool           string // "": the platform's
	Listen         string // an address of its own; what comes in there is the team's
	Tenant         string // the tenant that its clients name
	Prefix         string // what its keys begin with
	TrafficClasses []balancer.TrafficClass
}

// Pool is a pool as the operators' file has it.
type Pool struct {
	Name        string // "": the platform's
	Core        *requestcore.Core
	Capacity    float64 // seconds of load a second, over all routers; 0: not stated
	Connections int     // to its servers
}

// Limits bound what is open and held, over all teams.
type Limits struct {
	Requests      int // in flight
	BufferedBytes int // of values
	Connections   int // of clients
}

// UnmatchedTraffic says who takes requests that match no team.
type UnmatchedTraffic bool

// Either the platform's pool does, as without teams, or nobody.
const (
	UnmatchedToPlatform UnmatchedTraffic = false
	UnmatchedRejected   UnmatchedTraffic = true
)

// idempotencyNames are the operators' words.
var idempotencyNames = [...]string{"at-most-once", "numbered", "reissuable"}

// describe tells the terms in a line of the operators' words.
func (t TeamTerms) describe() string {
	text := fmt.Sprintf("pool %q, budget %v, burst %v, borrow %v, weight %v, listen %q, tenant %q, prefix %q",
		t.Pool, t.GuaranteedRate, t.Burst, t.BorrowRate, t.Weight, t.Listen, t.Tenant, t.Prefix)
	for _, class := range t.TrafficClasses {
		text += fmt.Sprintf("; %s %s %v/%v s benefit %v", class.Name, idempotencyNames[class.Idempotency],
			class.LatencyObjective, class.Deadline, class.PriorityWeight)
	}
	return text
}

// differences tells what changes, a line each: what it was, what it is.
func (b *Broker) differences(pools []Pool, teams []TeamTerms, unmatched UnmatchedTraffic) []string {
	lines := b.teamDifferences(teams)
	lines = append(lines, b.poolDifferences(pools)...)
	if b.revision > 1 && unmatched != b.unmatched {
		lines = append(lines, fmt.Sprintf("what no contract holds for changes from declined %v to %v",
			bool(b.unmatched), bool(unmatched)))
	}
	return lines
}

func (b *Broker) teamDifferences(teams []TeamTerms) (lines []string) {
	named := map[string]bool{}
	for _, terms := range teams {
		named[terms.Team] = true
		before := b.teams[terms.Team]
		if before == nil {
			lines = append(lines, fmt.Sprintf("team %s comes: %s", terms.Team, terms.describe()))
			continue
		}
		from, to := before.TeamTerms.describe(), terms.describe()
		if from != to {
			lines = append(lines, fmt.Sprintf("team %s changes from: %s, to: %s", terms.Team, from, to))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.teams)) {
		if !named[name] {
			lines = append(lines, fmt.Sprintf("team %s goes: %s", name, b.teams[name].TeamTerms.describe()))
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
			lines = append(lines, fmt.Sprintf("pool %s comes, capacity %v", p.Name, p.Capacity))
		}
		if before != nil && before.Capacity != p.Capacity {
			name := cmp.Or(p.Name, "of the platform")
			lines = append(lines, fmt.Sprintf("pool %s changes from capacity %v to %v", name, before.Capacity, p.Capacity))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		if !named[name] {
			lines = append(lines, fmt.Sprintf("pool %s goes", name))
		}
	}
	return lines
}
