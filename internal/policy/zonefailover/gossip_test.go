package zonefailover

import (
	"fmt"
	"testing"
)

// Messages that are duplicate, out of order or of a previous incarnation are ignored, and damaged ones are not
// accepted. No message may look like an entry on a server to builds without zone messages.
func TestOutdatedAndDamagedMessagesAreIgnored(t *testing.T) {
	sim := newSimulation(t, 2, "a", "b")
	sim.run(2)
	a, b := sim.routers[0], sim.routers[1]
	first := a.message(sim.now, []*zone{a.find("a")})
	second := a.message(sim.now, []*zone{a.find("a")})
	if !b.OnMessage(sim.now, second) || !b.OnMessage(sim.now, first) || b.peers[0].sequence != a.gossip.sequence {
		t.Error("a message older than the last was accepted")
	}
	sim.start(0, 7, nil)
	b.OnMessage(sim.now, sim.routers[0].message(sim.now, nil))
	a.gossip.sequence += 10
	if b.OnMessage(sim.now, a.message(sim.now, nil)); b.peers[0].incarnation != 7 {
		t.Error("a message of the previous incarnation was accepted")
	}
	for i := range second {
		bad := append([]byte(nil), second...)
		bad[i] ^= 4
		if unpack(bad) != nil {
			t.Errorf("a message damaged at byte %d was accepted", i)
		}
	}
	ids := map[uint16]bool{0xffc7: true}
	// Old builds read the first two bytes of three as the end of a server's id.
	for _, router := range sim.routers {
		router.OnEndpoints(sim.now, map[string]int{"a": 1}, ids)
		message := router.message(sim.now, nil)
		if ids[uint16(message[0])|uint16(message[1])<<8] {
			t.Error("the marker of a message equals the end of a server's id")
		}
	}
	if longest := len(a.message(sim.now, fullMessage(a))); longest > 256 {
		t.Errorf("got a message of %d bytes, want at most 256", longest)
	}
}

// fullMessage adds as many zones to a router as a message holds, and returns them.
func fullMessage(router *Controller) (all []*zone) {
	for i := range maxZonesPerMessage {
		all = append(all, router.findOrAdd(fmt.Sprint("z", i)))
	}
	return all
}

// With more zones than a message holds, messages report the zones in turn and urgent reports first, so that each zone
// is still evacuated and recovers in time, without more messages.
func TestMoreZonesThanOneMessageHolds(t *testing.T) {
	var names []string
	for n := range 3 * maxZonesPerMessage {
		names = append(names, fmt.Sprintf("zone-%02d", n))
	}
	sim := newSimulation(t, 8, names...)
	sim.rate = 300
	sim.run(5)
	if most := 8 * (5/sim.routers[0].messagePeriod() + maxGossipTokens); float64(sim.messagesSent) > 1.5*most {
		t.Errorf("got %d messages in 5 s without faults, want at most about %.0f", sim.messagesSent, most)
	}
	last := names[len(names)-1]
	sim.answered[last] = 0.6 // routers with answers there report them, among all those zones
	sim.run(6)
	sim.mustServe(last)
	sim.answered[last] = 1
	sim.run(1)
	sim.answered[last] = 0
	sim.runUntil("evacuated", 1.5, evacuated(last))
	sim.answered[last] = 1
	sim.runUntil("serving", 6, serving(last))
}

// After a stall of the process, neither attempts from before the stall nor messages queued during it are evidence.
func TestStallDiscardsEvidence(t *testing.T) {
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
			t.Errorf("%s after a stall of five seconds: got %d votes against it and %d routers heard, want 0 and 1",
				s.Zone, s.VotesAgainst, s.RoutersHeard)
		}
	}
	if router.find("a").evidence.failingSince > 0 {
		t.Error("a failure from before the stall counts")
	}
	if router.watchedAttempts > 0 || router.NextMessage(now+0.05) == nil {
		t.Error("an old attempt is still watched, or no message is sent to the peers")
	}
}

// A zone that is missing from some routers' endpoint lists, while other routers have answers there, gets no votes
// against it, and serves all of its keys when the lists contain it again.
func TestZoneMissingFromSomeListsGetsNoVotes(t *testing.T) {
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
				t.Errorf("got %d votes against %s, want 0", s.VotesAgainst, s.Zone)
			}
		}
	}
}
