package service

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// One build serves both shapes of a deployment, which the settings alone tell apart, and refuses a mix of them.
func TestBothDeploymentShapes(t *testing.T) {
	live := `"weights":"live","loadInfo":{"how":"inline","names":["tps"]},"limits":{"peers":%v,"mostExecutions":4},`
	for _, shape := range []struct {
		name, settings string
		refused        string // what the error has; "": it serves
		live           bool
	}{
		{"nominal", `"weights":"nominal","limits":{"peers":true,"probes":true,"mostExecutions":3},`, "", false},
		{"live", fmt.Sprintf(live, false), "", true},
		{"a mix", fmt.Sprintf(live, true), "settings: limits: peers: true, but", true},
	} {
		var log strings.Builder
		text := strings.Replace(baseConfig, `"limits":{"mostExecutions":3},`, shape.settings, 1)
		s, addr, err := assembleConfig(text, startCacheServer(t, 0), zerolog.New(&log))
		if shape.refused != "" || err != nil {
			if err == nil || shape.refused == "" || !strings.Contains(err.Error(), shape.refused) {
				t.Errorf("%s: refused with %v", shape.name, err)
			}
			continue
		}
		if logged := strings.Contains(log.String(), "load reports are not available"); logged != shape.live {
			t.Errorf("%s: a line on load reports: %v", shape.name, logged)
		}
		s.log = zerolog.Nop()
		go s.loop.Run()
		for i := 0; sendCommand(addr, "mn") != "MN" && i < 500; i++ {
			time.Sleep(10 * time.Millisecond)
		}
		if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" {
			t.Errorf("%s: it answers %q", shape.name, got)
		}
		s.loop.Post(s.end)
	}
}

// settingsDrawer draws settings as JSON. The labels and the order of the draws are those of the kept seeds.
type settingsDrawer struct {
	*rapid.T
	names *rapid.Generator[string]
}

// oneOf draws one of some values.
func (d settingsDrawer) oneOf(label string, values ...string) string {
	return rapid.SampledFrom(values).Draw(d.T, label)
}

// timeout draws a time in nanoseconds where nothing above 0 is refused.
func (d settingsDrawer) timeout(label string) string {
	return d.oneOf(label, "", "1", "150000000", "60000000000", "0")
}

// nanoseconds draws a time: none, the least, usual ones, and what is no time.
func (d settingsDrawer) nanoseconds(label string) string {
	return d.oneOf(label, "", "0", "1", "2000000", "150000000", "3000000000", "9e18", "-1")
}

func (d settingsDrawer) flag(label string) string {
	return fmt.Sprintf(`"%s":%v`, label, rapid.Bool().Draw(d.T, label))
}

// field returns a key with its value; another key where the value is "", which stands for none.
func field(name, value string) string {
	if value == "" {
		return `"none":0`
	}
	return fmt.Sprintf(`"%s":%s`, name, value)
}

// trafficClass draws a traffic class.
func (d settingsDrawer) trafficClass() (name, text string) {
	name = d.names.Draw(d.T, "name")
	return name, "{" + strings.Join([]string{
		fmt.Sprintf(`"name":"%s"`, name),
		fmt.Sprintf(`"effect":"%s"`, d.oneOf("effect", "retryable", "dedup", "fragile", "")),
		fmt.Sprintf(`"keyScope":"%s"`, d.oneOf("group", "all", "zone", "cell", "")),
		field("dedupWindow", d.nanoseconds("window")),
		field("promisedTime", d.nanoseconds("promised")),
		field("hardStop", d.nanoseconds("stop")),
		field("benefit", d.oneOf("benefit", "", "0", "5", "-3")),
	}, ",") + "}"
}

func (d settingsDrawer) tenant() string {
	name := d.names.Draw(d.T, "tenant")
	return fmt.Sprintf(`{"name":"%s",%s}`, name, field("quotaRps", d.oneOf("quota", "", "0", "100", "-1")))
}

