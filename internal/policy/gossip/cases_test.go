package gossip

import (
	"math"
	"runtime"
	"testing"
)

const inTime = 2.9 // seconds within which the last router is to know

// homes gives a server's homes in the block of a router.
func (net *network) ownersOf(router, server int) owners {
	return net.view.ownersOf(net.view.groupOf(router), uint16(server*150+7))
}

// newSettledNetwork is a fleet that is through with its calls, and in which nobody tells of server 5.
func newSettledNetwork(t *testing.T, routers int) *network {
	net := newNetwork(t, routers, 40)
	net.unobserved[5] = true
	net.run(12)
	return net
}

// teller gives a router that is none of the first homes of a server.
func (net *network) nonOwner(server int) int {
	homes := net.ownersOf(0, server)
	n := 1
	for n == int(homes[0]) || n == int(homes[1]) {
		n++
	}
	return n
}

// The first home dies with what it alone was told, after the teller has died, too: the second home was told as well,
// and speaks, be it of a server that nobody ever told of or of one that the first home spoke of just before.
func TestFirstOwnerDiesWithUnpublishedRefusal(t *testing.T) {
	for _, spoken := range []bool{false, true} {
		net := newNetwork(t, 100, 40)
		net.unobserved[5] = !spoken
		net.run(12)
		net.unobserved[5] = true
		net.run(1)
		first, teller := int(net.ownersOf(0, 5)[0]), net.nonOwner(5)
		net.partitioned = func(from, to int) bool { return from == first } // nothing that it says from now on leaves it
		net.observe(teller, 5, refusalByte)
		net.run(0.06)
		net.down[teller], net.down[first] = true, true
		if _, _, last := net.measureSpread(6, believesRefusing(5)); last > inTime {
			t.Errorf("spoken of before: %t: the last knew after %v s", spoken, last)
		}
	}
}

// Both homes of a server are gone, and never come back: the next two are told.
func TestBothOwnersGone(t *testing.T) {
	net := newSettledNetwork(t, 100)
	homes := net.ownersOf(0, 3)
	net.down[int(homes[0])], net.down[int(homes[1])] = true, true
	net.run(3 * summaryLifetime)
	for _, n := range net.running() {
		if s := net.gossipers[n].serverByID[3*150+7]; net.clock(n)-s.held.originatedAt > summaryLifetime || s.held.rank < 2 {
			t.Fatalf("router %d has an entry of rank %d, %.1f s old", n, s.held.rank, net.clock(n)-s.held.originatedAt)
		}
	}
	net.start(int(homes[0])) // the first is told again once it is back
	net.run(2 * summaryLifetime)
	for _, n := range net.running() {
		if s := net.gossipers[n].serverByID[3*150+7]; s.held.rank != 0 || s.baseRank != 0 {
			t.Fatalf("router %d goes by rank %d, base %d", n, s.held.rank, s.baseRank)
		}
	}
}

// A fleet of one says nothing; of two, three, and one more than a block holds, all learn.
func TestSmallFleets(t *testing.T) {
	net := newNetwork(t, 1, 40)
	net.run(5)
	if net.bytesOut[0] > 0 {
		t.Errorf("one router sends %d bytes", net.bytesOut[0])
	}
	for _, n := range []int{2, 3, maxGroupRouters + 1} {
		net := newNetwork(t, n, 40)
		net.unobserved[5] = true
		net.run(12)
		net.observe(n-1, 5, refusalByte)
		if _, _, last := net.measureSpread(6, believesRefusing(5)); last > inTime {
			t.Errorf("%d routers: the last knew after %v s", n, last)
		}
	}
}

// A list whose last block would be one router is split evenly: nobody is alone in a block.
func TestGroupsAreEven(t *testing.T) {
	for n := 1; n < 4000; n++ {
		v := &View{hashes: make([]uint32, n), groups: max(1, (n+maxGroupRouters-1)/maxGroupRouters)}
		next := 0
		for b := range v.groups {
			from, to := v.groupBounds(b)
			if from != next || to-from > maxGroupRouters || to-from < min(n, maxGroupRouters/2) || v.groupOf(from) != b || v.groupOf(to-1) != b {
				t.Fatalf("%d routers: block %d is %d to %d", n, b, from, to)
			}
			next = to
		}
		if next != n {
			t.Fatalf("%d routers: blocks end at %d", n, next)
		}
	}
}

