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
	for settings, fault := range map[string]string{
		`"weights":"nominal","limits":{"peers":true,"probes":true,"mostExecutions":3},`: "",
		fmt.Sprintf(live, false): "", fmt.Sprintf(live, true): "settings: limits: peers: true, but",
	} {
		var log strings.Builder
		s, addr, err := assembleConfig(strings.Replace(baseConfig, `"limits":{"mostExecutions":3},`, settings, 1), startCacheServer(t, 0), zerolog.New(&log))
		if fault != "" || err != nil {
			if err == nil || fault == "" || !strings.Contains(err.Error(), fault) {
				t.Errorf("%s: refused with %v", settings, err)
			}
			continue
		}
		if told := strings.Contains(log.String(), "load reports are not available"); told != strings.Contains(settings, "live") {
			t.Errorf("%s: said of reports: %v", settings, told)
		}
		s.log = zerolog.Nop()
		go s.loop.Run()
		for i := 0; sendCommand(addr, "mn") != "MN" && i < 500; i++ {
			time.Sleep(10 * time.Millisecond)
		}
		if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" {
			t.Errorf("%s: it answers %q", settings, got)
		}
		s.loop.Post(s.end)
	}
}

// Settings of any customer, as their pages allow and beyond: a start either serves by them and gives each operation one answer, or
// names the key that is at fault.
func TestAnySettingsServeOrNameTheKey(t *testing.T) {
	list := startCacheServer(t, 0)
	names := rapid.StringMatching(`[A-Za-z0-9_.:/+-]{1,24}`)
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		usual := func(label string) string { // where nothing above 0 is refused
			return rapid.SampledFrom([]string{"", "1", "150000000", "60000000000", "0"}).Draw(rt, label)
		}
		ns := func(label string) string { // times: none, the least, usual ones, what is no time
			return rapid.SampledFrom([]string{"", "0", "1", "2000000", "150000000", "3000000000", "9e18", "-1"}).Draw(rt, label)
		}
		flag := func(label string) string {
			return fmt.Sprintf(`"%s":%v`, label, rapid.Bool().Draw(rt, label))
		}
		field := func(name, value string) string {
			if value == "" {
				return `"none":0`
			}
			return fmt.Sprintf(`"%s":%s`, name, value)
		}
		var types, tenants, kinds []string
		for range rapid.SampledFrom([]int{1, 1, 2, 40, 0}).Draw(rt, "types") {
			kind := names.Draw(rt, "name")
			kinds = append(kinds, kind)
			types = append(types, "{"+strings.Join([]string{fmt.Sprintf(`"name":"%s"`, kind),
				fmt.Sprintf(`"effect":"%s"`, rapid.SampledFrom([]string{"retryable", "dedup", "fragile", ""}).Draw(rt, "effect")),
				fmt.Sprintf(`"keyScope":"%s"`, rapid.SampledFrom([]string{"all", "zone", "cell", ""}).Draw(rt, "group")),
				field("dedupWindow", ns("window")), field("promisedTime", ns("promised")), field("hardStop", ns("stop")),
				field("benefit", rapid.SampledFrom([]string{"", "0", "5", "-3"}).Draw(rt, "benefit"))}, ",")+"}")
		}
		for range rapid.IntRange(0, 3).Draw(rt, "tenants") {
			tenants = append(tenants, fmt.Sprintf(`{"name":"%s",%s}`, names.Draw(rt, "tenant"), field("quotaRps", rapid.SampledFrom([]string{"", "0", "100", "-1"}).Draw(rt, "quota"))))
		}
		text := `{"listen":"%s","discovery":"%s","settings":{` + strings.Join([]string{
			`"discovery":"` + rapid.SampledFrom([]string{"pushed", "on_request", ""}).Draw(rt, "discovery") + `"`,
			field("fleetSize", rapid.SampledFrom([]string{"", "0", "1", "300"}).Draw(rt, "routers")),
			`"limits":{` + strings.Join([]string{flag("cancelling"), flag("secondCopies"), flag("retryAfter"), flag("probes"),
				field("mostExecutions", rapid.SampledFrom([]string{"", "0", "1", "5"}).Draw(rt, "most")),
				field("maxRetryAfter", ns("after")), field("connIdle", usual("idle")), field("connectTimeout", usual("connect")),
				field("streamsPerConn", rapid.SampledFrom([]string{"", "1", "100"}).Draw(rt, "streams")),
				field("openCap", rapid.SampledFrom([]string{"", "0", "1"}).Draw(rt, "open"))}, ",") + "}",
			`"rules":{` + strings.Join([]string{field("drainGrace", ns("grace")), field("fall", ns("fall")), field("warmWithin", ns("warm")),
				field("askWithin", ns("ask")), field("tipMultiple", rapid.SampledFrom([]string{"", "0", "4"}).Draw(rt, "tip"))}, ",") + "}",
			`"tenants":[` + strings.Join(tenants, ",") + "]", `"trafficTypes":[` + strings.Join(types, ",") + "]"}, ",") + "}}"
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
		for i, kind := range kinds[:min(2, len(kinds))] {
			for _, command := range []string{"mg k v O%d Pc=%s,d=1900", "mg k v O%d Pc=%s", "mg k v O%d Pc=%s,d=0"} {
				got := sendCommand(addr, fmt.Sprintf(command, len(command)*100+i, kind))
				if !strings.HasPrefix(got, "VA 2 ") && !strings.HasPrefix(got, "SERVER_ERROR ") {
					rt.Fatalf("it answers %q to %s", got, command)
				}
			}
		}
		if faults := callOnLoop(s, func() uint64 { return s.pools.platform.core.Counts.Faults }); faults > 0 {
			rt.Fatalf("the module failed %d times", faults)
		}
	})
	if served < 10 {
		t.Errorf("only %d drawn settings were served by", served)
	}
}
