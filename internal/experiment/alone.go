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

// usual is what fleet and load play where no scenario is named.
const usual = `
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

// UsualScenario reads a scenario, or gives the usual one where no path is named.
func UsualScenario(path string) (*Scenario, error) {
	if path == "" {
		return ParseScenario("usual", usual)
	}
	return ReadScenario(path)
}

// Describe tells what a kind of fault hits and needs.
func Describe(name string) string {
	k := kinds[name]
	on := map[string]string{"team": "team:NAME", "none": "no target", "ledger": "no target", "type": "type:NAME, tenant:NAME or all",
		"list": "lists, lists:COUNT or list:NUMBER (a router's)"}[k.on]
	if on == "" {
		on = fmt.Sprintf("%[1]s:NUMBER, %[1]ss:COUNT, %[1]ss:PART%%, %[1]ss", k.on)
	}
	text := fmt.Sprintf("%-15s %s", name, on)
	if k.needs != "" {
		text += ", with " + k.needs
	}
	if k.also != "" {
		text += " and " + k.also
	}
	if k.long {
		text += "; at long values"
	}
	if k.keeps {
		text += "; for may be left out"
	}
	return text
}

// RunFleet runs the stand-ins until ctx ends, and writes a configuration for a router of theirs.
func RunFleet(ctx context.Context, s *Scenario, o Options, config string, out io.Writer) error {
	w := &world{s: s, o: o, types: s.types(), factors: map[string]float64{}}
	if err := w.build(); err != nil {
		w.abandon()
		return err
	}
	ended := make(chan error, 2)
	go func() { ended <- w.fleetOn.Run() }()
	go func() { ended <- w.clientOn.Run() }()
	var listen []string
	for n, r := range w.nodes {
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
	on(w.fleetOn, w.abandon)
	w.fleetOn.Post(w.fleetOn.Stop)
	w.clientOn.Post(w.clientOn.Stop)
	<-ended
	<-ended
	return nil
}

// Loaded is what clients saw, where nobody kept books at the other end.
type Loaded struct {
	Figures     Figures `json:"figures"`
	Tries       int     `json:"tries"`
	Silent      int     `json:"silent"` // no answer in time
	Lost        int     `json:"lost"`   // the connection ended instead
	Twice       int     `json:"answered_twice"`
	Unreached   int     `json:"unreached"` // no connection
	Void        string  `json:"void,omitempty"`
	Interrupted bool    `json:"interrupted,omitempty"`
	Processor   float64 `json:"lab_cpu_us_a_try"` // of this process
}

// RunLoad runs the clients against any addresses.
func RunLoad(ctx context.Context, s *Scenario, o Options, to []string) (Loaded, error) {
	for _, addr := range to {
		if at, err := netip.ParseAddrPort(addr); err != nil || !at.Addr().IsLoopback() {
			return Loaded{}, fmt.Errorf("--to %s: not an address and a port on this machine's loopback", addr)
		}
	}
	if slices.ContainsFunc(s.Types, func(t TypePart) bool { return t.Scheme != "" }) {
		return Loaded{}, fmt.Errorf("%s: its clients ask for map tiles, which trestle-experiment run plays", s.Name)
	}
	loop, err := eventloop.New()
	if err != nil {
		return Loaded{}, err
	}
	alone := *s // the clients' own faults are played; there is nothing here that others could hit
	alone.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool {
		return f.Kind != "surge" && f.Kind != "hot-key" && !strings.HasPrefix(f.Kind, "read-")
	})
	s = &alone
	types := s.types()
	s.Routers.Skew = nil
	clients, err := emulator.NewClients(loop, o.Seed, s.load(types), to, nil)
	if err != nil {
		return Loaded{}, err
	}
	before := processor()
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	w := &world{s: s, o: o, types: types, clients: clients, clientOn: loop}
	rec := w.play(ctx)
	loop.Post(loop.Stop)
	<-ended
	rec.Fleet, rec.Clients, rec.ClientsLate, rec.FleetLate = &emulator.Book{}, clients.Book(), clients.Late(), &emulator.Lateness{}
	l := Loaded{Figures: Reckon(s, rec), Twice: len(rec.Clients.Twice), Interrupted: rec.Interrupted}
	for _, op := range rec.Clients.Ops {
		for _, t := range op.Tries {
			l.Tries++
			switch t.How {
			case emulator.Silent:
				l.Silent++
			case emulator.Lost:
				l.Lost++
			case emulator.NoConnection:
				l.Unreached++
			}
		}
	}
	l.Processor = (processor() - before) * 1e6 / max(1, float64(l.Tries))
	if late := rec.ClientsLate.Part(0.99); late > lateUsual {
		l.Void = fmt.Sprintf("the clients ran late, by %.1f ms at the 99th percentile", late*1e3)
	}
	return l, nil
}

// PrintLoad writes what clients saw.
func PrintLoad(out io.Writer, l Loaded) {
	printCourse(out, l.Figures)
	printTypes(out, l.Figures)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	f := l.Figures
	fmt.Fprintln(w, "operations\tin time\tlate\tdeclined\tterminated\tunserved\ttries\tsilent\tlost\ttwice\tunreached\tp50 ms\tp99 ms\tp99.9 ms\t")
	fmt.Fprintf(w, "%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", f.Operations, f.Whole, f.Late, f.Declined,
		f.Terminated, f.Unserved, l.Tries, l.Silent, l.Lost, l.Twice, l.Unreached, f.P50, f.P99, f.P999)
	w.Flush()
	fmt.Fprintf(out, "operations began %.2f ms after they were due (99th percentile); the lab took %.1f us of processor a try\n", f.SendLate,
		l.Processor)
	if l.Interrupted {
		fmt.Fprintln(out, "interrupted: this is a part")
	}
}

// processor is the time that this process has used, in seconds.
func processor() float64 {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano()).Seconds()
}
