// Package scale measures what one router costs as its fleet grows: CPU time, memory, messages and bytes, each per
// additional server, peer, gossip message, request or change. It measures real router processes on loopback. Simulated
// routers stand in for hundreds of others: they have a real router's gossip transport, endpoint list and balancer, but
// no clients.
//
// CPU time is user and system time together, as the kernel counts it for the process, never wall-clock time. It is
// compared with the time of a plain loop (crc32 of a megabyte) that runs next to it, because other work on the machine
// slows down both.
package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Plan is the sizes at which the quantities are measured.
type Plan struct {
	Routers []int     // numbers of other routers, without the measured one
	Servers []int     // numbers of cache servers in the list
	Rates   []float64 // requests per second
	Runs    int       // repetitions of all measurements
	Only    []string  // parts or prefixes of names to measure; empty: all
	Window  time.Duration
	Settle  time.Duration // wait before each window, so that work left over from the start is done
	Hollow  int           // the most simulated routers in one process
	Small   bool          // the sizes are those of a test
}

// Full returns the plan with the sizes that operators expect in production.
func Full() Plan {
	return Plan{Routers: []int{100, 300, 1000, 3700}, Servers: []int{38, 100, 380}, Rates: []float64{200, 400, 800}, Runs: 3,
		Window: 5 * time.Second, Settle: 1500 * time.Millisecond, Hollow: 300}
}

// Small returns a plan for tests. It shows that every quantity is measured; its values must not be quoted.
func Small() Plan {
	return Plan{Routers: []int{4, 8, 16}, Servers: []int{4, 8, 16}, Rates: []float64{20, 40, 80}, Runs: 1, Window: 250 * time.Millisecond,
		Settle: 50 * time.Millisecond, Hollow: 6, Small: true}
}

const (
	maxRouters = 4000 // loopback addresses reserved for routers
	maxServers = 2000 // loopback addresses reserved for servers
	maxRate    = 5000 // requests per second, far below what the emulated servers and clients can do
	maxRuns    = 20
	minPoints  = 3 // points of a line: any two points lie on a line
)

// Check returns every fault of the plan, each with its flag, its value and the accepted values.
func (p Plan) Check() (faults []error) {
	fault := func(flag string, value any, want string) {
		faults = append(faults, fmt.Errorf("--%s %v: %s", flag, value, want))
	}
	checkSizes := func(flag string, values []int, most int) {
		text := strings.Trim(strings.ReplaceAll(fmt.Sprint(values), " ", ","), "[]")
		rising := slices.IsSorted(values) && len(slices.Compact(slices.Clone(values))) == len(values)
		if len(values) < minPoints || !rising || values[0] < 1 || values[len(values)-1] > most {
			fault(flag, text, fmt.Sprintf("want three or more rising sizes from 1 to %d, such as 38,100,380", most))
		}
	}
	checkSizes("routers", p.Routers, maxRouters)
	checkSizes("servers", p.Servers, maxServers)
	if rates := p.Rates; len(rates) < minPoints || !slices.IsSorted(rates) ||
		len(slices.Compact(slices.Clone(rates))) < len(rates) ||
		rates[0] < 1 || rates[len(rates)-1] > maxRate {
		fault("rates", strings.Trim(strings.ReplaceAll(fmt.Sprint(rates), " ", ","), "[]"),
			fmt.Sprintf("want three or more rising rates from 1 to %d requests per second, such as 200,400,800",
				maxRate))
	}
	if p.Runs < 1 || p.Runs > maxRuns {
		fault("runs", p.Runs, fmt.Sprintf("want a number from 1 to %d; at least 3 show the spread", maxRuns))
	}
	if p.Window < 100*time.Millisecond || p.Window > 10*time.Minute {
		fault("seconds", p.Window.Seconds(), "want a number from 0.1 to 600")
	}
	for _, only := range p.Only {
		if !slices.ContainsFunc(quantities, func(q Quantity) bool { return q.hasPrefix(only) }) {
			fault("only", only, "want a prefix of a name, one of "+
				strings.Join(Parts(), ", ")+", or a full name such as "+quantities[0].Name)
		}
	}
	return faults
}

// selects reports whether the plan includes the quantity.
func (p Plan) selects(q Quantity) bool {
	return len(p.Only) == 0 || slices.ContainsFunc(p.Only, q.hasPrefix)
}

// hasPrefix reports whether the quantity's name starts with prefix, compared in whole parts between dots.
func (q Quantity) hasPrefix(prefix string) bool {
	return q.Name == prefix || strings.HasPrefix(q.Name, strings.TrimSuffix(prefix, ".")+".")
}
