package zonefailover

import (
	"fmt"
	"testing"
)

// A zone that answers nobody is left by all together, with little sent there in vain, and is back once it answers.
func TestLeftAsOneAndBack(t *testing.T) {
	w := build(t, 24, "a", "b", "c", "d")
	w.run(3)
	w.stays("b")
	w.up["b"] = 0
	first, last := w.until("left", 0.6, left("b"))
	t.Logf("left after %.2f to %.2f s, %d executions burnt", first, last, w.burnt["b"])
	if last-first > 0.3 {
		t.Errorf("%.2f s from first to last", last-first)
	}
	w.run(4)
	burnt := w.burnt["b"]
	w.up["b"] = 1
	_, began := w.until("its return begins", 0.3, func(f *Controller) bool { return f.find("b").state == Recovering })
	first, last = w.until("full", 3, full("b"))
	t.Logf("its return began everywhere within %.2f s", began)
	t.Logf("%d burnt in all, full after %.2f to %.2f s; %d words in %.0f s", burnt, first, last, w.words, w.now-1000)
	w.run(5)
	w.stays("b")
}

// What is no failure of a zone, or cannot be told from one's own, moves nobody.
func TestNothingIsLeft(t *testing.T) {
	for what, c := range map[string]func(w *world){
		"a third of its servers are down": func(w *world) { w.up["b"] = 0.67 },
		"it is slow":                      func(w *world) { w.slow["b"] = true },
		"one router does not reach it":    func(w *world) { w.reaches = func(n int, z string) bool { return n != 3 || z != "b" } },
		"a router is cut off": func(w *world) {
			w.reaches = func(n int, _ string) bool { return n != 3 }
			w.hears = func(from, to int) bool { return from != 3 && to != 3 }
		},
		"a router sends nothing through, and is heard": func(w *world) { w.reaches = func(n int, _ string) bool { return n != 3 } },
		"no zone answers":         func(w *world) { clear(w.up) },
		"it is the only zone":     func(w *world) { w.names, w.up["b"] = []string{"b"}, 0; w.again() },
		"nobody hears any other":  func(w *world) { w.hears = func(int, int) bool { return false }; w.up["b"] = 0 },
		"halves hear only halves": func(w *world) { w.hears = func(from, to int) bool { return from%2 == to%2 } },
	} {
		t.Run(what, func(t *testing.T) {
			w := build(t, 12, "a", "b", "c", "d")
			w.run(3)
			c(w)
			w.run(8)
			for _, zone := range w.names {
				w.stays(zone)
			}
		})
	}
}

func (w *world) again() {
	for n := range w.fleets {
		w.start(n, 2, nil)
	}
	w.run(3)
}

// Trouble beside the loss of a zone does not keep the fleet from leaving it, nor from coming back.
func TestLeftInTrouble(t *testing.T) {
	for what, c := range map[string]struct {
		begin, end func(w *world)
		bound      float64
	}{
		"words are lost by half": {func(w *world) { w.loss = 0.5 }, nil, 2.5},
		"words are late":         {func(w *world) { w.delay = 0.2 }, nil, 2.5},
		"seven in ten routers are killed": {func(w *world) {
			for n := range 17 {
				w.down[n] = true
			}
		}, func(w *world) {
			for n := range 17 {
				w.start(n, 2, nil)
			}
		}, 2.5},
		"its own routers reach it": {func(w *world) {
			w.up["b"] = 1
			inside := func(n int) bool { return n < 6 }
			w.reaches = func(n int, z string) bool { return inside(n) == (z == "b") }
			w.hears = func(from, to int) bool { return inside(from) == inside(to) }
		}, func(w *world) {
			w.reaches, w.hears = func(int, string) bool { return true }, func(int, int) bool { return true }
		}, 1.5},
		"clocks are off by minutes": {func(w *world) {
			for n := range w.fleets {
				w.skew = 60
				w.start(n, 2, nil)
			}
			w.up["b"] = 1
			w.run(3)
			w.up["b"] = 0
		}, nil, 1.5},
		"each zone has one server": {func(w *world) {
			w.servers = 1
			for n := range w.fleets {
				w.start(n, 2, nil)
			}
			w.up["b"] = 1
			w.run(3)
			w.up["b"] = 0
		}, nil, 1.5},
		"half of the builds do not know zones": {func(w *world) { w.hears = func(from, _ int) bool { return from%2 == 0 } }, nil, 2.5},
	} {
		t.Run(what, func(t *testing.T) {
			w := build(t, 24, "a", "b", "c", "d")
			w.run(3)
			w.up["b"] = 0
			c.begin(w)
			_, last := w.until("left", c.bound, func(f *Controller) bool {
				insider := what == "its own routers reach it" && f.set.RouterIndex < 6
				return insider || left("b")(f)
			})
			for _, other := range []string{"a", "c", "d"} {
				w.stays(other)
			}
			w.run(3)
			for _, other := range []string{"a", "c", "d"} { // also by those that are inside
				w.stays(other)
			}
			if c.end != nil {
				c.end(w)
			}
			w.run(1)
			w.up["b"] = 1
			_, back := w.until("full", 9, full("b"))
			t.Logf("left after %.2f s, full after %.2f s", last, back)
		})
	}
}

