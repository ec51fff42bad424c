package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Measure is one figure of a comparison.
type Measure struct {
	Name   string
	Better int // 1 if more is better, -1 if less
	value  func(Figures) float64
}

// Measures are the figures of a comparison. The first is the one that the product is judged by.
var Measures = []Measure{
	{"benefit in time", 1, func(f Figures) float64 { return f.BenefitInTime }},
	{"worst spell", 1, func(f Figures) float64 { return f.WorstIntervalBenefit }},
	{"worst type", 1, func(f Figures) float64 { return f.WorstTypeBenefit }},
	{"finished late", -1, func(f Figures) float64 { return f.Late }},
	{"declined", -1, func(f Figures) float64 { return f.Declined }},
	{"executions an op", -1, func(f Figures) float64 { return f.ExecutionsPerRequest }},
	{"fetches an op", -1, func(f Figures) float64 { return f.FetchesPerRequest }},
	{"p50 ms", -1, func(f Figures) float64 { return f.P50 }},
	{"p99 ms", -1, func(f Figures) float64 { return f.P99 }},
	{"burnt", -1, func(f Figures) float64 { return float64(f.WastedWrites) }},
	{"lost after loss", -1, func(f Figures) float64 { return meanZoneLoss(f, func(x ZoneLoss) float64 { return x.LostAfterLoss }) }},
	{"lost after heal", -1, func(f Figures) float64 { return meanZoneLoss(f, func(x ZoneLoss) float64 { return x.LostAfterReturn }) }},
	{"back s", -1, func(f Figures) float64 { return meanZoneLoss(f, func(x ZoneLoss) float64 { return x.ReturnSeconds }) }},
	{"full service s", -1, func(f Figures) float64 {
		return meanRecovery(f, func(r Recovery) float64 { return r.FullServiceSeconds })
	}},
	{"lost until full", -1, func(f Figures) float64 { return meanRecovery(f, func(r Recovery) float64 { return r.BenefitLost }) }},
	{"handshakes", -1, func(f Figures) float64 {
		return meanRecovery(f, func(r Recovery) float64 { return float64(r.MostHandshakes) })
	}},
	{"cpu us a try", -1, func(f Figures) float64 { return f.RouterCPU }},
}

// Difference is the mean of A minus B in one measure, over pairs of runs with the same seed.
type Difference struct {
	Measure        string  `json:"measure"`
	A              float64 `json:"a"`
	B              float64 `json:"b"`
	MeanDifference float64 `json:"a_less_b"`
	Noise          float64 `json:"noise"` // half the 95% confidence interval of the mean, by Student's t; -1 with one pair
	Better         string  `json:"better"`
}

// Comparison is the result of two routers on one scenario.
type Comparison struct {
	Scenario     string       `json:"scenario"`
	A            string       `json:"a"`
	B            string       `json:"b"`
	Pairs        int          `json:"pairs"`
	LeftOutPairs int          `json:"pairs_left_out"` // because a run of the pair was void
	RulesA       int          `json:"runs_a_with_broken_rules"`
	RulesB       int          `json:"runs_b_with_broken_rules"`
	Differences  []Difference `json:"differences"`
	Runs         []Result     `json:"runs"`
}

// CompareRuns returns the differences of paired runs in all measures. One router is better if the difference exceeds
// the noise.
func CompareRuns(a, b []Result) []Difference {
	var all []Difference
	for _, m := range Measures {
		var xs, ys, ds []float64
		for i := range a {
			x, y := m.value(a[i].Figures), m.value(b[i].Figures)
			xs, ys, ds = append(xs, x), append(ys, y), append(ds, x-y)
		}
		d := Difference{Measure: m.Name, A: stat.Mean(xs, nil), B: stat.Mean(ys, nil), Noise: -1, Better: "-"}
		d.MeanDifference = d.A - d.B
		if n := float64(len(ds)); n >= 2 {
			t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
			d.Noise = t * stat.StdDev(ds, nil) / math.Sqrt(n)
		}
		if d.Noise >= 0 && math.Abs(d.MeanDifference) > d.Noise {
			if d.Better = "A"; d.MeanDifference*float64(m.Better) < 0 {
				d.Better = "B"
			}
		}
		all = append(all, d)
	}
	return all
}

