package service

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// The same build supports both kinds of deployment, which differ only in their settings, and refuses a mix of the two.
func TestBothDeploymentShapes(t *testing.T) {
	live := `"weights":"live","loadInfo":{"how":"inline","names":["tps"]},"limits":{"peers":%v,"mostExecutions":4},`
	for _, shape := range []struct {
		name, settings string
		refused        string // text of the expected error; "": the router serves
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
				t.Errorf("%s: got the error %v, want %q", shape.name, err, shape.refused)
			}
			continue
		}
		if logged := strings.Contains(log.String(), "load reports are not available"); logged != shape.live {
			t.Errorf("%s: log line on load reports: got %v, want %v", shape.name, logged, shape.live)
		}
		s.log = zerolog.Nop()
		go s.loop.Run()
		for i := 0; sendCommand(addr, "mn") != "MN" && i < 500; i++ {
			time.Sleep(10 * time.Millisecond)
		}
		if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" {
			t.Errorf("%s: got %q, want VA 2 Oa1", shape.name, got)
		}
		s.loop.Post(s.end)
	}
}

// settingsDrawer draws settings as JSON. The labels and the order of the draws must not change, so that recorded seeds
// give the same settings.
type settingsDrawer struct {
	*rapid.T
	names *rapid.Generator[string]
}

// oneOf draws one of some values.
func (d settingsDrawer) oneOf(label string, values ...string) string {
	return rapid.SampledFrom(values).Draw(d.T, label)
}

// timeout draws a time in nanoseconds for a key that accepts any time above 0.
func (d settingsDrawer) timeout(label string) string {
	return d.oneOf(label, "", "1", "150000000", "60000000000", "0")
}

// nanoseconds draws a time in nanoseconds: none, the shortest, usual ones, and invalid ones.
func (d settingsDrawer) nanoseconds(label string) string {
	return d.oneOf(label, "", "0", "1", "2000000", "150000000", "3000000000", "9e18", "-1")
}

func (d settingsDrawer) flag(label string) string {
	return fmt.Sprintf(`"%s":%v`, label, rapid.Bool().Draw(d.T, label))
}

// field returns a key with its value. If the value is "", for none, it returns another key.
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

// configuration draws a configuration, a format with the router's address and the list service's, and returns the names
// of its traffic classes.
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

// For any settings, valid or not, the router must either start and give each request one answer, or refuse to start
// with an error that names the invalid key.
func TestAnySettingsServeOrAreRefusedByKey(t *testing.T) {
	list := startCacheServer(t, 0)
	names := rapid.StringMatching(`[A-Za-z0-9_.:/+-]{1,24}`)
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		text, classes := settingsDrawer{rt, names}.configuration()
		s, addr, err := assembleConfig(text, list, zerolog.Nop())
		if err != nil {
			if !strings.Contains(err.Error(), "settings: ") {
				rt.Fatalf("got the error %v, want one that names the key", err)
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
				rt.Fatal("timed out waiting for the router to serve")
			}
			time.Sleep(5 * time.Millisecond)
		}
		for i, class := range classes[:min(2, len(classes))] {
			for _, command := range []string{"mg k v O%d Pc=%s,d=1900", "mg k v O%d Pc=%s", "mg k v O%d Pc=%s,d=0"} {
				got := sendCommand(addr, fmt.Sprintf(command, len(command)*100+i, class))
				if !strings.HasPrefix(got, "VA 2 ") && !strings.HasPrefix(got, "SERVER_ERROR ") {
					rt.Fatalf("got %q to %s, want a value or an error", got, command)
				}
			}
		}
		if faults := callOnLoop(s, func() uint64 { return s.pools.platform.core.Counts.Panics }); faults > 0 {
			rt.Fatalf("the balancer panicked %d times, want 0", faults)
		}
	})
	if served < 10 {
		t.Errorf("the router served with %d of the drawn settings, want at least 10", served)
	}
}