// A router that starts while a zone is left, or that was stopped, follows the others and does not undo what they did.
func TestFollowsOthers(t *testing.T) {
	w := build(t, 12, "a", "b", "c")
	w.run(3)
	w.up["b"] = 0
	w.until("left", 1.5, left("b"))
	w.start(5, 2, nil)
	w.run(1.2)
	if !left("b")(w.fleets[5]) {
		w.tell()
		t.Fatal("the new process uses a zone that all others have left")
	}
	w.down[7], w.stopped[7] = true, true // it knows what it knew, and words wait for it
	w.run(3)
	w.up["b"] = 1
	w.run(8)
	w.down[7], w.stopped[7] = false, false
	w.until("full", 3, full("b"))
	for range 60 { // and what it believed moves nobody
		w.run(0.05)
		w.stays("b")
	}
}

// A zone that comes and goes is left a bounded number of times, less and less often.
func TestFlapping(t *testing.T) {
	w := build(t, 12, "a", "b", "c")
	w.run(3)
	for i := range 40 { // two minutes
		w.up["b"] = float64(i % 2)
		w.run(3)
	}
	for _, s := range w.fleets[0].Statuses(w.now) {
		// The n-th time is no sooner than the holds before it, 1, 2, 4, ... s, have passed: six in 63 s, then one in each 64 s.
		if s.Zone == "b" && s.Transitions > 2*8 {
			w.tell()
			t.Errorf("%d moves in two minutes", s.Transitions)
		} else if s.Zone == "b" {
			t.Logf("%d moves in two minutes", s.Transitions)
		}
	}
}

// Where the return strains the zone, all take it back together; the zones of one region return one after another.
func TestReturnIsBorne(t *testing.T) {
	w := build(t, 12, "a", "b", "c", "d")
	for n := range w.fleets {
		w.start(n, 2, [][]string{{"b", "c"}})
	}
	w.run(3)
	w.up["b"], w.up["c"] = 0, 0
	w.until("b left", 2, left("b"))
	w.until("c left", 2, left("c"))
	w.run(3)
	w.up["b"], w.up["c"], w.full["b"] = 1, 1, true
	most := 0.0
	for range 400 {
		w.run(0.01)
		for _, f := range w.fleets {
			if f.find("b").state == Recovering && f.find("c").state == Recovering {
				t.Fatal("two zones of a region return at once")
			}
			most = max(most, f.Share("b"))
		}
	}
	if most > 0.5 {
		t.Errorf("a zone that turns all away was given %v of its keys", most)
	}
	w.full["b"] = false
	w.until("b full", 12, full("b"))
	w.until("c full", 12, full("c"))
}

// By hand goes before evidence, at this router alone, and the last zone is not left.
func TestByHand(t *testing.T) {
	w := build(t, 4, "a", "b")
	w.run(3)
	f := w.fleets[0]
	if !f.SetOperatorOverride(w.now, "b", true) || f.SetOperatorOverride(w.now, "a", true) {
		t.Fatal("b is left by hand, and a, the last, is not")
	}
	w.run(5)
	if f.Share("b") != 0 || w.fleets[1].Share("b") != 1 {
		t.Fatalf("shares %v and %v, want 0 by hand and 1 elsewhere", f.Share("b"), w.fleets[1].Share("b"))
	}
	f.SetOperatorOverride(w.now, "b", false)
	w.until("full", 4, full("b"))
}

