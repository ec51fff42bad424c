package operatorconfig

import (
	"slices"

	"bendtrestle/balancer"
)

// Type is a traffic class of a team.
type Type struct {
	Name           string   `toml:"name"`
	Effect         string   `toml:"effect"` // of a repeated request: reissuable, numbered, at-most-once
	Group          string   `toml:"group"`  // servers that recognise a repeated request: all, zone, cell; empty: all
	Window         float64  `toml:"window"` // seconds for which they recognise it
	PromisedMS     float64  `toml:"promised_ms"`
	HardStopMS     float64  `toml:"hard_stop_ms"`
	Benefit        float64  `toml:"benefit"`
	OverdueBenefit float64  `toml:"overdue_benefit"` // fraction of the benefit that an answer after the promised time has
	RunsIn         []string `toml:"runs_in"`         // zones; default: any
	AllowedOn      []string `toml:"allowed_on"`      // machine types; default: any
}

// effectNumbered means that requests have an idempotency key. It requires a window.
const effectNumbered = "numbered"

var (
	idempotencies = map[string]balancer.Idempotency{
		"reissuable":   balancer.Idempotent,
		effectNumbered: balancer.IdempotencyKeyed,
		"at-most-once": balancer.AtMostOnce,
	}
	deduplicationScopes = map[string]balancer.DeduplicationScope{
		"":     balancer.ScopeAll,
		"all":  balancer.ScopeAll,
		"zone": balancer.ScopeZone,
		"cell": balancer.ScopeCell,
	}
)

// trafficClass returns the type as a traffic class of the balancer.
func (t Type) trafficClass() balancer.TrafficClass {
	return balancer.TrafficClass{
		Name:                t.Name,
		Idempotency:         idempotencies[t.Effect],
		DeduplicationScope:  deduplicationScopes[t.Group],
		DeduplicationWindow: t.Window,
		LatencyObjective:    t.PromisedMS / 1e3,
		Deadline:            t.HardStopMS / 1e3,
		PriorityWeight:      t.Benefit,
		LateValue:           t.OverdueBenefit,
		AllowedZones:        t.RunsIn,
		AllowedMachineTypes: t.AllowedOn,
	}
}

func (f *File) checkTypes(teamKey func(string) string, types []Type) {
	if len(types) == 0 {
		f.toml.Fault(teamKey("type"), "missing; a contract needs at least one [[team.type]]")
	}
	names := map[string]bool{}
	for i, t := range types {
		key := keyIn("%s.%d", teamKey("type"), i)
		f.checkName(key("name"), t.Name)
		if names[t.Name] {
			f.toml.Fault(key("name"), "duplicate traffic type %q", t.Name)
		}
		names[t.Name] = true
		f.checkType(key, t)
	}
}

func (f *File) checkType(key func(string) string, t Type) {
	if _, known := idempotencies[t.Effect]; !known {
		f.toml.Want(key("effect"), t.Effect, "one of reissuable, numbered, at-most-once")
	}
	if _, known := deduplicationScopes[t.Group]; !known {
		f.toml.Want(key("group"), t.Group, "one of all, zone, cell")
	}
	if t.Effect == effectNumbered && !(t.Window > 0) { // also for NaN
		f.toml.Want(key("window"), t.Window, "above 0; in this time servers recognise a repeated request")
	}
	f.checkPositive(key("promised_ms"), t.PromisedMS)
	if t.HardStopMS < t.PromisedMS {
		f.toml.Fault(key("hard_stop_ms"), "%v is below promised_ms, %v", t.HardStopMS, t.PromisedMS)
	}
	f.checkPositive(key("benefit"), t.Benefit)
	if !(t.OverdueBenefit >= 0 && t.OverdueBenefit <= 1) { // also for NaN
		f.toml.Want(key("overdue_benefit"), t.OverdueBenefit, "between 0 and 1")
	}
	f.checkPlacement(key("runs_in"), t.RunsIn)
	f.checkPlacement(key("allowed_on"), t.AllowedOn)
}

// checkPlacement checks the zones or machine types that a type is restricted to. The list may be absent, but not empty.
func (f *File) checkPlacement(key string, places []string) {
	isEmpty := places != nil && len(places) == 0
	if isEmpty || slices.Contains(places, "") {
		f.toml.Fault(key,
			"%q is empty or contains an empty name; list at least one name, or omit the key to allow any", places)
	}
}
