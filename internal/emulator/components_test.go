package emulator

import "testing"

// A load of exactly the multiple is no overload. A slightly higher load for the whole time is one. A pause restarts the
// count of windows.
func TestOverloadDetector(t *testing.T) {
	for _, c := range []struct {
		name      string
		work      float64 // every 10 ms; 0.02 is exactly the multiple; at a window's edge one may fall into the next window
		pause     bool
		wantAfter float64 // seconds, 0: never
	}{
		{"at the multiple", 0.02, false, 0},
		{"a little above", 0.023, false, 1},
		{"far above", 1, false, 1},
		{"above, with a pause", 0.03, true, 0},
	} {
		detector, detectedAt := OverloadDetector{Multiple: 2, Seconds: 1}, 0.0
		for i := range 300 {
			now := 100 + float64(i)*0.01
			if c.pause && i%90 >= 75 {
				continue // for longer than one window
			}
			if detector.Add(now, c.work, 1) && detectedAt == 0 {
				detectedAt = now - 100
			}
		}
		if c.wantAfter == 0 && detectedAt != 0 || c.wantAfter > 0 &&
			(detectedAt < c.wantAfter-0.05 || detectedAt > c.wantAfter+0.15) {
			t.Errorf("%s: overload detected after %.2f s, want %v (0: never)", c.name, detectedAt, c.wantAfter)
		}
	}
}

func TestStoreEvictsLeastRecentlyUsed(t *testing.T) {
	cache := newStore(2)
	cache.put("a")
	cache.put("b")
	cache.has("a")
	cache.put("c")
	if !cache.has("a") || cache.has("b") || !cache.has("c") {
		t.Error("want a and c stored and b, the least recently used, evicted")
	}
	cache.drop("a")
	if cache.has("a") || len(cache.at) != 1 {
		t.Error("a dropped key is still stored")
	}
}

// An idempotency key is known until just before its window's end, and is removed from then on.
func TestDedupTableExpiresAtWindowEnd(t *testing.T) {
	table := &dedupTable{entries: map[string]dedupEntry{}}
	table.add(10, "k", "7", 5)
	if receipt, known := table.lookup(14.999, "k"); !known || receipt != "7" {
		t.Error("a repeat within the window was not found with its receipt")
	}
	if _, known := table.lookup(15, "k"); known {
		t.Error("a repeat at the window's end was found, want none")
	}
	table.add(15, "other", "8", 5)
	if len(table.entries) != 1 || len(table.order) != 1 {
		t.Errorf("%d keys are stored, want 1", len(table.entries))
	}
}

// Faults on one server may overlap and end in any order. The rate always reflects the active faults only.
func TestOverlappingServerFaults(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"))
	server := servers[0]
	rate := func(want float64) {
		t.Helper()
		if server.processor.rate != want {
			t.Errorf("the rate is %v, want %v", server.processor.rate, want)
		}
	}
	fleet.runOnLoop(func() {
		endA := server.Slow(4)
		endB := server.Slow(2)
		rate(0.125)
		endStall := server.Stall()
		rate(0)
		endA()
		endStall()
		rate(0.5)
		endOne, endTwo := server.Stall(), server.Stall()
		endOne()
		rate(0)
		endTwo()
		endB()
		rate(1)
	})
}
