package zonefailover

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The same evidence leads to the same decisions, regardless of the order and duplication of messages. Otherwise routers
// with the same messages would disagree on a zone.
func TestSameEvidenceGivesSameDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(2, 12).Draw(t, "routers")
		var messages [][]byte
		for from := range peers {
			router := New(Settings{RouterIndex: from, RouterCount: peers, Incarnation: 1})
			router.OnEndpoints(100, map[string]int{"a": 1, "b": 1, "c": 1}, nil)
			for _, name := range router.names {
				z := router.find(name)
				z.evidence.lastAnswer = rapid.Float64Range(96, 100).Draw(t, "last answer")
				if rapid.Bool().Draw(t, "fails") {
					z.evidence.failingSince = min(100, z.evidence.lastAnswer+rapid.Float64Range(0, 1).Draw(t, "failing since"))
				}
				z.state = State(rapid.IntRange(0, 4).Draw(t, "state"))
				z.share = 1
			}
			messages = append(messages, router.message(100, []*zone{router.find("a"), router.find("b"), router.find("c")}))
		}
		statuses := map[string]bool{}
		for i := range 4 {
			router := New(Settings{RouterIndex: peers, RouterCount: peers + 1, Incarnation: 1})
			router.OnEndpoints(100, map[string]int{"a": 1, "b": 1, "c": 1}, nil)
			order := append(slices.Clone(messages), messages[:rapid.IntRange(0, peers).Draw(t, "doubled")]...)
			rand.New(rand.NewPCG(uint64(i), 1)).Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
			for _, message := range order {
				router.OnMessage(100, message)
			}
			router.lastTick = 100
			router.Tick(100.05)
			router.Tick(100.2)
			statuses[fmt.Sprint(router.Statuses(100.2))] = true
		}
		if len(statuses) > 1 {
			t.Fatalf("got %d different statuses, want 1: %v", len(statuses), statuses)
		}
	})
}

// sharesOf returns the shares of all zones at all routers, by router and zone.
func (sim *simulation) sharesOf() map[string]float64 {
	shares := map[string]float64{}
	for index, router := range sim.routers {
		for _, name := range sim.zoneNames {
			shares[fmt.Sprint(index, name)] = router.Share(name)
		}
	}
	return shares
}

// Regardless of which attempts are answered and which messages are lost, each router always has a zone that serves all
// of its keys, and the share of a recovering zone at most doubles in a step.
func TestSomeZoneServesAndSharesAtMostDouble(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(1, 5).Draw(r, "routers"), "a", "b", "c")
		sim.rate = 60
		sim.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 3))
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			zone := rapid.SampledFrom(sim.zoneNames).Draw(r, "zone")
			sim.answered[zone] = rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(r, "answered")
			sim.loss = rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(r, "loss")
			for range rapid.IntRange(1, 30).Draw(r, "duration") {
				before := sim.sharesOf()
				sim.run(0.05)
				for index, router := range sim.routers {
					used := 0.0
					for _, name := range sim.zoneNames {
						share, previous := router.Share(name), before[fmt.Sprint(index, name)]
						used = max(used, share)
						z := router.find(name)
						grows := z.state == Recovering && previous > 0 && previous < 1 && z.reason != "others are ahead"
						if grows && share > 2*previous {
							r.Fatalf("router %d, zone %s: got share %v after %v (%s)", index, name, share, previous, z.reason)
						}
					}
					if used < 1 {
						r.Fatalf("router %d: no zone serves all of its keys", index)
					}
				}
			}
		}
	})
}

// model is a small fleet that can be cloned: three routers, two zones, and the newest message between each two routers.
type model struct {
	now       float64
	routers   []*Controller
	inTransit map[[2]int][]byte // by sender and receiver
	failing   int               // bit mask of the routers that had an attempt without an answer in zone b
}

func (m *model) clone() *model {
	c := &model{now: m.now, inTransit: maps.Clone(m.inTransit), failing: m.failing}
	for _, router := range m.routers {
		c.routers = append(c.routers, cloneController(router))
	}
	return c
}

func cloneController(router *Controller) *Controller {
	c := *router
	c.zones, c.peers, c.changes = map[uint32]*zone{}, map[int]*peer{}, nil
	for hash, z := range router.zones {
		zoneCopy := *z
		zoneCopy.attempts.inFlight = maps.Clone(z.attempts.inFlight)
		c.zones[hash] = &zoneCopy
	}
	for index, p := range router.peers {
		peerCopy := *p
		peerCopy.reports = maps.Clone(p.reports)
		peerCopy.previousIncarnations = slices.Clone(p.previousIncarnations)
		c.peers[index] = &peerCopy
	}
	return &c
}

