package zonefailover

import (
	"fmt"
	"testing"
)

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

// fullMessage returns as many zones as a message holds.
func fullMessage(router *Controller) (all []*zone) {
	for i := range maxZonesPerMessage {
		all = append(all, router.findOrAdd(fmt.Sprint("z", i)))
	}
	return all
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
	sim.runUntil("evacuated", 1.5, evacuated(last))
	sim.answered[last] = 1
	sim.runUntil("serving", 6, serving(last))
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
