package scale

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"bendtrestle/internal/experiment"
)

// All quantities of long values are measured through a real router process. The sizes are small; their values must not
// be quoted.
func TestValuesAreMeasured(t *testing.T) {
	program, dir, err := experiment.Build(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	n, release, err := experiment.ReserveNet(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	o := ValueOptions{Router: program, LoopbackNet: n, Dir: t.TempDir(), Sizes: []int{2000, 100_000, 300_000}, Transfers: []int{1, 2, 4}, Bytes: 600_000, Clients: 2, Runs: 1}
	lines, err := MeasureValues(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"value.core.byte", "value.core.byte.alone", "value.wakeups.byte", "value.memory.transfer.2000", "value.memory.transfer.100000",
		"value.memory.transfer.300000"}
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d", len(lines), len(want))
	}
	for i, l := range lines {
		if l.Name != want[i] || len(l.Points) != 3 || len(l.Points[0].Runs) != 1 || l.Points[0].X >= l.Points[2].X || l.Points[2].Runs[0] < 0 {
			t.Errorf("%s: line %+v, want three rising points with one run each", want[i], l)
		}
	}
	if text, err := json.Marshal(lines); err != nil || !strings.Contains(string(text), `"residual"`) {
		t.Errorf("JSON of the lines: %.100s (error %v), want a key residual", text, err)
	}
	var table strings.Builder
	PrintLines(&table, lines)
	for _, name := range append(want, "value.copies.passed  1.0", "value.copies.held") {
		if !strings.Contains(table.String(), name) {
			t.Errorf("the table has no %s", name)
		}
	}
}

// A line is fitted through the means of the runs, as calculated by hand. Its spread is that of the runs' slopes.
func TestLineSpreadIsOfRunSlopes(t *testing.T) {
	l := newLine(Quantity{Name: "n"}, []Point{{X: 1, Runs: []float64{3, 5}}, {X: 2, Runs: []float64{5, 9}}, {X: 3, Runs: []float64{7, 13}}})
	if l.Slope != 3 || l.Base != 1 || l.Least != 2 || l.Most != 4 || l.Residual > 1e-9 {
		t.Errorf("line %+v, want slope 3, base 1 and run slopes from 2 to 4", l)
	}
}

// Invalid options are reported with flag, value and the accepted values, before anything is started.
func TestInvalidValueOptionsAreRejected(t *testing.T) {
	o := DefaultValueOptions()
	if err := o.Check(); err != nil {
		t.Errorf("the usual options have faults: %v", err)
	}
	o.Sizes, o.Transfers, o.Bytes, o.Clients, o.Runs = []int{60_000, 5_000_000}, []int{4, 2, 1}, 7, 0, 21
	_, err := MeasureValues(context.Background(), o)
	if err == nil {
		t.Fatal("invalid options give no error")
	}
	for _, want := range []string{
		"--sizes 60000,5000000: want three or more rising numbers from 1000 to 4194304, such as 60000,200000,1000000,4000000",
		"--transfers 4,2,1: want three or more rising numbers from 1 to 256", "--bytes 7: want a number from 1000",
		"--at-once 0: want a number from 1 to 256", "--runs 21: want a number from 1 to 20"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %v\nwant in it: %s", err, want)
		}
	}
}
