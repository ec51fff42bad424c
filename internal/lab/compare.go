package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Measure is one figure that is compared.
type Measure struct {
	Name   string
	Better int // 1 if more is better, -1 if less
	of     func(Figures) float64
}

// Measures are those that a comparison looks at, the first being what the product is judged by.
var Measures = []Measure{
	{"benefit in time", 1, func(f Figures) float64 { return f.Whole }},
	{"worst spell", 1, func(f Figures) float64 { return f.Worst }},
	{"worst type", 1, func(f Figures) float64 { return f.WorstType }},
	{"finished late", -1, func(f Figures) float64 { return f.Late }},
	{"declined", -1, func(f Figures) float64 { return f.Declined }},
	{"executions an op", -1, func(f Figures) float64 { return f.Executions }},
	{"fetches an op", -1, func(f Figures) float64 { return f.Fetches }},
	{"p50 ms", -1, func(f Figures) float64 { return f.P50 }},
	{"p99 ms", -1, func(f Figures) float64 { return f.P99 }},
	{"cpu us a try", -1, func(f Figures) float64 { return f.RouterCPU }},
}

// Difference is A less B in one measure, over pairs of one seed each.
type Difference struct {
	Measure string  `json:"measure"`
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	Mean    float64 `json:"a_less_b"`
	Noise   float64 `json:"noise"` // half the width of the 95% interval of the mean, by Student's t
	Better  string  `json:"better"`
}

// Comparison is two routers on one scenario.
type Comparison struct {
	Scenario    string       `json:"scenario"`
	A           string       `json:"a"`
	B           string       `json:"b"`
	Pairs       int          `json:"pairs"`
	Left        int          `json:"pairs_left_out"` // void ones
	RulesA      int          `json:"runs_a_with_broken_rules"`
	RulesB      int          `json:"runs_b_with_broken_rules"`
	Differences []Difference `json:"differences"`
	Runs        []Result     `json:"runs"`
}

// Differ sets paired runs side by side. A difference counts where it is beyond the noise.
func Differ(a, b []Result) []Difference {
	var all []Difference
	for _, m := range Measures {
		var xs, ys, ds []float64
		for i := range a {
			x, y := m.of(a[i].Figures), m.of(b[i].Figures)
			xs, ys, ds = append(xs, x), append(ys, y), append(ds, x-y)
		}
		d := Difference{Measure: m.Name, A: stat.Mean(xs, nil), B: stat.Mean(ys, nil), Noise: math.Inf(1), Better: "-"}
		d.Mean = d.A - d.B
		if n := float64(len(ds)); n >= 2 {
			t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
			d.Noise = t * stat.StdDev(ds, nil) / math.Sqrt(n)
		}
		if math.Abs(d.Mean) > d.Noise {
			if d.Better = "A"; d.Mean*float64(m.Better) < 0 {
				d.Better = "B"
			}
		}
		all = append(all, d)
	}
	return all
}

// Compare plays both on each seed, turn about: the one that was first with one seed is second with the next. A pair of
// which one is void is played once more, and left out if it is void again.
func Compare(ctx context.Context, s *Scenario, a, b Program, o Options, seeds int, note io.Writer) (Comparison, error) {
	c := Comparison{Scenario: s.Name, A: a.Name, B: b.Name}
	var as, bs []Result
	for i := range seeds {
		o.Seed += min(uint64(i), 1)
		var pair [2]Result
		for try := 0; try < 2; try++ {
			for turn := range 2 {
				which := (turn + i) % 2
				o.Router = [2]Program{a, b}[which]
				rec, err := Play(ctx, s, o)
				if err != nil {
					return c, fmt.Errorf("%s: %w", o.Router.Name, err)
				}
				if pair[which] = NewResult(s, o, rec); rec.Interrupted {
					return c, context.Canceled
				}
			}
			if pair[0].Void == "" && pair[1].Void == "" {
				break
			}
		}
		c.Runs = append(c.Runs, pair[0], pair[1])
		if pair[0].Void != "" || pair[1].Void != "" {
			c.Left++
			fmt.Fprintf(note, "seed %d is left out: %s%s\n", o.Seed, pair[0].Void, pair[1].Void)
			continue
		}
		c.RulesA += min(1, len(pair[0].Breaches))
		c.RulesB += min(1, len(pair[1].Breaches))
		as, bs = append(as, pair[0]), append(bs, pair[1])
	}
	if c.Pairs = len(as); c.Pairs > 0 {
		c.Differences = Differ(as, bs)
	}
	return c, nil
}

// PrintComparison writes one table.
func PrintComparison(out io.Writer, c Comparison) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tA: %s\tB: %s\tA less B\tnoise (95%%)\tbetter\t\n", c.Scenario, c.A, c.B)
	for _, d := range c.Differences {
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\t\n", d.Measure, d.A, d.B, d.Mean, d.Noise, d.Better)
	}
	w.Flush()
	fmt.Fprintf(out, "%d pairs, %d left out as void; runs with a broken rule: A %d, B %d\n", c.Pairs, c.Left, c.RulesA, c.RulesB)
}
