package zonefailover

import "testing"

// While a recovering zone is overloaded, all routers limit its share, so that it can recover. The zones of a region
// recover one at a time.
func TestRecoveryIsLimitedByOverloadAndRegion(t *testing.T) {
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
				t.Fatal("two zones of a region recover at the same time")
			}
			most = max(most, router.Share("b"))
		}
	}
	if most > 0.5 {
		t.Errorf("got share %v of a zone that rejects all attempts, want at most 0.5", most)
	}
	sim.overloaded["b"] = false
	sim.runUntil("b serving", 12, serving("b"))
	sim.runUntil("c serving", 12, serving("c"))
}

// An operator's override takes precedence over evidence, at this router only. The last zone in service can't be
// evacuated.
func TestOperatorOverrideEvacuatesAtOneRouter(t *testing.T) {
	sim := newSimulation(t, 4, "a", "b")
	sim.run(3)
	router := sim.routers[0]
	if !router.SetOperatorOverride(sim.now, "b", true) || router.SetOperatorOverride(sim.now, "a", true) {
		t.Fatal("want the override of b to succeed, and that of a, the last zone, to be refused")
	}
	sim.run(5)
	if router.Share("b") != 0 || sim.routers[1].Share("b") != 1 {
		t.Fatalf("shares %v and %v, want 0 by the override and 1 elsewhere", router.Share("b"), sim.routers[1].Share("b"))
	}
	router.SetOperatorOverride(sim.now, "b", false)
	sim.runUntil("serving", 4, serving("b"))
}

// If an endpoint list drops all zones that serve all of their keys, the evacuated zones serve again, so that requests
// always have a zone.
func TestEvacuatedZoneServesIfListDropsOthers(t *testing.T) {
	sim := newSimulation(t, 6, "a", "b")
	sim.run(3)
	sim.answered["b"] = 0
	sim.runUntil("evacuated", 1, evacuated("b"))
	for _, router := range sim.routers {
		router.OnAttemptStart(sim.now, "a", 9) // an attempt is in flight there
		router.OnEndpoints(sim.now, map[string]int{"b": 4}, nil)
	}
	sim.runUntil("b serves all of its keys", 0.2, serving("b"))
}

// Reports of peers from before a zone began its recovery must not evacuate it again. Peers may not have reported yet
// that the zone is recovering at them, too.
func TestEvidenceFromBeforeRecoveryIsIgnored(t *testing.T) {
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
			t.Fatalf("got state %v (%s), want the zone to keep recovering", b.state, b.reason)
		}
	}
}

// A router that received no messages while a zone recovered at its peers adopts their share as soon as it receives
// them.
func TestRouterCatchesUpWithRecoveryOfPeers(t *testing.T) {
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

// A zone that fails again during its recovery is evacuated by two votes, without a quorum of a quarter of the routers.
func TestZoneFailingInRecoveryIsEvacuatedByTwoVotes(t *testing.T) {
	sim := newSimulation(t, 24, "a", "b", "c", "d")
	sim.run(3)
	sim.answered["b"] = 0
	sim.runUntil("evacuated", 1, evacuated("b"))
	sim.answered["b"] = 1
	sim.runUntil("recovery begins", 2, recovering("b"))
	sim.reaches = func(n int, z string) bool { return n >= 3 || z != "b" }
	for _, router := range sim.routers[:3] { // three of 24 have no answers, no other router had one since
		router.find("b").evidence.lastAnswer = 0
		router.find("b").evidence.failingSince = sim.now + 0.01
	}
	for _, router := range sim.routers[3:] {
		router.find("b").evidence.lastAnswer = 0
	}
	sim.rate = 0
	sim.runUntil("evacuated again", 0.4, func(router *Controller) bool { return router.find("b").state == Evacuated })
}
