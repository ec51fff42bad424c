package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/config"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// goldenOperators is an operators' file with all that adds figures: a contract, zones, gossip and recovery.
const goldenOperators = `
[zones]
on = true
[recovery]
on = true
[gossip]
on = true
bytes_per_second = 7000
` + goldenTeam

const goldenTeam = `
[[team]]
name = "pharmacy"
tenant = "pharmacy"
listen = "%s"
budget = 2.0
[[team.type]]
name = "t"
effect = "reissuable"
promised_ms = 500
hard_stop_ms = 1900
benefit = 1
[[team.type]]
name = "prescription"
effect = "reissuable"
promised_ms = 500
hard_stop_ms = 1900
benefit = 1
`

// Dashboards read the figures by their names, and some by their order.
func TestGoldenFigures(t *testing.T) {
	for name, operators := range map[string]string{"figures-plain": "", "figures-all": fmt.Sprintf(goldenOperators, freeAddress(t))} {
		conf := fleetOf(t, 0, 100, freeUDP(t))
		s, err := assemble(Setup{Platform: conf, Operators: theirs(t, operators)}, requestcore.DefaultBalancer, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		golden(t, name, s.figures())
		s.runs(t)
	}
}

// What the admin server answers as JSON to GET /status and GET /zones, but for the seconds, which differ from run to run.
func TestGoldenStatusAndZones(t *testing.T) {
	s, _ := next(t, freeAddress(t), fleet(t, 0), t.TempDir())
	serving(t, s)
	d := on(s, func() *desk {
		s.openZones(operatorconfig.File{Zones: operatorconfig.Zones{On: true}})
		s.zones.begin()
		s.desk = &desk{s: s}
		s.publish()
		s.zones.fleet.OnEndpoints(s.loop.Now(), map[string]int{"a": 1, "b": 2}, nil)
		return s.desk
	})
	until(t, "a list of before", s, func() bool { phase, _, _ := s.recovery.start.Phase(); return phase.String() == "listed" })
	if err := d.EvacuateZone("a"); err != nil {
		t.Fatal(err)
	}
	status, err := d.Status()
	if err != nil {
		t.Fatal(err)
	}
	status.PhaseSeconds, status.FullServiceSeconds = 0, 0
	zones, err := d.Zones()
	if err != nil {
		t.Fatal(err)
	}
	for i := range zones {
		zones[i].StateSeconds = 0
	}
	text, err := json.Marshal(struct {
		Status admin.Status
		Zones  []admin.Zone
	}{status, zones})
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "status-and-zones", text)
}

