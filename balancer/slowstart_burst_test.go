package balancer

import (
	"flag"
	"math"
	"slices"
	"testing"

	"bendtrestle/internal/seedhash"
)

var searchSeeds = flag.Int("search", 0,
	"number of seeds that each test of many routers draws; above 0, most results are logged and not checked")

// seedCount returns the number of seeds that a test draws, at least few.
func seedCount(few int) uint32 { return uint32(max(few, *searchSeeds)) }

// randomnessBound returns the number of attempts in an overload window up to which an excess over the allowed
// number is attributed to random variation.
func randomnessBound(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 }

// fleetBurst is a period in which every router receives more requests than it may send to one server that is
// warming up, out of a dozen servers.
type fleetBurst struct {
	routers           int     // number of routers
	configuredRouters int     // number of routers in the settings
	reachableRouters  int     // number of routers in contact with each router; 0: not set
	warmRate          float64 // requests of mean work per second at a warm server
	load              float64 // fraction of the capacity that was completed recently
	skew              float64 // completions of one router in ten, relative to the others
	delay             float64 // seconds from the start of the server until the burst
	lostServers       int     // servers of the dozen that are removed at the start
	slowWarmup        bool    // other settings: a server that warms up slowly and is overloaded earlier
	seed              uint32
}

const (
	burstServers = 12
	burstStart   = 100.0 // seconds
	burstStep    = 0.02  // seconds
)

func (f fleetBurst) settings() Settings {
	settings := Settings{
		RouterCount:                f.configuredRouters,
		WeightMode:                 WeightsStatic,
		OverloadWindow:             3,
		OverloadFactor:             4,
		WarmupStartCapacity:        0.3,
		WarmupDuration:             9,
		SlowStartMaxSharingRouters: 1000,
	}
	if f.slowWarmup {
		settings.OverloadWindow = 1.5
		settings.OverloadFactor = 3
		settings.WarmupStartCapacity = 0.14
		settings.WarmupDuration = 21
	}
	return settings
}

// relativeCompletions returns how much a router completed, relative to the others.
func (f fleetBurst) relativeCompletions(router int) float64 {
	if router%10 == 3 {
		return f.skew
	}
	return 1
}

// fleet starts the balancers of all routers at the start of the server that is warming up.
func (f fleetBurst) fleet() (fleet []*Balancer) {
	list := []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: burstStart}}
	for id := range uint64(burstServers - 1 - f.lostServers) {
		list = append(list, Endpoint{ID: id + 2, State: Ready, Capacity: 1})
	}
	sum := 0.0
	for router := range f.routers {
		sum += f.relativeCompletions(router)
	}
	settings := f.settings()
	for router := range f.routers {
		settings.Seed = seedhash.Mix(f.seed, uint64(router))
		b := New(0, settings, &recordingHost{})
		b.OnEndpoints(burstStart, UpdateFull, list)
		if f.reachableRouters > 0 {
			b.SetFleetSize(burstStart, f.reachableRouters)
		}
		b.completions.rate = f.load * burstServers * f.warmRate * f.relativeCompletions(router) / sum
		b.completions.meanServers = burstServers
		fleet = append(fleet, b)
	}
	return fleet
}

// worstBoundRatio returns the largest number of attempts in an overload window, relative to randomnessBound.
func (f fleetBurst) worstBoundRatio() (worst float64) {
	settings := f.settings()
	fleet := f.fleet()
	var sent []float64 // seconds since the start
	end := min(settings.WarmupDuration, f.delay+2*settings.OverloadWindow)
	for age := f.delay; age < end; age += burstStep {
		for _, b := range fleet {
			b.now = burstStart + age
			b.completions.rateAt = burstStart + age // the completion rate stays constant
			server := b.servers.byID[1]
			for ; b.hasSlowStartBudget(server); server.slowStart.budget-- {
				sent = append(sent, age)
			}
		}
		sent = slices.DeleteFunc(sent, func(sentAt float64) bool { return sentAt <= age-settings.OverloadWindow })
		// The allowance is that of the capacity in the middle of the window, which grows linearly.
		warmedUp := (1 - settings.WarmupStartCapacity) * max(0, age-settings.OverloadWindow/2) / settings.WarmupDuration
		warm := settings.WarmupStartCapacity + warmedUp
		allowed := settings.OverloadFactor * warm * f.warmRate * settings.OverloadWindow
		worst = max(worst, float64(len(sent))/randomnessBound(allowed))
	}
	return worst
}

