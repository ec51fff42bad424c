package zonefailover

import "testing"

// Where the recovery strains the zone, all routers hold it back together; the zones of one region recover one after
// another.
func TestRecoveryIsHeldBackByStrainAndRegion(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c", "d")
	for n := range sim.routers {
		sim.start(n, 2, [][]string{{"b", "c"}})
	}
	sim.run(3)
	sim.answered["b"], sim.answered["c"] = 0, 0
	sim.runUntil("b evacuated", 2, evacuated("b"))
	sim.runUntil("c evacuated", 2, evacuated("c"))
	sim.run(3)
	sim.answered["b"], sim.answered["c"], sim.overloaded["b"] = 1, 1, true
	most := 0.0
	for range 400 {
		sim.run(0.01)
		for _, router := range sim.routers {
			if router.find("b").state == Recovering && router.find("c").state == Recovering {
				t.Fatal("two zones of a region recover at once")
			}
			most = max(most, router.Share("b"))
		}
	}
	if most > 0.5 {
		t.Errorf("a zone that rejects all was given %v of its keys", most)
	}
	sim.overloaded["b"] = false
	sim.runUntil("b serving", 12, serving("b"))
	sim.runUntil("c serving", 12, serving("c"))
}

// An operator's override goes before evidence, at this router alone, and the last zone is not evacuated.
func TestOperatorOverride(t *testing.T) {
	sim := newSimulation(t, 4, "a", "b")
	sim.run(3)
	router := sim.routers[0]
	if !router.SetOperatorOverride(sim.now, "b", true) || router.SetOperatorOverride(sim.now, "a", true) {
		t.Fatal("b is evacuated by the override, and a, the last, is not")
	}
	sim.run(5)
	if router.Share("b") != 0 || sim.routers[1].Share("b") != 1 {
		t.Fatalf("shares %v and %v, want 0 by the override and 1 elsewhere", router.Share("b"), sim.routers[1].Share("b"))
	}
	router.SetOperatorOverride(sim.now, "b", false)
	sim.runUntil("serving", 4, serving("b"))
}

// Where the endpoint list takes away the zones that serve, those that were evacuated serve again: some zone always
// serves all of its keys.
func TestSomeZoneAlwaysServes(t *testing.T) {
	sim := newSimulation(t, 6, "a", "b")
	sim.run(3)
	sim.answered["b"] = 0
	sim.runUntil("evacuated", 1, evacuated("b"))
	for _, router := range sim.routers {
		router.OnAttemptStart(sim.now, "a", 9) // an attempt is open there
		router.OnEndpoints(sim.now, map[string]int{"b": 4}, nil)
	}
	sim.runUntil("b serves all", 0.2, serving("b"))
}

// What others reported before a zone began its recovery does not have it evacuated again: they have not come to say
// that they let it recover, too.
func TestEvidenceFromBeforeTheRecoveryIsOver(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c")
	sim.run(3)
	sim.answered["b"] = 0
	sim.runUntil("evacuated", 1, evacuated("b"))
	sim.run(1)
	router := sim.routers[0]
	router.StartRecovery(sim.now, "b")
	for now := sim.now + 0.05; now < sim.now+0.4; now += 0.05 {
		router.Tick(now)
		if b := router.find("b"); b.state != Recovering {
			t.Fatalf("it is %v again: %s", b.state, b.reason)
		}
	}
}

// A router that heard nothing while the zone recovered elsewhere catches up at once.
func TestCatchesUpWithARecovery(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c")
	sim.run(3)
	sim.answered["b"] = 0
	sim.runUntil("evacuated", 1, evacuated("b"))
	sim.run(1)
	sim.answered["b"] = 1
	sim.receives = func(from, to int) bool { return to != 3 }
	sim.run(4)
	sim.receives = func(from, to int) bool { return true }
	sim.runUntil("serving", 1.8, serving("b"))
}

// A zone that fails again while it recovers is evacuated by two votes, not by a quarter of the routers.
func TestFailsAgainWhileRecovering(t *testing.T) {
	sim := newSimulation(t, 24, "a", "b", "c", "d")
	sim.run(3)
	sim.answered["b"] = 0
	sim.runUntil("evacuated", 1, evacuated("b"))
	sim.answered["b"] = 1
	sim.runUntil("its recovery begins", 2, recovering("b"))
	sim.reaches = func(n int, z string) bool { return n >= 3 || z != "b" }
	for _, router := range sim.routers[:3] { // three of 24 miss answers, nobody else had one since
		router.find("b").evidence.lastAnswer = 0
		router.find("b").evidence.failingSince = sim.now + 0.01
	}
	for _, router := range sim.routers[3:] {
		router.find("b").evidence.lastAnswer = 0
	}
	sim.rate = 0
	sim.runUntil("evacuated again", 0.4, func(router *Controller) bool { return router.find("b").state == Evacuated })
}