// The list as this process tells it to the next one, from a process that runs.
func TestGoldenStateToldToTheNextProcess(t *testing.T) {
	conf, err := config.Parse(fmt.Appendf(nil, usual, freeAddress(t), "127.0.0.1:1"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, err := assemble(Setup{Platform: conf}, requestcore.DefaultBalancer, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runs(t)
	on(s, func() bool {
		s.platform.hear(balancer.UpdateFull, discovery.EndpointList{Generation: 41, Complete: true, Instances: goldenEntries()[:1]})
		s.platform.told = 41
		return true
	})
	golden(t, "hotrestart-state-live", heirs{s}.State())
}

// Texts of errors that the admin server answers with.
func TestGoldenErrors(t *testing.T) {
	var all []string
	for _, err := range []error{errEnding, errWritten, errZonesOff, errLastZone} {
		all = append(all, err.Error())
	}
	golden(t, "errors", []byte(strings.Join(all, "\n")))
}

// goldenMessages are the log lines that pages, dashboards or the experiments read.
var goldenMessages = []string{"starting", "phase", "list", "counts", "contracts", "contract", "configured anew", "drain", "by hand", "zone", "start",
	"these changes need a restart; the old values stay", "the new configuration cannot be used; the old one stays",
	"configured anew while leaving: the list service alone counts", "another process of this router serves; this one takes over once it can",
	"the next process takes clients; this one accepts no more", "the next process has ended; this one takes clients again",
	"these changes of the operators' file need a restart; the old values stay", "kept from before", "the list of before is used until another comes",
	"a team's listener cannot be opened", "recovery is on, and there is no folder (TMPDIR) to keep anything in"}

// Log lines by level, message and the names of their fields, in order: dashboards find them by these. A life of a router brings them.
func TestGoldenLogLines(t *testing.T) {
	log := &noted{}
	dir, addr, list := t.TempDir(), freeAddress(t), fleet(t, 0)
	parse := func(addr, list string) config.Config {
		conf, err := config.Parse(fmt.Appendf(nil, usual, addr, list), func(name string) string { return map[string]string{"TMPDIR": dir}[name] })
		if err != nil {
			t.Fatal(err)
		}
		return conf
	}
	start := func(set Setup) (*Service, chan error) {
		s, err := assemble(set, requestcore.DefaultBalancer, zerolog.New(log))
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- s.loop.Run() }()
		t.Cleanup(func() { s.loop.Post(s.end) })
		return s, ended
	}
	says := func(text string) {
		t.Helper()
		for range 500 {
			if strings.Contains(log.text(), text) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("no line says %s", text)
	}
	switchedOn := operatorconfig.File{Recovery: operatorconfig.Recovery{On: true}, Zones: operatorconfig.Zones{On: true}}
	first, firstEnded := start(Setup{Platform: parse(addr, list), Operators: switchedOn})
	serving(t, first)
	d := on(first, func() *desk { first.desk = &desk{s: first}; first.publish(); return first.desk })
	on(first, func() bool {
		first.zones.fleet.OnEndpoints(first.loop.Now(), map[string]int{"a": 1, "b": 1}, nil)
		first.recovery.keep("rate", "this router", []byte("12"))
		return true
	})
	until(t, "a written snapshot", first, func() bool { return first.recovery.store.Stats().Written > 1 })
	for _, err := range []error{d.Drain(), d.Undrain(), d.DisableServer("s-1"), d.EnableServer("s-1"), d.EvacuateZone("a"), d.RestoreZone("a")} {
		if err != nil {
			t.Fatal(err)
		}
	}
	contracts := theirs(t, fmt.Sprintf(goldenTeam, list)) // an address that is taken
	changed := parse("127.0.0.1:2", list)
	on(first, func() bool {
		first.reconfigure(Setup{Platform: changed, Operators: contracts})
		return true
	})
	if got := ask(addr, "mg k v Oq1 Pc=t,d=1900,tenant=pharmacy"); !strings.HasPrefix(got, "VA") {
		t.Errorf("the contract's request is answered %q", got)
	}
	on(first, func() bool { first.counts(); return true })
	signals := make(chan os.Signal)
	go first.obey(signals, func() (Setup, error) { return Setup{}, errors.New("not read") })
	signals <- syscall.SIGHUP
	close(signals)
	says("the new configuration cannot be used")
	second, secondEnded := start(Setup{Platform: parse(addr, list), Operators: switchedOn})
	until(t, "the successor", first, func() bool { return first.heirs == 1 })
	gone(t, second, secondEnded)
	says("has ended; this one takes clients again")
	on(first, func() bool {
		first.leave()
		first.reconfigure(Setup{Platform: parse(addr, list)})
		return true
	})
	<-firstEnded
	dir = ""
	third, _ := start(Setup{Platform: parse(freeAddress(t), list), Operators: switchedOn})
	serving(t, third)
	var out strings.Builder
	for _, message := range goldenMessages {
		out.WriteString(goldenLine(t, log.text(), message))
	}
	golden(t, "log-lines", []byte(out.String()))
}

// The fields for reasons of declines, of which a line has only those that there were.
func TestGoldenReasons(t *testing.T) {
	var log strings.Builder
	logger := zerolog.New(&log)
	counts := make([]uint64, len(requestcore.ReasonNames))
	for why := range counts {
		counts[why] = uint64(why + 1)
	}
	reasonsOf(logger.Info(), counts).Msg("counts")
	golden(t, "log-reasons", []byte(strings.TrimSuffix(log.String(), "\n")))
}

// goldenLine gives the level and the names of the fields of the first line with a message.
func goldenLine(t *testing.T, log, message string) string {
	t.Helper()
	for line := range strings.Lines(log) {
		decoder := json.NewDecoder(strings.NewReader(line))
		var names []string
		var level, said string
		for name := ""; decoder.More() || name == ""; {
			token, err := decoder.Token()
			if err != nil {
				break
			}
			if _, opening := token.(json.Delim); opening {
				continue
			}
			name = token.(string)
			var value json.RawMessage
			if decoder.Decode(&value) != nil {
				break
			}
			switch name {
			case "level":
				level = string(value)
			case "message":
				json.Unmarshal(value, &said)
			default:
				if !strings.Contains(name, "connections cut, ") { // depends on who closes first
					names = append(names, name)
				}
			}
		}
		if said == message {
			return fmt.Sprintf("%s %q %s\n", level, said, strings.Join(names, ", "))
		}
	}
	t.Errorf("no line %q", message)
	return ""
}
