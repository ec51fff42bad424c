package scale

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"time"

	"bendtrestle/internal/experiment"
)

// Quantity is one thing that is measured: a line over several sizes, or a single figure.
type Quantity struct {
	Name  string
	Unit  string
	Per   string // what the slope of a line is per unit of; empty for a single figure
	About string
}

// part is a group of quantities that are measured together.
type part struct {
	name string
	run  func(b *bench) error
}

var parts = []part{{"idle", measureIdle}, {"hear", measureReceiving}, {"tell", measureSending}, {"start", measureStart},
	{"conf", measureReloads}, {"list", measureLists}, {"request", measureRequests}, {"hollow", measureSimulatedRouters},
	{"gossip", measureGossip}, {"value", measureValues}}

// Parts returns the names of all parts. Each quantity's name starts with the name of its part.
func Parts() (all []string) {
	for _, p := range parts {
		all = append(all, p.name)
	}
	return all
}

// The units of CPU time.
const (
	coreRate = "core us/s" // microseconds of CPU time per second; 10,000 are a hundredth of a core
	coreTime = "core us"
)

// Options are the settings of a measurement.
type Options struct {
	Plan                   Plan
	Router                 experiment.Program
	SimulatedRouterCommand []string // the command that starts a process of simulated routers: this program itself
	SimulatedRouterEnv     []string // environment variables of that command, in addition to this process's
	LoopbackNet            int      // the second byte of the loopback addresses
	Dir                    string
	Command                string
	Join                   []*Report // earlier reports; their quantities fill in those that this run does not measure
	Progress               io.Writer // nil: no progress is printed
}

// bench is a running measurement.
type bench struct {
	ctx              context.Context
	plan             Plan
	program          experiment.Program
	simRouterCommand []string
	simRouterEnv     []string
	net              int
	dir              string
	progress         io.Writer
	run              int
	loadCount        uint64 // calls of runLoad so far
	lines            map[string]map[float64]*Point
	figures          map[string]*Point
	loopTimes        []float64
	notes            []string
}

// add records a value of a quantity; x is the size that it belongs to, and has no effect on a single figure. A loop
// above 0 is the CPU time of the plain loop at the same time, in seconds.
func (b *bench) add(name string, x, value, loop float64) {
	q := quantityNamed(name)
	single := b.figures
	if q.Per != "" {
		if b.lines[name] == nil {
			b.lines[name] = map[float64]*Point{}
		}
		if b.lines[name][x] == nil {
			b.lines[name][x] = &Point{X: x}
		}
		b.lines[name][x].record(value, loop)
		return
	}
	if single[name] == nil {
		single[name] = &Point{}
	}
	single[name].record(value, loop)
}

func (p *Point) record(value, loop float64) {
	if p.Runs = append(p.Runs, value); loop > 0 {
		p.Loops = append(p.Loops, value/1e6/loop)
	}
}

// quantityNamed returns the quantity with the name. An unknown name is a bug in this package, so it panics.
func quantityNamed(name string) Quantity {
	i := slices.IndexFunc(quantities, func(q Quantity) bool { return q.Name == name })
	if i < 0 {
		panic("unknown quantity " + name)
	}
	return quantities[i]
}

// selects reports whether the plan includes any quantity with the prefix.
func (b *bench) selects(prefix string) bool {
	return slices.ContainsFunc(quantities, func(q Quantity) bool { return q.hasPrefix(prefix) && b.plan.selects(q) })
}

func (b *bench) progressf(format string, args ...any) {
	if b.progress != nil {
		fmt.Fprintf(b.progress, "%s run %d of %d: %s\n", time.Now().Format(time.TimeOnly), b.run+1, b.plan.Runs,
			fmt.Sprintf(format, args...))
	}
}

// addNote records an observation that is not a figure. A text that is already recorded is not repeated.
func (b *bench) addNote(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(b.notes, text) {
		b.notes = append(b.notes, text)
	}
}

// recordLoop records the plain loop's time of a window, and returns the window's usage unchanged.
func (b *bench) recordLoop(used usage) usage {
	b.loopTimes = append(b.loopTimes, used.loop*1e6)
	return used
}

// measureWindow measures a process for the plan's window.
func (b *bench) measureWindow(p *process) (usage, error) {
	used, err := p.measureWindow(b.ctx, b.plan.Window)
	return b.recordLoop(used), err
}