func (d settingsDrawer) limits() string {
	return strings.Join([]string{
		d.flag("cancelling"),
		d.flag("secondCopies"),
		d.flag("retryAfter"),
		d.flag("probes"),
		field("mostExecutions", d.oneOf("most", "", "0", "1", "5")),
		field("maxRetryAfter", d.nanoseconds("after")),
		field("connIdle", d.timeout("idle")),
		field("connectTimeout", d.timeout("connect")),
		field("streamsPerConn", d.oneOf("streams", "", "1", "100")),
		field("openCap", d.oneOf("open", "", "0", "1")),
	}, ",")
}

func (d settingsDrawer) rules() string {
	return strings.Join([]string{
		field("drainGrace", d.nanoseconds("grace")),
		field("fall", d.nanoseconds("fall")),
		field("warmWithin", d.nanoseconds("warm")),
		field("askWithin", d.nanoseconds("ask")),
		field("tipMultiple", d.oneOf("tip", "", "0", "4")),
	}, ",")
}

// configuration draws a configuration with places for addresses, and gives the names of its traffic classes.
func (d settingsDrawer) configuration() (text string, classNames []string) {
	var classes, tenants []string
	for range rapid.SampledFrom([]int{1, 1, 2, 40, 0}).Draw(d.T, "types") {
		name, class := d.trafficClass()
		classNames = append(classNames, name)
		classes = append(classes, class)
	}
	for range rapid.IntRange(0, 3).Draw(d.T, "tenants") {
		tenants = append(tenants, d.tenant())
	}
	return `{"listen":"%s","discovery":"%s","settings":{` + strings.Join([]string{
		`"discovery":"` + d.oneOf("discovery", "pushed", "on_request", "") + `"`,
		field("fleetSize", d.oneOf("routers", "", "0", "1", "300")),
		`"limits":{` + d.limits() + "}",
		`"rules":{` + d.rules() + "}",
		`"tenants":[` + strings.Join(tenants, ",") + "]",
		`"trafficTypes":[` + strings.Join(classes, ",") + "]",
	}, ",") + "}}", classNames
}

// Settings of any customer, as their pages allow and beyond: a start either serves by them and gives each request
// one answer, or names the key that is at fault.
func TestAnySettingsServeOrNameTheKey(t *testing.T) {
	list := startCacheServer(t, 0)
	names := rapid.StringMatching(`[A-Za-z0-9_.:/+-]{1,24}`)
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		text, classes := settingsDrawer{rt, names}.configuration()
		s, addr, err := assembleConfig(text, list, zerolog.Nop())
		if err != nil {
			if !strings.Contains(err.Error(), "settings: ") {
				rt.Fatalf("it is refused without a key: %v", err)
			}
			return
		}
		served++
		ended := make(chan error, 1)
		go func() { ended <- s.loop.Run() }()
		defer func() { <-ended }()
		defer s.loop.Post(s.end)
		for i := 0; sendCommand(addr, "mn") != "MN"; i++ {
			if i > 500 {
				rt.Fatal("it does not come to serve")
			}
			time.Sleep(5 * time.Millisecond)
		}
		for i, class := range classes[:min(2, len(classes))] {
			for _, command := range []string{"mg k v O%d Pc=%s,d=1900", "mg k v O%d Pc=%s", "mg k v O%d Pc=%s,d=0"} {
				got := sendCommand(addr, fmt.Sprintf(command, len(command)*100+i, class))
				if !strings.HasPrefix(got, "VA 2 ") && !strings.HasPrefix(got, "SERVER_ERROR ") {
					rt.Fatalf("it answers %q to %s", got, command)
				}
			}
		}
		if faults := callOnLoop(s, func() uint64 { return s.pools.platform.core.Counts.Faults }); faults > 0 {
			rt.Fatalf("the balancer failed %d times", faults)
		}
	})
	if served < 10 {
		t.Errorf("only %d drawn settings were served by", served)
	}
}
