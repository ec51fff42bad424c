package gossip

import (
	"runtime"
	"testing"
)

// Lists of any length are split into groups of nearly equal size, also where groups of the largest size would leave a
// single router for the last one.
func TestGroupsAreEven(t *testing.T) {
	for n := 1; n < 4000; n++ {
		v := NewView(make([]uint32, n))
		next := 0
		for group := range v.groups {
			from, to := v.groupBounds(group)
			size := to - from
			badSize := size > maxGroupRouters || size < min(n, maxGroupRouters/2)
			if from != next || badSize || v.groupOf(from) != group || v.groupOf(to-1) != group {
				t.Fatalf("%d routers: group %d is %d to %d, want it to adjoin the group before and to have a valid size",
					n, group, from, to)
			}
			next = to
		}
		if next != n {
			t.Fatalf("%d routers: the last group ends at %d, want it to end with the list", n, next)
		}
	}
}

// Few routers are the first owner of two servers and none of more, and removing a server moves few others.
func TestOwnersAreBalanced(t *testing.T) {
	v := NewView(nameHashes(3700))
	ids := serverIDs(380)
	v.setServers(ids)
	firsts, before := map[int16]int{}, map[uint16]int16{}
	for _, id := range ids {
		all := v.ownersOf(2, id)
		firsts[all[0]]++
		before[id] = all[0]
		seen := map[int16]bool{}
		for _, r := range all {
			if from, to := v.groupBounds(2); int(r) < from || int(r) >= to || seen[r] {
				t.Fatalf("server %d: owners %v, want different routers of the group", id, all)
			}
			seen[r] = true
		}
	}
	twice := 0
	for r, n := range firsts {
		if n > 2 {
			t.Errorf("router %d is the first owner of %d servers, want at most 2", r, n)
		}
		if n == 2 { // the sixteen routers with the largest weights for one of them were first owners already
			twice++
		}
	}
	if twice > 4 {
		t.Errorf("%d routers are the first owners of two servers, want at most 4", twice)
	}
	v.setServers(append(ids[:100:100], ids[101:]...))
	moved := 0
	for i, id := range ids {
		if i != 100 && v.ownersOf(2, id)[0] != before[id] {
			moved++
		}
	}
	if moved > 10 {
		t.Errorf("%d servers have another first owner after one server was removed, want at most 10", moved)
	}
}

// A router uses an old list from which three routers are missing, so that its indexes differ from the others'. A
// refusal that it reports spreads, and the loads at all routers stay correct.
func TestRouterWithOldView(t *testing.T) {
	net := newSettledNetwork(t, 100)
	mapping, view := newShorterView(100, 20, 30, 95)
	net.indexMappings[50] = mapping
	net.startWith(50, view)
	net.gossipers[50].settings.Self = mapping.toOwn[50]
	net.gossipers[50].SetView(view)
	net.run(12)
	net.observe(50, 5, refusalByte)
	if _, _, last := net.measureSpread(6, holdsRefusal(5)); last > maxSpreadTime {
		t.Errorf("the refusal reached the last router after %v s, want at most maxSpreadTime", last)
	}
	net.run(5)
	if median, _, _ := net.loadErrors(); median > 0.3 {
		t.Errorf("median relative error of loads is %v, want at most 0.3", median)
	}
}

// A router at the edge of its group has an old list and assigns itself to the other group. Its observations are
// accepted without delay, and it receives summaries by pulls.
func TestOldViewAtGroupEdge(t *testing.T) {
	net := newNetwork(t, 600, 40)
	net.unobserved[5] = true
	mapping, view := newShorterView(600, 20, 30, 40)
	net.run(12)
	edge := 300 // the first router of the second group
	net.indexMappings[edge] = mapping
	net.startWith(edge, view)
	net.gossipers[edge].settings.Self = mapping.toOwn[edge]
	net.gossipers[edge].SetView(view)
	if net.view.groupOf(edge) != 1 || net.gossipers[edge].group != 0 {
		t.Fatalf("the router is in group %d, and by its own list in group %d, want 1 and 0",
			net.view.groupOf(edge), net.gossipers[edge].group)
	}
	net.run(15)
	missing := 0
	for id, s := range net.gossipers[edge].servers {
		if !net.unobserved[id] && net.clock(edge)-s.held.originatedAt > summaryLifetime {
			missing++
		}
	}
	if missing > 4 {
		t.Errorf("the router lacks %d of 39 summaries, want at most 4", missing)
	}
	net.observe(edge, 5, refusalByte)
	othersHoldRefusal := func(g *Gossiper, now float64) bool {
		return g == net.gossipers[edge] || holdsRefusal(5)(g, now)
	}
	if _, _, last := net.measureSpread(8, othersHoldRefusal); last > maxSpreadTime {
		t.Errorf("the refusal reached the last of the other routers after %v s, want at most maxSpreadTime", last)
	}
}

// In small fleets, of up to 80 routers here, a broadcast is cheaper than gossip.
func TestCheaperThanBroadcast(t *testing.T) {
	for n, want := range map[int]bool{1: false, 3: false, 24: false, 80: false, 100: true, 3700: true} {
		if got := CheaperThanBroadcast(n, 7000); got != want {
			t.Errorf("CheaperThanBroadcast(%d, 7000) = %t, want the opposite", n, got)
		}
	}
}

// A router in a fleet of 3,700, with the owners of 380 servers in all groups computed and a probe received from every
// router, needs at most 4 MiB.
func TestMemoryInLargeFleet(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	settings := Settings{Self: 5, BytesPerSecond: 7000, LongestObjective: 0.6}
	router := New(1000, settings, NewView(nameHashes(3700)))
	ids := serverIDs(380)
	router.SetServers(ids)
	for n := range 3700 {
		router.OnDatagram(1000, n, []byte{probeByte})
	}
	for b := range router.view.groups {
		for _, id := range ids {
			router.view.ownersOf(b, id)
		}
	}
	router.Tick(1000.05)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 4<<20 {
		t.Errorf("the heap grew by %d bytes, want at most 4 MiB", grown)
	} else {
		t.Logf("the heap grew by %.2f MiB", float64(grown)/(1<<20))
	}
	runtime.KeepAlive(router)
}
