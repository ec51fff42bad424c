package operatorconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"bendtrestle/internal/tomlfile"
)

// File is the content of the operators' file, with defaults for the keys that it lacks.
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
	toml *tomlfile.File // nil: no file was read
}

// Log sets the level and the format of the log.
type Log struct {
	Level string `toml:"level"` // the lowest level that is logged
	Form  string `toml:"form"`  // json, or console for reading in a terminal
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

// Read reads and checks the file at a path. With an empty path it returns the defaults. The error joins all faults,
// each a configerror.FieldError and a line of the text.
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

// RestartKeys returns the keys whose values differ in the other file and take effect only after a restart.
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

func (f *File) checkOneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		f.toml.Want(key, value, "one of "+strings.Join(allowed, ", "))
	}
}

// checkName checks a name that is used in keys, in the protocol and in the names of metrics.
func (f *File) checkName(key, text string) {
	if text == "" || strings.ContainsAny(text, " ,=/\r\n") {
		f.toml.Want(key, text, "a name without spaces, commas, slashes, equals signs or line breaks")
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

// keyIn returns a function that returns the path of a key in a table.
func keyIn(format string, args ...any) func(key string) string {
	table := fmt.Sprintf(format, args...)
	return func(key string) string { return table + "." + key }
}