// Compare plays all routers on each seed. The order rotates: the router that is played first changes from seed to seed.
// The first router is compared with each of the others. A void run is repeated once; if it is void again, its pairs are
// left out. lanes is the number of seeds that are played concurrently, each at its own addresses.
func Compare(ctx context.Context, s *Scenario, all []Program, o Options, seeds, lanes int, note io.Writer) ([]Comparison, error) {
	rounds, failures := make([][]Result, seeds), make([]error, seeds)
	var lane sync.WaitGroup
	turn := make(chan int, seeds)
	for i := range seeds {
		turn <- i
	}
	close(turn)
	for n := range max(1, lanes) {
		lane.Add(1)
		go func() {
			defer lane.Done()
			mine, release := o, func() {}
			if n > 0 { // the first lane uses the addresses in the options
				var err error
				if mine.Net, release, err = ReserveNet(o.Net + n); err != nil {
					return // the other lanes play all seeds
				}
			}
			defer release()
			for i := range turn {
				mine.Seed = o.Seed + uint64(i)
				mine.Dir = filepath.Join(o.Dir, fmt.Sprintf("%s-%d", s.Name, mine.Seed))
				if failures[i] = os.MkdirAll(mine.Dir, 0o755); failures[i] == nil {
					rounds[i], failures[i] = playRound(ctx, s, all, mine, i)
				}
			}
		}()
	}
	lane.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, err
	}
	var done []Comparison
	for other := 1; other < len(all); other++ {
		c := Comparison{Scenario: s.Name, A: all[0].Name, B: all[other].Name}
		var as, bs []Result
		for _, r := range rounds {
			a, b := r[0], r[other]
			c.Runs = append(c.Runs, a, b)
			if a.Void != "" || b.Void != "" {
				c.LeftOutPairs++
				fmt.Fprintf(note, "%s, seed %d is left out: %s\n", s.Name, a.Seed, cmp.Or(a.Void, b.Void))
				continue
			}
			c.RulesA += min(1, len(a.Breaches))
			c.RulesB += min(1, len(b.Breaches))
			as, bs = append(as, a), append(bs, b)
		}
		if c.Pairs = len(as); c.Pairs > 0 {
			c.Differences = CompareRuns(as, bs)
		}
		done = append(done, c)
	}
	return done, nil
}

// playRound plays all routers on one seed, beginning with router number first modulo their number.
func playRound(ctx context.Context, s *Scenario, all []Program, o Options, first int) ([]Result, error) {
	results := make([]Result, len(all))
	for turn := range all {
		which := (turn + first) % len(all)
		o.Router = all[which]
		for range 2 {
			rec, err := Play(ctx, s, o)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", o.Router.Name, err)
			}
			if rec.Interrupted {
				return nil, context.Canceled
			}
			if results[which] = NewResult(s, o, rec); results[which].Void == "" {
				break
			}
		}
	}
	return results, nil
}

// PrintComparison writes a comparison as a table.
func PrintComparison(out io.Writer, c Comparison) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tA: %s\tB: %s\tA less B\tnoise (95%%)\tbetter\t\n", c.Scenario, c.A, c.B)
	for _, d := range c.Differences {
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\t\n", d.Measure, d.A, d.B, d.MeanDifference, d.Noise, d.Better)
	}
	w.Flush()
	fmt.Fprintf(out, "%d pairs, %d left out as void; runs with a broken rule: A %d, B %d\n", c.Pairs, c.LeftOutPairs, c.RulesA, c.RulesB)
}
