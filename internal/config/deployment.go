package config

import (
	"fmt"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"
)

// LoadReports says how cache servers report their load, according to the settings.
type LoadReports struct {
	Mode  string // loadReportsOff, loadReportsInline or loadReportsOnProbe
	Names []string
}

const (
	loadReportsOff     = "off"
	loadReportsInline  = "inline" // with responses
	loadReportsOnProbe = "on_probe"

	maxLoadReportNames = 4
)

// String returns the text that `bendtrestle check` prints.
func (r LoadReports) String() string {
	if len(r.Names) == 0 {
		return r.Mode
	}
	return r.Mode + ": " + strings.Join(r.Names, ", ")
}

// Enumerated values of the settings. Any other value is a fault; it isn't treated as absent.
var (
	familyModes     = []string{"", "through"}
	weightModes     = []string{"", "off", "nominal", "rough", "live"}
	reportModes     = []string{"", loadReportsOff, loadReportsInline, loadReportsOnProbe}
	discoveryModes  = []string{"", "pushed", "on_request"}
	loadReportNames = []string{"concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "x0", "x1"}
)

// readDeployment reads the settings that select the kind of deployment, and reports contradictions between them. The
// settings alone select it, so a router must not start with settings that mix two kinds.
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
		limits.Fault("peers", `true, but settings.weights is "live", which reports the same load; `+
			`set peers to false, or weights to static capacities ("nominal" or "rough")`)
	}
	if limits.Absent("peers") || c.Settings.GossipAllowed {
		return
	}
	const notAllowed = "set, but settings.limits.peers is false; omit the key"
	if len(c.Peers) > 0 {
		object.Fault("peers", notAllowed)
	}
	if c.PeersAll != "" {
		object.Fault("peers_all", notAllowed)
	}
}

func (c *Config) readLoadReports(load *settings.Object) {
	reports := LoadReports{Mode: load.Text("how"), Names: load.Texts("names")}
	if reports.Mode == "" {
		reports.Mode = loadReportsOff
	}
	c.LoadReports = reports
	off := reports.Mode == loadReportsOff
	switch count := len(reports.Names); {
	case off && count > 0:
		load.Fault("names", fmt.Sprintf("%q, but how is \"off\"; omit the names", reports.Names))
	case !off && (count == 0 || count > maxLoadReportNames):
		load.Fault("names", fmt.Sprintf("%d names, but how is %q; give one to four names", count, reports.Mode))
	}
	for _, name := range reports.Names {
		if !slices.Contains(loadReportNames, name) {
			load.Fault("names", fmt.Sprintf("%q is not one of %s", name, strings.Join(loadReportNames, ", ")))
		}
	}
	if reports.Mode == loadReportsOnProbe && !c.Settings.ProbesAllowed {
		load.Fault("how", `"on_probe", but settings.limits.probes is false; use "inline" or "off"`)
	}
}

// checkOneOf checks that a string is one of the known values. The first known value is the empty string.
func checkOneOf(object *settings.Object, key string, known []string) {
	text := object.Text(key)
	if !slices.Contains(known, text) {
		object.Fault(key, fmt.Sprintf("%q is not one of %s", text, strings.Join(known[1:], ", ")))
	}
}