// key returns a text that identifies the state on which decisions depend, with ages in hundredths of a second.
func (m *model) key() string {
	age := func(at float64) int { return int(math.Round((m.now - at) * 100)) }
	text := ""
	for _, router := range m.routers {
		for _, name := range router.names {
			z := router.find(name)
			text += fmt.Sprint(z.state, z.share,
				age(z.evidence.lastAnswer), age(z.evidence.failingSince), age(z.evidence.sufficientSince),
				age(z.history.evacuatedAt), age(z.step.began), z.step.counts.answered, z.step.counts.degraded,
				z.announcement.newFailure, z.announcement.pendingMessages, age(z.announcement.lastSent), ";")
			for _, index := range slices.Sorted(maps.Keys(router.peers)) {
				p := router.peers[index]
				r := p.reports[z.hash]
				text += fmt.Sprint(age(p.lastHeard), r.state, r.share, age(r.lastAnswer), age(r.failingSince), p.isolated, ",")
			}
		}
		text += fmt.Sprint(router.gossip.sendEarly, age(router.gossip.lastSent), int(router.gossip.tokens*10))
	}
	for from := range 3 {
		for to := range 3 {
			text += string(m.inTransit[[2]int{from, to}])
		}
	}
	return text
}

// next returns the models after each possible event: an answered or unanswered attempt in zone b at a router, a message
// that arrives or is lost, or about a tenth of a second passing.
func (m *model) next() (all []*model) {
	for index := range m.routers {
		for _, outcome := range []Outcome{Answered, NoAnswer} {
			c := m.clone()
			router := c.routers[index]
			router.OnAttemptEnd(c.now, "b", router.OnAttemptStart(c.now-0.001, "b", 0.15), outcome)
			if outcome == NoAnswer {
				c.failing |= 1 << index
			}
			all = append(all, c)
		}
	}
	for route, message := range m.inTransit {
		for _, arrives := range []bool{true, false} {
			c := m.clone()
			delete(c.inTransit, route)
			if arrives {
				c.routers[route[1]].OnMessage(c.now, message)
			}
			all = append(all, c)
		}
	}
	c := m.clone()
	c.tick()
	return append(all, c)
}

// tick advances the time at all routers by about a tenth of a second.
func (m *model) tick() {
	m.now += 0.11
	for from, router := range m.routers {
		router.Tick(m.now)
		message := router.NextMessage(m.now)
		if message == nil {
			continue
		}
		for to := range m.routers {
			if to != from {
				m.inTransit[[2]int{from, to}] = message
			}
		}
	}
}

// Explores every order of answers, messages, losses and ticks in a small fleet, to a depth. The observations of one
// router evacuate no zone, no router evacuates all zones, and a zone where two routers got no answer can be evacuated,
// which shows that the depth is sufficient.
func TestEveryOrderOfEventsInSmallFleet(t *testing.T) {
	const depth = 6
	sim := newSimulation(t, 3, "a", "b")
	sim.rate = 50
	sim.run(2)
	first := &model{now: sim.now, routers: sim.routers, inTransit: map[[2]int][]byte{}}
	for _, router := range sim.routers {
		for _, z := range router.zones {
			clear(z.attempts.inFlight)
		}
		router.watchedAttempts, router.changes = 0, nil
	}
	level := []*model{first}
	known := map[string]bool{first.key(): true}
	evacuations := 0
	for range depth {
		var next []*model
		for _, m := range level {
			for _, c := range m.next() {
				key := c.key()
				if known[key] {
					continue
				}
				known[key] = true
				for index, router := range c.routers {
					if router.Share("b") == 1 {
						continue
					}
					evacuations++
					atMostOneFailing := c.failing&(c.failing-1) == 0
					if atMostOneFailing || router.Share("a") < 1 {
						t.Fatalf("router %d evacuated b with unanswered attempts at routers %03b and share %v of a",
							index, c.failing, router.Share("a"))
					}
				}
				next = append(next, c)
			}
		}
		level = next
	}
	t.Logf("%d states to a depth of %d, b was evacuated %d times", len(known), depth, evacuations)
	if evacuations == 0 {
		t.Error("no order of events evacuates the zone: the depth is too small")
	}
}