// Words twice, in any order and from a former life of their router change nothing; damaged ones are no words.
func TestWords(t *testing.T) {
	w := build(t, 2, "a", "b")
	w.run(2)
	a, b := w.fleets[0], w.fleets[1]
	first := a.words(w.now, []*zone{a.find("a")})
	second := a.words(w.now, []*zone{a.find("a")})
	if !b.OnMessage(w.now, second) || !b.OnMessage(w.now, first) || b.peers[0].number != a.number {
		t.Error("a word that is older than the last was taken")
	}
	w.start(0, 7, nil)
	b.OnMessage(w.now, w.fleets[0].words(w.now, nil))
	a.number += 10
	if b.OnMessage(w.now, a.words(w.now, nil)); b.peers[0].life != 7 {
		t.Error("the life before came back")
	}
	for i := range second {
		bad := append([]byte(nil), second...)
		bad[i] ^= 4
		if unpack(bad) != nil {
			t.Errorf("damaged at byte %d, it was taken", i)
		}
	}
	ids := map[uint16]bool{0xffc7: true}
	for _, f := range w.fleets { // old builds take the first two bytes of three for the end of an id
		f.OnEndpoints(w.now, map[string]int{"a": 1}, ids)
		if text := f.words(w.now, nil); ids[uint16(text[0])|uint16(text[1])<<8] {
			t.Error("words name a server")
		}
	}
	if most := len(a.words(w.now, make9(a))); most > 256 {
		t.Errorf("%d bytes", most)
	}
}

func make9(f *Controller) (all []*zone) {
	for i := range perWord {
		all = append(all, f.zone(fmt.Sprint("z", i)))
	}
	return all
}

// Where the list takes away the zones that serve, those that were left serve again: some zone always serves all of its keys.
func TestSomeZoneRemains(t *testing.T) {
	w := build(t, 6, "a", "b")
	w.run(3)
	w.up["b"] = 0
	w.until("left", 1, left("b"))
	for _, f := range w.fleets {
		f.OnAttemptStart(w.now, "a", 9) // something is out there yet
		f.OnEndpoints(w.now, map[string]int{"b": 4}, nil)
	}
	w.until("b serves all", 0.2, full("b"))
}

// Those inside a zone that is cut off judge no other, also none that failed of late and would be left on the word of two.
func TestInsidersJudgeNone(t *testing.T) {
	w := build(t, 24, "a", "b", "c", "d")
	w.run(3)
	w.up["b"] = 0
	w.until("left", 1, left("b"))
	w.up["b"] = 1
	w.until("full", 9, full("b"))
	w.run(1)
	inside := func(n int) bool { return n < 6 }
	w.reaches = func(n int, z string) bool { return inside(n) == (z == "a") }
	w.hears = func(from, to int) bool { return inside(from) == inside(to) }
	for range 60 {
		w.run(0.05)
		w.stays("b")
	}
}

// Two parts of a fleet that meet again: who has answers in a zone goes on using it, and the others, though they are more, come back to it.
func TestPartsMeetAgain(t *testing.T) {
	w := build(t, 12, "a", "b", "c", "d")
	w.run(3)
	few := func(n int) bool { return n < 4 }
	w.reaches = func(n int, z string) bool { return few(n) || z != "b" }
	w.hears = func(from, to int) bool { return few(from) == few(to) }
	w.run(3)
	if !left("b")(w.fleets[8]) {
		t.Fatal("who does not reach the zone still uses it")
	}
	w.reaches, w.hears = func(int, string) bool { return true }, func(int, int) bool { return true }
	for range 80 {
		w.run(0.05)
		for n := range 4 {
			if !full("b")(w.fleets[n]) {
				w.tell()
				t.Fatalf("router %d, which has answers there, gives it %v", n, w.fleets[n].Share("b"))
			}
		}
	}
	w.until("full", 3, full("b"))
}

