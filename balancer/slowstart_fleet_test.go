package balancer

import "testing"

// scenarioOfSeed returns a scenario whose parameters vary with the seed.
func scenarioOfSeed(routers int, seed uint32) slowStartScenario {
	return slowStartScenario{
		routers:            routers,
		configuredRouters:  routers,
		servers:            8,
		warmingServers:     []int{1, 1, 4}[seed/4%3],
		lostServers:        []int{0, 0, 2, 4}[seed/3%4],
		servedBefore:       seed%2 == 0,
		immediateAnswers:   seed%3 < 2,
		warmRate:           []float64{10, 3, 30, 5}[seed%4],
		load:               []float64{0.7, 0.95, 0.5}[seed%3],
		burst:              []float64{1.3, 3}[seed%2],
		burstDelay:         []float64{0, 3, 5}[seed%3],
		warmingKeyFraction: []float64{1, 0.5}[seed/2%2],
		skew:               4,
		listDelaySpread:    []float64{6, 0, 2}[seed%3],
		restartedFraction:  0.2,
		secondStartAfter:   []float64{5, 0}[seed/2%2],
		gossip:             seed/2%2 == 0,
		weightMode:         WeightMode(seed / 3 % 2),
		seed:               seed,
		overloadWindow:     3,
		overloadFactor:     4,
		startCapacity:      0.3,
		warmupDuration:     9,
	}
}

// The test simulates whole balancers for half a minute: a burst for keys of the server that is warming up, some
// routers with far more traffic than others, endpoint lists that arrive within six seconds of the start, router
// restarts, lost servers, and a second start.
func TestSlowStartOfFleetInBurst(t *testing.T) {
	seeds := []uint32{10, 22} // exceeded the bound once: with 1 to 30 routers, and with 1 to 8
	for seed := range uint32(*searchSeeds) {
		seeds = append(seeds, seed)
	}
	for _, routers := range []int{1, 3, 8, 20, 30, 300} {
		exceeded, starts, attempts := 0, 0, 0
		worst, most := 0.0, 0.0
		for _, seed := range seeds {
			result := scenarioOfSeed(routers, seed).run()
			exceeded += result.startsAboveBound
			starts += result.starts
			attempts += result.warmingSendCount
			worst = max(worst, result.worstBoundRatio)
			most = max(most, result.worstAllowanceRatio)
		}
		t.Logf("%3d routers: %d of %d starts above; largest window %.2f of the bound, %.2f of the allowance; %d sent",
			routers, exceeded, starts, worst, most, attempts)
		if exceeded > 0 && *searchSeeds == 0 {
			t.Errorf("%d routers: largest window %.2f times the bound, want at most 1", routers, worst)
		}
		if attempts < 50*len(seeds) {
			t.Errorf("%d routers sent the warming servers %d attempts in %d scenarios, want at least 50 each",
				routers, attempts, len(seeds))
		}
	}
}
