package bulkhead

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// One team acquires all slots that it can get. The slots reserved for the other teams stay available to them, and no
// team can acquire the last reserved slot of another. Released slots beyond a team's reserve are available to all.
func TestReservedSlotsAreKeptForTheirTeams(t *testing.T) {
	bulkhead := New(100)
	bulkhead.Repartition(100, map[string]float64{"a": 1, "b": 1, "c": 3})
	a, b, c := bulkhead.Partition("a"), bulkhead.Partition("b"), bulkhead.Partition("c")
	n := 0
	for bulkhead.TryAcquire(a, 1) {
		n++
	}
	if a.Reserved() != 10 || n != 60 {
		t.Errorf("a has %d reserved slots, want 10; it acquired %d, want 60", a.Reserved(), n)
	}
	for i := range 10 {
		if !bulkhead.TryAcquire(b, 1) {
			t.Fatalf("b acquired %d of its reserved slots, want 10", i)
		}
	}
	if bulkhead.TryAcquire(b, 1) || bulkhead.TryAcquire(nil, 1) || !bulkhead.TryAcquire(c, 30) || bulkhead.TryAcquire(c, 1) {
		t.Error("more slots were acquired than there are, or c could not acquire its 30 reserved slots")
	}
	bulkhead.Release(a, 5)
	if !bulkhead.TryAcquire(nil, 5) || bulkhead.TryAcquire(b, 1) {
		t.Error("the 5 released slots could not be acquired without a partition, or more than 5 could be")
	}
}

// Repartitioning keeps the slots in use. A team that is no longer listed loses its reserved slots, and the slots that
// it uses become available as it releases them. A team with a small weight has one reserved slot.
func TestRepartition(t *testing.T) {
	bulkhead := New(10)
	bulkhead.Repartition(10, map[string]float64{"a": 1, "b": 1})
	a := bulkhead.Partition("a")
	bulkhead.TryAcquire(a, 4)
	bulkhead.Repartition(10, map[string]float64{"b": 1})
	ended := bulkhead.Partition("a") == nil && bulkhead.Partition("b").Reserved() == 5
	if !ended || bulkhead.TryAcquire(nil, 2) || !bulkhead.TryAcquire(nil, 1) {
		t.Error("after a is no longer listed: want no partition of a, 5 slots reserved for b, and 1 other slot free")
	}
	bulkhead.Release(a, 4)
	if !bulkhead.TryAcquire(nil, 4) || bulkhead.InUse() != 5 {
		t.Errorf("after a released 4 slots: want 4 slots free; %d are in use, want 5", bulkhead.InUse())
	}
	bulkhead.Repartition(10, map[string]float64{"b": 1, "tiny": 1e-9})
	if bulkhead.Partition("tiny").Reserved() != 1 {
		t.Error("a team with a small weight has no reserved slot, want 1")
	}
}

// For random sequences of acquisitions, releases and repartitions: a team below its reserve can always acquire a slot,
// and the slots in use and reserved do not exceed the capacity, except by as many as a repartition left in excess.
func TestInvariantsOfRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		bulkhead := New(total)
		teams := []string{"a", "b", "c", "d"}
		used := map[*Partition]int{}
		excess := 0
		repartition := func() {
			weights := map[string]float64{}
			for _, team := range teams {
				if rapid.Bool().Draw(t, "listed") {
					weights[team] = rapid.Float64Range(0, 5).Draw(t, "weight")
				}
			}
			bulkhead.Repartition(total, weights)
			excess = max(0, bulkhead.inUse+bulkhead.unusedReserve-total)
		}
		repartition()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			p := bulkhead.Partition(rapid.SampledFrom(teams).Draw(t, "team"))
			n := rapid.IntRange(1, 4).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
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
					t.Fatalf("a team that uses %d of %d reserved slots could not acquire %d", p.inUse, p.reserved, n)
				}
			}
			reserve := 0
			for _, p := range bulkhead.partitions {
				if p.inUse != used[p] || p.inUse < 0 {
					t.Fatalf("a partition has %d slots in use, want %d", p.inUse, used[p])
				}
				reserve += max(0, p.reserved-p.inUse)
			}
			if reserve != bulkhead.unusedReserve {
				t.Fatalf("the sum of unused reserved slots is %d, but unusedReserve is %d", reserve, bulkhead.unusedReserve)
			}
			if bulkhead.inUse+bulkhead.unusedReserve > total+excess {
				t.Fatalf("%d slots in use and %d reserved exceed %d in total", bulkhead.inUse, bulkhead.unusedReserve, total)
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
