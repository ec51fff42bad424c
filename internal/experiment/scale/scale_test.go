package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Each part measures all of its quantities, fits its lines, and gives exact counts where they are known. No process
// that it started still runs afterwards. No times are asserted, because machines differ.
func TestEveryPartMeasuresAllItsQuantities(t *testing.T) {
	exact := map[string]float64{"hear.bytes.word": 15 + 28, "hear.lost": 0, "tell.lost": 0, "hollow.lost": 0, "hollow.bytes.datagram": 15 + 28,
		"hollow.agree.heard": 0, "hollow.agree.told": 0, "hollow.agree.real": 0}
	for _, p := range parts {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			o := options(t, p.name)
			r, err := Run(context.Background(), o)
			if err != nil {
				t.Fatal(err)
			}
			if left := processesLoggingIn(o.Dir); len(left) > 0 {
				t.Errorf("processes %v still run after the measurement", left)
			}
			var table strings.Builder
			r.Print(&table)
			if len(r.Missing) > 0 {
				t.Errorf("quantities that were not measured: %v, want none", r.Missing)
			}
			for _, q := range quantities {
				if !q.hasPrefix(p.name) {
					continue
				}
				if !strings.Contains(table.String(), "\n"+q.Name+" ") {
					t.Errorf("the table has no %s", q.Name)
				}
				if q.Per == "" {
					f := r.figure(t, q.Name)
					if want, is := exact[q.Name]; is && f.Mean != want {
						t.Errorf("%s is %v, want %v", q.Name, f.Mean, want)
					}
					continue
				}
				l := r.line(t, q.Name)
				if len(l.Points) < minPoints || math.IsNaN(l.Slope+l.Base+l.Residual+l.R2) {
					t.Errorf("%s is not a fitted line: %+v", q.Name, l)
				}
			}
		})
	}
}

// The size of a list is exact: it grows by one entry per server.
func TestListGrowsByOneEntryPerServer(t *testing.T) {
	t.Parallel()
	o := options(t, "list.bytes.servers")
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if l := r.line(t, "list.bytes.servers"); l.Residual > 0.01 || l.Slope < 100 || l.Slope > 200 {
		t.Errorf("a list grows by %v bytes per server with a residual of %v, want 100 to 200 and at most 0.01", l.Slope,
			l.Residual)
	}
}

// A run whose context is cancelled returns that error and ends the processes that it started.
func TestInterruptedRunEndsItsProcesses(t *testing.T) {
	t.Parallel()
	o := options(t, "hollow")
	ctx, stop := context.WithCancel(context.Background())
	o.Progress = func() writer {
		n := 0
		return func(p []byte) (int, error) { // while the second fleet is measured
			if n++; n == 2 {
				time.AfterFunc(100*time.Millisecond, stop)
			}
			return len(p), nil
		}
	}()
	if _, err := Run(ctx, o); !errors.Is(err, context.Canceled) {
		t.Errorf("an interrupted run returns %v, want context.Canceled", err)
	}
	waitUntilGone(t, o.Dir)
}

type writer func(p []byte) (int, error)

func (f writer) Write(p []byte) (int, error) { return f(p) }

// Simulated routers end with the process that started them, even if that process is killed.
func TestSimulatedRoutersEndWithTheirParent(t *testing.T) {
	t.Parallel()
	o := options(t)
	holder := exec.Command(os.Args[0])
	holder.Env = append(os.Environ(), "SCALE_AS=holder", "SCALE_DIR="+o.Dir, fmt.Sprint("SCALE_NET=", o.LoopbackNet))
	holder.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := holder.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = holder.Start(); err != nil {
		t.Fatal(err)
	}
	defer holder.Wait()
	defer holder.Process.Kill()
	if line, err := bufio.NewReader(out).ReadString('\n'); line != "holding\n" {
		t.Fatalf("the parent printed %q (error %v), want \"holding\\n\"", line, err)
	}
	if n := len(processesLoggingIn(o.Dir)); n != 2 { // eight routers, six to a process
		t.Fatalf("%d processes run simulated routers, want 2", n)
	}
	holder.Process.Kill()
	waitUntilGone(t, o.Dir)
}

// Every fault of a plan is reported with its flag, its value and the accepted values.
func TestPlanCheckReportsEveryFault(t *testing.T) {
	if faults := Full().Check(); len(faults) > 0 {
		t.Errorf("the full plan has faults: %v", faults)
	}
	for _, c := range []struct {
		change func(p *Plan)
		want   []string
	}{
		{func(p *Plan) { p.Routers = []int{100, 300} },
			[]string{"--routers 100,300: want three or more rising sizes from 1 to 4000"}},
		{func(p *Plan) { p.Servers = []int{38, 380, 100} },
			[]string{"--servers 38,380,100: want three or more rising sizes from 1 to 2000"}},
		{func(p *Plan) { p.Servers = []int{38, 100, 100} },
			[]string{"--servers 38,100,100: want three or more rising sizes"}},
		{func(p *Plan) { p.Routers = []int{1, 2, 5000} },
			[]string{"--routers 1,2,5000: want three or more rising sizes"}},
		{func(p *Plan) { p.Rates = []float64{0, 1, 2} },
			[]string{"--rates 0,1,2: want three or more rising rates from 1 to 5000 requests per second"}},
		{func(p *Plan) { p.Runs = 0 }, []string{"--runs 0: want a number from 1 to 20"}},
		{func(p *Plan) { p.Window = time.Millisecond }, []string{"--seconds 0.001: want a number from 0.1 to 600"}},
		{func(p *Plan) { p.Only = []string{"hear", "here"} },
			[]string{"--only here: want a prefix of a name, one of idle, hear,"}},
		{func(p *Plan) { p.Runs, p.Rates = 21, nil }, []string{"--rates : want three or more rising rates",
			"--runs 21: want a number from 1 to 20"}},
	} {
		p := Full()
		c.change(&p)
		faults := p.Check()
		if len(faults) != len(c.want) {
			t.Errorf("faults %v, want %v", faults, c.want)
			continue
		}
		for i, want := range c.want {
			if !strings.Contains(faults[i].Error(), want) {
				t.Errorf("fault %v, want %v", faults[i], want)
			}
		}
	}
}

// If the router ends before it is ready, the error has its exit status and the end of its log.
func TestFailedRouterStartReportsLog(t *testing.T) {
	t.Parallel()
	o := options(t, "idle")
	o.Router.Args = []string{"/bin/sh", "-c", "echo not today; exit 3"}
	if _, err := Run(context.Background(), o); err == nil || !strings.Contains(err.Error(), "exit status 3") || !strings.Contains(err.Error(), "not today") {
		t.Errorf("a router that ends immediately: error %v, want its exit status and its log", err)
	}
}
