package bulkhead

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestNobodyTakesAnothersLastPlace(t *testing.T) {
	p := New(100)
	p.Split(100, map[string]float64{"a": 1, "b": 1, "c": 3})
	a, b, c := p.Share("a"), p.Share("b"), p.Share("c")
	n := 0
	for p.Take(a, 1) {
		n++
	}
	if a.Own() != 10 || n != 60 {
		t.Errorf("a, with %d of its own, took %d", a.Own(), n)
	}
	for i := range 10 {
		if !p.Take(b, 1) {
			t.Fatalf("b got only %d of its own", i)
		}
	}
	if p.Take(b, 1) || p.Take(nil, 1) || !p.Take(c, 30) || p.Take(c, 1) {
		t.Error("more was given than there is, or less than c's own")
	}
	p.Release(a, 5)
	if !p.Take(nil, 5) || p.Take(b, 1) {
		t.Error("what came back is not for whoever comes")
	}
}

// A new split keeps what is used; a team that is no longer named gives its places back as it lets go of them.
func TestSplitAnew(t *testing.T) {
	p := New(10)
	p.Split(10, map[string]float64{"a": 1, "b": 1})
	a := p.Share("a")
	p.Take(a, 4)
	p.Split(10, map[string]float64{"b": 1})
	if p.Share("a") != nil || p.Share("b").Own() != 5 || p.Take(nil, 2) || !p.Take(nil, 1) {
		t.Error("the split does not keep what is used")
	}
	p.Release(a, 4)
	if !p.Take(nil, 4) || p.Used() != 5 {
		t.Errorf("%d are used", p.Used())
	}
	p.Split(10, map[string]float64{"b": 1, "tiny": 1e-9})
	if p.Share("tiny").Own() != 1 {
		t.Error("a small team has no place of its own")
	}
}

// Whatever is taken, given back and split: a team below its own always gets a place, and no more are used than there
// are, but for those that a new split took from under their users.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		p := New(total)
		names := []string{"a", "b", "c", "d"}
		used := map[*Share]int{}
		cut := 0
		split := func() {
			w := map[string]float64{}
			for _, n := range names {
				if rapid.Bool().Draw(t, "in") {
					w[n] = rapid.Float64Range(0, 5).Draw(t, "weight")
				}
			}
			p.Split(total, w)
			cut = max(0, p.used+p.reserved-total)
		}
		split()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s := p.Share(rapid.SampledFrom(names).Draw(t, "who"))
			switch n := rapid.IntRange(1, 4).Draw(t, "n"); rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				split()
			case 1, 2, 3:
				if s != nil && used[s] >= n {
					p.Release(s, n)
					used[s] -= n
				}
			default:
				room := s != nil && s.own-s.used >= n && cut == 0
				if got := p.Take(s, n); got && s != nil {
					used[s] += n
				} else if got {
					p.Release(nil, n)
				} else if room {
					t.Fatalf("a team with %d of %d was refused %d", s.used, s.own, n)
				}
			}
			reserved := 0
			for _, s := range p.shares {
				if s.used != used[s] || s.used < 0 {
					t.Fatalf("a share counts %d, it uses %d", s.used, used[s])
				}
				reserved += max(0, s.own-s.used)
			}
			if reserved != p.reserved {
				t.Fatalf("%d are reserved, counted %d", reserved, p.reserved)
			}
			if p.used+p.reserved > total+cut {
				t.Fatalf("%d used and %d reserved of %d", p.used, p.reserved, total)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	p, w := New(100000), map[string]float64{}
	for i := range 1000 {
		w[fmt.Sprint(i)] = 1
	}
	p.Split(100000, w)
	s := p.Share("7")
	b.ReportAllocs()
	for range b.N {
		if p.Take(s, 1) {
			p.Release(s, 1)
		}
	}
}
