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

// GossipBudget is bytes a second, in and out with headers, that a router may spend: what operators allow unless they say otherwise.
const GossipBudget = 7000

const (
	gossiping = 0.05 // seconds between two steps, as the service has it
	feeding   = 2    // steps between two times that the module is fed, likewise
)

// gossips is the way through a few of the others: the real fleet's part, stepped and fed as the service does. All of it belongs to the
// loop. It steps whatever the number of routers; real ones that are so few that it does not pay tell all.
type gossips struct {
	p     Place
	heard func(words []byte)
	peers *peertransport.Transport
	fleet *gossip.Gossiper
	steps int

	told, fed, datagramsIn uint64
}

func openGossip(p Place, heard func(words []byte)) (Way, error) {
	var names []uint32
	for _, text := range p.Peers {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		names = append(names, crc32.ChecksumIEEE([]byte(at.String())))
	}
	longest := 0.0
	set := settings(p.Me, len(p.Peers))
	for _, t := range set.TrafficClasses {
		longest = max(longest, t.LatencyObjective)
	}
	life := crc32.ChecksumIEEE([]byte(time.Now().String() + strconv.Itoa(os.Getpid()) + p.Listen))
	w := &gossips{p: p, heard: heard, fleet: gossip.New(p.Loop.Now(), gossip.Settings{Self: p.Me, Seed: set.Seed ^ life, Incarnation: life,
		BytesPerSecond: GossipBudget, LongestObjective: longest}, gossip.NewView(names))}
	w.fleet.SetServers(p.Servers)
	open, err := peertransport.Open(p.Listen, "", p.Peers, p.Me, func(_ netip.AddrPort, place int, words []byte) {
		p.Loop.Post(func() { w.hear(place, words) })
	}, p.Log)
	if err != nil {
		return nil, err
	}
	w.peers = open
	p.Loop.Post(func() { // the routers of a process step in turn, not all at once
		p.Loop.After(gossiping*float64(p.Me)/float64(len(p.Peers)), w.step)
	})
	return w, nil
}

func (w *gossips) hear(from int, words []byte) {
	w.datagramsIn++
	if !w.fleet.OnDatagram(w.p.Loop.Now(), from, words) {
		w.heard(words)
	}
}

func (w *gossips) step() {
	now := w.p.Loop.Now()
	for _, d := range w.fleet.Tick(now) {
		w.peers.Send(d.To, d.Bytes)
	}
	if w.steps++; w.steps%feeding == 0 {
		if words := w.fleet.SynthesizeObservations(now); len(words) > 0 {
			w.fed++
			w.p.Feed(words)
		}
	}
	w.p.Loop.After(gossiping, w.step)
}

func (w *gossips) Tell(words []byte) {
	w.told++
	w.fleet.Report(w.p.Loop.Now(), words)
}

// Traffic counts as heard how often the module was fed: no message that another told comes to it by itself.
func (w *gossips) Traffic() Traffic {
	c := w.fleet.Counters
	return Traffic{Told: w.told, Heard: w.fed, DatagramsIn: w.datagramsIn, DatagramsOut: c.DatagramsSent, BytesIn: c.BytesReceived, BytesOut: c.BytesSent,
		LeastHeard: w.fed, MostHeard: w.fed, LeastBytesIn: c.BytesReceived, MostBytesIn: c.BytesReceived, LeastBytesOut: c.BytesSent, MostBytesOut: c.BytesSent}
}
