package zonefailover

import "testing"

// A zone without answers is evacuated by all routers at nearly the same time, so that few requests are lost there, and
// recovers once it answers.
func TestFailedZoneIsEvacuatedAndRecovers(t *testing.T) {
	sim := newSimulation(t, 24, "a", "b", "c", "d")
	sim.run(3)
	sim.mustServe("b")
	sim.answered["b"] = 0
	first, last := sim.runUntil("evacuated", 0.6, evacuated("b"))
	t.Logf("evacuated after %.2f to %.2f s, %d attempts unanswered", first, last, sim.unanswered["b"])
	if last-first > 0.3 {
		t.Errorf("got %.2f s from the first to the last router, want at most 0.3", last-first)
	}
	sim.run(4)
	unanswered := sim.unanswered["b"]
	sim.answered["b"] = 1
	_, began := sim.runUntil("recovery begins", 0.3, recovering("b"))
	first, last = sim.runUntil("serving", 3, serving("b"))
	t.Logf("recovery began at all routers within %.2f s", began)
	t.Logf("%d attempts unanswered in total, serving after %.2f to %.2f s; %d messages in %.0f s",
		unanswered, first, last, sim.messagesSent, sim.now-simulationStart)
	sim.run(5)
	sim.mustServe("b")
}

// A fault that is no failure of a whole zone, or that can't be distinguished from a failure of the router itself,
// evacuates no zone. Otherwise partial faults would take healthy servers out of service.
func TestOtherFaultsEvacuateNoZone(t *testing.T) {
	for name, fault := range map[string]func(sim *simulation){
		"a third of its servers are down": func(sim *simulation) { sim.answered["b"] = 0.67 },
		"its answers are late":            func(sim *simulation) { sim.slow["b"] = true },
		"one router does not reach it": func(sim *simulation) {
			sim.reaches = func(router int, zone string) bool { return router != 3 || zone != "b" }
		},
		"a router is isolated": func(sim *simulation) {
			sim.reaches = func(n int, _ string) bool { return n != 3 }
			sim.receives = func(from, to int) bool { return from != 3 && to != 3 }
		},
		"a router reaches other routers, but no zone": func(sim *simulation) {
			sim.reaches = func(router int, _ string) bool { return router != 3 }
		},
		"no zone answers": func(sim *simulation) { clear(sim.answered) },
		"it is the only zone": func(sim *simulation) {
			sim.zoneNames = []string{"b"}
			sim.answered["b"] = 0
			sim.restartAll()
		},
		"no router receives messages": func(sim *simulation) {
			sim.receives = func(int, int) bool { return false }
			sim.answered["b"] = 0
		},
		"the fleet is partitioned into halves": func(sim *simulation) {
			sim.receives = func(from, to int) bool { return from%2 == to%2 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 12, "a", "b", "c", "d")
			sim.run(3)
			fault(sim)
			sim.run(8)
			for _, zone := range sim.zoneNames {
				sim.mustServe(zone)
			}
		})
	}
}

// Other faults during the failure of a zone prevent neither its evacuation nor its recovery.
func TestFailedZoneIsEvacuatedDespiteOtherFaults(t *testing.T) {
	for name, c := range map[string]struct {
		begin, end func(sim *simulation)
		bound      float64
	}{
		"half of the messages are lost": {func(sim *simulation) { sim.loss = 0.5 }, nil, 2.5},
		"messages are delayed":          {func(sim *simulation) { sim.delay = 0.2 }, nil, 2.5},
		"seven in ten routers are killed": {func(sim *simulation) {
			for n := range 17 {
				sim.down[n] = true
			}
		}, func(sim *simulation) {
			for n := range 17 {
				sim.start(n, 2, nil)
			}
		}, 2.5},
		"only routers inside the zone reach it": {func(sim *simulation) {
			sim.answered["b"] = 1
			inside := func(n int) bool { return n < 6 }
			sim.reaches = func(n int, z string) bool { return inside(n) == (z == "b") }
			sim.receives = func(from, to int) bool { return inside(from) == inside(to) }
		}, func(sim *simulation) {
			sim.reaches, sim.receives = func(int, string) bool { return true }, func(int, int) bool { return true }
		}, 1.5},
		"clocks differ by minutes": {func(sim *simulation) {
			for n := range sim.routers {
				sim.skew = 60
				sim.start(n, 2, nil)
			}
			sim.answered["b"] = 1
			sim.run(3)
			sim.answered["b"] = 0
		}, nil, 1.5},
		"each zone has one server": {func(sim *simulation) {
			sim.servers = 1
			for n := range sim.routers {
				sim.start(n, 2, nil)
			}
			sim.answered["b"] = 1
			sim.run(3)
			sim.answered["b"] = 0
		}, nil, 1.5},
		"half of the routers have builds without zone messages": {func(sim *simulation) {
			sim.receives = func(from, _ int) bool { return from%2 == 0 }
		}, nil, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 24, "a", "b", "c", "d")
			sim.run(3)
			sim.answered["b"] = 0
			c.begin(sim)
			_, last := sim.runUntil("evacuated", c.bound, func(router *Controller) bool {
				insider := name == "only routers inside the zone reach it" && router.settings.RouterIndex < 6
				return insider || evacuated("b")(router)
			})
			for _, other := range []string{"a", "c", "d"} {
				sim.mustServe(other)
			}
			sim.run(3)
			for _, other := range []string{"a", "c", "d"} { // also at the routers inside the zone
				sim.mustServe(other)
			}
			if c.end != nil {
				c.end(sim)
			}
			sim.run(1)
			sim.answered["b"] = 1
			_, recovered := sim.runUntil("serving", 9, serving("b"))
			t.Logf("evacuated after %.2f s, serving after %.2f s", last, recovered)
		})
	}
}