// Run measures everything that the plan selects. It returns an error if ctx ends before it is done. All processes that
// it started have ended when it returns.
func Run(ctx context.Context, o Options) (*Report, error) {
	b := newBench(ctx, o)
	began, busy := time.Now(), loadAverage()
	for b.run = range b.plan.Runs {
		for _, p := range parts {
			if !b.selects(p.name) {
				continue
			}
			if err := p.run(b); err != nil {
				return nil, fmt.Errorf("%s: %w", p.name, err)
			}
		}
	}
	r := b.report(o)
	r.Command, r.Revision, r.Machine = o.Command, revision(ctx, o.Router), machine()
	r.Load = [2]float64{busy, loadAverage()}
	r.Began, r.Took = began.UTC().Format(time.RFC3339), time.Since(began).Seconds()
	return r, nil
}

func newBench(ctx context.Context, o Options) *bench {
	return &bench{ctx: ctx, plan: o.Plan, program: o.Router, simRouterCommand: o.SimulatedRouterCommand, simRouterEnv: o.SimulatedRouterEnv,
		net: o.LoopbackNet, dir: o.Dir, progress: o.Progress,
		lines: map[string]map[float64]*Point{}, figures: map[string]*Point{}}
}

// report fits lines and figures to the recorded values.
func (b *bench) report(o Options) *Report {
	r := &Report{Form: ReportVersion, Runs: b.plan.Runs, Small: b.plan.Small, Notes: b.notes}
	if len(b.loopTimes) > 0 {
		r.Loop = newFigure(Quantity{Name: "loop", Unit: coreTime,
			About: "crc32 of a megabyte, measured with every window"}, b.loopTimes, nil)
	}
	for _, q := range quantities {
		if !b.plan.selects(q) {
			continue
		}
		switch points := b.lines[q.Name]; {
		case q.Per != "" && len(points) >= minPoints:
			var all []Point
			for _, x := range slices.Sorted(maps.Keys(points)) {
				all = append(all, *points[x])
			}
			r.Lines = append(r.Lines, newLine(q, all))
		case q.Per == "" && b.figures[q.Name] != nil:
			r.Figures = append(r.Figures, newFigure(q, b.figures[q.Name].Runs, b.figures[q.Name].Loops))
		case !r.join(q, o.Join):
			r.Missing = append(r.Missing, q.Name)
		}
	}
	return r
}

// join copies a quantity from the first of the other reports that has it, and reports whether one has it.
func (r *Report) join(q Quantity, from []*Report) bool {
	for _, o := range from {
		if i := slices.IndexFunc(o.Lines, func(l Line) bool { return l.Name == q.Name }); i >= 0 {
			r.Lines = append(r.Lines, o.Lines[i])
			return true
		}
		if i := slices.IndexFunc(o.Figures, func(f Figure) bool { return f.Name == q.Name }); i >= 0 {
			r.Figures = append(r.Figures, o.Figures[i])
			return true
		}
	}
	return false
}

// loadAverage returns the mean number of running and runnable threads over the last minute.
func loadAverage() (x float64) {
	text, _ := os.ReadFile("/proc/loadavg")
	fmt.Sscan(string(text), &x)
	return x
}

// machine describes the machine that the measurement runs on.
func machine() string {
	model, memory := "an unknown processor", ""
	text, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.Lines(string(text)) {
		if key, value, found := strings.Cut(line, ":"); found && strings.TrimSpace(key) == "model name" {
			model = strings.TrimSpace(value)
			break
		}
	}
	text, _ = os.ReadFile("/proc/meminfo")
	var kb int
	if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kb); err == nil {
		memory = fmt.Sprintf(", %d GiB", kb>>20)
	}
	return fmt.Sprintf("%d cores of %s%s, %s", runtime.NumCPU(), model, memory, runtime.Version())
}

// revision returns the version that the router's build prints. If the build does not know its revision and was built
// from this tree, the revision is the tree's.
func revision(ctx context.Context, p experiment.Program) string {
	output := func(args ...string) string {
		out, _ := exec.CommandContext(ctx, args[0], args[1:]...).Output()
		return strings.TrimSpace(string(out))
	}
	version := cmp.Or(output(append(slices.Clone(p.Args), "version")...), p.Name)
	if head := output("git", "rev-parse", "--short", "HEAD"); p.Name == "head" && head != "" &&
		strings.Contains(version, "unknown") {
		if version = strings.Replace(version, "unknown", head, 1); output("git",
			"status", "--porcelain", "--untracked-files=no") != "" {
			version += ", with changes"
		}
	}
	return version
}
