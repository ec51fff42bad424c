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

// Transport brings one router's gossip messages to the others. Implementations can be exchanged. Its methods are called
// on the event loop.
type Transport interface {
	Broadcast(message []byte) // sends to all other routers; what cannot be sent immediately is lost
	Traffic() Traffic
}

// Member describes a router's place in the fleet.
type Member struct {
	Index     int      // among the peers
	Listen    string   // address at which it receives messages
	Peers     []string // addresses of all routers, including its own
	ServerIDs []uint16 // last two bytes of the IDs of the servers in its first list
	Loop      *eventloop.Loop
	Deliver   func(observations []byte) // called on the event loop; they stand for observations of many routers
	Log       zerolog.Logger
}

// OpenFunc opens a router's transport. onMessage is called with each received message, on any goroutine.
type OpenFunc func(p Member, onMessage func(message []byte)) (Transport, error)

// Transports is the available transports by name.
var Transports = map[string]OpenFunc{"all": openBroadcast, "gossip": openGossip}

// opener returns the function that opens the transport with the name. The error lists the available names.
func opener(name string) (OpenFunc, error) {
	if open := Transports[name]; open != nil {
		return open, nil
	}
	return nil, fmt.Errorf("way %q is unknown; want one of %s", name, strings.Join(slices.Sorted(maps.Keys(Transports)),
		", "))
}

// headerBytes is the size of a datagram's headers: 8 of UDP and 20 of IPv4.
const headerBytes = 8 + 20

// Traffic counts messages and datagrams since the transport was opened. A transport may put several messages into one
// datagram, or forward a message. Bytes are those on the wire, with UDP and IPv4 headers.
type Traffic struct {
	Sent                        uint64 `json:"Told"`  // messages
	Received                    uint64 `json:"Heard"` // messages
	DatagramsOut, DatagramsIn   uint64
	BytesOut, BytesIn           uint64
	LeastReceived               uint64 `json:"LeastHeard"` // in a sum: by a single router
	MostReceived                uint64 `json:"MostHeard"`  // as above
	LeastBytesIn, MostBytesIn   uint64 // as above
	LeastBytesOut, MostBytesOut uint64
}

// Add adds the counters of another router, or the sum of several. first says that t is empty, so that o sets the
// minimums.
func (t *Traffic) Add(o Traffic, first bool) {
	t.Sent, t.Received = t.Sent+o.Sent, t.Received+o.Received
	t.DatagramsOut, t.DatagramsIn = t.DatagramsOut+o.DatagramsOut, t.DatagramsIn+o.DatagramsIn
	t.BytesOut, t.BytesIn = t.BytesOut+o.BytesOut, t.BytesIn+o.BytesIn
	if first {
		t.LeastReceived, t.LeastBytesIn, t.LeastBytesOut = o.LeastReceived, o.LeastBytesIn, o.LeastBytesOut
	}
	t.LeastReceived, t.MostReceived = min(t.LeastReceived, o.LeastReceived), max(t.MostReceived, o.MostReceived)
	t.LeastBytesIn, t.MostBytesIn = min(t.LeastBytesIn, o.LeastBytesIn), max(t.MostBytesIn, o.MostBytesIn)
	t.LeastBytesOut, t.MostBytesOut = min(t.LeastBytesOut, o.LeastBytesOut), max(t.MostBytesOut, o.MostBytesOut)
}

// broadcastTransport is the real routers' broadcast: one datagram per message to each of the others.
type broadcastTransport struct {
	peers  *peertransport.Transport
	others uint64

	sent, received, bytesOut, bytesIn atomic.Uint64
}

func openBroadcast(member Member, onMessage func(message []byte)) (Transport, error) {
	t := &broadcastTransport{others: uint64(len(member.Peers) - 1)}
	open, err := peertransport.Open(member.Listen, "", member.Peers, member.Index, func(_ netip.AddrPort, _ int,
		message []byte) {
		t.received.Add(1)
		t.bytesIn.Add(uint64(len(message) + headerBytes))
		onMessage(message)
	}, member.Log)
	t.peers = open
	return t, err
}

func (t *broadcastTransport) Broadcast(message []byte) {
	t.sent.Add(1)
	t.bytesOut.Add(t.others * uint64(len(message)+headerBytes))
	t.peers.Broadcast(message)
}

func (t *broadcastTransport) Traffic() Traffic {
	received, receivedBytes, sentBytes := t.received.Load(), t.bytesIn.Load(), t.bytesOut.Load()
	return Traffic{Sent: t.sent.Load(), Received: received, DatagramsIn: received,
		DatagramsOut: t.sent.Load() * t.others, BytesIn: receivedBytes, BytesOut: sentBytes,
		LeastReceived: received, MostReceived: received, LeastBytesIn: receivedBytes, MostBytesIn: receivedBytes,
		LeastBytesOut: sentBytes, MostBytesOut: sentBytes}
}
