package zonefailover

import (
	"fmt"
	"testing"
)

// A zone that answers nobody is evacuated by all routers together, with few requests lost there, and recovers once it
// answers.
func TestEvacuatedTogetherAndRecovered(t *testing.T) {
	sim := newSimulation(t, 24, "a", "b", "c", "d")
	sim.run(3)
	sim.mustServe("b")
	sim.answered["b"] = 0
	first, last := sim.until("evacuated", 0.6, evacuated("b"))
	t.Logf("evacuated after %.2f to %.2f s, %d attempts unanswered", first, last, sim.unanswered["b"])
	if last-first > 0.3 {
		t.Errorf("%.2f s from first to last", last-first)
	}
	sim.run(4)
	unanswered := sim.unanswered["b"]
	sim.answered["b"] = 1
	_, began := sim.until("its recovery begins", 0.3, recovering("b"))
	first, last = sim.until("serving", 3, serving("b"))
	t.Logf("its recovery began everywhere within %.2f s", began)
	t.Logf("%d unanswered in all, serving after %.2f to %.2f s; %d messages in %.0f s",
		unanswered, first, last, sim.messagesSent, sim.now-simulationStart)
	sim.run(5)
	sim.mustServe("b")
}

// What is no failure of a zone, or cannot be told from a failure of the router itself, evacuates nothing.
func TestNothingIsEvacuated(t *testing.T) {
	for name, fault := range map[string]func(sim *simulation){
		"a third of its servers are down": func(sim *simulation) { sim.answered["b"] = 0.67 },
		"it is slow":                      func(sim *simulation) { sim.slow["b"] = true },
		"one router does not reach it": func(sim *simulation) {
			sim.reaches = func(router int, zone string) bool { return router != 3 || zone != "b" }
		},
		"a router is isolated": func(sim *simulation) {
			sim.reaches = func(n int, _ string) bool { return n != 3 }
			sim.hears = func(from, to int) bool { return from != 3 && to != 3 }
		},
		"a router reaches no zone, and is heard": func(sim *simulation) {
			sim.reaches = func(router int, _ string) bool { return router != 3 }
		},
		"no zone answers": func(sim *simulation) { clear(sim.answered) },
		"it is the only zone": func(sim *simulation) {
			sim.names = []string{"b"}
			sim.answered["b"] = 0
			sim.restartAll()
		},
		"nobody hears any other": func(sim *simulation) {
			sim.hears = func(int, int) bool { return false }
			sim.answered["b"] = 0
		},
		"halves hear only halves": func(sim *simulation) { sim.hears = func(from, to int) bool { return from%2 == to%2 } },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 12, "a", "b", "c", "d")
			sim.run(3)
			fault(sim)
			sim.run(8)
			for _, zone := range sim.names {
				sim.mustServe(zone)
			}
		})
	}
}

// Faults beside the loss of a zone do not keep the fleet from evacuating it, nor from its recovery.
func TestEvacuatedDespiteOtherFaults(t *testing.T) {
	for name, c := range map[string]struct {
		begin, end func(sim *simulation)
		bound      float64
	}{
		"half of the messages are lost": {func(sim *simulation) { sim.loss = 0.5 }, nil, 2.5},
		"messages are late":             {func(sim *simulation) { sim.delay = 0.2 }, nil, 2.5},
		"seven in ten routers are killed": {func(sim *simulation) {
			for n := range 17 {
				sim.down[n] = true
			}
		}, func(sim *simulation) {
			for n := range 17 {
				sim.start(n, 2, nil)
			}
		}, 2.5},
		"its own routers reach it": {func(sim *simulation) {
			sim.answered["b"] = 1
			inside := func(n int) bool { return n < 6 }
			sim.reaches = func(n int, z string) bool { return inside(n) == (z == "b") }
			sim.hears = func(from, to int) bool { return inside(from) == inside(to) }
		}, func(sim *simulation) {
			sim.reaches, sim.hears = func(int, string) bool { return true }, func(int, int) bool { return true }
		}, 1.5},
		"clocks are off by minutes": {func(sim *simulation) {
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
		"half of the builds do not know zones": {func(sim *simulation) {
			sim.hears = func(from, _ int) bool { return from%2 == 0 }
		}, nil, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 24, "a", "b", "c", "d")
			sim.run(3)
			sim.answered["b"] = 0
			c.begin(sim)
			_, last := sim.until("evacuated", c.bound, func(router *Controller) bool {
				insider := name == "its own routers reach it" && router.settings.RouterIndex < 6
				return insider || evacuated("b")(router)
			})
			for _, other := range []string{"a", "c", "d"} {
				sim.mustServe(other)
			}
			sim.run(3)
			for _, other := range []string{"a", "c", "d"} { // also by those that are inside
				sim.mustServe(other)
			}
			if c.end != nil {
				c.end(sim)
			}
			sim.run(1)
			sim.answered["b"] = 1
			_, back := sim.until("serving", 9, serving("b"))
			t.Logf("evacuated after %.2f s, serving after %.2f s", last, back)
		})
	}
}

