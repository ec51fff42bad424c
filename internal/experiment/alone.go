package experiment

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bendtrestle/internal/emulator"
	"bendtrestle/internal/eventloop"

	"golang.org/x/sys/unix"
)

// defaultScenarioText is the scenario of the commands fleet and load if no file is given.
const defaultScenarioText = `
name = "usual"
about = "Two traffic types on a small fleet without trouble."

[routers]
count = 1

[[type]]
name = "read"
share = 0.8
effect = "reissuable"
work_ms = 8
spread = 0.5
size = 500
promised_ms = 150
hard_stop_ms = 750
benefit = 5

[[type]]
name = "put"
share = 0.2
write = true
effect = "numbered"
window = 5
work_ms = 10
spread = 0.5
size = 300
promised_ms = 600
hard_stop_ms = 1200
benefit = 3
`

// ReadScenarioOrDefault reads the scenario file at path, or returns the default scenario if path is empty.
func ReadScenarioOrDefault(path string) (*Scenario, error) {
	if path == "" {
		return ParseScenario("usual", defaultScenarioText)
	}
	return ReadScenario(path)
}

// DescribeFaultKind returns one line of text with the targets and parameters of a fault kind.
func DescribeFaultKind(name string) string {
	k := faultKinds[name]
	targets := map[string]string{"team": "team:NAME", "none": "no target", "ledger": "no target", "type": "type:NAME, tenant:NAME or all",
		"list": "lists, lists:COUNT or list:NUMBER (a router's)"}[k.targets]
	if targets == "" {
		targets = fmt.Sprintf("%[1]s:NUMBER, %[1]ss:COUNT, %[1]ss:PART%%, %[1]ss", k.targets)
	}
	text := fmt.Sprintf("%-15s %s", name, targets)
	if k.parameter != "" {
		text += ", with " + k.parameter
	}
	if k.secondParameter != "" {
		text += " and " + k.secondParameter
	}
	if k.longValuesOnly {
		text += "; at long values"
	}
	if k.instantAllowed {
		text += "; for may be left out"
	}
	return text
}

// RunFleet runs the emulated cache servers and list services until ctx ends. It writes to the path config a
// configuration for a router that uses them; the configurations of further routers get the suffix .N.
func RunFleet(ctx context.Context, s *Scenario, o Options, config string, out io.Writer) error {
	w := &runState{scenario: s, options: o, types: s.trafficClasses(), budgetFactors: map[string]float64{}}
	if err := w.build(); err != nil {
		w.abandon()
		return err
	}
	loopErrors := make(chan error, 2)
	go func() { loopErrors <- w.fleetLoop.Run() }()
	go func() { loopErrors <- w.clientLoop.Run() }()
	var listen []string
	for n, r := range w.routerNodes {
		r.dir = filepath.Dir(config)
		path := config
		if n > 0 {
			path = fmt.Sprintf("%s.%d", config, n)
		}
		if err := r.write(); err != nil {
			return err
		}
		if err := os.Rename(r.file("json"), path); err != nil {
			return err
		}
		listen = append(listen, r.addr)
		if r.operators != "" {
			if err := os.Rename(r.file("toml"), path+".operators.toml"); err != nil {
				return err
			}
			path += " GW_OPERATORS=" + path + ".operators.toml"
		}
		fmt.Fprintf(out, "router %d: list service at %s; start it with\n    GW_CONFIG=%s bin/bendtrestle\n", n, w.agents[0][n].Addr(), path)
	}
	fmt.Fprintf(out, "%d cache servers from %s on\n", len(w.fleet.Servers()), w.fleet.Servers()[0].Addr)
	fmt.Fprintf(out, "then load it with\n    bin/trestle-experiment load --to %s --seconds 10\nor by hand, for instance with telnet %s:\n    mg clinic-7 v Oa1 Pc=%s,d=480\n",
		listen[0], listen[0], s.Types[0].Name)
	<-ctx.Done()
	runOnLoop(w.fleetLoop, w.abandon)
	w.fleetLoop.Post(w.fleetLoop.Stop)
	w.clientLoop.Post(w.clientLoop.Stop)
	<-loopErrors
	<-loopErrors
	return nil
}

