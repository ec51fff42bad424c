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

// The same evidence gives the same verdict, in whatever order words come, twice or not.
func TestSameEvidenceSameVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "routers")
		var words [][]byte
		for from := range n {
			f := New(Settings{RouterIndex: from, RouterCount: n, Incarnation: 1})
			f.OnEndpoints(100, map[string]int{"a": 1, "b": 1, "c": 1}, nil)
			for _, name := range f.names {
				z := f.find(name)
				z.ok = rapid.Float64Range(96, 100).Draw(t, "ok")
				if rapid.Bool().Draw(t, "fails") {
					z.bad = min(100, z.ok+rapid.Float64Range(0, 1).Draw(t, "bad"))
				}
				z.state = State(rapid.IntRange(0, 4).Draw(t, "state"))
				z.share = 1
			}
			words = append(words, f.words(100, []*zone{f.find("a"), f.find("b"), f.find("c")}))
		}
		verdicts := map[string]bool{}
		for i := range 4 {
			f := New(Settings{RouterIndex: n, RouterCount: n + 1, Incarnation: 1})
			f.OnEndpoints(100, map[string]int{"a": 1, "b": 1, "c": 1}, nil)
			order := append(slices.Clone(words), words[:rapid.IntRange(0, n).Draw(t, "twice")]...)
			rand.New(rand.NewPCG(uint64(i), 1)).Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
			for _, text := range order {
				f.OnMessage(100, text)
			}
			f.ticked = 100
			f.Tick(100.05)
			f.Tick(100.2)
			verdicts[fmt.Sprint(f.Statuses(100.2))] = true
		}
		if len(verdicts) > 1 {
			t.Fatalf("%d verdicts: %v", len(verdicts), verdicts)
		}
	})
}

// Whatever is answered and whatever is lost, some zone is used by every router; and what began a return grows only by doublings.
func TestNeverAllAndNoLeaps(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := build(t, rapid.IntRange(1, 5).Draw(r, "routers"), "a", "b", "c")
		w.rate, w.chance = 60, rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 3))
		for range rapid.IntRange(1, 8).Draw(r, "troubles") {
			w.up[rapid.SampledFrom(w.names).Draw(r, "zone")] = rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(r, "up")
			w.loss = rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(r, "loss")
			for range rapid.IntRange(1, 30).Draw(r, "spell") {
				before := map[string]float64{}
				for n, f := range w.fleets {
					for _, name := range w.names {
						before[fmt.Sprint(n, name)] = f.Share(name)
					}
				}
				w.run(0.05)
				for n, f := range w.fleets {
					used := 0.0
					for _, name := range w.names {
						share, was := f.Share(name), before[fmt.Sprint(n, name)]
						used = max(used, share)
						if z := f.find(name); z.state == Recovering && was > 0 && was < 1 && share > 2*was && z.why != "others are ahead" {
							r.Fatalf("router %d gives %s %v after %v: %s", n, name, share, was, z.why)
						}
					}
					if used < 1 {
						r.Fatalf("router %d gives no zone all of its keys", n)
					}
				}
			}
		}
	})
}

// small is a small world that can be copied: three routers, two zones, the newest word between each two.
type small struct {
	now    float64
	fleets []*Controller
	mail   map[[2]int][]byte
	seen   int // routers that have had no answer in zone b, as bits
}

func (s *small) clone() *small {
	c := &small{now: s.now, mail: maps.Clone(s.mail), seen: s.seen}
	for _, f := range s.fleets {
		g := *f
		g.zones, g.peers, g.changes = map[uint32]*zone{}, map[int]*peer{}, nil
		for sum, z := range f.zones {
			y := *z
			y.out = maps.Clone(z.out)
			g.zones[sum] = &y
		}
		for n, p := range f.peers {
			q := *p
			q.said, q.before = maps.Clone(p.said), slices.Clone(p.before)
			g.peers[n] = &q
		}
		c.fleets = append(c.fleets, &g)
	}
	return c
}

// key tells states apart by what decides on: ages to a hundredth of a second.
func (s *small) key() string {
	text, age := "", func(at float64) int { return int(math.Round((s.now - at) * 100)) }
	for _, f := range s.fleets {
		for _, name := range f.names {
			z := f.find(name)
			text += fmt.Sprint(z.state, z.share, age(z.ok), age(z.bad), age(z.enough), age(z.left), age(z.stepped), z.good, z.poor, z.fresh, z.owed, age(z.said), ";")
			for _, n := range slices.Sorted(maps.Keys(f.peers)) {
				p := f.peers[n]
				x := p.said[z.sum]
				text += fmt.Sprint(age(p.at), x.state, x.share, age(x.ok), age(x.bad), p.cut, ",")
			}
		}
		text += fmt.Sprint(f.met, age(f.told), int(f.purse*10))
	}
	for from := range 3 {
		for to := range 3 {
			text += string(s.mail[[2]int{from, to}])
		}
	}
	return text
}

// steps gives every way on: an answer or none in zone b at a router, a word that comes or is lost, a tenth of a second.
func (s *small) steps() (all []*small) {
	for n := range s.fleets {
		for _, how := range []Outcome{Answered, NoAnswer} {
			c := s.clone()
			f := c.fleets[n]
			f.OnAttemptEnd(c.now, "b", f.OnAttemptStart(c.now-0.001, "b", 0.15), how)
			if how == NoAnswer {
				c.seen |= 1 << n
			}
			all = append(all, c)
		}
	}
	for way := range s.mail {
		for _, comes := range []bool{true, false} {
			c := s.clone()
			if delete(c.mail, way); comes {
				c.fleets[way[1]].OnMessage(c.now, s.mail[way])
			}
			all = append(all, c)
		}
	}
	{
		c := s.clone()
		c.now += 0.11
		for n, f := range c.fleets {
			f.Tick(c.now)
			if text := f.NextMessage(c.now); text != nil {
				for to := range c.fleets {
					if to != n {
						c.mail[[2]int{n, to}] = text
					}
				}
			}
		}
		all = append(all, c)
	}
	return all
}

// A small world whole: every order of answers, words, losses and times to a depth. What one router alone has seen leaves no zone, no
// router leaves all, and a zone of which two have had no answer can be left: the depth reaches that far.
func TestEveryOrder(t *testing.T) {
	const depth = 6
	w := build(t, 3, "a", "b")
	w.rate = 50
	w.run(2)
	first := &small{now: w.now, fleets: w.fleets, mail: map[[2]int][]byte{}}
	for _, f := range w.fleets {
		for _, z := range f.zones {
			clear(z.out)
		}
		f.watched, f.changes = 0, nil
	}
	level, known, left := []*small{first}, map[string]bool{first.key(): true}, 0
	for range depth {
		var next []*small
		for _, s := range level {
			for _, c := range s.steps() {
				key := c.key()
				if known[key] {
					continue
				}
				known[key] = true
				for n, f := range c.fleets {
					if f.Share("b") == 1 {
						continue
					}
					if left++; c.seen&(c.seen-1) == 0 || f.Share("a") < 1 {
						t.Fatalf("router %d left b, seen without an answer by routers %03b, and gives a %v", n, c.seen, f.Share("a"))
					}
				}
				next = append(next, c)
			}
		}
		level = next
	}
	t.Logf("%d states to a depth of %d, b was left in %d", len(known), depth, left)
	if left == 0 {
		t.Error("no order leaves the zone: the depth shows nothing")
	}
}