// A process that stood still knows nothing: neither what is out since before nor the words that waited for it count.
func TestWaking(t *testing.T) {
	w := build(t, 4, "a", "b")
	w.run(3)
	f := w.fleets[0]
	f.OnAttemptStart(w.now, "a", 0.15)
	f.OnAttemptStart(w.now, "b", 0.15)
	f.find("a").bad = w.now
	w.fleets[1].find("b").bad = w.now
	old := w.fleets[1].words(w.now, []*zone{w.fleets[1].find("b")})
	now := w.now + 5
	f.OnMessage(now, old)
	f.Tick(now + 0.01)
	for _, s := range f.Statuses(now + 0.01) {
		if s.VotesAgainst > 0 || s.RoutersHeard > 1 {
			t.Errorf("%s: %d against it, of %d heard, after five seconds of standing still", s.Zone, s.VotesAgainst, s.RoutersHeard)
		}
	}
	if f.find("a").bad > 0 {
		t.Error("what began to fail before it stood still counts")
	}
	if f.watched > 0 || f.NextMessage(now+0.05) == nil {
		t.Error("what was out is still watched, or nobody is asked")
	}
}

// What others said before a zone began to return does not have it left again: they have not come to say that they let it return, too.
func TestOldEvidence(t *testing.T) {
	w := build(t, 12, "a", "b", "c")
	w.run(3)
	w.up["b"] = 0
	w.until("left", 1, left("b"))
	w.run(1)
	f := w.fleets[0]
	f.StartRecovery(w.now, "b")
	for now := w.now + 0.05; now < w.now+0.4; now += 0.05 {
		if f.Tick(now); f.find("b").state != Recovering {
			t.Fatalf("it is %v again: %s", f.find("b").state, f.find("b").why)
		}
	}
}

// A router that heard nothing while the others returned catches up at once.
func TestCatchesUp(t *testing.T) {
	w := build(t, 12, "a", "b", "c")
	w.run(3)
	w.up["b"] = 0
	w.until("left", 1, left("b"))
	w.run(1)
	w.up["b"] = 1
	w.hears = func(from, to int) bool { return to != 3 }
	w.run(4)
	w.hears = func(from, to int) bool { return true }
	w.until("full", 1.8, full("b"))
}

// More zones than a message holds are told in turn, one message at a time, and what others have to hear first.
func TestManyZones(t *testing.T) {
	var names []string
	for n := range 3 * perWord {
		names = append(names, fmt.Sprintf("zone-%02d", n))
	}
	w := build(t, 8, names...)
	w.rate = 300
	w.run(5)
	if most := 8 * (5/w.fleets[0].period() + mostUrgent); float64(w.words) > 1.5*most {
		t.Errorf("%d words in 5 s of calm, want some %.0f", w.words, most)
	}
	last := names[len(names)-1]
	w.up[last] = 0.6 // who has answers there says so, of all those zones
	w.run(6)
	w.stays(last)
	w.up[last] = 1
	w.run(1)
	w.up[last] = 0
	w.until("left", 1.5, left(last))
	w.up[last] = 1
	w.until("full", 6, full(last))
}

// What one router's list says is gone, while others have answers there, is no vote against it, and it comes back with the list.
func TestListSaysGone(t *testing.T) {
	w := build(t, 6, "a", "b")
	w.run(2)
	for n := range 3 {
		w.fleets[n].OnEndpoints(w.now, map[string]int{"a": 4}, nil)
	}
	w.run(3)
	w.stays("b")
	for n := range 3 {
		w.fleets[n].OnEndpoints(w.now, map[string]int{"a": 4, "b": 4}, nil)
	}
	w.run(1)
	w.stays("b")
	for _, f := range w.fleets {
		for _, s := range f.Statuses(w.now) {
			if s.VotesAgainst > 0 {
				t.Errorf("%d against %s", s.VotesAgainst, s.Zone)
			}
		}
	}
}

// A zone that fails again while it returns is left on the word of two, not of a quarter.
func TestFailsAgainOnReturn(t *testing.T) {
	w := build(t, 24, "a", "b", "c", "d")
	w.run(3)
	w.up["b"] = 0
	w.until("left", 1, left("b"))
	w.up["b"] = 1
	w.until("its return begins", 2, func(f *Controller) bool { return f.find("b").state == Recovering })
	w.reaches = func(n int, z string) bool { return n >= 3 || z != "b" }
	for _, f := range w.fleets[:3] { // three of 24 miss answers, nobody else had one since
		f.find("b").ok, f.find("b").bad = 0, w.now+0.01
	}
	for _, f := range w.fleets[3:] {
		f.find("b").ok = 0
	}
	w.rate = 0
	w.until("left again", 0.4, func(f *Controller) bool { return f.find("b").state == Evacuated })
}
