package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// ReportVersion is the version of the report's JSON. Reports of another version cannot be read.
const ReportVersion = 1

// maxPointDeviation is the relative distance from the line above which a point is reported: twice the difference
// between two runs on a busy machine.
const maxPointDeviation = 0.1

// Report is the result of a measurement.
type Report struct {
	Form     int        `json:"form"`
	Command  string     `json:"command"`
	Revision string     `json:"revision"` // of the router that was measured
	Machine  string     `json:"machine"`
	Load     [2]float64 `json:"load"`  // load averages at the beginning and the end, including this run's own load
	Began    string     `json:"began"` // RFC 3339
	Took     float64    `json:"took_s"`
	Runs     int        `json:"runs"`
	Small    bool       `json:"small,omitempty"` // sizes of a test: its values must not be quoted
	Loop     Figure     `json:"loop"`            // the plain loop that CPU times are compared with
	Lines    []Line     `json:"lines"`
	Figures  []Figure   `json:"figures"`
	Missing  []string   `json:"missing,omitempty"` // names of quantities that were not measured
	Notes    []string   `json:"notes,omitempty"`   // observations that are not figures
}

// Point is the values measured at one size, one per run. Loops are the same values divided by the plain loop's time in
// the same run; it is empty if the value is not a CPU time.
type Point struct {
	X     float64   `json:"x"`
	Runs  []float64 `json:"runs"`
	Loops []float64 `json:"loops,omitempty"`
}

// Line is a straight line through the means of at least three points.
type Line struct {
	Name     string    `json:"name"`
	Unit     string    `json:"unit"`
	Per      string    `json:"per"`
	About    string    `json:"about"`
	Points   []Point   `json:"points"`
	Slope    float64   `json:"slope"`     // units per additional one of Per
	Base     float64   `json:"base"`      // units at zero of Per
	Least    float64   `json:"least"`     // lowest and highest slope of the runs, each fitted separately
	Most     float64   `json:"most"`      //
	Residual float64   `json:"residual"`  // largest distance of a point from the line, relative to the largest point
	R2       float64   `json:"r_squared"` // the coefficient of determination
	Loops    float64   `json:"slope_loops,omitempty"`
	Off      []float64 `json:"off,omitempty"` // points off by more than a tenth and more than their runs differ
}

// Figure is a quantity measured at one size.
type Figure struct {
	Name  string    `json:"name"`
	Unit  string    `json:"unit"`
	About string    `json:"about"`
	Runs  []float64 `json:"runs"`
	Mean  float64   `json:"mean"`
	Least float64   `json:"least"`
	Most  float64   `json:"most"`
	Loops float64   `json:"loops,omitempty"`
}

// newLine fits a line through the means of the points.
func newLine(q Quantity, points []Point) Line {
	l := Line{Name: q.Name, Unit: q.Unit, Per: q.Per, About: q.About, Points: points}
	var x, y, loops []float64
	for _, p := range points {
		x, y = append(x, p.X), append(y, stat.Mean(p.Runs, nil))
		if len(p.Loops) > 0 {
			loops = append(loops, stat.Mean(p.Loops, nil))
		}
	}
	l.Base, l.Slope = stat.LinearRegression(x, y, nil, false)
	l.R2 = stat.RSquared(x, y, nil, l.Base, l.Slope)
	if len(loops) == len(x) {
		_, l.Loops = stat.LinearRegression(x, loops, nil, false)
	}
	largest := 0.0
	for _, value := range y {
		largest = max(largest, math.Abs(value))
	}
	for i, p := range points {
		fitted := l.Base + l.Slope*p.X
		distance := math.Abs(y[i] - fitted)
		l.Residual = max(l.Residual, distance/max(largest, 1e-12))
		if distance > maxPointDeviation*math.Abs(fitted) && distance > slices.Max(p.Runs)-slices.Min(p.Runs) {
			l.Off = append(l.Off, p.X)
		}
	}
	l.Least, l.Most = l.Slope, l.Slope
	for run := range points[0].Runs {
		var runValues []float64
		for _, p := range points {
			if run < len(p.Runs) {
				runValues = append(runValues, p.Runs[run])
			}
		}
		if len(runValues) == len(x) {
			_, slope := stat.LinearRegression(x, runValues, nil, false)
			if l.Least, l.Most = min(l.Least, slope), max(l.Most, slope); run == 0 {
				l.Least, l.Most = slope, slope
			}
		}
	}
	return l
}

func newFigure(q Quantity, runs, loops []float64) Figure {
	f := Figure{Name: q.Name, Unit: q.Unit, About: q.About, Runs: runs, Mean: stat.Mean(runs, nil), Least: slices.Min(runs), Most: slices.Max(runs)}
	if len(loops) > 0 {
		f.Loops = stat.Mean(loops, nil)
	}
	return f
}

// At returns the line's value at x, and the ratio of x to the line's largest measured point.
func (l Line) At(x float64) (value, beyond float64) {
	return l.Base + l.Slope*x, x / l.Points[len(l.Points)-1].X
}