// A router that starts while a zone is evacuated, or that was suspended, follows its peers. It neither uses an
// evacuated zone nor evacuates a recovered one.
func TestStartedAndSuspendedRoutersFollowPeers(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c")
	sim.run(3)
	sim.answered["b"] = 0
	sim.runUntil("evacuated", 1.5, evacuated("b"))
	sim.start(5, 2, nil)
	sim.run(1.2)
	if !evacuated("b")(sim.routers[5]) {
		sim.showLog()
		t.Fatal("the new process uses a zone that all other routers have evacuated")
	}
	sim.down[7], sim.suspended[7] = true, true // keeps its state, and its messages are queued
	sim.run(3)
	sim.answered["b"] = 1
	sim.run(8)
	sim.down[7], sim.suspended[7] = false, false
	sim.runUntil("serving", 3, serving("b"))
	for range 60 { // its old state must not affect other routers
		sim.run(0.05)
		sim.mustServe("b")
	}
}

// A zone that alternately fails and answers is evacuated a bounded number of times, at growing intervals.
func TestFlappingZoneIsEvacuatedLessOften(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c")
	sim.run(3)
	for i := range 40 { // two minutes
		sim.answered["b"] = float64(i % 2)
		sim.run(3)
	}
	for _, s := range sim.routers[0].Statuses(sim.now) {
		// Each evacuation comes after the hold times of the earlier ones, 1, 2, 4, ... s: six in 63 s, then one in each
		// 64 s.
		if s.Zone == "b" && s.Transitions > 2*8 {
			sim.showLog()
			t.Errorf("got %d transitions in two minutes, want at most 16", s.Transitions)
		} else if s.Zone == "b" {
			t.Logf("%d transitions in two minutes", s.Transitions)
		}
	}
}

// Routers inside a zone that is cut off from the network evacuate no other zone, not even one that failed recently and
// is evacuated by two votes.
func TestRoutersInCutOffZoneEvacuateNoOther(t *testing.T) {
	sim := newSimulation(t, 24, "a", "b", "c", "d")
	sim.run(3)
	sim.answered["b"] = 0
	sim.runUntil("evacuated", 1, evacuated("b"))
	sim.answered["b"] = 1
	sim.runUntil("serving", 9, serving("b"))
	sim.run(1)
	inside := func(n int) bool { return n < 6 }
	sim.reaches = func(n int, z string) bool { return inside(n) == (z == "a") }
	sim.receives = func(from, to int) bool { return inside(from) == inside(to) }
	for range 60 {
		sim.run(0.05)
		sim.mustServe("b")
	}
}

// After a partition of the fleet heals, the routers with answers in a zone keep using it, and the others, although they
// are the majority, use it again.
func TestRoutersWithAnswersPrevailAfterPartition(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c", "d")
	sim.run(3)
	few := func(n int) bool { return n < 4 }
	sim.reaches = func(n int, z string) bool { return few(n) || z != "b" }
	sim.receives = func(from, to int) bool { return few(from) == few(to) }
	sim.run(3)
	if !evacuated("b")(sim.routers[8]) {
		t.Fatal("a router that does not reach the zone still uses it")
	}
	sim.reaches, sim.receives = func(int, string) bool { return true }, func(int, int) bool { return true }
	for range 80 {
		sim.run(0.05)
		for n := range 4 {
			if !serving("b")(sim.routers[n]) {
				sim.showLog()
				t.Fatalf("router %d, which has answers in zone b: got share %v, want 1", n, sim.routers[n].Share("b"))
			}
		}
	}
	sim.runUntil("serving", 3, serving("b"))
}
