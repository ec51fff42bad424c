package experiment

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bendtrestle/internal/emulator"
)

const short = `name = "short"
seconds = 4
settle = 0.5
[fleet]
servers = 5
warm = 3
[routers]
count = 2
[list]
delay = 0.1
spread = 0.1
[clients]
rate = 120
`

// The rules are kept, and every request ends, in short scenarios with each group of faults.
func TestRulesAreKeptThroughFaults(t *testing.T) {
	fault := func(kind, target, more string) string {
		text := "[[fault]]\nkind = \"" + kind + "\"\n" + more + "\n"
		if target != "" {
			text += "target = \"" + target + "\"\n"
		}
		return text
	}
	for name, faults := range map[string]string{
		"servers crash": fault("crash", "server:1", "at = 0.8\nfor = 1.0") + fault("vanish", "server:2", "at = 1.2\nfor = 1.5") +
			fault("restart", "server:3", "at = 2.0"),
		"servers are slow": fault("stall", "servers:40%", "at = 0.8\nfor = 0.5") + fault("slow", "server:0", "at = 0.9\nfor = 2.0\nfactor = 5.0") +
			fault("stall", "server:0", "at = 1.0\nfor = 0.6") + fault("ledger-slow", "", "at = 1.5\nfor = 1.0\nfactor = 4.0"),
		"answers are invalid": fault("spoil", "servers", "at = 0.8\nfor = 2.5\npart = 0.1") + fault("reset", "servers:2", "at = 1.0\nfor = 2.0\npart = 0.2") +
			fault("error", "server:4", "at = 1.0\nfor = 2.0\npart = 0.3") + fault("refuse", "server:1", "at = 2.0\nfor = 1.0"),
		"the fleet changes": fault("deploy", "servers:2", "at = 0.8\nfor = 1.5\ndrain = 1.2") + fault("shrink", "server:4", "at = 1.0\nfor = 0.1") +
			fault("grow", "", "at = 1.5\ncount = 2") + fault("drain", "server:3", "at = 1.0\nfor = 1.5"),
		"the list fails": fault("list-lag", "list:0", "at = 0.6\nfor = 1.0") + fault("drain", "server:1", "at = 0.8\nfor = 2.0") +
			fault("list-old", "list:1", "at = 1.2\nfor = 0.8\ncount = 1") + fault("list-silent", "lists", "at = 2.2\nfor = 0.5") +
			fault("list-refuse", "list:0", "at = 2.8\nfor = 0.4") + fault("list-move", "lists", "at = 3.3"),
		"routers restart": fault("router-kill", "router:0", "at = 1.0\nfor = 0.6") + fault("router-restart", "router:1", "at = 2.2"),
		"load rises":      fault("hot-key", "", "at = 0.8\nfor = 2.0\npart = 0.4") + fault("surge", "type:read", "at = 1.2\nfor = 1.5\nfactor = 8.0"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playUntilValid(t, scenario(t, short+faults), routerProgram(t, "logic"))
			if r.Verdict != RulesKept {
				t.Errorf("the verdict is %s", r.Verdict)
				for _, b := range r.Breaches[:min(2, len(r.Breaches))] {
					t.Log(b, "\n"+strings.Join(b.Course, "\n"))
				}
			}
			if r.Figures.Requests < 100 {
				t.Errorf("got %d requests, want at least 100", r.Figures.Requests)
			}
		})
	}
}

// 70% of the routers are killed together while servers are replaced, and the list service accepts too few calls for all
// restarted routers. They start with their last list, in which some servers are gone.
func TestRulesAreKeptWhenMostRoutersRestart(t *testing.T) {
	t.Parallel()
	text := strings.Replace(strings.Replace(short, "count = 2", "count = 8\npeers = true", 1), "spread = 0.1", "spread = 0.1\ncalls = 2\nwithin = 2", 1)
	r := playUntilValid(t, scenario(t, text+`
[[fault]]
kind = "deploy"
target = "servers:3"
at = 0.6
for = 0.9
drain = 0.5
[[fault]]
kind = "router-kill"
target = "routers:70%"
at = 1.2
for = 0.4
`), routerProgram(t, "logic"))
	if r.Verdict != RulesKept {
		t.Errorf("the verdict is %s, %v", r.Verdict, r.Breaches)
	}
	if r.Figures.BenefitInTime < 0.4 {
		t.Errorf("got a fraction of %.2f of the benefit in time, want at least 0.4", r.Figures.BenefitInTime)
	}
}

