package config

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"
)

// Setting is one value in effect, as `bendtrestle check` prints it.
type Setting struct {
	Key    string
	Value  string
	Source string // file and line, an environment variable, the default, or that the value is derived from others
}

// Names of the balancer's constants in the output of `bendtrestle check`.
var (
	weightModeTexts  = [...]string{"say nothing", "sizes", "sizes less what is held"}
	idempotencyTexts = [...]string{"at-most-once", "numbered", "reissuable"}
)

const (
	byDefault         = "default"
	none              = "none"
	noBound           = "no bound"
	followsFromLimits = "follows from limits"
)

// Describe reads the file that GW_CONFIG names as Read does, and returns all values in effect: those from the file,
// from environment variables and from defaults, and the bounds that are derived from the limits.
func Describe(env func(string) string) ([]Setting, error) {
	c, err := Read(env)
	if err != nil {
		return nil, err
	}
	path := env("GW_CONFIG")
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	d := &description{path: path, lines: settings.Lines(text)}
	d.addAddresses(c)
	d.addBalancer(c.Settings, c.LoadReports)
	d.addConnections(c)
	d.addRules(c)
	d.addClasses(c.Settings)
	d.addDerived(c)
	return d.all, nil
}

// description collects the values in effect.
type description struct {
	path  string
	lines map[string]int // line numbers of the file's keys, by path
	all   []Setting
}

// add adds a value. Its source is the line of the key at keyPath in the file; without such a key, it is otherSource.
func (d *description) add(key, keyPath, otherSource, format string, values ...any) {
	source := otherSource
	line := d.lines[keyPath]
	if keyPath != "" && line > 0 {
		source = d.path + ":" + strconv.Itoa(line)
	}
	d.all = append(d.all, Setting{Key: key, Value: fmt.Sprintf(format, values...), Source: source})
}

// addSetting adds a value of the object "settings", by its key in that object.
func (d *description) addSetting(key, otherSource, format string, values ...any) {
	path := "/settings/" + strings.ReplaceAll(key, ".", "/")
	d.add("settings."+key, path, otherSource, format, values...)
}

func (d *description) addAddresses(c Config) {
	d.add("name", "/name", "GW_NAME", "%s", c.Name)
	d.add("listen", "/listen", "GW_LISTEN", "%s", c.Listen)
	d.add("discovery", "/discovery", "GW_DISCOVERY", "%s", c.Discovery)
	d.add("ops", "/ops", "GW_OPS", "%s", cmp.Or(c.AdminListen, none))
	d.add("shared folder", "", "TMPDIR", "%s", cmp.Or(c.SharedFolder, none))
	d.add("limits.cores", "/limits/cores", byDefault, "%v", c.Cores)
	d.add("limits.memory_mb", "/limits/memory_mb", byDefault, "%d", c.MemoryBytes>>20)
	d.add("limits.sockets", "/limits/sockets", byDefault, "%d", c.Descriptors)
	d.add("peer_listen", "/peer_listen", none, "%s", cmp.Or(c.PeerListen, none))
	d.add("peers", "/peers", none, "%d", len(c.Peers))
	d.add("peers_all", "/peers_all", none, "%s", cmp.Or(c.PeersAll, none))
	d.add("known", "/known", none, "%d servers, generation %d", len(c.InitialEndpoints.Instances), c.InitialEndpoints.Generation)
	d.add("seed", "/seed", "the process's number", "%08x", c.Settings.Seed)
}

func (d *description) addBalancer(s balancer.Settings, reports LoadReports) {
	d.addSetting("fleetSize", byDefault, "%d", s.RouterCount)
	d.addSetting("weights", byDefault, "%s", weightModeTexts[s.WeightMode])
	d.addSetting("loadInfo", byDefault, "%v", reports)
	d.addSetting("familyInfo.ordered", byDefault, "%v", s.OrderedConnections)
}

func (d *description) addConnections(c Config) {
	s := c.Settings
	d.addSetting("limits.connectTimeout", byDefault, "%v s", c.ConnectTimeout)
	d.addSetting("limits.connIdle", byDefault, "%v s", c.IdleTimeout)
	d.addSetting("limits.streamsPerConn", byDefault, "%d", c.AttemptsPerConnection)
	d.addSetting("limits.mostExecutions", "any number", "%d", s.MaxAttempts)
	d.addSetting("limits.secondCopies", byDefault, "%v", s.HedgingAllowed)
	d.addSetting("limits.cancelling", byDefault, "%v", s.CancellationAllowed)
	d.addSetting("limits.probes", byDefault, "%v", s.ProbesAllowed)
	d.addSetting("limits.peers", byDefault, "%v", s.GossipAllowed)
	d.addSetting("limits.maxRetryAfter", "not told", "%v s", s.MaxRetryAfter)
}

func (d *description) addRules(c Config) {
	s := c.Settings
	d.addSetting("rules.drainGrace", byDefault, "%v s", c.DrainGrace)
	d.addSetting("rules.fall", noBound, "%v s", s.OverloadWindow)
	d.addSetting("rules.tipMultiple", noBound, "%v", s.OverloadFactor)
	d.addSetting("rules.startCapacity", byDefault, "%v", s.WarmupStartCapacity)
	d.addSetting("rules.warmWithin", byDefault, "%v s", s.WarmupDuration)
}

func (d *description) addClasses(s balancer.Settings) {
	for i, class := range s.TrafficClasses {
		d.add("traffic type "+class.Name, fmt.Sprintf("/settings/trafficTypes/%d", i), "",
			"%s, promised time %v s, hard stop %v s, benefit %v, %s", idempotencyTexts[class.Idempotency],
			class.LatencyObjective, class.Deadline, class.PriorityWeight, cmp.Or(class.PlacementRules(), "anywhere"))
	}
	for i, tenant := range s.Tenants {
		d.add("tenant "+tenant.Name, fmt.Sprintf("/settings/tenants/%d", i), "",
			"%v operations a second over all routers", tenant.Quota)
	}
}

func (d *description) addDerived(c Config) {
	d.add("clients' connections", "", followsFromLimits, "%d, and %d to decline", c.ClientConnections, c.RejectConnections)
	d.add("connections to caches", "", followsFromLimits, "%d", c.UpstreamConnections)
	d.add("open operations", "", followsFromLimits, "%d", c.OpenRequests)
	d.add("values held", "", followsFromLimits, "%d bytes", c.BufferedBytes)
}