// A router that starts while a zone is evacuated, or that was stopped, follows the others and does not undo what they
// did.
func TestFollowsPeers(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c")
	sim.run(3)
	sim.answered["b"] = 0
	sim.until("evacuated", 1.5, evacuated("b"))
	sim.start(5, 2, nil)
	sim.run(1.2)
	if !evacuated("b")(sim.routers[5]) {
		sim.showLog()
		t.Fatal("the new process uses a zone that all others have evacuated")
	}
	sim.down[7], sim.stopped[7] = true, true // it knows what it knew, and messages wait for it
	sim.run(3)
	sim.answered["b"] = 1
	sim.run(8)
	sim.down[7], sim.stopped[7] = false, false
	sim.until("serving", 3, serving("b"))
	for range 60 { // and what it believed changes nothing
		sim.run(0.05)
		sim.mustServe("b")
	}
}

// A zone that fails and answers by turns is evacuated a bounded number of times, less and less often.
func TestFlapping(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c")
	sim.run(3)
	for i := range 40 { // two minutes
		sim.answered["b"] = float64(i % 2)
		sim.run(3)
	}
	for _, s := range sim.routers[0].Statuses(sim.now) {
		// The n-th time is no sooner than the hold times before it, 1, 2, 4, ... s, have passed: six in 63 s, then
		// one in each 64 s.
		if s.Zone == "b" && s.Transitions > 2*8 {
			sim.showLog()
			t.Errorf("%d transitions in two minutes", s.Transitions)
		} else if s.Zone == "b" {
			t.Logf("%d transitions in two minutes", s.Transitions)
		}
	}
}

// Where the recovery strains the zone, all routers hold it back together; the zones of one region recover one after
// another.
func TestRecoveryIsHeldBackByStrainAndRegion(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c", "d")
	for n := range sim.routers {
		sim.start(n, 2, [][]string{{"b", "c"}})
	}
	sim.run(3)
	sim.answered["b"], sim.answered["c"] = 0, 0
	sim.until("b evacuated", 2, evacuated("b"))
	sim.until("c evacuated", 2, evacuated("c"))
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
	sim.until("b serving", 12, serving("b"))
	sim.until("c serving", 12, serving("c"))
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
	sim.until("serving", 4, serving("b"))
}

// Messages that are doubled, out of order or from a former incarnation change nothing; damaged ones are no messages.
func TestMessages(t *testing.T) {
	sim := newSimulation(t, 2, "a", "b")
	sim.run(2)
	a, b := sim.routers[0], sim.routers[1]
	first := a.message(sim.now, []*zone{a.find("a")})
	second := a.message(sim.now, []*zone{a.find("a")})
	if !b.OnMessage(sim.now, second) || !b.OnMessage(sim.now, first) || b.peers[0].sequence != a.gossip.sequence {
		t.Error("a message older than the last was taken")
	}
	sim.start(0, 7, nil)
	b.OnMessage(sim.now, sim.routers[0].message(sim.now, nil))
	a.gossip.sequence += 10
	if b.OnMessage(sim.now, a.message(sim.now, nil)); b.peers[0].incarnation != 7 {
		t.Error("the former incarnation came back")
	}
	for i := range second {
		bad := append([]byte(nil), second...)
		bad[i] ^= 4
		if unpack(bad) != nil {
			t.Errorf("damaged at byte %d, it was taken", i)
		}
	}
	ids := map[uint16]bool{0xffc7: true}
	// Old builds take the first two bytes of three for the end of a server's id.
	for _, router := range sim.routers {
		router.OnEndpoints(sim.now, map[string]int{"a": 1}, ids)
		message := router.message(sim.now, nil)
		if ids[uint16(message[0])|uint16(message[1])<<8] {
			t.Error("a message names a server")
		}
	}
	if longest := len(a.message(sim.now, fullMessage(a))); longest > 256 {
		t.Errorf("%d bytes", longest)
	}
}

