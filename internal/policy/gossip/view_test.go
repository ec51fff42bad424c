package gossip

import (
	"runtime"
	"testing"
)

// A list whose last group would be a single router is split evenly.
func TestGroupsAreEven(t *testing.T) {
	for n := 1; n < 4000; n++ {
		v := NewView(make([]uint32, n))
		next := 0
		for group := range v.groups {
			from, to := v.groupBounds(group)
			size := to - from
			badSize := size > maxGroupRouters || size < min(n, maxGroupRouters/2)
			if from != next || badSize || v.groupOf(from) != group || v.groupOf(to-1) != group {
				t.Fatalf("%d routers: group %d is %d to %d", n, group, from, to)
			}
			next = to
		}
		if next != n {
			t.Fatalf("%d routers: groups end at %d", n, next)
		}
	}
}

// Hardly a router is the first owner of more than its part of the servers, and a server more or less moves few.
func TestOwnersAreBalanced(t *testing.T) {
	v := NewView(names(3700))
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
				t.Fatalf("server %d: owners %v", id, all)
			}
			seen[r] = true
		}
	}
	twice := 0
	for r, n := range firsts {
		if n > 2 {
			t.Errorf("router %d is the first owner of %d servers", r, n)
		}
		if n == 2 { // the sixteen heaviest of one of them were first owners already
			twice++
		}
	}
	if twice > 4 {
		t.Errorf("%d routers are the first owners of two servers", twice)
	}
	v.setServers(append(ids[:100:100], ids[101:]...))
	moved := 0
	for i, id := range ids {
		if i != 100 && v.ownersOf(2, id)[0] != before[id] {
			moved++
		}
	}
	if moved > 10 {
		t.Errorf("%d servers have another first owner, as one server is gone", moved)
	}
}

// A router goes by a list from which three routers are missing, so that its indexes differ from the others': it
// learns, its observations count, and it misleads nobody.
func TestRouterWithOldView(t *testing.T) {
	net := newSettledNetwork(t, 100)
	foreign, view := newForeignView(100, 20, 30, 95)
	net.views[50] = foreign
	net.startWith(50, view)
	net.gossipers[50].settings.Self = foreign.from[50]
	net.gossipers[50].SetView(view)
	net.run(12)
	net.observe(50, 5, refusalByte)
	if _, _, last := net.measureSpread(6, believesRefusing(5)); last > inTime {
		t.Errorf("the last knew after %v s", last)
	}
	net.run(5)
	if median, _, _ := net.loadErrors(); median > 0.3 {
		t.Errorf("loads are off by %v", median)
	}
}

// A router with an old list stands at the edge of its group, and takes itself to be of the other one: its
// observations count at once, and it learns by pulls.
func TestOldViewAtGroupEdge(t *testing.T) {
	net := newNetwork(t, 600, 40)
	net.unobserved[5] = true
	foreign, view := newForeignView(600, 20, 30, 40)
	net.run(12)
	me := 300 // the first router of the second group
	net.views[me] = foreign
	net.startWith(me, view)
	net.gossipers[me].settings.Self = foreign.from[me]
	net.gossipers[me].SetView(view)
	if net.view.groupOf(me) != 1 || net.gossipers[me].group != 0 {
		t.Fatalf("it is in group %d, and by its list in %d", net.view.groupOf(me), net.gossipers[me].group)
	}
	net.run(15)
	missing := 0
	for id, s := range net.gossipers[me].servers {
		if !net.unobserved[id] && net.clock(me)-s.held.originatedAt > summaryLifetime {
			missing++
		}
	}
	if missing > 4 {
		t.Errorf("it lacks %d of 39 summaries", missing)
	}
	net.observe(me, 5, refusalByte)
	othersBelieve := func(g *Gossiper, now float64) bool {
		return g == net.gossipers[me] || believesRefusing(5)(g, now)
	}
	if _, _, last := net.measureSpread(8, othersBelieve); last > inTime {
		t.Errorf("the last of the others knew after %v s", last)
	}
}

// Small fleets, in which broadcasting costs less, do not gossip.
func TestCheaperThanBroadcast(t *testing.T) {
	for n, want := range map[int]bool{1: false, 3: false, 24: false, 80: false, 100: true, 3700: true} {
		if got := CheaperThanBroadcast(n, 7000); got != want {
			t.Errorf("%d routers: %t", n, got)
		}
	}
}

// A router in a fleet of 3,700, with the owners of 380 servers in all groups and a probe of every router, needs 4 MB.
func TestMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	settings := Settings{Self: 5, BytesPerSecond: 7000, LongestObjective: 0.6}
	router := New(1000, settings, NewView(names(3700)))
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
		t.Errorf("%d bytes", grown)
	} else {
		t.Logf("%.2f MB", float64(grown)/(1<<20))
	}
	runtime.KeepAlive(router)
}