// Read reads a report. It returns an error if the file cannot be read, is not a report, or has another version.
func Read(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Report
	if err = json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s: not a report of trestle-experiment scale: %w", path, err)
	}
	if r.Form != ReportVersion {
		return nil, fmt.Errorf("%s: form %d; this program reads form %d, as trestle-experiment scale --json writes it",
			path, r.Form, ReportVersion)
	}
	return &r, nil
}

// Write writes the report to a file atomically.
func (r *Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err = os.WriteFile(path+".new", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func formatNumber(x float64) string {
	if a := math.Abs(x); a >= 1e5 || a > 0 && a < 1e-3 {
		return fmt.Sprintf("%.3g", x)
	}
	return fmt.Sprintf("%.4g", x)
}

// Print writes the report as a table. Each row starts with the name of its quantity, so that documentation can refer to
// it.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s\n%s, load %.1f at the beginning and %.1f at the end; router %s; %d runs, %.0f s\n", r.Command, r.Machine, r.Load[0], r.Load[1],
		r.Revision, r.Runs, r.Took)
	fmt.Fprintf(out, "the plain loop, crc32 of a megabyte: %s us of processor (%s to %s)\n\n",
		formatNumber(r.Loop.Mean), formatNumber(r.Loop.Least), formatNumber(r.Loop.Most))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(r.Lines) > 0 {
		fmt.Fprintln(w, "SLOPE\tFOR ONE\tIS\tRUNS\tUNIT\tIN LOOPS\tAT NONE\tR2\tRESIDUAL\tPOINTS")
	}
	for _, l := range r.Lines {
		var points []string
		for _, p := range l.Points {
			points = append(points, formatNumber(p.X)+":"+formatNumber(stat.Mean(p.Runs, nil)))
		}
		off := ""
		if len(l.Off) > 0 {
			off = " OFF THE LINE at"
			for _, x := range l.Off {
				off += " " + formatNumber(x)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s..%s\t%s\t%s\t%s\t%.3f\t%.0f%%\t%s%s\n", l.Name, l.Per, formatNumber(l.Slope),
			formatNumber(l.Least), formatNumber(l.Most), l.Unit,
			formatLoops(l.Loops), formatNumber(l.Base), l.R2, 100*l.Residual, strings.Join(points, " "), off)
	}
	w.Flush()
	if len(r.Figures) > 0 {
		fmt.Fprintln(w, "\nFIGURE\tIS\tRUNS\tUNIT\tIN LOOPS")
	}
	for _, f := range r.Figures {
		fmt.Fprintf(w, "%s\t%s\t%s..%s\t%s\t%s\n", f.Name, formatNumber(f.Mean), formatNumber(f.Least),
			formatNumber(f.Most), f.Unit, formatLoops(f.Loops))
	}
	w.Flush()
	for _, n := range r.Notes {
		fmt.Fprintln(out, "note:", n)
	}
	if len(r.Missing) > 0 {
		fmt.Fprintln(out, "not measured:", strings.Join(r.Missing, ", "))
	}
}

func formatLoops(x float64) string {
	if x == 0 {
		return "-"
	}
	return formatNumber(x)
}

// PrintComparison prints each value next to that of an earlier report. A difference is significant if the runs of the
// two do not overlap. CPU times are also shown relative to the plain loop, because the machines or their load may
// differ.
func (r *Report) PrintComparison(out io.Writer, before *Report) error {
	if before.Small != r.Small {
		return errors.New("one of the two reports has the small sizes of a test; want two reports of the same kind")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nAGAINST\tBEFORE\tNOW\tTIMES\tIN LOOPS, TIMES\t")
	ratio := func(now, old float64) string {
		if old == 0 {
			return "-"
		}
		return fmt.Sprintf("%.2f", now/old)
	}
	row := func(name string, old, now, oldLoops, nowLoops float64, disjoint bool) {
		remark := ""
		if disjoint {
			remark = "runs do not overlap"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", name, formatNumber(old), formatNumber(now), ratio(now, old),
			ratio(nowLoops, oldLoops), remark)
	}
	for _, l := range r.Lines {
		i := slices.IndexFunc(before.Lines, func(b Line) bool { return b.Name == l.Name })
		if i < 0 {
			fmt.Fprintf(w, "%s\tnone\t%s\t-\t-\tnew\n", l.Name, formatNumber(l.Slope))
			continue
		}
		b := before.Lines[i]
		row(l.Name, b.Slope, l.Slope, b.Loops, l.Loops, l.Least > b.Most || l.Most < b.Least)
	}
	for _, f := range r.Figures {
		i := slices.IndexFunc(before.Figures, func(b Figure) bool { return b.Name == f.Name })
		if i < 0 {
			fmt.Fprintf(w, "%s\tnone\t%s\t-\t-\tnew\n", f.Name, formatNumber(f.Mean))
			continue
		}
		b := before.Figures[i]
		row(f.Name, b.Mean, f.Mean, b.Loops, f.Loops, f.Least > b.Most || f.Most < b.Least)
	}
	return w.Flush()
}
