package config

import (
	"fmt"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"
)

// LoadReports is what cache servers report of their load, as the settings have it.
type LoadReports struct {
	How   string // loadReportsOff, loadReportsInline or loadReportsOnProbe
	Names []string
}

const (
	loadReportsOff     = "off"
	loadReportsInline  = "inline" // with answers
	loadReportsOnProbe = "on_probe"

	maxLoadReportNames = 4
)

// String is how `bendtrestle check` shows them.
func (r LoadReports) String() string {
	if len(r.Names) == 0 {
		return r.How
	}
	return r.How + ": " + strings.Join(r.Names, ", ")
}

// Words of the settings; another one is a fault rather than taken for none.
var (
	familyModes     = []string{"", "through"}
	weightModes     = []string{"", "off", "nominal", "rough", "live"}
	reportModes     = []string{"", loadReportsOff, loadReportsInline, loadReportsOnProbe}
	discoveryModes  = []string{"", "pushed", "on_request"}
	loadReportNames = []string{"concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "x0", "x1"}
)

// readDeployment reads what tells one shape of a deployment from another, and refuses what contradicts itself: which
// shape is in force follows from the settings alone, so half of one and half of another must not start.
func (c *Config) readDeployment(object, set *settings.Object) {
	family := set.OptionalObject("familyInfo")
	limits := set.OptionalObject("limits")
	load := set.OptionalObject("loadInfo")
	checkOneOf(family, "mode", familyModes)
	checkOneOf(set, "weights", weightModes)
	checkOneOf(set, "discovery", discoveryModes)
	checkOneOf(load, "how", reportModes)
	c.readLoadReports(load)
	if c.Settings.WeightMode == balancer.WeightsLive && c.Settings.GossipAllowed {
		limits.Fault("peers", `true, but settings.weights is "live", which tells the same load; `+
			`false would be right, or sizes as weights`)
	}
	if limits.Absent("peers") || c.Settings.GossipAllowed {
		return
	}
	const notAllowed = "listed, but settings.limits.peers is false; none would be right"
	if len(c.Peers) > 0 {
		object.Fault("peers", notAllowed)
	}
	if c.PeersAll != "" {
		object.Fault("peers_all", notAllowed)
	}
}

func (c *Config) readLoadReports(load *settings.Object) {
	reports := LoadReports{How: load.Text("how"), Names: load.Texts("names")}
	if reports.How == "" {
		reports.How = loadReportsOff
	}
	c.LoadReports = reports
	off := reports.How == loadReportsOff
	switch count := len(reports.Names); {
	case off && count > 0:
		load.Fault("names", fmt.Sprintf("%q, but how is \"off\"; none would be right", reports.Names))
	case !off && (count == 0 || count > maxLoadReportNames):
		load.Fault("names", fmt.Sprintf("%d of them, but how is %q; one to four would be right", count, reports.How))
	}
	for _, name := range reports.Names {
		if !slices.Contains(loadReportNames, name) {
			load.Fault("names", fmt.Sprintf("%q is none of %s", name, strings.Join(loadReportNames, ", ")))
		}
	}
	if reports.How == loadReportsOnProbe && !c.Settings.ProbesAllowed {
		load.Fault("how", `"on_probe", but settings.limits.probes is false; "inline" or "off" would be right`)
	}
}

// checkOneOf checks a word; the first known one is the empty one.
func checkOneOf(object *settings.Object, key string, known []string) {
	text := object.Text(key)
	if !slices.Contains(known, text) {
		object.Fault(key, fmt.Sprintf("%q is none of %s", text, strings.Join(known[1:], ", ")))
	}
}
