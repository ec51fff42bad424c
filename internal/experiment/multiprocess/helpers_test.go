package multiprocess

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"bendtrestle/internal/emulator"
	"bendtrestle/internal/experiment"
)

var builtRouter experiment.Program

// TestMain builds the router once for all tests. The router processes end with the test process, however it ends.
func TestMain(m *testing.M) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	program, dir, err := experiment.Build(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	builtRouter = program
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

const seed = 7

var runSlots = make(chan struct{}, 2) // limits concurrent runs: each has a dozen processes and needs two cores

const baseScenario = `name = "together"
seconds = 1000
[fleet]
servers = 12
zones = 4
cores = 2
warm = 3
[list]
delay = 0.1
spread = 0.1
[routers]
count = 12
peers = true
zones = true
relays = true
doors = true
folders = true
cores = 0.25
[clients]
rate = 400
`

const trafficTypes = `
[[type]]
name = "slots"
share = 0.7
effect = "reissuable"
work_ms = 4
size = 300
promised_ms = 150
hard_stop_ms = 750
benefit = 5
[[type]]
name = "book"
share = 0.2
write = true
effect = "numbered"
window = 5
work_ms = 4
size = 100
promised_ms = 400
hard_stop_ms = 900
benefit = 3
[[type]]
name = "pay"
share = 0.1
write = true
effect = "at-most-once"
work_ms = 4
size = 100
promised_ms = 400
hard_stop_ms = 900
benefit = 4
`

// fleet is one run of the laboratory in a test.
type fleet struct {
	*experiment.Testbed
	t            *testing.T
	ignoreBefore float64 // Unix seconds; requests due earlier are not counted
}

// start begins a run of the base scenario, after change if that is not nil. When the test ends, it ends the run and
// checks the rules.
func start(t *testing.T, change func(text string) string) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts many processes")
	}
	text := baseScenario
	if change != nil {
		text = change(baseScenario)
	}
	t.Parallel()
	runSlots <- struct{}{}
	scenario, err := experiment.ParseScenario("together.toml", text+trafficTypes)
	if err != nil {
		<-runSlots
		t.Fatal(err)
	}
	n, release, err := experiment.ReserveNet(os.Getpid())
	if err != nil {
		<-runSlots
		t.Fatal(err)
	}
	testbed, err := experiment.Open(context.Background(), scenario,
		experiment.Options{Seed: seed, Router: builtRouter, Net: n, Dir: t.TempDir()})
	if err != nil {
		release()
		<-runSlots
		t.Fatal(err)
	}
	f := &fleet{Testbed: testbed, t: t}
	t.Cleanup(func() {
		defer func() { <-runSlots }()
		datagrams := f.DatagramRecords(20)
		records, err := f.Close()
		release()
		if err != nil {
			t.Error(err)
			return
		}
		result := f.CheckRules(records)
		for i, breach := range result.Breaches {
			if result.Void == "" && i < 3 {
				t.Errorf("%v\n    %s", breach, strings.Join(breach.Course, "\n    "))
			}
		}
		if t.Failed() {
			t.Logf("seed %d, %.1f s of service, run void because: %q", seed, records.To-records.From, result.Void)
			for _, line := range records.Played {
				t.Log(line)
			}
			for _, datagram := range datagrams {
				t.Logf("datagram at %.3f s from router %d to router %d, %d bytes, lost %t",
					datagram.At-records.From, datagram.From, datagram.To, datagram.Bytes, datagram.Lost)
			}
			for n := range f.Routers() {
				for _, line := range f.LogLines(n, `"message":"zone"`, 8) {
					t.Logf("router %d: %s", n, line)
				}
			}
		}
	})
	return f
}

// waitFor waits for a condition, at most bound seconds, and returns how long that took.
func (f *fleet) waitFor(what string, bound float64, condition func() bool) float64 {
	f.t.Helper()
	took, err := f.WaitUntil(what, bound, condition)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Logf("%6.2f s: %s, after waiting %.2f s", f.Elapsed(), what, took)
	return took
}

// requireDuring fails the test if the condition is false at any check, every 50 ms, within the given seconds.
func (f *fleet) requireDuring(what string, seconds float64, condition func() bool) {
	f.t.Helper()
	for end := f.Now() + seconds; f.Now() < end; time.Sleep(50 * time.Millisecond) {
		if !condition() {
			f.t.Fatalf("%.2f s: condition became false: %s", f.Elapsed(), what)
		}
	}
}

// beginFault begins a fault between processes. amount is the delay in seconds for the kinds that end in -late, and
// the fraction affected for the others.
func (f *fleet) beginFault(kind, target, from string, amount float64, what ...string) (heal func()) {
	f.t.Helper()
	fault := experiment.Fault{Kind: kind, Target: target, From: from, What: what, Part: amount}
	if strings.HasSuffix(kind, "-late") {
		fault.Delay, fault.Part = amount, 0
	}
	end, err := f.BeginFault(fault)
	if err != nil {
		f.t.Fatal(err)
	}
	return func() {
		if err := end(); err != nil {
			f.t.Error(err)
		}
	}
}

// steadyRate waits until 99 % of a second's requests are served in time, for more than 2 s and at most 10 s, and
// returns a zone's executions per second.
func (f *fleet) steadyRate(zone string) float64 {
	f.t.Helper()
	began := f.Now()
	f.waitFor("calm", 10, func() bool { return f.Now()-began > 2 && f.servedInTime(1, 0.99) })
	return float64(f.ExecutionCount(zone, f.Now()-1.5)) / 1.5
}

// servedInTime reports whether at least minFraction of the requests that were due within the given seconds, up to half
// a second ago, met their latency objective.
func (f *fleet) servedInTime(seconds, minFraction float64) bool {
	to := f.Now() - 0.5 // by then a request has met its latency objective or missed it
	if to-seconds < f.ignoreBefore {
		return false
	}
	fraction, n := f.FractionInTime(to-seconds, to)
	return n > 50 && fraction >= minFraction
}

// maxTrialWrites bounds the blocked writes in half a second that trial attempts in an evacuated zone cause: three
// routers with about two each.
const maxTrialWrites = 8

// evacuated returns a condition for a zone that is cut off: the routers have evacuated it, and write there no more than
// trial attempts do.
func (f *fleet) evacuated(zone string) func() bool {
	return f.evacuatedBy(zone, func(int) bool { return true })
}

// evacuatedBy is like evacuated, for the routers that include selects.
func (f *fleet) evacuatedBy(zone string, include func(router int) bool) func() bool {
	since := f.Now()
	return func() bool {
		blocked := 0
		for router, n := range f.BlockedSends(zone, f.Now()-0.5) {
			if include(router) {
				blocked += n
			}
		}
		return f.Now()-since > 0.6 && blocked <= maxTrialWrites
	}
}

// recovered returns a condition: in the last second a zone had at least a fraction of its usual rate of executions.
func (f *fleet) recovered(zone string, usualRate, fraction float64) func() bool {
	return func() bool { return float64(f.ExecutionCount(zone, f.Now()-1)) >= fraction*usualRate }
}

// routerRange returns the router numbers n with from <= n < to.
func routerRange(from, to int) (all []int) {
	for n := from; n < to; n++ {
		all = append(all, n)
	}
	return all
}

// faultZone begins a fault at all servers of a zone; end ends it.
func (f *fleet) faultZone(zone string, begin func(s *emulator.Server) func() error) (end func()) {
	return f.Fault(zone, begin)
}