// The baselines run on the product's request core, keep the rules and serve a fleet without faults.
func TestBaselinesServeAndKeepRules(t *testing.T) {
	for _, name := range []string{"random", "least", "ring", "bounded", "rendezvous"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playUntilValid(t, scenario(t, strings.Replace(short, "seconds = 4", "seconds = 2", 1)), routerProgram(t, name))
			if r.Verdict != RulesKept || r.Figures.BenefitInTime < 0.9 {
				t.Errorf("got %s, and a fraction of %v of the benefit in time; want rules kept and at least 0.9", r.Verdict, r.Figures.BenefitInTime)
			}
		})
	}
}

func options(t *testing.T, program Program) Options {
	n, release, err := ReserveNet(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return Options{Seed: 1, Router: program, Net: n, Dir: t.TempDir()}
}

// An interrupt ends all processes, and the partial run has the verdict interrupted.
func TestInterruptEndsRun(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	s, o := scenario(t, strings.Replace(short, "seconds = 4", "seconds = 60", 1)), options(t, routerProgram(t, "logic"))
	began := time.Now()
	rec, err := Play(ctx, s, o)
	if err != nil {
		t.Fatal(err)
	}
	if r := NewResult(s, o, rec); r.Verdict != Interrupted || time.Since(began) > 6*time.Second || len(rec.Clients.Requests) == 0 {
		t.Errorf("after %v: got verdict %s with %d requests, want interrupted within 6 s and some requests", time.Since(began), r.Verdict, len(rec.Clients.Requests))
	}
	for _, l := range rec.Processes {
		if l.To == 0 {
			t.Errorf("router %d is still running", l.Router)
		}
	}
}

func TestRouterThatExitsBeforeReady(t *testing.T) {
	t.Parallel()
	o := options(t, Program{Name: "false", Args: []string{"/bin/false"}})
	if _, err := Play(context.Background(), scenario(t, short), o); err == nil || !strings.Contains(err.Error(), "ended before it was ready, with exit status 1") {
		t.Errorf("got %v, want an error with the exit status 1", err)
	}
}

func TestAddressInUse(t *testing.T) {
	t.Parallel()
	o := options(t, routerProgram(t, "logic"))
	for _, at := range []string{fmt.Sprintf("127.%d.1.2:11211", o.Net), fmt.Sprintf("127.%d.10.3:11300", o.Net), fmt.Sprintf("127.%d.2.1:8500", o.Net)} {
		ln, err := net.Listen("tcp", at)
		for i := 0; err != nil && i < 100; i++ { // a child that another test has just forked may hold the address until its exec
			time.Sleep(10 * time.Millisecond)
			ln, err = net.Listen("tcp", at)
		}
		if err != nil {
			t.Fatal(err)
		}
		_, err = Play(context.Background(), scenario(t, short), o)
		for i := 0; i < 20 && err != nil && !strings.Contains(err.Error(), at); i++ { // such a child may also hold an address of the last run
			time.Sleep(50 * time.Millisecond)
			_, err = Play(context.Background(), scenario(t, short), o)
		}
		if err == nil || !strings.Contains(err.Error(), at) || !strings.Contains(err.Error(), "--net") {
			t.Errorf("with %s in use: got %v, want an error with the address and --net", at, err)
		}
		ln.Close()
	}
}

// A router that uses more memory than allowed is killed, as by the platform, and the reason is recorded.
func TestRouterAboveMemoryLimitIsKilled(t *testing.T) {
	t.Parallel()
	r := &routerNode{dir: t.TempDir(), memoryMB: 1, sockets: 64, now: func() float64 { return float64(time.Now().UnixNano()) / 1e9 },
		program: Program{Args: []string{"/bin/sh", "-c", "sleep 5"}}, config: map[string]any{}}
	if err := r.start(); err != nil {
		t.Fatal(err)
	}
	<-r.ended
	if l := r.processHistory()[0]; l.How != endMemoryLimit || l.MaxMemoryMB <= 1 {
		t.Errorf("got %+v, want an end by the memory limit", l)
	}
}

// A router that ignores SIGTERM is killed after its patience. The time of SIGTERM, the end and the configuration are
// recorded.
func TestRouterIgnoringSIGTERMIsKilled(t *testing.T) {
	t.Parallel()
	r := &routerNode{dir: t.TempDir(), memoryMB: 1000, sockets: 64, now: func() float64 { return float64(time.Now().UnixNano()) / 1e9 },
		program: Program{Args: []string{"/bin/sh", "-c", "trap '' TERM; while true; do sleep 0.05; done"}}, config: map[string]any{"a": 1}}
	if err := r.start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	r.stop(0.3)
	if l := r.processHistory()[0]; l.How != endKilled || l.Told == 0 {
		t.Errorf("got %+v, want a killed process with the time of SIGTERM", l)
	}
	if text, err := os.ReadFile(filepath.Join(r.dir, "router-0.json")); err != nil || !strings.Contains(string(text), `"a": 1`) {
		t.Errorf("got configuration %s, %v; want the key a with 1", text, err)
	}
	r.signalEnd(syscall.SIGKILL, endKilled) // has no effect after the end of the process
}

// A load run has figures of the clients' records only. It accepts loopback addresses only, and plays only faults of
// clients.
func TestLoadRunWithoutServerRecords(t *testing.T) {
	t.Parallel()
	if _, err := RunLoad(context.Background(), scenario(t, short), Options{}, []string{"192.0.2.1:11211"}); err == nil {
		t.Error("got no error for an address outside the loopback")
	}
	// The surge is played; the stall is left out.
	s := scenario(t, strings.Replace(short, "seconds = 4", "seconds = 1.5", 1)+"[[fault]]\nkind = \"surge\"\ntarget = \"type:read\"\nat = 0.5\nfor = 0.5\nfactor = 2.0\n"+
		"[[fault]]\nkind = \"stall\"\ntarget = \"servers\"\nat = 0.5\nfor = 0.5\n")
	l := loadRunUntilValid(t, s)
	if f := l.Figures; f.Requests < 60 || f.BenefitInTime < 0.8 || l.Silent+l.Lost+l.AnsweredTwice > 0 {
		t.Errorf("got %+v, want at least 60 requests, 0.8 of the benefit, and no silent, lost or repeated answer", l)
	}
}

// loadRunUntilValid runs the load of a scenario against its own fleet and a router until a run is not void, like
// playUntilValid.
func loadRunUntilValid(t *testing.T, s *Scenario) LoadResult {
	t.Helper()
	for range maxConclusiveTries {
		l := loadRun(t, s)
		if l.Void == "" {
			return l
		}
		t.Logf("void, run again: %s; %d silent, %d lost", l.Void, l.Silent, l.Lost)
	}
	t.Skipf("no valid run in %d", maxConclusiveTries)
	return LoadResult{}
}

// loadRun starts a fleet and a router, and runs the load of a scenario against that router.
func loadRun(t *testing.T, s *Scenario) LoadResult {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	o := options(t, routerProgram(t, "logic"))
	config := filepath.Join(t.TempDir(), "router.json")
	fleet := make(chan error, 1)
	go func() { fleet <- RunFleet(ctx, s, o, config, new(strings.Builder)) }()
	for i := 0; i < 200; i++ {
		if _, err := os.Stat(config); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	r := &routerNode{dir: t.TempDir(), memoryMB: 1000, sockets: 512, now: func() float64 { return float64(time.Now().UnixNano()) / 1e9 },
		addr: fmt.Sprintf("127.%d.1.1:11211", o.Net)}
	r.program = Program{Args: []string{"/bin/sh", "-c", "GW_CONFIG=" + config + " exec " + strings.Join(routerProgram(t, "logic").Args, " ")}}
	if err := r.start(); err != nil {
		t.Fatal(err)
	}
	if err := r.ready(5); err != nil {
		t.Fatal(err)
	}
	l, err := RunLoad(context.Background(), s, Options{Seed: 1}, []string{r.addr})
	r.stop(3)
	stop()
	if err != nil {
		t.Fatal(err)
	}
	if err := <-fleet; err != nil {
		t.Fatal(err)
	}
	return l
}

// Figures cover only requests due after the settling time, and count each in the second in which it was due.
func TestFiguresCoverRequestsAfterSettling(t *testing.T) {
	st := newRunRecord("read")
	st.s.Settle, st.s.Seconds = 0.5, 10
	st.request.Due = 1000.2 // within the settling time
	st.attempt("w", emulator.Finished, 1.05)
	add := func(due, latency float64, end emulator.End, kind string) {
		o := &emulator.Request{Type: trafficTypes[kind], Due: 1000 + due, Done: 1000 + due + latency, End: end}
		o.Attempts = []*emulator.Attempt{{Request: o, End: end, Sent: o.Due, Ended: o.Done}}
		st.rec.Clients.Requests = append(st.rec.Clients.Requests, o)
	}
	for i := range 6 {
		add(1+float64(i), 0.05, emulator.Finished, "read")
	}
	add(7, 0.3, emulator.Finished, "read")
	add(7.1, 0.01, emulator.Rejected, "read")
	add(7.2, 0.01, emulator.FailedAttempt, "pay")
	add(7.3, 0.01, emulator.NoAnswer, "pay")
	f := ComputeFigures(st.s, st.rec)
	if f.Requests != 10 || f.BenefitInTime != 0.6 || f.Late != 0.1 || f.Declined != 0.1 || f.Terminated != 0.1 || f.Unserved != 0.1 ||
		f.WorstTypeBenefit != 0 || f.WorstTypeName != "pay" || f.WorstIntervalBenefit > 0.3 || f.P50 < 49 || f.P50 > 51 || f.P99 < 299 || f.P99 > 301 {
		t.Errorf("got figures %+v", f)
	}
	if c := f.PerSecond[7]; c.Due != 4 || c.Late != 1 || c.Declined != 1 || c.Terminated != 1 || c.Unserved != 1 || f.PerSecond[1].InTime != 1 {
		t.Errorf("got course %+v", f.PerSecond)
	}
}

// A router is better in a measure only if the difference exceeds the noise, and a single pair has no noise estimate.
func TestBetterOnlyBeyondNoise(t *testing.T) {
	runs := func(whole ...float64) (all []Result) {
		for _, x := range whole {
			all = append(all, Result{Figures: Figures{BenefitInTime: x, P99: 100 * x}})
		}
		return all
	}
	d := CompareRuns(runs(0.9, 0.91, 0.89), runs(0.8, 0.8, 0.8))
	if d[0].Better != "A" || d[0].Noise > 0.03 || d[0].Noise < 0.02 {
		t.Errorf("three pairs with a clear difference: got %+v, want A better", d[0])
	}
	for _, x := range d {
		if x.Measure == "p99 ms" && x.Better != "B" { // less is better
			t.Errorf("for p99, where less is better: got %+v, want B better", x)
		}
	}
	if d = CompareRuns(runs(0.9, 0.7, 0.8), runs(0.8, 0.8, 0.7)); d[0].Better != "-" {
		t.Errorf("a difference within the noise: got %+v, want neither better", d[0])
	}
	if d = CompareRuns(runs(0.9), runs(0.1)); d[0].Better != "-" {
		t.Errorf("a single pair: got %+v, want neither better", d[0])
	}
}

// One team surges to about ten times its budget while another stays within its own. The rules are kept, and the surge does
// not cause rejections of the other team.
func TestSurgeBeyondQuotaIsDeclinedForThatTeamOnly(t *testing.T) {
	t.Parallel()
	const teams = `name = "teams"
seconds = 4
settle = 0.5
[fleet]
servers = 4
cores = 2
[clients]
rate = 100
[[team]]
name = "steady"
budget = 3.0
[[team]]
name = "surging"
budget = 0.5
burst = 0.2
[[fault]]
kind = "surge"
target = "tenant:surging"
at = 1
for = 2
factor = 15.0
[[fault]]
kind = "contract"
target = "team:surging"
at = 1.5
for = 1
factor = 0.5
`
	types := func(name string) string {
		return "[[type]]\nname = \"" + name + "\"\ntenant = \"" + name + "\"\nshare = 1\neffect = \"reissuable\"\nwork_ms = 3\nsize = 100\npromised_ms = 200\nhard_stop_ms = 600\nbenefit = 1\n"
	}
	s, err := ParseScenario("teams", teams+types("steady")+types("surging"))
	if err != nil {
		t.Fatal(err)
	}
	r := playUntilValid(t, s, routerProgram(t, "logic"))
	steady, surging := r.Figures.Tenants["steady"], r.Figures.Tenants["surging"]
	if r.Verdict != RulesKept || steady.Declined > 0.01 || surging.Declined < 0.3 {
		t.Errorf("%s: got %+v for the steady team, want at most 0.01 declined; got %+v for the surging one, want at least 0.3 declined", r.Verdict, steady, surging)
	}
}
