package gossip

import (
	"testing"
)

// A fleet of one router sends nothing. In fleets of two, three, and one more than fit into a group, all learn.
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

// All routers of a site restart at once, both owners of a server among them: what is reported half a second later
// still reaches all.
func TestSiteRestarts(t *testing.T) {
	net := newSettledNetwork(t, 150)
	owners := net.ownersOf(0, 5)
	for n := 40; n < 65; n++ {
		net.start(n)
	}
	net.start(int(owners[0]))
	net.start(int(owners[1]))
	net.run(0.5)
	net.observe(net.nonOwner(5), 5, refusalByte)
	if _, _, last := net.measureSpread(6, believesRefusing(5)); last > inTime {
		t.Errorf("the last knew after %v s", last)
	}
}

// Routers that start hold the summaries of the others within seconds.
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
		t.Errorf("ten routers lack %d of 3800 summaries", missing)
	}
}

// A server refuses, which all routers learn; then a router stands still for 30 s, and meanwhile the server answers
// again. What the router sends when it goes on, and what has waited in its socket, makes no router believe the old
// refusal, not even itself.
func TestStalledProcess(t *testing.T) {
	for _, who := range []string{"an owner", "another"} {
		net := newSettledNetwork(t, 100)
		n := net.nonOwner(5)
		reporter := n
		if who == "an owner" {
			n = int(net.ownersOf(0, 5)[0])
		}
		net.observe(reporter, 5, refusalByte)
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
				t.Errorf("%s stood still: it has no summary of server %d after 5 s", who, id)
			}
		}
	}
}

// Half of the fleet runs the build before this protocol: it is sent nothing that it could take for observations, and
// the others learn as ever. A router that is put back to that build is sent nothing more once it sends as that does.
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
		t.Fatalf("%d datagrams went to builds that take them for observations", len(net.misdirected))
	}
	net.oldBuild[10] = true
	for _, n := range net.running() {
		if net.gossipers[n].OnDatagram(net.clock(n), 10, []byte{1, 2, 3}) {
			t.Fatal("observations of the build before were not left to the balancer")
		}
	}
	net.run(0.5) // datagrams in transit
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
			t.Errorf("one that was brought forward has no summary of server %d", id)
		}
	}
}