// All routers of a site restart at once, with both homes of a server among them: what is told half a second later
// still arrives.
func TestSiteRestarts(t *testing.T) {
	net := newSettledNetwork(t, 150)
	homes := net.ownersOf(0, 5)
	for n := 40; n < 65; n++ {
		net.start(n)
	}
	net.start(int(homes[0]))
	net.start(int(homes[1]))
	net.run(0.5)
	net.observe(net.nonOwner(5), 5, refusalByte)
	if _, _, last := net.measureSpread(6, believesRefusing(5)); last > inTime {
		t.Errorf("the last knew after %v s", last)
	}
}

// Routers that start hold what the others do within seconds.
func TestStartedRouterCatchesUp(t *testing.T) {
	net := newNetwork(t, 100, 380)
	net.run(30)
	var all []int
	for n := 17; n < 87; n += 7 {
		net.start(n)
		all = append(all, n)
	}
	net.run(4.5)
	missing := 0
	for _, n := range all {
		for _, s := range net.gossipers[n].servers {
			if net.clock(n)-s.held.originatedAt > summaryLifetime {
				missing++
			}
		}
	}
	if missing > 10 {
		t.Errorf("ten routers lack %d of 3800 entries", missing)
	}
}

// A router goes by a list from which three are missing, so that its places are others': it learns, what it tells
// counts, and it misleads nobody.
func TestRouterWithOldView(t *testing.T) {
	net := newSettledNetwork(t, 100)
	v, all := &foreignView{from: map[int]int{}}, []uint32(nil)
	for n, name := range names(100) {
		if n != 20 && n != 30 && n != 95 {
			v.from[n], v.to, all = len(v.to), append(v.to, n), append(all, name)
		}
	}
	net.views[50] = v
	net.startWith(50, NewView(all))
	net.gossipers[50].settings.Self = v.from[50]
	net.gossipers[50].SetView(NewView(all))
	net.run(12)
	net.observe(50, 5, refusalByte)
	if _, _, last := net.measureSpread(6, believesRefusing(5)); last > inTime {
		t.Errorf("the last knew after %v s", last)
	}
	net.run(5)
	if middle, _, _ := net.loadErrors(); middle > 0.3 {
		t.Errorf("loads are off by %v", middle)
	}
}

// A router stands still for 30 s. Before, a server refused, which all knew; meanwhile it is well again. What the
// router says when it goes on, and what has waited for it, changes nobody's mind, not even its own.
func TestStalledProcess(t *testing.T) {
	for _, who := range []string{"a home", "another"} {
		net := newSettledNetwork(t, 100)
		n := net.nonOwner(5)
		teller := n
		if who == "a home" {
			n = int(net.ownersOf(0, 5)[0])
		}
		net.observe(teller, 5, refusalByte)
		net.observe(n, 5, refusalByte)
		net.stalled[n] = true
		net.run(20)
		net.unobserved[5] = false
		net.run(10)
		net.resume(n)
		for range 100 {
			net.run(0.05)
			for _, r := range net.running() {
				if believesRefusing(5)(net.gossipers[r], net.clock(r)) {
					t.Fatalf("%s stood still: router %d believes what is over", who, r)
				}
			}
		}
		for id, s := range net.gossipers[n].servers {
			if net.clock(n)-s.held.originatedAt > summaryLifetime {
				t.Errorf("%s stood still: it has no entry of server %d after 5 s", who, id)
			}
		}
	}
}

// Half of the fleet is the build before: it is sent nothing that it could take for words, and the others learn as
// ever. One that is put back to that build is sent nothing more once it speaks as that does.
func TestOldBuilds(t *testing.T) {
	net := newNetwork(t, 100, 40)
	net.unobserved[5] = true
	for n := 1; n < 100; n += 2 {
		net.oldBuild[n] = true
	}
	net.run(20)
	net.observe(0, 5, refusalByte)
	if _, _, last := net.measureSpread(6, believesRefusing(5)); last > inTime {
		t.Errorf("the last knew after %v s", last)
	}
	if len(net.misdirected) > 0 {
		t.Fatalf("%d datagrams went to builds that take them for words", len(net.misdirected))
	}
	net.oldBuild[10] = true
	for _, n := range net.running() {
		if net.gossipers[n].OnDatagram(net.clock(n), 10, []byte{1, 2, 3}) {
			t.Fatal("words of the build before were not left to the module")
		}
	}
	net.run(0.5) // what is on its way
	net.misdirected = nil
	net.run(20)
	if len(net.misdirected) > 0 {
		t.Errorf("%d datagrams went to one that was put back", len(net.misdirected))
	}
	delete(net.oldBuild, 11)
	net.start(11)
	net.run(10)
	for id, s := range net.gossipers[11].servers {
		if !net.unobserved[id] && net.clock(11)-s.held.originatedAt > summaryLifetime {
			t.Errorf("one that was brought forward has no entry of server %d", id)
		}
	}
}

