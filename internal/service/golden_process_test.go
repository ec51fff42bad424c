package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// goldenOperators is an operators' file with everything that adds metrics: a contract, zones, gossip and recovery.
const goldenOperators = `
[zones]
on = true
[recovery]
on = true
[gossip]
on = true
bytes_per_second = 7000
` + goldenTeam

// goldenTeam is a format with the address of the team's listener.
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

// Dashboards find the metrics by their names, and some by their order: neither may change.
func TestGoldenMetrics(t *testing.T) {
	for name, text := range map[string]string{
		"figures-plain": "",
		"figures-all":   fmt.Sprintf(goldenOperators, testaddress.New()),
	} {
		setup := Setup{Platform: peerConfig(t, 0, 100, testaddress.New()), Operators: parseOperators(t, text)}
		s := assembleSetup(t, setup, zerolog.Nop())
		golden(t, name, s.metrics())
		s.runLoop(t)
	}
}

// The JSON that the admin server answers to GET /status and GET /zones must not change. Durations differ between runs
// and are set to 0.
func TestGoldenStatusAndZones(t *testing.T) {
	s, _ := startProcess(t, testaddress.New(), startCacheServer(t, 0), t.TempDir())
	waitServing(t, s)
	runOnLoop(s, func() {
		s.openZones(operatorconfig.File{Zones: operatorconfig.Zones{On: true}})
		s.zones.begin()
		s.zones.controller.OnEndpoints(s.loop.Now(), map[string]int{"a": 1, "b": 2}, nil)
	})
	handler := addAdminHandler(s)
	waitUntil(t, "the phase listed", s, func() bool {
		phase, _, _ := s.startup.tracker.Phase()
		return phase.String() == "listed"
	})
	if err := handler.EvacuateZone("a"); err != nil {
		t.Fatal(err)
	}
	status, err := handler.Status()
	if err != nil {
		t.Fatal(err)
	}
	status.PhaseSeconds = 0
	status.FullServiceSeconds = 0
	zones, err := handler.Zones()
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

// The state that a running process sends to its successor must not change, as the successor may be of another build.
func TestGoldenLiveHotRestartState(t *testing.T) {
	conf := parseConfig(t, baseConfig, testaddress.New(), "127.0.0.1:1", "")
	s := assembleSetup(t, Setup{Platform: conf}, zerolog.Nop())
	s.runLoop(t)
	runOnLoop(s, func() {
		list := discovery.EndpointList{Generation: 41, Full: true, Instances: goldenEntries()[:1]}
		s.pools.platform.applyList(balancer.UpdateFull, list)
		s.pools.platform.generation = 41
	})
	golden(t, "hotrestart-state-live", successorHandler{s}.State())
}

// The texts of errors that the admin server answers with.
func TestGoldenErrors(t *testing.T) {
	var all []string
	for _, err := range []error{errShuttingDown, errSavedNotApplied, errZonesOff, errLastZone} {
		all = append(all, err.Error())
	}
	golden(t, "errors", []byte(strings.Join(all, "\n")))
}

// goldenMessages are the log messages that dashboards, experiments or the documentation match.
var goldenMessages = []string{
	"starting",
	"phase",
	"list",
	"counts",
	"contracts",
	"contract",
	"configured anew",
	"drain",
	"server disabled or enabled by an operator",
	"zone",
	"start",
	"these changes need a restart; the old values stay",
	"the new configuration cannot be used; the old one stays",
	"configuration reloaded during the shutdown; only a change of the list service is applied",
	"another process of this router is serving; this one takes over once it is ready",
	"the successor process accepts clients; this one accepts no more",
	"the successor process has ended; this one accepts clients again",
	"these changes of the operators' file need a restart; the old values stay",
	"completion rate of the last run, from the snapshot",
	"the endpoint list of the snapshot is used until the list service sends one",
	"a team's listener cannot be opened; the team has none until the next reload",
	"recovery is on, but there is no folder (TMPDIR) for the snapshot; nothing is saved",
}

// Dashboards find log lines by level, message and the names of their fields in order: these must not change. The test
// runs a router with a successor through reloads, operators' calls and shutdowns, which log all of goldenMessages.
func TestGoldenLogLines(t *testing.T) {
	log := &logBuffer{}
	dir := t.TempDir()
	addr := testaddress.New()
	list := startCacheServer(t, 0)
	switchedOn := operatorconfig.File{
		Recovery: operatorconfig.Recovery{On: true},
		Zones:    operatorconfig.Zones{On: true},
	}
	start := func(addr, dir string) (*Service, chan error) {
		setup := Setup{Platform: parseConfig(t, baseConfig, addr, list, dir), Operators: switchedOn}
		s := assembleSetup(t, setup, zerolog.New(log))
		return s, s.runLoop(t)
	}
	waitLogged := func(text string) {
		t.Helper()
		waitFor(t, text, 500, func() bool { return strings.Contains(log.text(), text) })
	}
	first, firstEnded := start(addr, dir)
	waitServing(t, first)
	runOnLoop(first, func() {
		first.zones.controller.OnEndpoints(first.loop.Now(), map[string]int{"a": 1, "b": 1}, nil)
		first.startup.save("rate", "this router", []byte("12"))
	})
	waitUntil(t, "a written snapshot", first, func() bool { return first.startup.snapshot.Stats().Written > 1 })
	callAllOperations(t, addAdminHandler(first))

	contracts := parseOperators(t, fmt.Sprintf(goldenTeam, list)) // its listener's address is in use
	changed := parseConfig(t, baseConfig, "127.0.0.1:2", list, dir)
	runOnLoop(first, func() { first.reconfigure(Setup{Platform: changed, Operators: contracts}) })
	if got := sendCommand(addr, "mg k v Oq1 Pc=t,d=1900,tenant=pharmacy"); !strings.HasPrefix(got, "VA") {
		t.Errorf("request of the team with a contract: got %q, want a value", got)
	}
	runOnLoop(first, first.logCounts)
	signals := make(chan os.Signal)
	go first.handleSignals(signals, func() (Setup, error) { return Setup{}, errors.New("not read") })
	signals <- syscall.SIGHUP
	close(signals)
	waitLogged("the new configuration cannot be used")

	second, secondEnded := start(addr, dir)
	waitUntil(t, "the successor", first, func() bool { return first.restart.servingSuccessors == 1 })
	shutDown(t, second, secondEnded)
	waitLogged("has ended; this one accepts clients again")
	unchanged := parseConfig(t, baseConfig, addr, list, dir)
	runOnLoop(first, func() {
		first.beginShutdown()
		first.reconfigure(Setup{Platform: unchanged})
	})
	<-firstEnded
	third, _ := start(testaddress.New(), "")
	waitServing(t, third)

	var lines strings.Builder
	for _, message := range goldenMessages {
		lines.WriteString(goldenLine(t, log.text(), message))
	}
	golden(t, "log-lines", []byte(lines.String()))
}

// callAllOperations makes each call of the admin server that changes something, and the one that undoes it.
func callAllOperations(t *testing.T, handler *adminHandler) {
	t.Helper()
	for _, err := range []error{
		handler.Drain(),
		handler.Undrain(),
		handler.DisableServer("s-1"),
		handler.EnableServer("s-1"),
		handler.EvacuateZone("a"),
		handler.RestoreZone("a"),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
}

// The names of the fields for reasons of rejections must not change. A log line has only those with a count above 0.
func TestGoldenRejectReasons(t *testing.T) {
	var log strings.Builder
	logger := zerolog.New(&log)
	counts := make([]uint64, len(requestcore.ReasonNames))
	for reason := range counts {
		counts[reason] = uint64(reason + 1)
	}
	withRejectReasons(logger.Info(), counts).Msg("counts")
	golden(t, "log-reasons", []byte(strings.TrimSuffix(log.String(), "\n")))
}

// goldenLine returns the level, the message and the names of the fields of the first line with a message.
func goldenLine(t *testing.T, log, message string) string {
	t.Helper()
	for line := range strings.Lines(log) {
		level, logged, fields := parseLogLine(line)
		if logged == message {
			return fmt.Sprintf("%q %q %s\n", level, logged, strings.Join(fields, ", "))
		}
	}
	t.Errorf("no log line with the message %q", message)
	return ""
}

// parseLogLine returns the level, the message and the names of all other fields of a line, in their order. Fields on
// connections that were cut are left out: whether there are any depends on which side closes first.
func parseLogLine(line string) (level, message string, fields []string) {
	decoder := json.NewDecoder(strings.NewReader(line))
	decoder.Token() // the opening brace
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			break
		}
		var value any
		if decoder.Decode(&value) != nil {
			break
		}
		name, _ := token.(string)
		switch {
		case name == "level":
			level, _ = value.(string)
		case name == "message":
			message, _ = value.(string)
		case !strings.Contains(name, "connections cut, "):
			fields = append(fields, name)
		}
	}
	return level, message, fields
}
