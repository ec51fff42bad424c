package simrouter

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"

	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/peertransport"

	"github.com/rs/zerolog"
)

// Transport is how one router's words come to the others: the seam at which routers that tell one another in another way are put in. Both are
// called on the loop.
type Transport interface {
	Broadcast(message []byte) // to all others; what cannot be sent now is lost
	Traffic() Traffic
}

// Member is where a router stands among the others.
type Member struct {
	Index     int      // its number among the peers
	Listen    string   // where it hears
	Peers     []string // all routers' addresses, its own among them
	ServerIDs []uint16 // the ends of the ids of the servers in its first list
	Loop      *eventloop.Loop
	Deliver   func(words []byte) // takes, on the loop, any number of words that stand for what many routers told
	Log       zerolog.Logger
}

// OpenFunc opens a router's way. heard is called with the words of each message that has come, on any goroutine.
type OpenFunc func(p Member, heard func(words []byte)) (Transport, error)

// Transports are all that there are, by name.
var Transports = map[string]OpenFunc{"all": openBroadcast, "gossip": openGossip}

// opener gives one by its name; the error tells which there are.
func opener(name string) (OpenFunc, error) {
	if open := Transports[name]; open != nil {
		return open, nil
	}
	return nil, fmt.Errorf("way %q: there are %s", name, strings.Join(slices.Sorted(maps.Keys(Transports)), ", "))
}

// headerBytes are the bytes of a datagram beside what it says: UDP's 8 and IPv4's 20.
const headerBytes = 8 + 20

// Traffic counts what has passed since the way was opened. Words is what routers say to one another, a datagram what goes out for it:
// a way may put several words into one datagram, or send a word on. Bytes are those of the wire, with UDP's and IPv4's headers.
type Traffic struct {
	Told, Heard                 uint64 // words
	DatagramsOut, DatagramsIn   uint64
	BytesOut, BytesIn           uint64
	LeastHeard, MostHeard       uint64 // of a sum: by one of its routers
	LeastBytesIn, MostBytesIn   uint64 // likewise
	LeastBytesOut, MostBytesOut uint64
}

// Add adds another's.
func (t *Traffic) Add(o Traffic, first bool) {
	t.Told, t.Heard = t.Told+o.Told, t.Heard+o.Heard
	t.DatagramsOut, t.DatagramsIn = t.DatagramsOut+o.DatagramsOut, t.DatagramsIn+o.DatagramsIn
	t.BytesOut, t.BytesIn = t.BytesOut+o.BytesOut, t.BytesIn+o.BytesIn
	if first {
		t.LeastHeard, t.LeastBytesIn, t.LeastBytesOut = o.LeastHeard, o.LeastBytesIn, o.LeastBytesOut
	}
	t.LeastHeard, t.MostHeard = min(t.LeastHeard, o.LeastHeard), max(t.MostHeard, o.MostHeard)
	t.LeastBytesIn, t.MostBytesIn = min(t.LeastBytesIn, o.LeastBytesIn), max(t.MostBytesIn, o.MostBytesIn)
	t.LeastBytesOut, t.MostBytesOut = min(t.LeastBytesOut, o.LeastBytesOut), max(t.MostBytesOut, o.MostBytesOut)
}

// broadcastTransport is the router's own way: a datagram to each of the others for each word.
type broadcastTransport struct {
	peers  *peertransport.Transport
	others uint64

	sent, received, bytesOut, bytesIn atomic.Uint64
}

func openBroadcast(p Member, onMessage func(message []byte)) (Transport, error) {
	w := &broadcastTransport{others: uint64(len(p.Peers) - 1)}
	open, err := peertransport.Open(p.Listen, "", p.Peers, p.Index, func(_ netip.AddrPort, _ int, message []byte) {
		w.received.Add(1)
		w.bytesIn.Add(uint64(len(message) + headerBytes))
		onMessage(message)
	}, p.Log)
	w.peers = open
	return w, err
}

func (w *broadcastTransport) Broadcast(message []byte) {
	w.sent.Add(1)
	w.bytesOut.Add(w.others * uint64(len(message)+headerBytes))
	w.peers.Broadcast(message)
}

func (w *broadcastTransport) Traffic() Traffic {
	heard, in, out := w.received.Load(), w.bytesIn.Load(), w.bytesOut.Load()
	return Traffic{Told: w.sent.Load(), Heard: heard, DatagramsIn: heard, DatagramsOut: w.sent.Load() * w.others, BytesIn: in, BytesOut: out,
		LeastHeard: heard, MostHeard: heard, LeastBytesIn: in, MostBytesIn: in, LeastBytesOut: out, MostBytesOut: out}
}