// Datagrams of this package are told apart from all that routers say already, by length and first byte.
func TestDatagramsAreDistinguishable(t *testing.T) {
	net := newSettledNetwork(t, 30)
	seen := map[int]int{}
	net.onSend = func(l packet) {
		if seen[len(l.b)]++; len(l.b) >= 3 && len(l.b)%3 == 0 || len(l.b) > 2 && l.b[0] == 0xc7 {
			t.Fatalf("%d bytes that begin with %#x", len(l.b), l.b[0])
		}
	}
	net.run(10)
	if len(seen) < 5 {
		t.Errorf("few kinds were seen: %v", seen)
	}
	f := net.gossipers[0]
	contract := append([]byte{0xc7, 1, 0, 1}, 1, 2, 3, 4, 5, 6)
	for _, b := range [][]byte{{1, 2, 3}, contract, make([]byte, 15), make([]byte, 66)} {
		if f.OnDatagram(net.clock(0), 3, b) {
			t.Errorf("%d bytes that others say were taken", len(b))
		}
	}
}

// What comes from an address that is nobody's changes nothing, as does what is damaged.
func TestUnknownSendersAndDamagedDatagrams(t *testing.T) {
	net := newSettledNetwork(t, 30)
	f := net.gossipers[0]
	forged := summary{originatedAt: net.clock(0), version: 100, load: 900, mean: 1, urgent: true}
	for _, from := range []int{-1, 30, 4000, 0} {
		f.OnDatagram(net.clock(0), from, appendChecksum(appendSummary([]byte{messageTag, kindSummaries}, 7, forged, net.clock(0))))
		f.OnDatagram(net.clock(0), from, appendChecksum([]byte{messageTag, kindObservations, 7, 0, 254}))
		f.OnDatagram(net.clock(0), from, []byte{probeByte})
	}
	damaged := appendChecksum(appendSummary([]byte{messageTag, kindSummaries}, 7, forged, net.clock(0)))
	damaged[9] ^= 4
	f.OnDatagram(net.clock(0), 3, damaged)
	if s := f.serverByID[7]; s.held.load > 100 || s.owner.sum.load > 50 || f.peerByRouter[-1] != nil || f.peerByRouter[4000] != nil {
		t.Errorf("held %v, own sum %v, %d peers", s.held.load, s.owner.sum.load, len(f.peerByRouter))
	}
}

// One router floods: with words, sums that are not its own to tell, and totals. A home's sum moves by what one router
// may tell; other homes' sums stay; the memory stays; and a forged total is taken back by the home that never said
// it, while the flood lasts.
func TestFlood(t *testing.T) {
	net := newSettledNetwork(t, 100)
	homes := net.ownersOf(0, 4)
	home := int(homes[0])
	liar := 1
	for liar == home || liar == int(homes[1]) {
		liar++
	}
	id := uint16(4*150 + 7)
	f := net.gossipers[home]
	before := f.serverByID[id].owner.sum.load
	for i := range 5000 {
		f.OnDatagram(net.clock(home), liar, appendChecksum([]byte{messageTag, kindObservations, byte(id), byte(id >> 8), 254, byte(i), byte(i >> 8), 254}))
		f.OnDatagram(net.clock(home), liar, appendChecksum(appendSummary([]byte{messageTag, kindGroupSums}, id, summary{load: 4000, mean: 1, originatedAt: net.clock(home)}, net.clock(home))))
	}
	if moved := f.serverByID[id].owner.sum.load - before; moved > observationBurst*8 {
		t.Errorf("one router moved a sum by %v", moved)
	}
	if f.Counters.DatagramsDropped == 0 || len(f.serverByID) != 40 || len(f.serverByID[id].owner.groupSums) > 0 || !math.IsInf(f.serverByID[id].owner.heardAt[0], -1) && f.serverByID[id].owner.heardAt[0] == net.clock(home) {
		t.Errorf("%d dropped, %d servers, rows %v", f.Counters.DatagramsDropped, len(f.serverByID), f.serverByID[id].owner.groupSums)
	}
	if f.Counters.ObservationsLimited > 2*2*datagramsPerSecond { // two words a datagram
		t.Errorf("%d words of a flood were read", f.Counters.ObservationsLimited)
	}
	net.run(10)
	forged := net.gossipers[liar].serverByID[id].held
	forged.version, forged.load, forged.mean, forged.urgent = forged.version+100, 4000, 7, true
	lie := func() {
		for to := range 100 {
			if to != liar {
				net.deliver(packet{liar, to, appendChecksum(appendSummary([]byte{messageTag, kindSummaries}, id, forged, net.now()+forged.originatedAt-net.clock(liar)))})
			}
		}
	}
	lie()
	net.run(2)
	wrong := 0
	for _, n := range net.running() {
		if net.gossipers[n].serverByID[id].held.load > 1000 {
			wrong++
		}
	}
	if wrong > 1 {
		t.Errorf("%d routers still hold a total that its home never said", wrong)
	}
}

