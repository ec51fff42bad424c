// Package operatorconfig reads the operators' own file: what the platform's configuration has no word for. Without the file
// everything is as the platform says.
package operatorconfig

import (
	"fmt"
	"slices"
	"strings"

	"bendtrestle/internal/tomlfile"
)

// File is the operators' file as it is in effect.
type File struct {
	Log    Log    `toml:"log"`
	Broker Broker `toml:"broker"`
	Pools  []Pool `toml:"pool"`
	Teams  []Team `toml:"team"`

	Zones    Zones    `toml:"zones"`
	Recovery Recovery `toml:"recovery"`
	Gossip   Gossip   `toml:"gossip"`
	Cold     Cold     `toml:"cold"`
	Regions  []Region `toml:"region"`

	path string
	from *tomlfile.File
}

// Log says what is logged, and how.
type Log struct {
	Level string `toml:"level"` // from which level on
	Form  string `toml:"form"`  // json, or console for people
}

var (
	levels = []string{"debug", "info", "warn", "error"}
	forms  = []string{"json", "console"}
)

func usual() File {
	return File{Log: Log{Level: "info", Form: "json"}, Broker: Broker{Others: "platform"}, Gossip: Gossip{BytesPerSecond: usualBytes}, Cold: Cold{Routers: usualRouters}}
}

// Read reads and checks the file at a path; an empty path is no file. All faults are told, a line each.
func Read(path string) (File, error) {
	f := usual()
	if path == "" {
		return f, nil
	}
	from, err := tomlfile.Read(path, &f)
	if err != nil {
		return usual(), err
	}
	f.path, f.from = path, from
	f.check()
	return f, from.Err()
}

func (f *File) check() {
	oneOf := func(key, value string, of []string) {
		if !slices.Contains(of, value) {
			f.from.Fault(key, "%q is not one of %s", value, strings.Join(of, ", "))
		}
	}
	oneOf("log.level", f.Log.Level, levels)
	oneOf("log.form", f.Log.Form, forms)
	f.checkContracts()
	f.checkRegions()
	f.checkGossip()
	f.checkCold()
}

// Restart names the keys whose values another file has otherwise, and which count from the start alone.
func (f *File) Restart(other File) (keys []string) {
	if f.Zones != other.Zones {
		keys = append(keys, "zones.on")
	}
	if f.Recovery != other.Recovery {
		keys = append(keys, "recovery.on")
	}
	if f.Gossip != other.Gossip {
		keys = append(keys, "gossip")
	}
	if f.Cold != other.Cold {
		keys = append(keys, "cold.routers")
	}
	return keys
}

// Setting is one value in effect and where it comes from.
type Setting struct{ Key, Value, From string }

// Settings gives all, with the line that set each or that it is the default.
func (f *File) Settings() []Setting {
	from := func(key string) string {
		if f.from != nil && f.from.Has(key) {
			return fmt.Sprintf("%s:%d", f.path, f.from.Line(key))
		}
		return "default"
	}
	all := []Setting{
		{"log.level", f.Log.Level, from("log.level")},
		{"log.form", f.Log.Form, from("log.form")},
		{"broker.others", f.Broker.Others, from("broker.others")},
		{"zones.on", fmt.Sprint(f.Zones.On), from("zones.on")},
		{"recovery.on", fmt.Sprint(f.Recovery.On), from("recovery.on")},
		{"gossip.on", fmt.Sprint(f.Gossip.On), from("gossip.on")},
		{"cold.routers", fmt.Sprint(f.Cold.Routers), from("cold.routers")},
		{"gossip.bytes_per_second", fmt.Sprint(f.Gossip.BytesPerSecond), from("gossip.bytes_per_second")},
	}
	for i, r := range f.Regions {
		all = append(all, Setting{"region " + r.Name, strings.Join(r.Zones, ", ") + ", returning in this order", from(fmt.Sprintf("region.%d", i))})
	}
	for i, p := range f.Pools {
		capacity := "not stated"
		if p.Capacity > 0 {
			capacity = fmt.Sprintf("%v s of load a second", p.Capacity)
		}
		at := fmt.Sprintf("pool.%d", i)
		all = append(all, Setting{"pool " + p.Name, fmt.Sprintf("list at %s, capacity %s, %v of the connections", p.Discovery, capacity,
			p.Connections), from(at)})
	}
	return all
}
