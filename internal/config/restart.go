package config

import (
	"reflect"
	"slices"
)

// RestartKeys returns the keys, sorted, whose values differ in the next configuration and take effect only after a
// restart. It leaves out the list service's address, which takes effect without one, and the initial endpoints and the
// seed, which are used only at the start of a process.
func (c Config) RestartKeys(next Config) (keys []string) {
	for key, same := range map[string]bool{
		"name":        c.Name == next.Name,
		"listen":      c.Listen == next.Listen,
		"ops":         c.AdminListen == next.AdminListen,
		"peer_listen": c.PeerListen == next.PeerListen,
		"peers_all":   c.PeersAll == next.PeersAll,
		"peers":       slices.Equal(c.Peers, next.Peers),
		"limits":      c.Cores == next.Cores && c.MemoryBytes == next.MemoryBytes && c.Descriptors == next.Descriptors,
		"settings":    c.sameSettings(next),
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// sameSettings reports whether all values of the key "settings" are equal.
func (c Config) sameSettings(next Config) bool {
	settings := next.Settings
	settings.Seed = c.Settings.Seed // belongs to another key
	return reflect.DeepEqual(c.Settings, settings) &&
		reflect.DeepEqual(c.LoadReports, next.LoadReports) &&
		c.ConnectTimeout == next.ConnectTimeout &&
		c.IdleTimeout == next.IdleTimeout &&
		c.DrainGrace == next.DrainGrace &&
		c.AttemptsPerConnection == next.AttemptsPerConnection &&
		c.OpenRequestsCap == next.OpenRequestsCap
}
