package config

import (
	"cmp"
	"fmt"
	"os"
	"strconv"

	"bendtrestle/internal/settings"
)

// Setting is one value in effect, and where it comes from.
type Setting struct{ Key, Value, From string }

// Describe reads the file that GW_CONFIG names as Read does, and gives all that is in effect: what the file says, what
// a variable says in its place, the defaults, and the bounds that follow.
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
	lines := settings.Lines(text)
	var all []Setting
	say := func(key, at, otherwise, format string, value ...any) {
		from := otherwise
		if line := lines[at]; at != "" && line > 0 {
			from = path + ":" + strconv.Itoa(line)
		}
		all = append(all, Setting{key, fmt.Sprintf(format, value...), from})
	}
	say("name", "/name", "GW_NAME", "%s", c.Name)
	say("listen", "/listen", "GW_LISTEN", "%s", c.Listen)
	say("discovery", "/discovery", "GW_DISCOVERY", "%s", c.Discovery)
	say("ops", "/ops", "GW_OPS", "%s", orNone(c.Ops))
	say("shared folder", "", "TMPDIR", "%s", orNone(c.Shared))
	say("limits.cores", "/limits/cores", "default", "%v", c.Cores)
	say("limits.memory_mb", "/limits/memory_mb", "default", "%d", c.Memory>>20)
	say("limits.sockets", "/limits/sockets", "default", "%d", c.Sockets)
	say("peer_listen", "/peer_listen", "none", "%s", orNone(c.PeerListen))
	say("peers", "/peers", "none", "%d", len(c.Peers))
	say("peers_all", "/peers_all", "none", "%s", orNone(c.PeersAll))
	say("known", "/known", "none", "%d servers, generation %d", len(c.Known.Instances), c.Known.Generation)
	say("seed", "/seed", "the process's number", "%08x", c.Settings.Seed)
	s, limits, rules := c.Settings, "/settings/limits/", "/settings/rules/"
	say("settings.fleetSize", "/settings/fleetSize", "default", "%d", s.RouterCount)
	say("settings.weights", "/settings/weights", "default", "%s", [...]string{"say nothing", "sizes", "sizes less what is held"}[s.WeightMode])
	say("settings.loadInfo", "/settings/loadInfo", "default", "%v", c.Reports)
	say("settings.familyInfo.ordered", "/settings/familyInfo/ordered", "default", "%v", s.OrderedConnections)
	say("settings.limits.connectTimeout", limits+"connectTimeout", "default", "%v s", c.ConnectTimeout)
	say("settings.limits.connIdle", limits+"connIdle", "default", "%v s", c.ConnIdle)
	say("settings.limits.streamsPerConn", limits+"streamsPerConn", "default", "%d", c.PerConnection)
	say("settings.limits.mostExecutions", limits+"mostExecutions", "any number", "%d", s.MaxAttempts)
	say("settings.limits.secondCopies", limits+"secondCopies", "default", "%v", s.HedgingAllowed)
	say("settings.limits.cancelling", limits+"cancelling", "default", "%v", s.CancellationAllowed)
	say("settings.limits.probes", limits+"probes", "default", "%v", s.ProbesAllowed)
	say("settings.limits.peers", limits+"peers", "default", "%v", s.GossipAllowed)
	say("settings.limits.maxRetryAfter", limits+"maxRetryAfter", "not told", "%v s", s.MaxRetryAfter)
	say("settings.rules.drainGrace", rules+"drainGrace", "default", "%v s", c.DrainGrace)
	say("settings.rules.fall", rules+"fall", "no bound", "%v s", s.OverloadWindow)
	say("settings.rules.tipMultiple", rules+"tipMultiple", "no bound", "%v", s.OverloadFactor)
	say("settings.rules.startCapacity", rules+"startCapacity", "default", "%v", s.WarmupStartCapacity)
	say("settings.rules.warmWithin", rules+"warmWithin", "default", "%v s", s.WarmupDuration)
	effects := [...]string{"at-most-once", "numbered", "reissuable"}
	for i, t := range s.TrafficClasses {
		say("traffic type "+t.Name, fmt.Sprintf("/settings/trafficTypes/%d", i), "",
			"%s, promised time %v s, hard stop %v s, benefit %v, %s", effects[t.Idempotency], t.LatencyObjective, t.Deadline, t.PriorityWeight,
			cmp.Or(t.PlacementRules(), "anywhere"))
	}
	for i, t := range s.Tenants {
		say("tenant "+t.Name, fmt.Sprintf("/settings/tenants/%d", i), "", "%v operations a second over all routers", t.Quota)
	}
	follows := "follows from limits"
	say("clients' connections", "", follows, "%d, and %d to decline", c.Clients, c.Spare)
	say("connections to caches", "", follows, "%d", c.Caches)
	say("open operations", "", follows, "%d", c.Open)
	say("values held", "", follows, "%d bytes", c.Held)
	return all, nil
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
