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

// Each part gives all of its names, lines with their fit, and counts what is counted exactly; nothing that it started goes on. No time
// is asserted: machines differ.
func TestSmall(t *testing.T) {
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
				t.Errorf("processes %v go on", left)
			}
			var table strings.Builder
			r.Print(&table)
			if len(r.Missing) > 0 {
				t.Errorf("not measured: %v", r.Missing)
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
				if len(l.Points) < minPoints || math.IsNaN(l.Slope+l.Base+l.Residual+l.RSquared) {
					t.Errorf("%s is no line: %+v", q.Name, l)
				}
			}
		})
	}
}

// What can be counted of a list is, exactly: each server's entry, and the calls of a watch.
func TestListIsCounted(t *testing.T) {
	t.Parallel()
	o := options(t, "list.bytes.servers")
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if l := r.line(t, "list.bytes.servers"); l.Residual > 0.01 || l.Slope < 100 || l.Slope > 200 {
		t.Errorf("a list grows by %v bytes with a server, off by %v", l.Slope, l.Residual)
	}
}

// A run that is interrupted ends what it started, and tells so.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	o := options(t, "hollow")
	ctx, stop := context.WithCancel(context.Background())
	o.Progress = func() writer {
		n := 0
		return func(p []byte) (int, error) { // in the midst of the second fleet
			if n++; n == 2 {
				time.AfterFunc(100*time.Millisecond, stop)
			}
			return len(p), nil
		}
	}()
	if _, err := Run(ctx, o); !errors.Is(err, context.Canceled) {
		t.Errorf("a run that was interrupted gives %v", err)
	}
	waitUntilGone(t, o.Dir)
}

type writer func(p []byte) (int, error)

func (f writer) Write(p []byte) (int, error) { return f(p) }

// Hollow routers end with who started them, also if that is killed.
func TestHolderIsKilled(t *testing.T) {
	t.Parallel()
	o := options(t)
	holder := exec.Command(os.Args[0])
	holder.Env = append(os.Environ(), "SCALE_AS=holder", "SCALE_DIR="+o.Dir, fmt.Sprint("SCALE_NET=", o.Net))
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
		t.Fatalf("the holder says %q, %v", line, err)
	}
	if n := len(processesLoggingIn(o.Dir)); n != 2 { // eight routers, six to a process
		t.Fatalf("%d processes hold hollow routers, want 2", n)
	}
	holder.Process.Kill()
	waitUntilGone(t, o.Dir)
}

// Every fault of a plan is told by its flag, its value and what would be right.
func TestCheck(t *testing.T) {
	if faults := Full().Check(); len(faults) > 0 {
		t.Errorf("the full plan: %v", faults)
	}
	for _, c := range []struct {
		change func(p *Plan)
		want   []string
	}{
		{func(p *Plan) { p.Routers = []int{100, 300} }, []string{"--routers 100,300: three sizes or more, rising, from 1 to 4000"}},
		{func(p *Plan) { p.Servers = []int{38, 380, 100} }, []string{"--servers 38,380,100: three sizes or more, rising, from 1 to 2000"}},
		{func(p *Plan) { p.Servers = []int{38, 100, 100} }, []string{"--servers 38,100,100: three sizes"}},
		{func(p *Plan) { p.Routers = []int{1, 2, 5000} }, []string{"--routers 1,2,5000: three sizes"}},
		{func(p *Plan) { p.Rates = []float64{0, 1, 2} }, []string{"--rates 0,1,2: three rates or more, rising, from 1 to 5000 operations a second"}},
		{func(p *Plan) { p.Runs = 0 }, []string{"--runs 0: a number from 1 to 20"}},
		{func(p *Plan) { p.Window = time.Millisecond }, []string{"--seconds 0.001: from 0.1 to 600"}},
		{func(p *Plan) { p.Only = []string{"hear", "here"} }, []string{"--only here: the beginning of a name, as one of idle, hear,"}},
		{func(p *Plan) { p.Runs, p.Rates = 21, nil }, []string{"--rates : three rates", "--runs 21: a number from 1 to 20"}},
	} {
		p := Full()
		c.change(&p)
		faults := p.Check()
		if len(faults) != len(c.want) {
			t.Errorf("%v, want %v", faults, c.want)
			continue
		}
		for i, want := range c.want {
			if !strings.Contains(faults[i].Error(), want) {
				t.Errorf("%v, want %v", faults[i], want)
			}
		}
	}
}

// A router that cannot be started is told with the end of its log.
func TestRouterThatEnds(t *testing.T) {
	t.Parallel()
	o := options(t, "idle")
	o.Router.Args = []string{"/bin/sh", "-c", "echo not today; exit 3"}
	if _, err := Run(context.Background(), o); err == nil || !strings.Contains(err.Error(), "exit status 3") || !strings.Contains(err.Error(), "not today") {
		t.Errorf("a router that ends at once: %v", err)
	}
}
