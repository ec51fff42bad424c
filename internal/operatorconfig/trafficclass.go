package operatorconfig

import (
	"slices"

	"bendtrestle/balancer"
)

// Type is a traffic class of a team.
type Type struct {
	Name           string   `toml:"name"`
	Effect         string   `toml:"effect"` // of a repetition: reissuable, numbered, at-most-once
	Group          string   `toml:"group"`  // of servers that know a repetition: all, zone, cell; empty: all
	Window         float64  `toml:"window"` // seconds in which they know it
	PromisedMS     float64  `toml:"promised_ms"`
	HardStopMS     float64  `toml:"hard_stop_ms"`
	Benefit        float64  `toml:"benefit"`
	OverdueBenefit float64  `toml:"overdue_benefit"` // part of the benefit of an answer after the promised time
	RunsIn         []string `toml:"runs_in"`         // zones; left out: any
	AllowedOn      []string `toml:"allowed_on"`      // kinds of machine; left out: any
}

// effectNumbered is the effect that needs a window.
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

// trafficClass is the type in the balancer's terms.
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
		f.toml.Fault(teamKey("type"), "none: a contract needs at least one [[team.type]]")
	}
	names := map[string]bool{}
	for i, t := range types {
		key := keyIn("%s.%d", teamKey("type"), i)
		f.checkName(key("name"), t.Name)
		if names[t.Name] {
			f.toml.Fault(key("name"), "traffic type %q is there twice", t.Name)
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
		f.toml.Want(key("window"), t.Window, "above 0: nobody would know a repeat")
	}
	f.checkPositive(key("promised_ms"), t.PromisedMS)
	if t.HardStopMS < t.PromisedMS {
		f.toml.Fault(key("hard_stop_ms"), "%v is before the promised time, %v", t.HardStopMS, t.PromisedMS)
	}
	f.checkPositive(key("benefit"), t.Benefit)
	if !(t.OverdueBenefit >= 0 && t.OverdueBenefit <= 1) { // also for NaN
		f.toml.Want(key("overdue_benefit"), t.OverdueBenefit, "between 0 and 1")
	}
	f.checkPlacement(key("runs_in"), t.RunsIn)
	f.checkPlacement(key("allowed_on"), t.AllowedOn)
}

// checkPlacement checks the zones or kinds of machine to which alone a type may be sent.
func (f *File) checkPlacement(key string, places []string) {
	namesNone := places != nil && len(places) == 0
	if namesNone || slices.Contains(places, "") {
		f.toml.Fault(key, "%q leaves it nowhere to run; name at least one, or leave it out where any will do", places)
	}
}
