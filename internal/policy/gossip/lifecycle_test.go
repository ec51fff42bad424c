package gossip

import (
	"testing"
)

// A fleet of one router sends nothing. In fleets of two, three, and one more router than fits into a group, a refusal
// reaches all routers.
func TestRefusalSpreadsInSmallFleets(t *testing.T) {
	net := newNetwork(t, 1, 40)
	net.run(5)
	if net.bytesOut[0] > 0 {
		t.Errorf("a single router sent %d bytes, want 0", net.bytesOut[0])
	}
	for _, n := range []int{2, 3, maxGroupRouters + 1} {
		net := newNetwork(t, n, 40)
		net.unobserved[5] = true
		net.run(12)
		net.observe(n-1, 5, refusalByte)
		if _, _, last := net.measureSpread(6, holdsRefusal(5)); last > maxSpreadTime {
			t.Errorf("%d routers: the refusal reached the last router after %v s, want at most maxSpreadTime", n, last)
		}
	}
}

// All routers of a site and both first owners of a server restart at the same time. A refusal that is reported half a
// second later still reaches all routers.
func TestRefusalSpreadsAfterSiteRestart(t *testing.T) {
	net := newSettledNetwork(t, 150)
	owners := net.ownersOf(0, 5)
	for n := 40; n < 65; n++ {
		net.start(n)
	}
	net.start(int(owners[0]))
	net.start(int(owners[1]))
	net.run(0.5)
	net.observe(net.nonOwner(5), 5, refusalByte)
	if _, _, last := net.measureSpread(6, holdsRefusal(5)); last > maxSpreadTime {
		t.Errorf("the refusal reached the last router after %v s, want at most maxSpreadTime", last)
	}
}

// Restarted routers pull the summaries that they lack within 4.5 s.
func TestRestartedRoutersPullSummaries(t *testing.T) {
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
		t.Errorf("ten routers lack %d of 3800 summaries, want at most 10", missing)
	}
}

// A server refuses, and a router that has reported it stalls for 30 s. Meanwhile the server answers again. When the
// router resumes, neither its old state nor the messages buffered in its socket may restore the refusal at any router.
func TestStalledRouterDoesNotRestoreRefusal(t *testing.T) {
	for _, role := range []string{"an owner", "another"} {
		net := newSettledNetwork(t, 100)
		n := net.nonOwner(5)
		reporter := n
		if role == "an owner" {
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
				if holdsRefusal(5)(net.gossipers[r], net.clock(r)) {
					t.Fatalf("%s stalled: router %d holds the refusal that has ended", role, r)
				}
			}
		}
		for id, s := range net.gossipers[n].servers {
			if net.clock(n)-s.held.originatedAt > summaryLifetime {
				t.Errorf("%s stalled: it has no summary of server %d after 5 s", role, id)
			}
		}
	}
}

// Half of the routers run a build without the protocol. They are sent nothing that they could misread as observations,
// and a refusal still reaches the others. A router that is downgraded to that build is sent no more messages once it
// has broadcast observations, and one that is upgraded receives summaries.
func TestBuildsWithoutProtocolReceiveNoMessages(t *testing.T) {
	net := newNetwork(t, 100, 40)
	net.unobserved[5] = true
	for n := 1; n < 100; n += 2 {
		net.oldBuild[n] = true
	}
	net.run(20)
	net.observe(0, 5, refusalByte)
	if _, _, last := net.measureSpread(6, holdsRefusal(5)); last > maxSpreadTime {
		t.Errorf("the refusal reached the last router after %v s, want at most maxSpreadTime", last)
	}
	if len(net.misdirected) > 0 {
		t.Fatalf("%d datagrams were sent to builds that misread them as observations, want 0", len(net.misdirected))
	}
	net.oldBuild[10] = true
	for _, n := range net.running() {
		if net.gossipers[n].OnDatagram(net.clock(n), 10, []byte{1, 2, 3}) {
			t.Fatal("OnDatagram = true for observations of a build without the protocol, want false")
		}
	}
	net.run(0.5) // datagrams in transit
	net.misdirected = nil
	net.run(20)
	if len(net.misdirected) > 0 {
		t.Errorf("%d datagrams were sent to a downgraded router, want 0", len(net.misdirected))
	}
	delete(net.oldBuild, 11)
	net.start(11)
	net.run(10)
	for id, s := range net.gossipers[11].servers {
		if !net.unobserved[id] && net.clock(11)-s.held.originatedAt > summaryLifetime {
			t.Errorf("an upgraded router has no summary of server %d", id)
		}
	}
}
