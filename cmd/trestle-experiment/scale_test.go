package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Flags take the places of the plan's own sizes, those of the full plan or of a test's.
func TestScalePlan(t *testing.T) {
	c := scaleCommand{Small: true, Servers: []int{1, 2, 3}, Runs: 2, Seconds: 0.5, Only: []string{"idle"}}
	p := c.plan()
	if !p.Small || p.Runs != 2 || p.Window != 500*time.Millisecond || len(p.Only) != 1 || p.Servers[2] != 3 || p.Routers[0] > 10 {
		t.Errorf("the plan is %+v", p)
	}
	if p = (&scaleCommand{}).plan(); p.Small || p.Runs != 3 || p.Routers[3] != 3700 || p.Servers[2] != 380 {
		t.Errorf("the plan without flags is %+v", p)
	}
}

// What cannot be used is told before anything starts.
func TestScaleMisused(t *testing.T) {
	odd := filepath.Join(t.TempDir(), "odd.json")
	if err := os.WriteFile(odd, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]scaleCommand{"a size": {Routers: []int{3}}, "a name": {Only: []string{"ideal"}}, "a report": {Against: odd},
		"another's report": {Join: []string{odd}}} {
		var status exit
		if err := c.Run(t.Context()); !errors.As(err, &status) || status != misused {
			t.Errorf("%s: %v, want exit status %d", name, err, misused)
		}
	}
}

// A report says its command without the machine's folders.
func TestScaleCommand(t *testing.T) {
	got := command([]string{"scale", "--only", "idle,hear", "--json=/some/where/a.json", "--router", "/else/where/bendtrestle", "--against", "docs/a.json"})
	if want := "trestle-experiment scale --only idle,hear --json=a.json --router bendtrestle --against docs/a.json"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