// fullMessage gives as many zones as a message holds.
func fullMessage(router *Controller) (all []*zone) {
	for i := range maxZonesPerMessage {
		all = append(all, router.findOrAdd(fmt.Sprint("z", i)))
	}
	return all
}

// Where the endpoint list takes away the zones that serve, those that were evacuated serve again: some zone always
// serves all of its keys.
func TestSomeZoneAlwaysServes(t *testing.T) {
	sim := newSimulation(t, 6, "a", "b")
	sim.run(3)
	sim.answered["b"] = 0
	sim.until("evacuated", 1, evacuated("b"))
	for _, router := range sim.routers {
		router.OnAttemptStart(sim.now, "a", 9) // an attempt is open there
		router.OnEndpoints(sim.now, map[string]int{"b": 4}, nil)
	}
	sim.until("b serves all", 0.2, serving("b"))
}

// Routers inside a zone that is cut off evacuate no other, also none that failed lately and would be evacuated by two
// votes.
func TestRoutersInsideACutOffZoneEvacuateNone(t *testing.T) {
	sim := newSimulation(t, 24, "a", "b", "c", "d")
	sim.run(3)
	sim.answered["b"] = 0
	sim.until("evacuated", 1, evacuated("b"))
	sim.answered["b"] = 1
	sim.until("serving", 9, serving("b"))
	sim.run(1)
	inside := func(n int) bool { return n < 6 }
	sim.reaches = func(n int, z string) bool { return inside(n) == (z == "a") }
	sim.hears = func(from, to int) bool { return inside(from) == inside(to) }
	for range 60 {
		sim.run(0.05)
		sim.mustServe("b")
	}
}

// Two parts of a fleet were partitioned and meet again: routers with answers in a zone go on using it, and the
// others, though they are more, come back to it.
func TestPartitionHeals(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c", "d")
	sim.run(3)
	few := func(n int) bool { return n < 4 }
	sim.reaches = func(n int, z string) bool { return few(n) || z != "b" }
	sim.hears = func(from, to int) bool { return few(from) == few(to) }
	sim.run(3)
	if !evacuated("b")(sim.routers[8]) {
		t.Fatal("a router that does not reach the zone still uses it")
	}
	sim.reaches, sim.hears = func(int, string) bool { return true }, func(int, int) bool { return true }
	for range 80 {
		sim.run(0.05)
		for n := range 4 {
			if !serving("b")(sim.routers[n]) {
				sim.showLog()
				t.Fatalf("router %d, which has answers there, gives it %v", n, sim.routers[n].Share("b"))
			}
		}
	}
	sim.until("serving", 3, serving("b"))
}

// A process that stood still knows nothing: neither attempts from before nor the messages that waited for it count.
func TestStandstillForgetsEvidence(t *testing.T) {
	sim := newSimulation(t, 4, "a", "b")
	sim.run(3)
	router := sim.routers[0]
	router.OnAttemptStart(sim.now, "a", 0.15)
	router.OnAttemptStart(sim.now, "b", 0.15)
	router.find("a").evidence.failingSince = sim.now
	sim.routers[1].find("b").evidence.failingSince = sim.now
	old := sim.routers[1].message(sim.now, []*zone{sim.routers[1].find("b")})
	now := sim.now + 5
	router.OnMessage(now, old)
	router.Tick(now + 0.01)
	for _, s := range router.Statuses(now + 0.01) {
		if s.VotesAgainst > 0 || s.RoutersHeard > 1 {
			t.Errorf("%s: %d against it, of %d heard, after five seconds of standing still",
				s.Zone, s.VotesAgainst, s.RoutersHeard)
		}
	}
	if router.find("a").evidence.failingSince > 0 {
		t.Error("what began to fail before it stood still counts")
	}
	if router.watchedAttempts > 0 || router.NextMessage(now+0.05) == nil {
		t.Error("an old attempt is still watched, or no peer is asked")
	}
}

