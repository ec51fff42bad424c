// Package scale measures what one router costs as its fleet grows: processor time, memory, messages and bytes, each for one more
// server, peer, word, request or change. What it measures are real router processes on loopback; hollow routers, which are a real
// router's ways to the other routers, its list and its module without clients, stand in for hundreds of others.
//
// Processor time is user and system time together, as the kernel counts it for the process, never time by the clock. It is set beside
// a plain loop's (crc32 of a megabyte) of the same moment, since other work on the machine makes both slower.
package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Plan says at which sizes things are measured.
type Plan struct {
	Routers []int     // how many routers there are, this one included in none
	Servers []int     // cache servers that the list names
	Rates   []float64 // operations a second
	Runs    int       // of the whole
	Only    []string  // parts, or beginnings of names; none: all
	Window  time.Duration
	Settle  time.Duration // before each window, for what a start leaves behind
	Hollow  int           // hollow routers that a process holds at most
	Small   bool          // sizes of a test
}

// Full is the plan at the sizes that the operators expect.
func Full() Plan {
	return Plan{Routers: []int{100, 300, 1000, 3700}, Servers: []int{38, 100, 380}, Rates: []float64{200, 400, 800}, Runs: 3,
		Window: 5 * time.Second, Settle: 1500 * time.Millisecond, Hollow: 300}
}

// Little is a plan for a test: it shows that all is measured, and measures nothing that may be quoted.
func Little() Plan {
	return Plan{Routers: []int{4, 8, 16}, Servers: []int{4, 8, 16}, Rates: []float64{20, 40, 80}, Runs: 1, Window: 250 * time.Millisecond,
		Settle: 50 * time.Millisecond, Hollow: 6, Small: true}
}

const (
	maxRouters = 4000 // the loopback addresses that are laid out for them
	maxServers = 2000 // likewise
	maxRate    = 5000 // operations a second that the stand-ins bear by far
	maxRuns    = 20
	minPoints  = 3 // of a line: two fit any line
)

// Check tells every fault of a plan, each by its flag, its value and what would be right.
func (p Plan) Check() (faults []error) {
	fault := func(flag string, value any, right string) {
		faults = append(faults, fmt.Errorf("--%s %v: %s", flag, value, right))
	}
	sizes := func(flag string, all []int, most int) {
		text := strings.Trim(strings.ReplaceAll(fmt.Sprint(all), " ", ","), "[]")
		rising := slices.IsSorted(all) && len(slices.Compact(slices.Clone(all))) == len(all)
		if len(all) < minPoints || !rising || all[0] < 1 || all[len(all)-1] > most {
			fault(flag, text, fmt.Sprintf("three sizes or more, rising, from 1 to %d, as in 38,100,380", most))
		}
	}
	sizes("routers", p.Routers, maxRouters)
	sizes("servers", p.Servers, maxServers)
	if rates := p.Rates; len(rates) < minPoints || !slices.IsSorted(rates) || len(slices.Compact(slices.Clone(rates))) < len(rates) ||
		rates[0] < 1 || rates[len(rates)-1] > maxRate {
		fault("rates", strings.Trim(strings.ReplaceAll(fmt.Sprint(rates), " ", ","), "[]"),
			fmt.Sprintf("three rates or more, rising, from 1 to %d operations a second, as in 200,400,800", maxRate))
	}
	if p.Runs < 1 || p.Runs > maxRuns {
		fault("runs", p.Runs, fmt.Sprintf("a number from 1 to %d; 3 give the spread", maxRuns))
	}
	if p.Window < 100*time.Millisecond || p.Window > 10*time.Minute {
		fault("seconds", p.Window.Seconds(), "from 0.1 to 600")
	}
	for _, only := range p.Only {
		if !slices.ContainsFunc(quantities, func(q Quantity) bool { return q.hasPrefix(only) }) {
			fault("only", only, "the beginning of a name, as one of "+strings.Join(Parts(), ", ")+", or a whole one, as "+quantities[0].Name)
		}
	}
	return faults
}

// selects tells whether a name is asked for.
func (p Plan) selects(q Quantity) bool {
	return len(p.Only) == 0 || slices.ContainsFunc(p.Only, q.hasPrefix)
}

// hasPrefix tells whether a quantity's name begins so, by whole parts between dots.
func (q Quantity) hasPrefix(prefix string) bool {
	return q.Name == prefix || strings.HasPrefix(q.Name, strings.TrimSuffix(prefix, ".")+".")
}
