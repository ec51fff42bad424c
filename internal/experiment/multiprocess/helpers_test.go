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

var program experiment.Program

// TestMain builds the program once. Its processes end with the test's, however that ends.
func TestMain(m *testing.M) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	built, dir, err := experiment.Build(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = built
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

const seed = 7

var places = make(chan struct{}, 2) // runs at once: each has a dozen processes and wants two cores

const usual = `name = "together"
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

const types = `
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

// fleet is a run in a test.
type fleet struct {
	*experiment.World
	t    *testing.T
	mark float64 // what was due before is not looked at
}

// start begins a run; what change makes of the usual scenario is played. When the test ends, so does the run, and the rules are judged.
func start(t *testing.T, change func(text string) string) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts many processes")
	}
	text := usual
	if change != nil {
		text = change(usual)
	}
	t.Parallel()
	places <- struct{}{}
	s, err := experiment.ParseScenario("together.toml", text+types)
	if err != nil {
		<-places
		t.Fatal(err)
	}
	n, release, err := experiment.Reserve(os.Getpid())
	if err != nil {
		<-places
		t.Fatal(err)
	}
	x, err := experiment.Open(context.Background(), s, experiment.Options{Seed: seed, Router: program, Net: n, Dir: t.TempDir()})
	if err != nil {
		release()
		<-places
		t.Fatal(err)
	}
	f := &fleet{World: x, t: t}
	t.Cleanup(func() {
		defer func() { <-places }()
		words := f.Words(20)
		rec, err := f.Close()
		release()
		if err != nil {
			t.Error(err)
			return
		}
		r := f.Judge(rec)
		for i, b := range r.Breaches {
			if r.Void == "" && i < 3 {
				t.Errorf("%v\n    %s", b, strings.Join(b.Course, "\n    "))
			}
		}
		if t.Failed() {
			t.Logf("seed %d, in %.1f s of service; lab: %s", seed, rec.To-rec.From, r.Void)
			for _, line := range rec.Played {
				t.Log(line)
			}
			for _, w := range words {
				t.Logf("word at %.3f s from %d to %d, %d bytes, lost %t", w.At-rec.From, w.From, w.To, w.Bytes, w.Lost)
			}
			for n := range f.Routers() {
				for _, line := range f.Log(n, `"message":"zone"`, 8) {
					t.Logf("router %d: %s", n, line)
				}
			}
		}
	})
	return f
}

// until waits for a condition, and gives how long that took.
func (f *fleet) until(what string, bound float64, holds func() bool) float64 {
	f.t.Helper()
	took, err := f.Until(what, bound, holds)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Logf("%6.2f s: %s, after %.2f s", f.Since(), what, took)
	return took
}

// during holds for a time that something is so at each look.
func (f *fleet) during(what string, seconds float64, holds func() bool) {
	f.t.Helper()
	for end := f.Now() + seconds; f.Now() < end; time.Sleep(50 * time.Millisecond) {
		if !holds() {
			f.t.Fatalf("%.2f s: no longer %s", f.Since(), what)
		}
	}
}

// cut begins a fault between processes.
func (f *fleet) cut(kind, target, from string, part float64, what ...string) (heal func()) {
	f.t.Helper()
	fault := experiment.Fault{Kind: kind, Target: target, From: from, What: what, Part: part}
	if strings.HasSuffix(kind, "-late") {
		fault.Delay, fault.Part = part, 0
	}
	end, err := f.Cut(fault)
	if err != nil {
		f.t.Fatal(err)
	}
	return func() {
		if err := end(); err != nil {
			f.t.Error(err)
		}
	}
}

// calm waits until all is served and a zone gets its part, and gives how many executions it gets in a second.
func (f *fleet) calm(zone string) float64 {
	f.t.Helper()
	began := f.Now()
	f.until("calm", 10, func() bool { return f.Now()-began > 2 && f.serves(1, 0.99) })
	return float64(f.Arrived(zone, f.Now()-1.5)) / 1.5
}

// serves tells whether the operations that were due in the last seconds, and are over, were answered in the promised time but for a part.
func (f *fleet) serves(seconds, least float64) bool {
	to := f.Now() - 0.5 // by then an operation is in time or not
	if to-seconds < f.mark {
		return false
	}
	part, n := f.Served(to-seconds, to)
	return n > 50 && part >= least
}

// tries is how many writes in vain in half a second are those of the few that try a zone: three routers with two or so each.
const tries = 8

// left tells whether routers have left a zone: nearly nothing is written there while nothing comes through.
func (f *fleet) left(zone string) func() bool {
	return f.leftBy(zone, func(int) bool { return true })
}

// leftBy is left for some routers.
func (f *fleet) leftBy(zone string, who func(router int) bool) func() bool {
	since := f.Now()
	return func() bool {
		burnt := 0
		for router, n := range f.Burnt(zone, f.Now()-0.5) {
			if who(router) {
				burnt += n
			}
		}
		return f.Now()-since > 0.6 && burnt <= tries
	}
}

// back tells whether a zone gets a part of the executions of a second that it is used to.
func (f *fleet) back(zone string, usual, part float64) func() bool {
	return func() bool { return float64(f.Arrived(zone, f.Now()-1)) >= part*usual }
}

// every names routers from one number up to another.
func every(from, to int) (all []int) {
	for n := from; n < to; n++ {
		all = append(all, n)
	}
	return all
}

// on does the same to all servers of a zone.
func (f *fleet) on(zone string, begin func(s *emulator.Server) func() error) (end func()) {
	return f.Fault(zone, begin)
}