// What others reported before a zone began its recovery does not have it evacuated again: they have not come to say
// that they let it recover, too.
func TestEvidenceFromBeforeTheRecoveryIsOver(t *testing.T) {
	sim := newSimulation(t, 12, "a", "b", "c")
	sim.run(3)
	sim.answered["b"] = 0
	sim.until("evacuated", 1, evacuated("b"))
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
	sim.until("evacuated", 1, evacuated("b"))
	sim.run(1)
	sim.answered["b"] = 1
	sim.hears = func(from, to int) bool { return to != 3 }
	sim.run(4)
	sim.hears = func(from, to int) bool { return true }
	sim.until("serving", 1.8, serving("b"))
}

// More zones than a message holds are announced in turn, one message at a time, and what others have to hear first.
func TestMoreZonesThanAMessageHolds(t *testing.T) {
	var names []string
	for n := range 3 * maxZonesPerMessage {
		names = append(names, fmt.Sprintf("zone-%02d", n))
	}
	sim := newSimulation(t, 8, names...)
	sim.rate = 300
	sim.run(5)
	if most := 8 * (5/sim.routers[0].messagePeriod() + maxGossipTokens); float64(sim.messagesSent) > 1.5*most {
		t.Errorf("%d messages in 5 s of calm, want some %.0f", sim.messagesSent, most)
	}
	last := names[len(names)-1]
	sim.answered[last] = 0.6 // routers with answers there say so, of all those zones
	sim.run(6)
	sim.mustServe(last)
	sim.answered[last] = 1
	sim.run(1)
	sim.answered[last] = 0
	sim.until("evacuated", 1.5, evacuated(last))
	sim.answered[last] = 1
	sim.until("serving", 6, serving(last))
}

// A zone that some routers' lists no longer have, while others have answers there, gets no vote against it, and comes
// back with the list.
func TestZoneGoneFromSomeLists(t *testing.T) {
	sim := newSimulation(t, 6, "a", "b")
	sim.run(2)
	for n := range 3 {
		sim.routers[n].OnEndpoints(sim.now, map[string]int{"a": 4}, nil)
	}
	sim.run(3)
	sim.mustServe("b")
	for n := range 3 {
		sim.routers[n].OnEndpoints(sim.now, map[string]int{"a": 4, "b": 4}, nil)
	}
	sim.run(1)
	sim.mustServe("b")
	for _, router := range sim.routers {
		for _, s := range router.Statuses(sim.now) {
			if s.VotesAgainst > 0 {
				t.Errorf("%d against %s", s.VotesAgainst, s.Zone)
			}
		}
	}
}

// A zone that fails again while it recovers is evacuated by two votes, not by a quarter of the routers.
func TestFailsAgainWhileRecovering(t *testing.T) {
	sim := newSimulation(t, 24, "a", "b", "c", "d")
	sim.run(3)
	sim.answered["b"] = 0
	sim.until("evacuated", 1, evacuated("b"))
	sim.answered["b"] = 1
	sim.until("its recovery begins", 2, recovering("b"))
	sim.reaches = func(n int, z string) bool { return n >= 3 || z != "b" }
	for _, router := range sim.routers[:3] { // three of 24 miss answers, nobody else had one since
		router.find("b").evidence.lastAnswer = 0
		router.find("b").evidence.failingSince = sim.now + 0.01
	}
	for _, router := range sim.routers[3:] {
		router.find("b").evidence.lastAnswer = 0
	}
	sim.rate = 0
	sim.until("evacuated again", 0.4, func(router *Controller) bool { return router.find("b").state == Evacuated })
}
