package operatorconfig

import (
	"fmt"
	"net/netip"
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
	toml *tomlfile.File // nil: there is no file
}

// Log says what is logged, and how.
type Log struct {
	Level string `toml:"level"` // from which level on
	Form  string `toml:"form"`  // json, or console for people
}

var (
	logLevels = []string{"debug", "info", "warn", "error"}
	logForms  = []string{"json", "console"}
)

func defaults() File {
	return File{
		Log:    Log{Level: "info", Form: "json"},
		Broker: Broker{Others: othersToPlatform},
		Gossip: Gossip{BytesPerSecond: defaultGossipBytes},
		Cold:   Cold{Routers: defaultSlowStartRouters},
	}
}

// Read reads and checks the file at a path; an empty path is no file. The error has all faults, a
// configerror.FieldError and a line each.
func Read(path string) (File, error) {
	file := defaults()
	if path == "" {
		return file, nil
	}
	parsed, err := tomlfile.Read(path, &file)
	if err != nil {
		return defaults(), err
	}
	file.path = path
	file.toml = parsed
	file.check()
	return file, parsed.Err()
}

func (f *File) check() {
	f.checkOneOf("log.level", f.Log.Level, logLevels...)
	f.checkOneOf("log.form", f.Log.Form, logForms...)
	f.checkOneOf("broker.others", f.Broker.Others, othersToPlatform, othersRejected)
	pools := f.checkPools()
	f.checkTeams(pools)
	f.checkRegions()
	f.checkGossip()
	f.checkSlowStart()
}

// RestartKeys returns the keys whose values are others in another file, and take effect at a restart only.
func (f *File) RestartKeys(other File) (keys []string) {
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

func (f *File) checkOneOf(key, value string, words ...string) {
	if !slices.Contains(words, value) {
		f.toml.Want(key, value, "one of "+strings.Join(words, ", "))
	}
}

// checkName checks a name that stands in keys, in the protocol and in figures.
func (f *File) checkName(key, text string) {
	if text == "" || strings.ContainsAny(text, " ,=/\r\n") {
		f.toml.Want(key, text, "a word without spaces, commas, slashes and equals signs")
	}
}

func (f *File) checkAddress(key, text string) {
	_, err := netip.ParseAddrPort(text)
	if err != nil {
		f.toml.Want(key, text, "an address and a port")
	}
}

func (f *File) checkNotNegative(key string, value float64) {
	if !(value >= 0) { // also for NaN
		f.toml.Fault(key, "%v is below 0", value)
	}
}

func (f *File) checkPositive(key string, value float64) {
	if !(value > 0) { // also for NaN
		f.toml.Want(key, value, "above 0")
	}
}

// keyIn returns a function that names the keys of a table.
func keyIn(format string, args ...any) func(key string) string {
	table := fmt.Sprintf(format, args...)
	return func(key string) string { return table + "." + key }
}
