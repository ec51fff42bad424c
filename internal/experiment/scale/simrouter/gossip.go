package simrouter

import (
	"hash/crc32"
	"net/netip"
	"os"
	"strconv"
	"time"

	"bendtrestle/internal/peertransport"
	"bendtrestle/internal/policy/gossip"
)

// GossipBytesPerSecond is the most that a router may send and receive per second, with headers: the default of the
// operators' file.
const GossipBytesPerSecond = 7000

const (
	stepSeconds      = 0.05 // seconds between two steps, as in the router service
	stepsPerDelivery = 2    // steps between two deliveries to the balancer, as in the router service
)

// gossipTransport spreads messages by gossip through a few other routers. It runs the real gossiper and delivers to the
// balancer at the intervals of the router service. All of it belongs to the event loop. It gossips at any fleet size;
// real routers broadcast if they are so few that this takes fewer bytes.
type gossipTransport struct {
	member    Member
	onMessage func(message []byte)
	peers     *peertransport.Transport
	gossiper  *gossip.Gossiper
	steps     int

	sent, delivered, datagramsIn uint64
}

func openGossip(member Member, onMessage func(message []byte)) (Transport, error) {
	var addressHashes []uint32
	for _, text := range member.Peers {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		addressHashes = append(addressHashes, crc32.ChecksumIEEE([]byte(at.String())))
	}
	longestObjective := 0.0
	routerSettings := settings(member.Index, len(member.Peers))
	for _, t := range routerSettings.TrafficClasses {
		longestObjective = max(longestObjective, t.LatencyObjective)
	}
	incarnation := crc32.ChecksumIEEE([]byte(time.Now().String() + strconv.Itoa(os.Getpid()) + member.Listen))
	t := &gossipTransport{member: member, onMessage: onMessage, gossiper: gossip.New(member.Loop.Now(),
		gossip.Settings{Self: member.Index, Seed: routerSettings.Seed ^ incarnation, Incarnation: incarnation,
			BytesPerSecond: GossipBytesPerSecond, LongestObjective: longestObjective}, gossip.NewView(addressHashes))}
	t.gossiper.SetServers(member.ServerIDs)
	open, err := peertransport.Open(member.Listen, "", member.Peers, member.Index,
		func(_ netip.AddrPort, sender int, datagram []byte) {
			member.Loop.Post(func() { t.receive(sender, datagram) })
		}, member.Log)
	if err != nil {
		return nil, err
	}
	t.peers = open
	member.Loop.Post(func() { // the routers of a process step at different times
		member.Loop.After(stepSeconds*float64(member.Index)/float64(len(member.Peers)), t.step)
	})
	return t, nil
}

func (t *gossipTransport) receive(sender int, datagram []byte) {
	t.datagramsIn++
	if !t.gossiper.OnDatagram(t.member.Loop.Now(), sender, datagram) {
		t.onMessage(datagram)
	}
}

func (t *gossipTransport) step() {
	now := t.member.Loop.Now()
	for _, d := range t.gossiper.Tick(now) {
		t.peers.Send(d.To, d.Bytes)
	}
	if t.steps++; t.steps%stepsPerDelivery == 0 {
		if observations := t.gossiper.SynthesizeObservations(now); len(observations) > 0 {
			t.delivered++
			t.member.Deliver(observations)
		}
	}
	t.member.Loop.After(stepSeconds, t.step)
}

func (t *gossipTransport) Broadcast(message []byte) {
	t.sent++
	t.gossiper.Report(t.member.Loop.Now(), message)
}

// Traffic counts each delivery to the balancer as one received message, because gossip delivers no single message of
// another router.
func (t *gossipTransport) Traffic() Traffic {
	c := t.gossiper.Counters
	return Traffic{Sent: t.sent, Received: t.delivered, DatagramsIn: t.datagramsIn, DatagramsOut: c.DatagramsSent,
		BytesIn: c.BytesReceived, BytesOut: c.BytesSent,
		LeastReceived: t.delivered, MostReceived: t.delivered, LeastBytesIn: c.BytesReceived,
		MostBytesIn: c.BytesReceived, LeastBytesOut: c.BytesSent, MostBytesOut: c.BytesSent}
}
