package gossip

import (
	"math"
	"testing"
)

// A router reports a refusal and fails, and the first owner fails before any datagram that it sends has arrived. The
// second owner was sent the refusal as well and publishes it, whether the server was never reported before or the
// first owner has just published a summary of it.
func TestSecondOwnerPublishesRefusalIfFirstFails(t *testing.T) {
	for _, published := range []bool{false, true} {
		net := newNetwork(t, 100, 40)
		net.unobserved[5] = !published
		net.run(12)
		net.unobserved[5] = true
		net.run(1)
		first := int(net.ownersOf(0, 5)[0])
		reporter := net.nonOwner(5)
		net.partitioned = func(from, to int) bool { return from == first } // all datagrams of the first owner are lost
		net.observe(reporter, 5, refusalByte)
		net.run(0.06)
		net.down[reporter] = true
		net.down[first] = true
		if _, _, last := net.measureSpread(6, holdsRefusal(5)); last > maxSpreadTime {
			t.Errorf("published before: %t: the refusal reached the last router after %v s, want at most maxSpreadTime",
				published, last)
		}
	}
}

// Both first owners of a server stop. Observations are sent to the next two owners, until the first owner restarts.
func TestNextOwnersReplaceStoppedOwners(t *testing.T) {
	net := newSettledNetwork(t, 100)
	owners := net.ownersOf(0, 3)
	net.down[int(owners[0])] = true
	net.down[int(owners[1])] = true
	net.run(3 * summaryLifetime)
	for _, n := range net.running() {
		held := net.gossipers[n].serverByID[serverID(3)].held
		age := net.clock(n) - held.originatedAt
		if age > summaryLifetime || held.rank < 2 {
			t.Fatalf("router %d holds a summary of rank %d, %.1f s old, want rank 2 or more, at most summaryLifetime old",
				n, held.rank, age)
		}
	}
	net.start(int(owners[0])) // routers send it observations again
	net.run(2 * summaryLifetime)
	for _, n := range net.running() {
		s := net.gossipers[n].serverByID[serverID(3)]
		if s.held.rank != 0 || s.baseRank != 0 {
			t.Fatalf("router %d: held rank %d, base rank %d, want 0 and 0", n, s.held.rank, s.baseRank)
		}
	}
}

// Of two owners' summaries, that of the earlier owner takes precedence as long as this owner publishes. An urgent
// refusal is accepted from either.
func TestEarlierOwnerTakesPrecedence(t *testing.T) {
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
		t.Fatalf("first summary: load %v, want 50", got)
	}
	if got := accept(2, 15, 3, false); got != 50 {
		t.Errorf("after a summary of the third owner: load %v, want 50 of the first", got)
	}
	if got := accept(1, 15, 40, true); got != 40 {
		t.Errorf("after a refusal published by the second owner: load %v, want 40", got)
	}
	if got := accept(0, 14.5, 51, false); got != 51 {
		t.Errorf("after a summary of the first owner that follows one of the second: load %v, want 51", got)
	}
	if got := accept(2, 14.5+overdueInterval, 30, false); got != 30 {
		t.Errorf("after a summary of the third owner, with the first overdue: load %v, want 30", got)
	}
}

// Routers that receive the same summaries in different orders, each twice, hold the same summary in the end.
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
			t.Fatalf("round %d: version %d, load %v, want version 119, load 19", round, held.version, held.load)
		}
	}
}

// Two groups are partitioned from each other. Each side continues with the observations of its own routers. 5 s after
// the partition has healed, all routers hold the sums of both groups, and the traffic has stayed within the budget.
func TestPartitionAndMerge(t *testing.T) {
	net := newNetwork(t, 520, 60) // two groups
	net.run(15)
	from, to := net.view.groupBounds(0)
	inGroup := func(n int) bool { return n >= from && n < to }
	net.partitioned = func(a, b int) bool { return inGroup(a) != inGroup(b) }
	net.run(15)
	loads := func() (inside, outside float64) {
		for n, f := range net.gossipers {
			sum := 0.0
			for _, s := range f.servers {
				sum += s.held.load
			}
			if inGroup(n) {
				inside += sum / float64(to-from)
			} else {
				outside += sum / float64(520-to+from)
			}
		}
		return inside, outside
	}
	inside, outside := loads()
	if fraction := inside / (inside + outside); fraction < 0.44 || fraction > 0.56 { // half of the routers on each side
		t.Errorf("during the partition loads are %v and %v, want both within 0.44 to 0.56 of their sum", inside, outside)
	}
	net.partitioned = func(int, int) bool { return false }
	net.resetCounters()
	net.run(5)
	inside, outside = loads()
	if math.Abs(inside/outside-1) > 0.12 {
		t.Errorf("5 s after the partition loads are %v and %v, want a difference of at most 12%%", inside, outside)
	}
	if _, most, _, _ := net.traffic(5); most > 7000 {
		t.Errorf("after the partition a router uses %v bytes per second, want at most 7000", most)
	}
}
