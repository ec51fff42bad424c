package scale

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"bendtrestle/internal/experiment"
)

// Sizes of a test: all names are measured through a real router's process, and nothing here may be quoted.
func TestValuesAreMeasured(t *testing.T) {
	program, dir, err := experiment.Build(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	n, release, err := experiment.Reserve(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	o := ValueOptions{Router: program, Net: n, Dir: t.TempDir(), Sizes: []int{2000, 100_000, 300_000}, Transfers: []int{1, 2, 4}, Bytes: 600_000, AtOnce: 2, Runs: 1}
	lines, err := Values(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"value.core.byte", "value.core.byte.alone", "value.wakeups.byte", "value.memory.transfer.2000", "value.memory.transfer.100000",
		"value.memory.transfer.300000"}
	if len(lines) != len(want) {
		t.Fatalf("%d lines", len(lines))
	}
	for i, l := range lines {
		if l.Name != want[i] || len(l.Points) != 3 || len(l.Points[0].Runs) != 1 || l.Points[0].X >= l.Points[2].X || l.Points[2].Runs[0] < 0 {
			t.Errorf("%s is %+v", want[i], l)
		}
	}
	if text, err := json.Marshal(lines); err != nil || !strings.Contains(string(text), `"residual"`) {
		t.Errorf("as JSON: %.100s, %v", text, err)
	}
	var table strings.Builder
	PrintLines(&table, lines)
	for _, name := range append(want, "value.copies.passed  1.0", "value.copies.held") {
		if !strings.Contains(table.String(), name) {
			t.Errorf("%s is not in the table", name)
		}
	}
}

// A line is fitted as a sheet of paper has it; the runs' slopes are its spread.
func TestLineOfValues(t *testing.T) {
	l := newLine(Quantity{Name: "n"}, []Point{{X: 1, Runs: []float64{3, 5}}, {X: 2, Runs: []float64{5, 9}}, {X: 3, Runs: []float64{7, 13}}})
	if l.Slope != 3 || l.Base != 1 || l.Least != 2 || l.Most != 4 || l.Residual > 1e-9 {
		t.Errorf("the line is %+v", l)
	}
}

// What cannot be measured is told by flag, value and what would be right, before anything starts.
func TestValueOptions(t *testing.T) {
	o := UsualValues()
	if err := o.Check(); err != nil {
		t.Errorf("the usual: %v", err)
	}
	o.Sizes, o.Transfers, o.Bytes, o.AtOnce, o.Runs = []int{60_000, 5_000_000}, []int{4, 2, 1}, 7, 0, 21
	_, err := Values(context.Background(), o)
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{"--sizes 60000,5000000: three or more, rising, from 1000 to 4194304, as in 60000,200000,1000000,4000000",
		"--transfers 4,2,1: three or more, rising, from 1 to 256", "--bytes 7: from 1000", "--at-once 0: from 1 to 256", "--runs 21: from 1 to 20"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%v\nwithout %s", err, want)
		}
	}
}
