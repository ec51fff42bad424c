package scale

import (
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var someQuantity = Quantity{Name: "some.core.thing", Unit: coreTime, Per: "thing"}

func points(values map[float64][]float64, order ...float64) (all []Point) {
	for _, x := range order {
		all = append(all, Point{X: x, Runs: values[x]})
	}
	return all
}

// A line is fitted through the means of the points. Its spread is that of the single runs' slopes, and points off the
// line are listed.
func TestLineFitSpreadAndOutliers(t *testing.T) {
	l := newLine(someQuantity, points(map[float64][]float64{1: {4, 6}, 2: {6, 8}, 4: {10, 12}}, 1, 2, 4))
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	if !near(l.Slope, 2) || !near(l.Base, 3) || !near(l.R2, 1) || l.Residual > 1e-9 || len(l.Off) > 0 ||
		!near(l.Least, 2) || !near(l.Most, 2) {
		t.Errorf("exact points: %+v, want slope 2, base 3 and no deviation", l)
	}
	if at, beyond := l.At(8); !near(at, 19) || !near(beyond, 2) {
		t.Errorf("at 8: value %v, %v times the largest size; want 19 and 2", at, beyond)
	}
	// squares do not lie on a line
	l = newLine(someQuantity, points(map[float64][]float64{1: {1}, 2: {4}, 3: {9}, 10: {100}}, 1, 2, 3, 10))
	// 9 is 7.9 off the line, and the largest value is 100
	if want := []float64{1, 2, 3}; !slices.Equal(l.Off, want) || !near(l.Residual, 0.079) {
		t.Errorf("squares: off at %v, want %v; residual %v", l.Off, want, l.Residual)
	}
	l = newLine(someQuantity, points(map[float64][]float64{1: {1, 3}, 2: {1, 3}, 3: {5, 9}}, 1, 2, 3))
	if !near(l.Least, 2) || !near(l.Most, 3) {
		t.Errorf("the runs' slopes are %v to %v, want 2 to 3", l.Least, l.Most)
	}
}

// CPU times are divided by the plain loop's time of the same run; other values are not.
func TestCPUTimesAreRelativeToPlainLoop(t *testing.T) {
	b := newBench(t.Context(), Options{Plan: Small()})
	for n := range 3 {
		b.add("hear.core.word", float64(n+1), float64(100*(n+1)), 50e-6)
	}
	b.add("hear.core.zones", 0, 100, 50e-6)
	b.add("hear.lost", 0, 0, 0)
	r := b.report(Options{})
	if l := r.line(t, "hear.core.word"); math.Abs(l.Loops-2) > 1e-9 {
		t.Errorf("slope of 100 us: %v loops of 50 us, want 2", l.Loops)
	}
	if f := r.figure(t, "hear.core.zones"); f.Loops != 2 {
		t.Errorf("figure of 100 us: %v loops of 50 us, want 2", f.Loops)
	}
	if f := r.figure(t, "hear.lost"); f.Loops != 0 {
		t.Errorf("a figure without CPU time: %v loops, want 0", f.Loops)
	}
}

// A quantity that is not measured is taken from another report, or listed as missing.
func TestReportTakesMissingQuantitiesFromOthers(t *testing.T) {
	b := newBench(t.Context(), Options{Plan: Small()})
	value := Line{Name: "value.core.byte", Points: []Point{{X: 1, Runs: []float64{1}}}, Slope: 7}
	r := b.report(Options{Join: []*Report{{Lines: []Line{value}, Figures: []Figure{{Name: "hear.lost", Mean: 3}}}}})
	if r.line(t, "value.core.byte").Slope != 7 || r.figure(t, "hear.lost").Mean != 3 {
		t.Error("line and figure of the other report are not in this one")
	}
	if !strings.Contains(strings.Join(r.Missing, " "), "value.wakeups.byte") {
		t.Errorf("missing quantities are %v, want value.wakeups.byte among them", r.Missing)
	}
}

// A report can be read after it was written, and an earlier one is compared with it. A file that is not a report is an
// error with its path.
func TestReportIsReadAndCompared(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	l := newLine(someQuantity, points(map[float64][]float64{1: {1, 1.1}, 2: {2, 2.1}, 3: {3, 3.1}}, 1, 2, 3))
	earlier := &Report{Form: ReportVersion, Lines: []Line{l},
		Figures: []Figure{newFigure(Quantity{Name: "some.lost"}, []float64{2}, nil)}}
	if err := earlier.Write(path); err != nil {
		t.Fatal(err)
	}
	before, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	now := &Report{Form: ReportVersion, Lines: []Line{newLine(someQuantity, points(
		map[float64][]float64{1: {2}, 2: {4}, 3: {6}}, 1, 2, 3))},
		Figures: []Figure{newFigure(Quantity{Name: "some.lost"}, []float64{2}, nil), newFigure(Quantity{Name: "some.new"}, []float64{1}, nil)}}
	var out strings.Builder
	if err = now.PrintComparison(&out, before); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"some.core.thing  1       2    2.00", "runs do not overlap", "some.lost        2       2    1.00", "some.new         none    1"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the comparison has no %q:\n%s", want, out.String())
		}
	}
	now.Small = true
	if now.PrintComparison(&out, before) == nil {
		t.Error("a report of small sizes is compared with one of full sizes, want an error")
	}
	for text, want := range map[string]string{`{"form": 99}`: `form 99; this program reads form 1`, `[]`: "not a report"} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: error %v, want %s and the path", text, err, want)
		}
	}
}
