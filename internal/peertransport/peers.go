// Package peertransport passes short messages between routers, by UDP.
package peertransport

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"syscall"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const bound = 256 // bytes of a message, by the protocol

// Transport is the way to the other routers.
type Transport struct {
	conn   *net.UDPConn
	to     []netip.AddrPort
	at     []netip.AddrPort       // of all routers, in the order of their list
	places map[netip.AddrPort]int // in that list: thousands of senders are not looked for one by one
	log    zerolog.Logger
}

// Open listens at an address. Messages go to all, one address for every router, or if there is none to each of
// the others; heard is called, on a goroutine of its own, with those of known routers, the sender's address and its place in the list,
// -1 where there is no list and all are heard.
func Open(listen, all string, peers []string, me int, heard func(from netip.AddrPort, place int, words []byte), log zerolog.Logger) (*Transport, error) {
	p := &Transport{log: log, places: map[netip.AddrPort]int{}}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		p.at = append(p.at, addr)
		if _, twice := p.places[addr]; !twice {
			p.places[addr] = i
		}
		if all == "" && i != me {
			p.to = append(p.to, addr)
		}
	}
	if all != "" {
		addr, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, err
		}
		p.to = []netip.AddrPort{addr}
	}
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { // with the next process of this router
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	conn, err := shared.ListenPacket(context.Background(), "udp", at.String())
	if err != nil {
		return nil, err
	}
	p.conn = conn.(*net.UDPConn)
	go p.hear(heard)
	return p, nil
}

func (p *Transport) hear(heard func(from netip.AddrPort, place int, words []byte)) {
	buf := make([]byte, bound+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			p.log.Warn().Err(err).Msg("no more messages from peers")
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		place, known := p.places[from]
		if !known {
			place = -1
		}
		if n <= bound && (len(p.at) == 0 || known) {
			heard(from, place, slices.Clone(buf[:n]))
		}
	}
}

// Broadcast sends a message; one that cannot be sent now is lost, as it may be on its way.
func (p *Transport) Broadcast(words []byte) {
	if p == nil || len(words) > bound {
		return
	}
	for _, to := range p.to {
		p.conn.WriteToUDPAddrPort(words, to)
	}
}

// Send sends a message to one router by its place in the list; one that cannot be sent now is lost.
func (p *Transport) Send(to int, words []byte) {
	if p == nil || len(words) > bound || to < 0 || to >= len(p.at) {
		return
	}
	p.conn.WriteToUDPAddrPort(words, p.at[to])
}
