package bulkhead

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestNobodyTakesAnothersLastSlot(t *testing.T) {
	bulkhead := New(100)
	bulkhead.Repartition(100, map[string]float64{"a": 1, "b": 1, "c": 3})
	a, b, c := bulkhead.Partition("a"), bulkhead.Partition("b"), bulkhead.Partition("c")
	n := 0
	for bulkhead.TryAcquire(a, 1) {
		n++
	}
	if a.Reserved() != 10 || n != 60 {
		t.Errorf("a, with %d reserved, took %d", a.Reserved(), n)
	}
	for i := range 10 {
		if !bulkhead.TryAcquire(b, 1) {
			t.Fatalf("b got only %d of its own", i)
		}
	}
	if bulkhead.TryAcquire(b, 1) || bulkhead.TryAcquire(nil, 1) || !bulkhead.TryAcquire(c, 30) || bulkhead.TryAcquire(c, 1) {
		t.Error("more was given than there is, or less than is reserved for c")
	}
	bulkhead.Release(a, 5)
	if !bulkhead.TryAcquire(nil, 5) || bulkhead.TryAcquire(b, 1) {
		t.Error("what was released is not for whoever comes")
	}
}

// A new partition keeps what is in use; a team that is no longer named gives its slots back as it releases them.
func TestRepartition(t *testing.T) {
	bulkhead := New(10)
	bulkhead.Repartition(10, map[string]float64{"a": 1, "b": 1})
	a := bulkhead.Partition("a")
	bulkhead.TryAcquire(a, 4)
	bulkhead.Repartition(10, map[string]float64{"b": 1})
	ended := bulkhead.Partition("a") == nil && bulkhead.Partition("b").Reserved() == 5
	if !ended || bulkhead.TryAcquire(nil, 2) || !bulkhead.TryAcquire(nil, 1) {
		t.Error("the partition does not keep what is in use")
	}
	bulkhead.Release(a, 4)
	if !bulkhead.TryAcquire(nil, 4) || bulkhead.InUse() != 5 {
		t.Errorf("%d are in use", bulkhead.InUse())
	}
	bulkhead.Repartition(10, map[string]float64{"b": 1, "tiny": 1e-9})
	if bulkhead.Partition("tiny").Reserved() != 1 {
		t.Error("a small team has no reserved slot")
	}
}

// Whatever is taken, released and repartitioned: a team below its reserve always gets a slot, and no more are in use
// than there are, but for those that a repartition took from under their users.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		bulkhead := New(total)
		teams := []string{"a", "b", "c", "d"}
		used := map[*Partition]int{}
		excess := 0
		repartition := func() {
			weights := map[string]float64{}
			for _, team := range teams {
				if rapid.Bool().Draw(t, "in") {
					weights[team] = rapid.Float64Range(0, 5).Draw(t, "weight")
				}
			}
			bulkhead.Repartition(total, weights)
			excess = max(0, bulkhead.inUse+bulkhead.unusedReserve-total)
		}
		repartition()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			p := bulkhead.Partition(rapid.SampledFrom(teams).Draw(t, "who"))
			n := rapid.IntRange(1, 4).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				repartition()
			case 1, 2, 3:
				if p != nil && used[p] >= n {
					bulkhead.Release(p, n)
					used[p] -= n
				}
			default:
				withinReserve := p != nil && p.reserved-p.inUse >= n && excess == 0
				if acquired := bulkhead.TryAcquire(p, n); acquired && p != nil {
					used[p] += n
				} else if acquired {
					bulkhead.Release(nil, n)
				} else if withinReserve {
					t.Fatalf("a team with %d of %d was refused %d", p.inUse, p.reserved, n)
				}
			}
			reserve := 0
			for _, p := range bulkhead.partitions {
				if p.inUse != used[p] || p.inUse < 0 {
					t.Fatalf("a partition counts %d, it uses %d", p.inUse, used[p])
				}
				reserve += max(0, p.reserved-p.inUse)
			}
			if reserve != bulkhead.unusedReserve {
				t.Fatalf("%d are reserved, counted %d", reserve, bulkhead.unusedReserve)
			}
			if bulkhead.inUse+bulkhead.unusedReserve > total+excess {
				t.Fatalf("%d in use and %d reserved of %d", bulkhead.inUse, bulkhead.unusedReserve, total)
			}
		}
	})
}

func BenchmarkTryAcquire(b *testing.B) {
	bulkhead := New(100000)
	weights := map[string]float64{}
	for i := range 1000 {
		weights[fmt.Sprint(i)] = 1
	}
	bulkhead.Repartition(100000, weights)
	p := bulkhead.Partition("7")
	b.ReportAllocs()
	for range b.N {
		if bulkhead.TryAcquire(p, 1) {
			bulkhead.Release(p, 1)
		}
	}
}
