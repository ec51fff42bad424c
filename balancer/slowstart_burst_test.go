package balancer

import (
	"flag"
	"math"
	"slices"
	"testing"

	"bendtrestle/internal/seedhash"
)

var searchSeeds = flag.Int("search", 0,
	"seeds that each test of many routers draws, and tells what it found in place of a verdict")

// seedCount is how many seeds a test draws.
func seedCount(few int) uint32 { return uint32(max(few, *searchSeeds)) }

// randomnessBound is what is put down to chance where so many requests are allowed.
func randomnessBound(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 }

// fleetBurst is a time in which every router is asked for more than it may send to one cold server among a dozen.
type fleetBurst struct {
	routers           int     // how many there are
	configuredRouters int     // and how many the settings say
	reachableRouters  int     // how many each router hears; 0: it hears none
	warmRate          float64 // requests of mean work that a warm server does a second
	load              float64 // the part of that which was completed of late
	skew              float64 // how many times as much as the others a tenth of the routers completed
	delay             float64 // seconds from the start until the burst comes
	lostServers       int     // of the dozen, those that went with the start
	slowWarmup        bool    // other settings: a server that warms slowly, and is overloaded sooner
	seed              uint32
}

const (
	burstServers = 12
	burstStart   = 100.0 // seconds
	burstStep    = 0.02  // seconds
)

func (f fleetBurst) settings() Settings {
	settings := Settings{
		RouterCount:         f.configuredRouters,
		WeightMode:          WeightsStatic,
		OverloadWindow:      3,
		OverloadFactor:      4,
		WarmupStartCapacity: 0.3,
		WarmupDuration:      9,
		SlowStartSharedUpTo: 1000,
	}
	if f.slowWarmup {
		settings.OverloadWindow = 1.5
		settings.OverloadFactor = 3
		settings.WarmupStartCapacity = 0.14
		settings.WarmupDuration = 21
	}
	return settings
}

// relativeCompletions is what a router completed, in proportion to others.
func (f fleetBurst) relativeCompletions(router int) float64 {
	if router%10 == 3 {
		return f.skew
	}
	return 1
}

// fleet starts all routers, as the cold server starts.
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

// worstBoundRatio is the most that an overload window brought, over what is put down to chance.
func (f fleetBurst) worstBoundRatio() (worst float64) {
	settings := f.settings()
	fleet := f.fleet()
	var sent []float64 // when, since the start, in seconds
	end := min(settings.WarmupDuration, f.delay+2*settings.OverloadWindow)
	for age := f.delay; age < end; age += burstStep {
		for _, b := range fleet {
			b.now = burstStart + age
			b.completions.rateAt = burstStart + age // as much is completed as before
			server := b.servers.byID[1]
			for ; b.hasSlowStartBudget(server); server.slowStart.budget-- {
				sent = append(sent, age)
			}
		}
		sent = slices.DeleteFunc(sent, func(then float64) bool { return then <= age-settings.OverloadWindow })
		// What it can do in the middle of the window: it warms evenly.
		warmedUp := (1 - settings.WarmupStartCapacity) * max(0, age-settings.OverloadWindow/2) / settings.WarmupDuration
		warm := settings.WarmupStartCapacity + warmedUp
		allowed := settings.OverloadFactor * warm * f.warmRate * settings.OverloadWindow
		worst = max(worst, float64(len(sent))/randomnessBound(allowed))
	}
	return worst
}

// Whatever all routers are asked for at once, a cold server gets no more from them together than the rule on
// servers that are warming up puts down to chance: each kept one attempt for later, however many routers there
// are, and thirty sent thirty at once beside what they were allowed. Servers that do less than five a second
// are not held: all together may send four in the overload window to one of which nothing is known.
func TestAllRoutersTogetherSpareAColdServer(t *testing.T) {
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
			t.Logf("%3d routers, a server that does %2.0f a second: %d of %d trials above, the most %.2f of the bound",
				routers, warmRate, exceeded, trials, most)
			if exceeded > 0 && *searchSeeds == 0 {
				t.Errorf("%d routers sent a server that does %v a second %.2f times what is put down to chance",
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

func TestMoreOrFewerRoutersThanStatedSpareAColdServer(t *testing.T) {
	for _, c := range []struct {
		name                           string
		routers, configured, reachable int
	}{
		{"twice as many as stated, as in an upgrade of all", 30, 15, 0},
		{"half as many as stated", 30, 60, 0},
		{"ten times as many as stated, which hear one another", 30, 3, 30},
		{"ten times as many, of a large fleet", 300, 30, 300},
		{"as many as stated, of which most are not heard", 300, 300, 10},
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
		t.Logf("%d routers, %d stated, %d heard: the most %.2f of the bound", c.routers, c.configured, c.reachable, most)
		if most > 1 && *searchSeeds == 0 {
			t.Errorf("%s: they sent %.2f times what is put down to chance", c.name, most)
		}
	}
}

// Of many routers a part alone keeps an attempt, which would leave a cold server unused: beyond the setting
// each keeps one.
func TestBeyondSharedUpToEachKeepsAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name       string
		routers    int
		sharedUpTo float64
		shared     bool
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
			s.SlowStartSharedUpTo = c.sharedUpTo
		})
		server := b.servers.ready[0]
		kept := 0
		for i := range 1000 { // asked after a long pause, each time from another budget
			b.now = 100
			server.slowStart = slowStart{startedAt: 100, refilledAt: -1e4, budget: float64(i) / 1000}
			if b.hasSlowStartBudget(server) {
				kept++
			}
		}
		if c.shared != (kept < 500) {
			t.Errorf("%s: one of %d routers has an attempt left %d times of 1000", c.name, c.routers, kept)
		}
	}
}

// What was completed while there were more servers was taken to have been completed by those that are left.
func TestServersThatWentLeaveTheBudgetAsItWas(t *testing.T) {
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
		t.Logf("%d routers, eight of a dozen went: the most %.2f of the bound", routers, most)
		if most > 1 {
			t.Errorf("%d routers sent %.2f times what is put down to chance after eight of a dozen servers went",
				routers, most)
		}
	}
}
