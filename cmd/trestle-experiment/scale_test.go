package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Flags replace the sizes of the full plan or of the small one.
func TestScaleFlagsOverridePlan(t *testing.T) {
	c := scaleCommand{Small: true, Servers: []int{1, 2, 3}, Runs: 2, Seconds: 0.5, Only: []string{"idle"}}
	p := c.plan()
	if !p.Small || p.Runs != 2 || p.Window != 500*time.Millisecond || len(p.Only) != 1 || p.Servers[2] != 3 || p.Routers[0] > 10 {
		t.Errorf("got plan %+v, want the small plan with the sizes of the flags", p)
	}
	if p = (&scaleCommand{}).plan(); p.Small || p.Runs != 3 || p.Routers[3] != 3700 || p.Servers[2] != 380 {
		t.Errorf("without flags: got plan %+v, want the full plan", p)
	}
}

// Sizes, names and reports that cannot be used end the command with exit status 2 before any process starts.
func TestScaleRejectsUnusableArguments(t *testing.T) {
	invalidReport := filepath.Join(t.TempDir(), "odd.json")
	if err := os.WriteFile(invalidReport, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]scaleCommand{
		"too few sizes": {Routers: []int{3}}, "unknown name": {Only: []string{"ideal"}},
		"report for --against": {Against: invalidReport}, "report for --join": {Join: []string{invalidReport}}} {
		var status exitStatus
		if err := c.Run(t.Context()); !errors.As(err, &status) || status != exitUsage {
			t.Errorf("%s: got error %v, want exit status %d", name, err, exitUsage)
		}
	}
}

// The command line in a report names files without the machine's folders.
func TestReportCommandOmitsFolders(t *testing.T) {
	got := reportCommand([]string{"scale", "--only", "idle,hear", "--json=/some/where/a.json",
		"--router", "/else/where/bendtrestle", "--against", "docs/a.json"})
	if want := "trestle-experiment scale --only idle,hear --json=a.json --router bendtrestle --against docs/a.json"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
