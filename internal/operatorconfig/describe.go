package operatorconfig

import (
	"cmp"
	"fmt"
	"strings"
)

// Setting is one value in effect, as `bendtrestle check` prints it.
type Setting struct {
	Key    string
	Value  string
	Source string // file and line, or "default"
}

// Settings returns all values in effect.
func (f *File) Settings() []Setting {
	all := []Setting{
		f.setting("log.level", f.Log.Level),
		f.setting("log.form", f.Log.Form),
		f.setting("broker.others", f.Broker.Others),
		f.setting("zones.on", f.Zones.On),
		f.setting("recovery.on", f.Recovery.On),
		f.setting("gossip.on", f.Gossip.On),
		f.setting("cold.routers", f.Cold.Routers),
		f.setting("gossip.bytes_per_second", f.Gossip.BytesPerSecond),
	}
	for i, region := range f.Regions {
		all = append(all, Setting{
			Key:    "region " + region.Name,
			Value:  strings.Join(region.Zones, ", ") + ", returning in this order",
			Source: f.source(fmt.Sprintf("region.%d", i)),
		})
	}
	for i, pool := range f.Pools {
		capacity := "not stated"
		if pool.Capacity > 0 {
			capacity = fmt.Sprintf("%v s of load a second", pool.Capacity)
		}
		all = append(all, Setting{
			Key:    "pool " + pool.Name,
			Value:  fmt.Sprintf("list at %s, capacity %s, %v of the connections", pool.Discovery, capacity, pool.Connections),
			Source: f.source(fmt.Sprintf("pool.%d", i)),
		})
	}
	return all
}

func (f *File) setting(key string, value any) Setting {
	return Setting{Key: key, Value: fmt.Sprint(value), Source: f.source(key)}
}

// source returns the file and line of a key, or "default".
func (f *File) source(key string) string {
	if f.toml != nil && f.toml.Has(key) {
		return fmt.Sprintf("%s:%d", f.path, f.toml.Line(key))
	}
	return "default"
}

// ContractTable returns the contracts as a table with a row of headings and a row for each traffic class. It returns
// nil if there are no contracts.
func (f *File) ContractTable() [][]string {
	if len(f.Teams) == 0 {
		return nil
	}
	rows := [][]string{{"TEAM", "POOL", "KNOWN BY", "BUDGET s/s", "BURST s", "BORROW s/s",
		"TYPE", "EFFECT", "PROMISED ms", "HARD STOP ms", "BENEFIT", "ONLY"}}
	for i, terms := range f.Terms() {
		team := f.Teams[i]
		contract := []string{terms.Team, cmp.Or(terms.Pool, "platform's"), team.routeText(),
			fmt.Sprint(terms.GuaranteedRate), fmt.Sprint(terms.Burst), fmt.Sprint(terms.BorrowRate)}
		for j, t := range team.Types {
			if j > 0 {
				contract = make([]string, len(contract))
			}
			row := append(contract[:len(contract):len(contract)], t.Name, t.describeEffect(), fmt.Sprint(t.PromisedMS),
				fmt.Sprint(t.HardStopMS), fmt.Sprint(t.Benefit), terms.TrafficClasses[j].PlacementRules())
			rows = append(rows, row)
		}
	}
	return rows
}

// routeText returns how requests are matched to the team: by listener, tenant or key prefix.
func (t Team) routeText() string {
	var by []string
	for _, r := range []route{{byListen, t.Listen}, {byTenant, t.Tenant}, {byPrefix, t.Prefix}} {
		if r.value != "" {
			by = append(by, r.kind+" "+r.value)
		}
	}
	return strings.Join(by, ", ")
}

func (t Type) describeEffect() string {
	if t.Effect != effectNumbered {
		return t.Effect
	}
	return fmt.Sprintf("%s in %s, %v s", t.Effect, cmp.Or(t.Group, "all"), t.Window)
}
