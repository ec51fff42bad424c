package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Result is one run in the JSON report.
type Result struct {
	Scenario    string          `json:"scenario"`
	Seed        uint64          `json:"seed"`
	Router      string          `json:"router"`
	At          string          `json:"at"`
	Verdict     string          `json:"verdict"` // rules kept, rules broken, void, interrupted
	Void        string          `json:"void,omitempty"`
	Interrupted bool            `json:"interrupted,omitempty"`
	Breaches    []Breach        `json:"breaches,omitempty"`
	Doubtful    []Breach        `json:"doubtful,omitempty"` // breaches near a time at which the lab itself ran late
	Played      []string        `json:"played,omitempty"`
	Processes   []RouterProcess `json:"processes"`
	Figures     Figures         `json:"figures"`
}

// The verdicts.
const (
	RulesKept   = "rules kept"
	RulesBroken = "rules broken"
	RunVoid     = "void"
	Interrupted = "interrupted"
)

// NewResult judges a run and computes its figures.
func NewResult(s *Scenario, o Options, rec *Records) Result {
	v := CheckRules(s, rec)
	r := Result{Scenario: s.Name, Seed: o.Seed, Router: o.Router.Name, At: time.Now().UTC().Format(time.RFC3339), Void: v.Void,
		Interrupted: rec.Interrupted, Breaches: v.Breaches, Doubtful: v.Doubtful, Played: rec.Played, Processes: rec.Processes, Figures: ComputeFigures(s, rec)}
	switch {
	case len(v.Breaches) > 0 && v.Void == "":
		r.Verdict = RulesBroken
	case rec.Interrupted:
		r.Verdict = Interrupted
	case v.Void != "":
		r.Verdict = RunVoid
	default:
		r.Verdict = RulesKept
	}
	return r
}

// WriteJSON writes v to a file as indented JSON.
func WriteJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

const (
	maxPrintedBreaches = 3  // the first breaches usually show the cause
	maxCourseLines     = 40 // one screen
)

// PrintResults writes one table for all runs, their breaches, the details of a single run, and the folder of the
// routers' logs.
func PrintResults(out io.Writer, s *Scenario, results []Result, logs string) {
	for _, r := range results {
		for _, line := range r.Played {
			if len(results) == 1 {
				fmt.Fprintln(out, line)
			}
		}
		printBreaches(out, r, logs)
	}
	if len(results) == 1 {
		printPerSecond(out, results[0].Figures)
		printTypes(out, results[0].Figures)
		printZoneLosses(out, results[0].Figures.ZoneLosses)
		printRecoveries(out, results[0].Figures.Recoveries)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\toperations\tin time\tworst spell\tworst type\tlate\tdeclined\tterminated\tunserved\texec/op\tfetch/op\tp50 ms\tp99 ms\tverdict\t")
	for _, r := range results {
		f := r.Figures
		fmt.Fprintf(w, "%d\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.3f\t%.3f\t%.1f\t%.1f\t%s\t\n", r.Seed, f.Requests, f.BenefitInTime,
			f.WorstIntervalBenefit, f.WorstTypeBenefit, f.Late, f.Declined, f.Terminated, f.Unserved, f.ExecutionsPerRequest, f.FetchesPerRequest, f.P50, f.P99, r.Verdict)
	}
	w.Flush()
	for _, r := range results {
		if r.Void != "" {
			fmt.Fprintf(out, "seed %d is void: %s\n", r.Seed, r.Void)
		}
	}
	f := results[len(results)-1].Figures
	fmt.Fprintf(out, "the lab: %.1f ms late at the 99th percentile, %.0f ms at most; operations began %.2f ms after they were due (99th)\n",
		f.LabLate, f.LabLateMax, f.SendLate)
	fmt.Fprintf(out, "%s, %s: %s; benefit in time %.4f, worst %.1f s %.4f, worst type %.4f (%s), p99 %.1f ms\n", s.Name, results[0].Router,
		Overall(results), mean(results, func(f Figures) float64 { return f.BenefitInTime }), f.IntervalSeconds,
		mean(results, func(f Figures) float64 { return f.WorstIntervalBenefit }), mean(results, func(f Figures) float64 { return f.WorstTypeBenefit }),
		f.WorstTypeName, mean(results, func(f Figures) float64 { return f.P99 }))
}

func mean(results []Result, of func(Figures) float64) (x float64) {
	for _, r := range results {
		x += of(r.Figures) / float64(len(results))
	}
	return x
}

// Overall returns the worst verdict of several runs.
func Overall(results []Result) string {
	for _, v := range []string{RulesBroken, Interrupted, RunVoid} {
		if slices.ContainsFunc(results, func(r Result) bool { return r.Verdict == v }) {
			return v
		}
	}
	return RulesKept
}

func printBreaches(out io.Writer, r Result, logs string) {
	for i, b := range r.Breaches {
		if i >= maxPrintedBreaches {
			fmt.Fprintf(out, "and %d more; the JSON file has them all\n", len(r.Breaches)-maxPrintedBreaches)
			break
		}
		fmt.Fprintf(out, "BROKEN at %.3f s, seed %d, %v\n", b.At, r.Seed, b)
		for n, line := range b.Course {
			if n >= maxCourseLines {
				fmt.Fprintf(out, "    and %d more lines\n", len(b.Course)-maxCourseLines)
				break
			}
			fmt.Fprintln(out, "    "+line)
		}
	}
	if len(r.Breaches) > 0 && logs != "" {
		fmt.Fprintf(out, "the routers' logs are in %s\n", logs)
	}
}

// printPerSecond writes the outcomes of the requests by second; long runs are shown in equal steps.
func printPerSecond(out io.Writer, f Figures) {
	step := max(1, len(f.PerSecond)/20)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "second\tdue\tin time\tlate\tdeclined\tterminated\tunserved\texecutions\tfetches\t\t")
	for at := 0; at < len(f.PerSecond); at += step {
		var s Second
		for _, x := range f.PerSecond[at:min(at+step, len(f.PerSecond))] {
			s.Due, s.InTime, s.Late, s.Declined = s.Due+x.Due, s.InTime+x.InTime, s.Late+x.Late, s.Declined+x.Declined
			s.Terminated, s.Unserved = s.Terminated+x.Terminated, s.Unserved+x.Unserved
			s.Executions, s.Fetches = s.Executions+x.Executions, s.Fetches+x.Fetches
		}
		bar := ""
		if s.Due > 0 {
			bar = strings.Repeat("#", s.InTime*20/s.Due)
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%-20s\t\n", at, s.Due, s.InTime, s.Late, s.Declined, s.Terminated, s.Unserved,
			s.Executions, s.Fetches, bar)
	}
	w.Flush()
}

func printTypes(out io.Writer, f Figures) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "traffic type\toperations\tin time\tp50 ms\tp99 ms\t")
	var names []string
	for name := range f.Types {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := f.Types[name]
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%.1f\t%.1f\t\n", name, t.Requests, t.InTime, t.P50, t.P99)
	}
	w.Flush()
}
