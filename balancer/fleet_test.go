package balancer

import (
	"flag"
	"testing"
)

var searchSeeds = flag.Int("search", 0, "seeds that each test of many routers draws, and tells what it found in place of a verdict")

// seeds is how many a test draws.
func seedCount(few int) uint32 { return uint32(max(few, *searchSeeds)) }

// Whatever all routers are asked for at once, a cold server gets no more from them together than rule 4 puts down to chance: each kept
// one execution for later, however many they are, and thirty sent thirty at once beside what they were allowed. Servers that do less than
// five a second are not held: all together may send four in the rule's time to one of which nothing is known.
func TestAllRoutersTogetherSpareAColdServer(t *testing.T) {
	for _, routers := range []int{1, 3, 8, 20, 30, 100, 300} {
		for _, each := range []float64{5, 10, 30} {
			above, trials, most := 0, 0, 0.0
			for seed := range seedCount(2) {
				for _, load := range []float64{0.5, 0.8} {
					for _, skew := range []float64{1, 8} {
						for _, late := range []float64{0, 3, 6} {
							x := fleetBurst{routers: routers, statedRouters: routers, warmRate: each, load: load, skew: skew, delay: late, slowWarmup: seed%2 == 1, seed: seed}.worstOverBound()
							if most, trials = max(most, x), trials+1; x > 1 {
								above++
							}
						}
					}
				}
			}
			t.Logf("%3d routers, a server that does %2.0f a second: %d of %d trials above, the most %.2f of the bound", routers, each, above, trials, most)
			if above > 0 && *searchSeeds == 0 {
				t.Errorf("%d routers sent a server that does %v a second %.2f times what is put down to chance", routers, each, most)
			}
		}
	}
}

// Twice as many processes as the settings say, as in an upgrade of all routers at once, and half as many; ten times as many, which hear
// one another; and as many as stated, of which most are not heard.
func TestMoreOrFewerRoutersThanStatedSpareAColdServer(t *testing.T) {
	for _, x := range []struct{ routers, stated, heard int }{{30, 15, 0}, {30, 60, 0}, {30, 3, 30}, {300, 30, 300}, {300, 300, 10}} {
		most := 0.0
		for seed := range seedCount(4) {
			for _, late := range []float64{0, 3, 6} {
				most = max(most, fleetBurst{routers: x.routers, statedRouters: x.stated, heardRouters: x.heard, warmRate: 10, load: 0.7, skew: 4, delay: late, slowWarmup: seed%2 == 1, seed: seed}.worstOverBound())
			}
		}
		t.Logf("%d routers, %d stated, %d heard: the most %.2f of the bound", x.routers, x.stated, x.heard, most)
		if most > 1 && *searchSeeds == 0 {
			t.Errorf("%+v sent %.2f times what is put down to chance", x, most)
		}
	}
}

// Beyond a crowd each keeps a request, for of so many a part alone would leave a cold server unused; up to it each keeps one for a moment.
func TestBeyondACrowdEachKeepsARequest(t *testing.T) {
	for _, c := range []struct {
		routers int
		crowd   float64
		part    bool
	}{{300, 0, false}, {300, 1000, true}, {64, 0, true}, {65, 0, false}, {30, 0, true}, {30, 20, false}} {
		b, _ := newTestBalancer(6, func(set *Settings) { set.RouterCount, set.SlowStartSharedUpTo = c.routers, c.crowd })
		server, kept := b.servers.ready[0], 0
		for i := range 1000 { // asked after a long pause, each time from another budget
			b.now, server.slowStart.startedAt, server.slowStart.refilledAt, server.slowStart.budget = 100, 100, -1e4, float64(i)/1000
			if b.hasSlowStartBudget(server) {
				kept++
			}
		}
		if c.part != (kept < 500) {
			t.Errorf("of %d routers, with a crowd of %v, one has a request left %d times of 1000", c.routers, c.crowd, kept)
		}
	}
}

// What finished while there were more caches was taken to have finished at those that are left.
func TestCachesThatWentLeaveTheBudgetAsItWas(t *testing.T) {
	for _, routers := range []int{1, 3, 30} {
		most := 0.0
		for seed := range seedCount(4) {
			most = max(most, fleetBurst{routers: routers, statedRouters: routers, warmRate: 30, load: 0.8, skew: 1, delay: 3, lostServers: 8, slowWarmup: seed%2 == 1, seed: seed}.worstOverBound())
		}
		t.Logf("%d routers, eight of a dozen went: the most %.2f of the bound", routers, most)
		if most > 1 {
			t.Errorf("%d routers sent %.2f times what is put down to chance after eight of a dozen caches went", routers, most)
		}
	}
}

// Whole modules over half a minute: a burst for keys of the cold server, some routers with far more than others, told of the start within
// six seconds, some of them new processes, caches that go, and the server cold a second time.
func TestAColdServerInABurst(t *testing.T) {
	drawn := []uint32{10, 22} // above the bound before: with 1 to 30 routers, and with 1 to 8
	for seed := range uint32(*searchSeeds) {
		drawn = append(drawn, seed)
	}
	for _, routers := range []int{1, 3, 8, 20, 30, 300} {
		breaks, starts, used, worst, most := 0, 0, 0, 0.0, 0.0
		for _, seed := range drawn {
			d := slowStartScenario{routers: routers, statedRouters: routers, servers: 8, warmRate: []float64{10, 3, 30, 5}[seed%4], load: []float64{0.7, 0.95, 0.5}[seed%3],
				burst: []float64{1.3, 3}[seed%2], pulledPart: []float64{1, 0.5}[seed/2%2], burstDelay: []float64{0, 3, 5}[seed%3], skew: 4,
				noticeSpread: []float64{6, 0, 2}[seed%3], restartedPart: 0.2, secondStartAfter: []float64{5, 0}[seed/2%2], servedBefore: seed%2 == 0, answersAtOnce: seed%3 < 2,
				lostServers: []int{0, 0, 2, 4}[seed/3%4], coldServers: []int{1, 1, 4}[seed/4%3], gossip: seed/2%2 == 0, weightMode: WeightMode(seed / 3 % 2), seed: seed,
				overloadWindow: 3, overloadFactor: 4, startCapacity: 0.3, warmupDuration: 9}.run()
			breaks, starts, used, worst, most = breaks+d.startsAboveBound, starts+d.starts, used+d.coldSendCount, max(worst, d.worstOverBound), max(most, d.worstOverAllowance)
		}
		t.Logf("%3d routers: %d of %d starts above, the most %.2f of the bound, %.2f of what is allowed; %d sent", routers, breaks, starts, worst, most, used)
		if breaks > 0 && *searchSeeds == 0 {
			t.Errorf("%d routers sent %.2f times what is put down to chance", routers, worst)
		}
		if used < 50*len(drawn) {
			t.Errorf("%d routers sent the cold servers %d requests in %d plays", routers, used, len(drawn))
		}
	}
}
