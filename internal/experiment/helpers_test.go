package experiment

import (
	"context"
	"errors"
	"os"
	"strings"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/config"
	"bendtrestle/internal/emulator"
	"bendtrestle/internal/experiment/baseline"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/service"

	"github.com/rs/zerolog"
)

// TestMain runs the tests or, if LAB_ROUTER is set, a router: the product's, a baseline, or one that breaks a rule.
func TestMain(m *testing.M) {
	as := os.Getenv("LAB_ROUTER")
	switch {
	case as == "":
		os.Exit(m.Run())
	case strings.HasPrefix(as, "bad:"):
		runFaultyRouter(strings.TrimPrefix(as, "bad:"))
		return
	}
	make := requestcore.NewBalancer(requestcore.DefaultBalancer)
	if as != "logic" {
		var err error
		if make, err = baseline.NewFactory(as); err != nil {
			panic(err)
		}
	}
	read := func() (service.Setup, error) {
		theirs, err := operatorconfig.Read(os.Getenv("GW_OPERATORS"))
		conf, other := config.Read(os.Getenv)
		return service.Setup{Platform: conf, Operators: theirs}, errors.Join(err, other)
	}
	set, err := read()
	if err != nil {
		panic(err)
	}
	if err = service.Run(set, service.Signals(), make, read, zerolog.New(os.Stderr).With().Timestamp().Logger()); err != nil {
		panic(err)
	}
}

// routerProgram returns this test binary as a router program of the given kind.
func routerProgram(t *testing.T, name string) Program {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Program{Name: name, Args: []string{"/usr/bin/env", "LAB_ROUTER=" + name, self}}
}

// playUntilValid plays a scenario with a router until a run is not void. The lab may run late on a busy machine, and
// then the run is void and proves nothing.
func playUntilValid(t *testing.T, s *Scenario, program Program) Result {
	t.Helper()
	return playUntilConclusive(t, s, program, func(Result) bool { return true })
}

// maxConclusiveTries is the number of runs after which a test without a conclusive run is skipped.
const maxConclusiveTries = 10

// playUntilConclusive plays a scenario until a run is not void and enough returns true. After maxConclusiveTries runs
// it skips the test.
func playUntilConclusive(t *testing.T, s *Scenario, program Program, enough func(Result) bool) Result {
	t.Helper()
	for try := 0; ; try++ {
		n, release, err := ReserveNet(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		defer release()
		o := Options{Seed: 3, Router: program, Net: n, Dir: t.TempDir()}
		rec, err := Play(context.Background(), s, o)
		if err != nil {
			t.Fatal(err)
		}
		r := NewResult(s, o, rec)
		if r.Verdict != RunVoid && enough(r) {
			return r
		}
		if try == maxConclusiveTries-1 {
			t.Skipf("no conclusive run in %d, because the lab ran late: %s", maxConclusiveTries, r.Void)
		}
	}
}

const types = `
[[type]]
name = "read"
share = 0.7
effect = "reissuable"
work_ms = 3
size = 100
promised_ms = 150
hard_stop_ms = 500
benefit = 5
[[type]]
name = "put"
share = 0.2
write = true
effect = "numbered"
group = "zone"
window = 3
work_ms = 3
size = 100
promised_ms = 300
hard_stop_ms = 600
benefit = 3
[[type]]
name = "pay"
share = 0.1
write = true
effect = "at-most-once"
work_ms = 3
size = 100
promised_ms = 300
hard_stop_ms = 600
benefit = 3
`

func scenario(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := ParseScenario("test.toml", text+types)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runRecord is a run with one request, whose records a test fills in. Times are seconds after 1000.
type runRecord struct {
	s       *Scenario
	rec     *Records
	request *emulator.Request
}

var trafficTypes = map[string]*emulator.TrafficType{
	"read":  {Name: "read", Idempotency: balancer.Idempotent, Benefit: 1, LatencyObjective: 0.1, Deadline: 0.5},
	"put":   {Name: "put", Write: true, Idempotency: balancer.IdempotencyKeyed, DeduplicationScope: balancer.ScopeZone, Window: 2, Benefit: 1, LatencyObjective: 0.1, Deadline: 5},
	"pay":   {Name: "pay", Write: true, Idempotency: balancer.AtMostOnce, Benefit: 1, LatencyObjective: 0.1, Deadline: 0.5},
	"bound": {Name: "bound", Idempotency: balancer.Idempotent, RunsIn: []string{"z1"}},
}

func server(name, zone string) *emulator.Server {
	return &emulator.Server{Spec: emulator.Spec{Name: name, Zone: zone}}
}

func newRunRecord(kind string) *runRecord {
	usual := DefaultScenario()
	st := &runRecord{s: &usual, rec: &Records{From: 1000, To: 1010, Fleet: &emulator.ServerRecords{}, Clients: &emulator.ClientRecords{},
		FleetLate: &emulator.Lateness{}, ClientsLate: &emulator.Lateness{}, Reports: make([][]emulator.Report, 2)}}
	st.request = &emulator.Request{Type: trafficTypes[kind], Key: "k", Due: 1001}
	st.rec.Clients.Requests = append(st.rec.Clients.Requests, st.request)
	return st
}

// attempt adds an attempt at router 0 that starts at 1 s.
func (st *runRecord) attempt(id string, end emulator.End, ended float64) *emulator.Attempt {
	t := &emulator.Attempt{Request: st.request, ID: id, Began: 1001, Sent: 1001, Wait: 0.4, Ended: 1000 + ended, End: end, AnswerSum: 7}
	st.request.Attempts = append(st.request.Attempts, t)
	st.request.End, st.request.Done = end, t.Ended
	return t
}

// execution adds an execution whose request reached the server whole at a time.
func (st *runRecord) execution(id string, on *emulator.Server, at float64, outcome emulator.Outcome) *emulator.Execution {
	x := &emulator.Execution{ID: id, Server: on, Type: st.request.Type, First: 1000 + at, Last: 1000 + at, End: 1000 + at + 0.01, Outcome: outcome, AnswerSum: 7}
	st.rec.Fleet.Executions = append(st.rec.Fleet.Executions, x)
	return x
}

// partialAttempt adds an attempt whose client received part of a long value.
func (st *runRecord) partialAttempt(id string, end emulator.End, ended float64) *emulator.Attempt {
	t := st.attempt(id, end, ended)
	t.Length, t.Received, t.ValueSum, t.AnswerSum = 1<<20, 70000, 7, 0
	return t
}

// longExecution adds an execution with a long value. At the time whole, the server's kernel had all of it; at the time
// interrupted, the server interrupted it. 0 means never.
func (st *runRecord) longExecution(id string, on *emulator.Server, whole, interrupted float64) *emulator.Execution {
	x := st.execution(id, on, 1.01, emulator.Answered)
	x.Length = 1 << 20
	if whole > 0 {
		x.SentAt = 1000 + whole
	}
	if interrupted > 0 {
		x.InterruptedAt = 1000 + interrupted
	}
	return x
}

// brokenRules returns the rules that were broken, in order.
func (st *runRecord) brokenRules() (rules []int) {
	for _, b := range CheckRules(st.s, st.rec).Breaches {
		rules = append(rules, b.Rule)
	}
	return rules
}
