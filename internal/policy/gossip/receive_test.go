package gossip

import (
	"math"
	"testing"
)

// Datagrams of this package differ from all other datagrams between routers by their length or first byte. Otherwise a
// build without the protocol, or the quota package, would misread them.
func TestDatagramsAreDistinguishable(t *testing.T) {
	net := newSettledNetwork(t, 30)
	seen := map[int]int{}
	net.onSend = func(p packet) {
		length := len(p.bytes)
		seen[length]++
		likeObservations := length >= 3 && length%3 == 0
		likeQuotas := length > 2 && p.bytes[0] == 0xc7
		if likeObservations || likeQuotas {
			t.Fatalf("a datagram of %d bytes that begin with %#x can be misread by another protocol", length, p.bytes[0])
		}
	}
	net.run(10)
	if len(seen) < 5 {
		t.Errorf("too few lengths of datagrams were sent, want at least 5: %v", seen)
	}
	router := net.gossipers[0]
	quotas := append([]byte{0xc7, 1, 0, 1}, 1, 2, 3, 4, 5, 6)
	for _, b := range [][]byte{{1, 2, 3}, quotas, make([]byte, 15), make([]byte, 66)} {
		if router.OnDatagram(net.clock(0), 3, b) {
			t.Errorf("OnDatagram = true for %d bytes of another protocol, want false", len(b))
		}
	}
}

// Datagrams from senders that are not other routers of the view change no state, and neither does a damaged datagram.
func TestUnknownSendersAndDamagedDatagramsAreIgnored(t *testing.T) {
	net := newSettledNetwork(t, 30)
	router := net.gossipers[0]
	forged := summary{originatedAt: net.clock(0), version: 100, load: 900, mean: 1, urgent: true}
	forgedMessage := func() []byte {
		return appendChecksum(appendSummary(newMessage(kindSummaries), 7, forged, net.clock(0)))
	}
	for _, from := range []int{-1, 30, 4000, 0} {
		router.OnDatagram(net.clock(0), from, forgedMessage())
		router.OnDatagram(net.clock(0), from, newObservationMessage(observation{server: 7, relativeTime: 254}))
		router.OnDatagram(net.clock(0), from, []byte{probeByte})
	}
	damaged := forgedMessage()
	damaged[9] ^= 4
	router.OnDatagram(net.clock(0), 3, damaged)
	s := router.serverByID[7]
	unknownSenderKept := router.peerByRouter[-1] != nil || router.peerByRouter[4000] != nil
	if s.held.load > 100 || s.owner.sum.load > 50 || unknownSenderKept {
		t.Errorf("held load %v, want at most 100; own sum %v, want at most 50; %d peers, want no unknown sender among them",
			s.held.load, s.owner.sum.load, len(router.peerByRouter))
	}
}

// One router floods others with observations, and with group sums and summaries of a server that it does not own. An
// owner's sum changes by no more than one router may report, the sums of other owners and the tracked state stay
// unchanged, and a forged summary is replaced by the owner that never published it.
func TestFloodOfOneRouterIsLimited(t *testing.T) {
	net := newSettledNetwork(t, 100)
	owners := net.ownersOf(0, 4)
	owner := int(owners[0])
	forger := 1
	for forger == owner || forger == int(owners[1]) {
		forger++
	}
	id := serverID(4)
	router := net.gossipers[owner]
	s := router.serverByID[id]
	before := s.owner.sum.load
	now := net.clock(owner)
	for i := range 5000 {
		observations := append(newMessage(kindObservations), byte(id), byte(id>>8), 254, byte(i), byte(i>>8), 254)
		router.OnDatagram(now, forger, appendChecksum(observations))
		router.OnDatagram(now, forger, newGroupSumMessage(id, summary{load: 4000, mean: 1, originatedAt: now}, now))
	}
	if change := s.owner.sum.load - before; change > observationBurst*8 {
		t.Errorf("one router changed a sum by %v, want at most 8 per observation of observationBurst", change)
	}
	forgedAccepted := !math.IsInf(s.owner.groupSumReceivedAt[0], -1) && s.owner.groupSumReceivedAt[0] == now
	groupSums := s.owner.groupSums
	if router.Counters.DatagramsDropped == 0 || len(router.serverByID) != 40 || len(groupSums) > 0 || forgedAccepted {
		t.Errorf("%d datagrams dropped, want some; %d servers, want 40; group sums %v, want none, also in the own group",
			router.Counters.DatagramsDropped, len(router.serverByID), groupSums)
	}
	if router.Counters.ObservationsLimited > 2*2*datagramsPerSecond { // two observations per datagram
		t.Errorf("%d observations of a flood were read, want at most 4 times datagramsPerSecond",
			router.Counters.ObservationsLimited)
	}
	net.run(10)
	forged := net.gossipers[forger].serverByID[id].held
	forged.version += 100
	forged.load = 4000
	forged.mean = 7
	forged.urgent = true
	sendForged := func() {
		for to := range 100 {
			if to != forger {
				at := net.now() + forged.originatedAt - net.clock(forger)
				message := appendChecksum(appendSummary(newMessage(kindSummaries), id, forged, at))
				net.deliver(packet{forger, to, message})
			}
		}
	}
	sendForged()
	net.run(2)
	wrong := 0
	for _, n := range net.running() {
		if net.gossipers[n].serverByID[id].held.load > 1000 {
			wrong++
		}
	}
	if wrong > 1 {
		t.Errorf("%d routers still hold a summary that its owner never published, want at most 1", wrong)
	}
}
