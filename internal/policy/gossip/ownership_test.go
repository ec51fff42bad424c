package gossip

import (
	"math"
	"testing"
)

// A router reports a refusal and dies, and so does the first owner before anything that it sends has arrived. The
// second owner was sent the refusal as well and publishes it, whether the server was never reported before or the
// first owner has just published a summary of it.
func TestFirstOwnerDiesWithUnpublishedRefusal(t *testing.T) {
	for _, published := range []bool{false, true} {
		net := newNetwork(t, 100, 40)
		net.unobserved[5] = !published
		net.run(12)
		net.unobserved[5] = true
		net.run(1)
		first := int(net.ownersOf(0, 5)[0])
		reporter := net.nonOwner(5)
		net.partitioned = func(from, to int) bool { return from == first } // nothing that it sends arrives
		net.observe(reporter, 5, refusalByte)
		net.run(0.06)
		net.down[reporter] = true
		net.down[first] = true
		if _, _, last := net.measureSpread(6, believesRefusing(5)); last > inTime {
			t.Errorf("published before: %t: the last knew after %v s", published, last)
		}
	}
}

// Both owners of a server are gone for good: observations are sent to the next two, until the first owner is back.
func TestBothOwnersGone(t *testing.T) {
	net := newSettledNetwork(t, 100)
	owners := net.ownersOf(0, 3)
	net.down[int(owners[0])] = true
	net.down[int(owners[1])] = true
	net.run(3 * summaryLifetime)
	for _, n := range net.running() {
		held := net.gossipers[n].serverByID[serverID(3)].held
		age := net.clock(n) - held.originatedAt
		if age > summaryLifetime || held.rank < 2 {
			t.Fatalf("router %d has a summary of rank %d, %.1f s old", n, held.rank, age)
		}
	}
	net.start(int(owners[0])) // it is sent observations again once it is back
	net.run(2 * summaryLifetime)
	for _, n := range net.running() {
		s := net.gossipers[n].serverByID[serverID(3)]
		if s.held.rank != 0 || s.baseRank != 0 {
			t.Fatalf("router %d goes by rank %d, base %d", n, s.held.rank, s.baseRank)
		}
	}
}

// Of the summaries of two owners the lower rank counts as long as it is published; a refusal counts from either.
func TestOwnerRanks(t *testing.T) {
	net := newSettledNetwork(t, 30)
	router := New(net.clock(0), Settings{Self: 0, BytesPerSecond: 7000}, net.view)
	router.SetServers([]uint16{7})
	now := net.clock(0)
	accept := func(rank uint8, after, load float64, refusing bool) float64 {
		router.accept(router.serverByID[7], summary{
			rank:         rank,
			incarnation:  rank,
			version:      byte(after * 10),
			originatedAt: now + after,
			load:         load,
			mean:         1,
			refusing:     refusing,
			urgent:       refusing,
		})
		return router.serverByID[7].held.load
	}
	router.now = now + 20
	if got := accept(0, 14, 50, false); got != 50 {
		t.Fatalf("load %v", got)
	}
	if got := accept(2, 15, 3, false); got != 50 {
		t.Errorf("a summary of the third owner counts: load %v", got)
	}
	if got := accept(1, 15, 40, true); got != 40 {
		t.Errorf("a refusal published by the second owner does not count: load %v", got)
	}
	if got := accept(0, 14.5, 51, false); got != 51 {
		t.Errorf("the first owner does not count after the second: load %v", got)
	}
	if got := accept(2, 14.5+overdueInterval, 30, false); got != 30 {
		t.Errorf("where the first owner is silent the third does not count: load %v", got)
	}
}

// Summaries merge to the same result in any order, and however often they arrive.
func TestMergeIsOrderIndependent(t *testing.T) {
	net := newSettledNetwork(t, 30)
	var all [][]byte
	for i := range 20 {
		published := summary{
			version:      byte(100 + i),
			incarnation:  9,
			load:         float64(i),
			mean:         1,
			originatedAt: net.clock(0) - 2 + float64(i)/10,
		}
		all = append(all, appendChecksum(appendSummary(newMessage(kindSummaries), 7, published, net.clock(0))))
	}
	for round := range 50 {
		router := New(net.clock(0), Settings{Self: 0, BytesPerSecond: 7000}, net.view)
		router.SetServers([]uint16{7})
		for _, i := range net.random.Perm(40) {
			router.OnDatagram(net.clock(0), 1+i%20, all[i%20])
		}
		if held := router.serverByID[7].held; held.version != 119 || held.load != 19 {
			t.Fatalf("round %d: version %d, load %v", round, held.version, held.load)
		}
	}
}

// A part of the routers is cut off. Each side goes on with the observations of its own routers; 5 s after the
// partition has healed all have the sums of both again, within the budget.
func TestPartitionAndMerge(t *testing.T) {
	net := newNetwork(t, 520, 60) // two groups
	net.run(15)
	from, to := net.view.groupBounds(0)
	part := func(n int) bool { return n >= from && n < to }
	net.partitioned = func(a, b int) bool { return part(a) != part(b) }
	net.run(15)
	loads := func() (inside, outside float64) {
		for n, f := range net.gossipers {
			sum := 0.0
			for _, s := range f.servers {
				sum += s.held.load
			}
			if part(n) {
				inside += sum / float64(to-from)
			} else {
				outside += sum / float64(520-to+from)
			}
		}
		return inside, outside
	}
	inside, outside := loads()
	if part := inside / (inside + outside); part < 0.44 || part > 0.56 { // half of the routers each
		t.Errorf("in the part that is cut off loads are %v, in the rest %v", inside, outside)
	}
	net.partitioned = func(int, int) bool { return false }
	net.resetCounters()
	net.run(5)
	inside, outside = loads()
	if math.Abs(inside/outside-1) > 0.12 {
		t.Errorf("5 s after the partition loads are %v and %v", inside, outside)
	}
	if _, most, _, _ := net.traffic(5); most > 7000 {
		t.Errorf("after the partition one router spends %v bytes a second", most)
	}
}