// LoadResult is the result of a load run, in which only the clients keep records.
type LoadResult struct {
	Figures       Figures `json:"figures"`
	Attempts      int     `json:"tries"`
	Silent        int     `json:"silent"` // attempts without an answer in time
	Lost          int     `json:"lost"`   // attempts whose connection ended before the answer
	AnsweredTwice int     `json:"answered_twice"`
	Unreached     int     `json:"unreached"` // attempts without a connection
	Void          string  `json:"void,omitempty"`
	Interrupted   bool    `json:"interrupted,omitempty"`
	CPUPerAttempt float64 `json:"lab_cpu_us_a_try"` // CPU time of this process per attempt
}

// RunLoad runs the clients against the loopback addresses in to.
func RunLoad(ctx context.Context, s *Scenario, o Options, to []string) (LoadResult, error) {
	for _, addr := range to {
		if at, err := netip.ParseAddrPort(addr); err != nil || !at.Addr().IsLoopback() {
			return LoadResult{}, fmt.Errorf("--to %s: not a loopback address with a port", addr)
		}
	}
	if slices.ContainsFunc(s.Types, func(t TypePart) bool { return t.Scheme != "" }) {
		return LoadResult{}, fmt.Errorf("%s: its clients request map tiles, which only trestle-experiment run supports", s.Name)
	}
	loop, err := eventloop.New()
	if err != nil {
		return LoadResult{}, err
	}
	clientsOnly := *s // only faults of clients are played: this process runs no servers, list services or routers
	clientsOnly.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool {
		return f.Kind != "surge" && f.Kind != "hot-key" && !strings.HasPrefix(f.Kind, "read-")
	})
	s = &clientsOnly
	types := s.trafficClasses()
	s.Routers.Skew = nil
	clients, err := emulator.NewClients(loop, o.Seed, s.clientLoad(types), to, nil)
	if err != nil {
		return LoadResult{}, err
	}
	before := processorSeconds()
	loopErrors := make(chan error, 1)
	go func() { loopErrors <- loop.Run() }()
	w := &runState{scenario: s, options: o, types: types, clients: clients, clientLoop: loop}
	rec := w.play(ctx)
	loop.Post(loop.Stop)
	<-loopErrors
	rec.Fleet, rec.Clients, rec.ClientsLate, rec.FleetLate = &emulator.ServerRecords{}, clients.Records(), clients.Late(), &emulator.Lateness{}
	l := LoadResult{Figures: ComputeFigures(s, rec), AnsweredTwice: len(rec.Clients.DuplicateAnswers), Interrupted: rec.Interrupted}
	for _, request := range rec.Clients.Requests {
		for _, t := range request.Attempts {
			l.Attempts++
			switch t.End {
			case emulator.NoAnswer:
				l.Silent++
			case emulator.Lost:
				l.Lost++
			case emulator.NoConnection:
				l.Unreached++
			}
		}
	}
	l.CPUPerAttempt = (processorSeconds() - before) * 1e6 / max(1, float64(l.Attempts))
	if late := rec.ClientsLate.Quantile(0.99); late > maxLatenessP99 {
		l.Void = fmt.Sprintf("the clients ran late, by %.1f ms at the 99th percentile", late*1e3)
	}
	return l, nil
}

// PrintLoad writes the result of a load run as tables.
func PrintLoad(out io.Writer, l LoadResult) {
	printPerSecond(out, l.Figures)
	printTypes(out, l.Figures)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	f := l.Figures
	fmt.Fprintln(w, "operations\tin time\tlate\tdeclined\tterminated\tunserved\ttries\tsilent\tlost\ttwice\tunreached\tp50 ms\tp99 ms\tp99.9 ms\t")
	fmt.Fprintf(w, "%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", f.Requests, f.BenefitInTime, f.Late, f.Declined,
		f.Terminated, f.Unserved, l.Attempts, l.Silent, l.Lost, l.AnsweredTwice, l.Unreached, f.P50, f.P99, f.P999)
	w.Flush()
	fmt.Fprintf(out, "operations began %.2f ms after they were due (99th percentile); the lab took %.1f us of processor a try\n", f.SendLate,
		l.CPUPerAttempt)
	if l.Interrupted {
		fmt.Fprintln(out, "interrupted: these results are partial")
	}
}

// processorSeconds returns the CPU time that this process has used, in seconds.
func processorSeconds() float64 {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano()).Seconds()
}