// Sums and totals merge alike in whatever order and however often they come.
func TestMergeIsOrderIndependent(t *testing.T) {
	net := newSettledNetwork(t, 30)
	var all [][]byte
	for i := range 20 {
		all = append(all, appendChecksum(appendSummary([]byte{messageTag, kindSummaries}, 7, summary{version: byte(100 + i), incarnation: 9, load: float64(i), mean: 1, originatedAt: net.clock(0) - 2 + float64(i)/10}, net.clock(0))))
	}
	for round := range 50 {
		f := New(net.clock(0), Settings{Self: 0, BytesPerSecond: 7000}, net.view)
		f.SetServers([]uint16{7})
		for _, i := range net.random.Perm(40) {
			f.OnDatagram(net.clock(0), 1+i%20, all[i%20])
		}
		if held := f.serverByID[7].held; held.version != 119 || held.load != 19 {
			t.Fatalf("round %d: number %d, load %v", round, held.version, held.load)
		}
	}
}

// While an eighth is cut off each part goes on, by what its own routers tell; and after the cut all have the sums of
// all again within 5 s.
func TestPartitionAndMerge(t *testing.T) {
	net := newNetwork(t, 520, 60) // two blocks
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
	if in, out := loads(); in/(in+out) < 0.44 || in/(in+out) > 0.56 { // as many in each
		t.Errorf("in the part that is cut off loads are %v, in the rest %v", in, out)
	}
	net.partitioned = func(int, int) bool { return false }
	net.resetCounters()
	net.run(5)
	in, out := loads()
	if math.Abs(in/out-1) > 0.12 {
		t.Errorf("5 s after the cut loads are %v and %v", in, out)
	}
	if _, most, _, _ := net.traffic(5); most > 7000 {
		t.Errorf("after the cut one spends %v bytes a second", most)
	}
}

// A router of 3,700 that has reckoned the homes of 380 servers in all blocks, and has heard of every other, is small.
func TestMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := New(1000, Settings{Self: 5, BytesPerSecond: 7000, LongestObjective: 0.6}, NewView(names(3700)))
	var ids []uint16
	for id := range 380 {
		ids = append(ids, uint16(id*150+7))
	}
	f.SetServers(ids)
	for n := range 3700 {
		f.OnDatagram(1000, n, []byte{probeByte})
	}
	for b := range f.view.groups {
		for _, id := range ids {
			f.view.ownersOf(b, id)
		}
	}
	f.Tick(1000.05)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 4<<20 {
		t.Errorf("%d bytes", grown)
	} else {
		t.Logf("%.2f MB", float64(grown)/(1<<20))
	}
	runtime.KeepAlive(f)
}

// At three routers, and wherever observationsPerSecond all costs less, all is as it was.
func TestCheaperThanBroadcast(t *testing.T) {
	for n, want := range map[int]bool{1: false, 3: false, 24: false, 80: false, 100: true, 3700: true} {
		if got := CheaperThanBroadcast(n, 7000); got != want {
			t.Errorf("%d routers: %t", n, got)
		}
	}
}

