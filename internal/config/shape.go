package config

import (
	"fmt"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"
)

// Reports is what cache servers tell of their load, as the settings have it.
type Reports struct {
	How   string // "off", "inline" or "on_probe"
	Names []string
}

func (r Reports) String() string {
	if len(r.Names) == 0 {
		return r.How
	}
	return r.How + ": " + strings.Join(r.Names, ", ")
}

// What the settings may say; a word that is not here is refused rather than taken for none.
var (
	modes       = []string{"", "through"}
	weights     = []string{"", "off", "nominal", "rough", "live"}
	reported    = []string{"", "off", "inline", "on_probe"}
	discoveries = []string{"", "pushed", "on_request"}
	fields      = []string{"concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "x0", "x1"}
)

// shape reads what tells one shape of a deployment from another, and refuses what contradicts itself: which shape is in
// force follows from the settings alone, so half of one and half of another must not start.
func shape(o, set *settings.Object, c *Config) {
	family, limits, load := set.Part("familyInfo"), set.Part("limits"), set.Part("loadInfo")
	oneOf(family, "mode", modes)
	oneOf(set, "weights", weights)
	oneOf(set, "discovery", discoveries)
	oneOf(load, "how", reported)
	c.Reports = Reports{load.Text("how"), load.Texts("names")}
	if c.Reports.How == "" {
		c.Reports.How = "off"
	}
	switch names := c.Reports.Names; {
	case c.Reports.How == "off" && len(names) > 0:
		load.Fault("names", fmt.Sprintf("%q, but how is \"off\"; none would be right", names))
	case c.Reports.How != "off" && (len(names) == 0 || len(names) > 4):
		load.Fault("names", fmt.Sprintf("%d of them, but how is %q; one to four would be right", len(names), c.Reports.How))
	}
	for _, name := range c.Reports.Names {
		if !slices.Contains(fields, name) {
			load.Fault("names", fmt.Sprintf("%q is none of %s", name, strings.Join(fields, ", ")))
		}
	}
	if c.Reports.How == "on_probe" && !c.Settings.ProbesAllowed {
		load.Fault("how", `"on_probe", but settings.limits.probes is false; "inline" or "off" would be right`)
	}
	if c.Settings.WeightMode == balancer.WeightsLive && c.Settings.GossipAllowed {
		limits.Fault("peers", `true, but settings.weights is "live", which tells the same load; false would be right, or sizes as weights`)
	}
	if !limits.Absent("peers") && !c.Settings.GossipAllowed {
		for key, listed := range map[string]bool{"peers": len(c.Peers) > 0, "peers_all": c.PeersAll != ""} {
			if listed {
				o.Fault(key, "listed, but settings.limits.peers is false; none would be right")
			}
		}
	}
}

func oneOf(o *settings.Object, key string, known []string) {
	if text := o.Text(key); !slices.Contains(known, text) {
		o.Fault(key, fmt.Sprintf("%q is none of %s", text, strings.Join(known[1:], ", ")))
	}
}