// However much load all routers receive at once, they send a server that is warming up no more together than the
// overload rule and random variation allow. When each router kept one attempt for later, however many routers there
// were, thirty routers sent thirty attempts at once in addition to what they were allowed.
//
// Servers with a capacity of less than five per second are not covered: all routers together may send four attempts
// in the overload window to a server of unknown capacity.
func TestSlowStartBudgetIsSharedByRouters(t *testing.T) {
	for _, routers := range []int{1, 3, 8, 20, 30, 100, 300} {
		for _, warmRate := range []float64{5, 10, 30} {
			exceeded, trials := 0, 0
			most := 0.0
			for _, burst := range burstsOf(routers, warmRate) {
				worst := burst.worstBoundRatio()
				most = max(most, worst)
				trials++
				if worst > 1 {
					exceeded++
				}
			}
			t.Logf("%3d routers, server with %2.0f requests/s: %d of %d trials above the bound, largest window %.2f of it",
				routers, warmRate, exceeded, trials, most)
			if exceeded > 0 && *searchSeeds == 0 {
				t.Errorf("%d routers, server with %v requests/s: largest window %.2f times the bound, want at most 1",
					routers, warmRate, most)
			}
		}
	}
}

// burstsOf returns bursts of all loads, skews and delays.
func burstsOf(routers int, warmRate float64) (bursts []fleetBurst) {
	for seed := range seedCount(2) {
		for _, load := range []float64{0.5, 0.8} {
			for _, skew := range []float64{1, 8} {
				for _, delay := range []float64{0, 3, 6} {
					bursts = append(bursts, fleetBurst{
						routers:           routers,
						configuredRouters: routers,
						warmRate:          warmRate,
						load:              load,
						skew:              skew,
						delay:             delay,
						slowWarmup:        seed%2 == 1,
						seed:              seed,
					})
				}
			}
		}
	}
	return bursts
}

func TestSlowStartBudgetWithWrongRouterCount(t *testing.T) {
	for _, c := range []struct {
		name                           string
		routers, configured, reachable int
	}{
		{"twice as many as configured, as in an upgrade of all routers", 30, 15, 0},
		{"half as many as configured", 30, 60, 0},
		{"ten times as many as configured, in contact with each other", 30, 3, 30},
		{"ten times as many as configured, in a large fleet", 300, 30, 300},
		{"as many as configured, most of them out of contact", 300, 300, 10},
	} {
		most := 0.0
		for seed := range seedCount(4) {
			for _, delay := range []float64{0, 3, 6} {
				burst := fleetBurst{
					routers:           c.routers,
					configuredRouters: c.configured,
					reachableRouters:  c.reachable,
					warmRate:          10,
					load:              0.7,
					skew:              4,
					delay:             delay,
					slowWarmup:        seed%2 == 1,
					seed:              seed,
				}
				most = max(most, burst.worstBoundRatio())
			}
		}
		t.Logf("%d routers, %d configured, %d reachable: largest window %.2f of the bound",
			c.routers, c.configured, c.reachable, most)
		if most > 1 && *searchSeeds == 0 {
			t.Errorf("%s: largest window %.2f times the bound, want at most 1", c.name, most)
		}
	}
}

// Where only a fraction of many routers holds an unused attempt, a server that is warming up stays unused. So in
// fleets larger than SlowStartMaxSharingRouters each router holds one.
func TestSlowStartMaxSharingRouters(t *testing.T) {
	for _, c := range []struct {
		name              string
		routers           int
		maxSharingRouters float64
		shared            bool
	}{
		{"beyond the default", 300, 0, false},
		{"within the setting", 300, 1000, true},
		{"as many as the default", 64, 0, true},
		{"one beyond the default", 65, 0, false},
		{"within the default", 30, 0, true},
		{"beyond the setting", 30, 20, false},
	} {
		b, _ := newTestBalancer(6, func(s *Settings) {
			s.RouterCount = c.routers
			s.SlowStartMaxSharingRouters = c.maxSharingRouters
		})
		server := b.servers.ready[0]
		kept := 0
		for i := range 1000 { // after a long pause, each time from another first budget
			b.now = 100
			server.slowStart = slowStart{startedAt: 100, refilledAt: -1e4, budget: float64(i) / 1000}
			if b.hasSlowStartBudget(server) {
				kept++
			}
		}
		if c.shared != (kept < 500) {
			t.Errorf("%s: one of %d routers holds an attempt in %d of 1000 cases, want fewer than 500 only where shared",
				c.name, c.routers, kept)
		}
	}
}

// Attempts completed while there were more servers were attributed to the remaining servers, which raised their
// estimated capacity.
func TestSlowStartBudgetAfterServerLoss(t *testing.T) {
	for _, routers := range []int{1, 3, 30} {
		most := 0.0
		for seed := range seedCount(4) {
			burst := fleetBurst{
				routers:           routers,
				configuredRouters: routers,
				warmRate:          30,
				load:              0.8,
				skew:              1,
				delay:             3,
				lostServers:       8,
				slowWarmup:        seed%2 == 1,
				seed:              seed,
			}
			most = max(most, burst.worstBoundRatio())
		}
		t.Logf("%d routers, eight of twelve servers lost: largest window %.2f of the bound", routers, most)
		if most > 1 {
			t.Errorf("%d routers, eight of twelve servers lost: largest window %.2f times the bound, want at most 1",
				routers, most)
		}
	}
}