// Hardly a router is the first home of more than its part of the servers; and one server more or less moves few.
func TestOwnersAreBalanced(t *testing.T) {
	v := NewView(names(3700))
	var ids []uint16
	for id := range 380 {
		ids = append(ids, uint16(id*150+7))
	}
	v.setServers(ids)
	firsts, before := map[int16]int{}, map[uint16]int16{}
	for _, id := range ids {
		all := v.ownersOf(2, id)
		firsts[all[0]]++
		before[id] = all[0]
		seen := map[int16]bool{}
		for _, r := range all {
			if from, to := v.groupBounds(2); int(r) < from || int(r) >= to || seen[r] {
				t.Fatalf("server %d: homes %v", id, all)
			}
			seen[r] = true
		}
	}
	twice := 0
	for r, n := range firsts {
		if n > 2 {
			t.Errorf("router %d is the first home of %d servers", r, n)
		}
		if n == 2 { // the sixteen of one of them had a part already
			twice++
		}
	}
	if twice > 4 {
		t.Errorf("%d routers are the first homes of two servers", twice)
	}
	v.setServers(append(ids[:100:100], ids[101:]...))
	moved := 0
	for i, id := range ids {
		if i != 100 && v.ownersOf(2, id)[0] != before[id] {
			moved++
		}
	}
	if moved > 10 {
		t.Errorf("%d servers have another first home, as one is gone", moved)
	}
}

// Of two homes' totals that of the lower rank counts while it is told; a refusal counts of either.
func TestOwnerRanks(t *testing.T) {
	net := newSettledNetwork(t, 30)
	f := New(net.clock(0), Settings{Self: 0, BytesPerSecond: 7000}, net.view)
	f.SetServers([]uint16{7})
	now := net.clock(0)
	hear := func(rank uint8, after, load float64, bad bool) float64 {
		f.accept(f.serverByID[7], summary{rank: rank, incarnation: rank, version: byte(after * 10), originatedAt: now + after, load: load, mean: 1, refusing: bad, urgent: bad})
		return f.serverByID[7].held.load
	}
	f.now = now + 20
	if got := hear(0, 14, 50, false); got != 50 {
		t.Fatalf("load %v", got)
	}
	if got := hear(2, 15, 3, false); got != 50 {
		t.Errorf("a part of the words, told by a home of rank 2, counts: load %v", got)
	}
	if got := hear(1, 15, 40, true); got != 40 {
		t.Errorf("a refusal told by the second home does not count: load %v", got)
	}
	if got := hear(0, 14.5, 51, false); got != 51 {
		t.Errorf("the first home does not count after the second: load %v", got)
	}
	if got := hear(2, 14.5+overdueInterval, 30, false); got != 30 {
		t.Errorf("where the first home is silent the third does not count: load %v", got)
	}
}

// The same for one that stands where two blocks meet, and by its list is of the other one: its words count at once,
// and it learns by pulling.
func TestOldViewAtGroupEdge(t *testing.T) {
	net := newNetwork(t, 600, 40)
	net.unobserved[5] = true
	v, all := &foreignView{from: map[int]int{}}, []uint32(nil)
	for n, name := range names(600) {
		if n != 20 && n != 30 && n != 40 {
			v.from[n], v.to, all = len(v.to), append(v.to, n), append(all, name)
		}
	}
	net.run(12)
	me := 300 // the first of the second block
	net.views[me] = v
	net.startWith(me, NewView(all))
	net.gossipers[me].settings.Self = v.from[me]
	net.gossipers[me].SetView(NewView(all))
	if net.view.groupOf(me) != 1 || net.gossipers[me].group != 0 {
		t.Fatalf("it is in block %d, and by its list in %d", net.view.groupOf(me), net.gossipers[me].group)
	}
	net.run(15)
	missing := 0
	for id, s := range net.gossipers[me].servers {
		if !net.unobserved[id] && net.clock(me)-s.held.originatedAt > summaryLifetime {
			missing++
		}
	}
	if missing > 4 {
		t.Errorf("it lacks %d of 39 entries", missing)
	}
	net.observe(me, 5, refusalByte)
	if _, _, last := net.measureSpread(8, func(f *Gossiper, now float64) bool { return f == net.gossipers[me] || believesRefusing(5)(f, now) }); last > inTime {
		t.Errorf("the last of the others knew after %v s", last)
	}
}
