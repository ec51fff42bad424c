package bulkhead

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestNobodyTakesAnothersLastPlace(t *testing.T) {
	p := New(100)
	p.Repartition(100, map[string]float64{"a": 1, "b": 1, "c": 3})
	a, b, c := p.Partition("a"), p.Partition("b"), p.Partition("c")
	n := 0
	for p.TryAcquire(a, 1) {
		n++
	}
	if a.Reserved() != 10 || n != 60 {
		t.Errorf("a, with %d of its own, took %d", a.Reserved(), n)
	}
	for i := range 10 {
		if !p.TryAcquire(b, 1) {
			t.Fatalf("b got only %d of its own", i)
		}
	}
	if p.TryAcquire(b, 1) || p.TryAcquire(nil, 1) || !p.TryAcquire(c, 30) || p.TryAcquire(c, 1) {
		t.Error("more was given than there is, or less than c's own")
	}
	p.Release(a, 5)
	if !p.TryAcquire(nil, 5) || p.TryAcquire(b, 1) {
		t.Error("what came back is not for whoever comes")
	}
}

// A new split keeps what is used; a team that is no longer named gives its places back as it lets go of them.
func TestSplitAnew(t *testing.T) {
	p := New(10)
	p.Repartition(10, map[string]float64{"a": 1, "b": 1})
	a := p.Partition("a")
	p.TryAcquire(a, 4)
	p.Repartition(10, map[string]float64{"b": 1})
	if p.Partition("a") != nil || p.Partition("b").Reserved() != 5 || p.TryAcquire(nil, 2) || !p.TryAcquire(nil, 1) {
		t.Error("the split does not keep what is used")
	}
	p.Release(a, 4)
	if !p.TryAcquire(nil, 4) || p.InUse() != 5 {
		t.Errorf("%d are used", p.InUse())
	}
	p.Repartition(10, map[string]float64{"b": 1, "tiny": 1e-9})
	if p.Partition("tiny").Reserved() != 1 {
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
		used := map[*Partition]int{}
		cut := 0
		split := func() {
			w := map[string]float64{}
			for _, n := range names {
				if rapid.Bool().Draw(t, "in") {
					w[n] = rapid.Float64Range(0, 5).Draw(t, "weight")
				}
			}
			p.Repartition(total, w)
			cut = max(0, p.inUse+p.unusedReserve-total)
		}
		split()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s := p.Partition(rapid.SampledFrom(names).Draw(t, "who"))
			switch n := rapid.IntRange(1, 4).Draw(t, "n"); rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				split()
			case 1, 2, 3:
				if s != nil && used[s] >= n {
					p.Release(s, n)
					used[s] -= n
				}
			default:
				room := s != nil && s.reserved-s.inUse >= n && cut == 0
				if got := p.TryAcquire(s, n); got && s != nil {
					used[s] += n
				} else if got {
					p.Release(nil, n)
				} else if room {
					t.Fatalf("a team with %d of %d was refused %d", s.inUse, s.reserved, n)
				}
			}
			reserved := 0
			for _, s := range p.partitions {
				if s.inUse != used[s] || s.inUse < 0 {
					t.Fatalf("a share counts %d, it uses %d", s.inUse, used[s])
				}
				reserved += max(0, s.reserved-s.inUse)
			}
			if reserved != p.unusedReserve {
				t.Fatalf("%d are reserved, counted %d", reserved, p.unusedReserve)
			}
			if p.inUse+p.unusedReserve > total+cut {
				t.Fatalf("%d used and %d reserved of %d", p.inUse, p.unusedReserve, total)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	p, w := New(100000), map[string]float64{}
	for i := range 1000 {
		w[fmt.Sprint(i)] = 1
	}
	p.Repartition(100000, w)
	s := p.Partition("7")
	b.ReportAllocs()
	for range b.N {
		if p.TryAcquire(s, 1) {
			p.Release(s, 1)
		}
	}
}
