package gossip

import (
	"math"
	"testing"
)

// Datagrams of this package differ from all else that routers send, by their length or first byte.
func TestDatagramsAreDistinguishable(t *testing.T) {
	net := newSettledNetwork(t, 30)
	seen := map[int]int{}
	net.onSend = func(p packet) {
		length := len(p.bytes)
		seen[length]++
		likeObservations := length >= 3 && length%3 == 0
		likeQuotas := length > 2 && p.bytes[0] == 0xc7
		if likeObservations || likeQuotas {
			t.Fatalf("%d bytes that begin with %#x", length, p.bytes[0])
		}
	}
	net.run(10)
	if len(seen) < 5 {
		t.Errorf("few kinds were seen: %v", seen)
	}
	router := net.gossipers[0]
	quotas := append([]byte{0xc7, 1, 0, 1}, 1, 2, 3, 4, 5, 6)
	for _, b := range [][]byte{{1, 2, 3}, quotas, make([]byte, 15), make([]byte, 66)} {
		if router.OnDatagram(net.clock(0), 3, b) {
			t.Errorf("%d bytes of another protocol were taken", len(b))
		}
	}
}

// What comes from an address that is no router's changes nothing, and neither does a damaged datagram.
func TestUnknownSendersAndDamagedDatagrams(t *testing.T) {
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
	strangerKnown := router.peerByRouter[-1] != nil || router.peerByRouter[4000] != nil
	if s.held.load > 100 || s.owner.sum.load > 50 || strangerKnown {
		t.Errorf("held %v, own sum %v, %d peers", s.held.load, s.owner.sum.load, len(router.peerByRouter))
	}
}

// One router floods others with observations, with group sums and summaries that it does not own. An owner's sum
// moves by what one router may report, the sums of other owners and the memory stay as they are, and a forged summary
// is taken back by the owner that never published it, while the flood lasts.
func TestFlood(t *testing.T) {
	net := newSettledNetwork(t, 100)
	owners := net.ownersOf(0, 4)
	owner := int(owners[0])
	liar := 1
	for liar == owner || liar == int(owners[1]) {
		liar++
	}
	id := serverID(4)
	router := net.gossipers[owner]
	s := router.serverByID[id]
	before := s.owner.sum.load
	now := net.clock(owner)
	for i := range 5000 {
		observations := append(newMessage(kindObservations), byte(id), byte(id>>8), 254, byte(i), byte(i>>8), 254)
		router.OnDatagram(now, liar, appendChecksum(observations))
		router.OnDatagram(now, liar, newGroupSumMessage(id, summary{load: 4000, mean: 1, originatedAt: now}, now))
	}
	if moved := s.owner.sum.load - before; moved > observationBurst*8 {
		t.Errorf("one router moved a sum by %v", moved)
	}
	heardFirst := !math.IsInf(s.owner.heardAt[0], -1) && s.owner.heardAt[0] == now
	groupSums := s.owner.groupSums
	if router.Counters.DatagramsDropped == 0 || len(router.serverByID) != 40 || len(groupSums) > 0 || heardFirst {
		t.Errorf("%d dropped, %d servers, group sums %v", router.Counters.DatagramsDropped, len(router.serverByID), groupSums)
	}
	if router.Counters.ObservationsLimited > 2*2*datagramsPerSecond { // two observations a datagram
		t.Errorf("%d observations of a flood were read", router.Counters.ObservationsLimited)
	}
	net.run(10)
	forged := net.gossipers[liar].serverByID[id].held
	forged.version += 100
	forged.load = 4000
	forged.mean = 7
	forged.urgent = true
	lie := func() {
		for to := range 100 {
			if to != liar {
				at := net.now() + forged.originatedAt - net.clock(liar)
				forgery := appendChecksum(appendSummary(newMessage(kindSummaries), id, forged, at))
				net.deliver(packet{liar, to, forgery})
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
		t.Errorf("%d routers still hold a summary that its owner never published", wrong)
	}
}
