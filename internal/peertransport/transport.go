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

// maxDatagramBytes bounds a datagram's payload, a limit of the platform.
const maxDatagramBytes = 256

// UnknownSender is the index of a sender where there is no list of routers.
const UnknownSender = -1

// Handler takes a datagram that has arrived: the address of its sender, the sender's index in the list of routers or
// UnknownSender, and the payload, which it may keep. It is called on the transport's goroutine.
type Handler func(from netip.AddrPort, sender int, datagram []byte)

// Transport is the way to the other routers. A nil Transport sends nothing.
type Transport struct {
	conn             *net.UDPConn
	routers          []netip.AddrPort       // all, in the order of their list
	indexOf          map[netip.AddrPort]int // in that list; the first, where an address stands in it twice
	broadcastTargets []netip.AddrPort       // where a broadcast goes
	log              zerolog.Logger
}

// Open listens at an address. Broadcasts go to the address broadcast, or if that is empty, to each router of the list
// but this one, the one with the index self. With a list, datagrams of other senders are dropped; with an empty one all
// are handled. The next process of this router may listen at the same address.
func Open(
	listen, broadcast string, routers []string, self int, handle Handler, log zerolog.Logger,
) (*Transport, error) {
	t := &Transport{indexOf: map[netip.AddrPort]int{}, log: log}
	if err := t.setRouters(routers); err != nil {
		return nil, err
	}
	if err := t.setBroadcastTargets(broadcast, self); err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	t.conn, err = listenShared(address)
	if err != nil {
		return nil, err
	}
	go t.receive(handle)
	return t, nil
}

// setRouters takes the list of all routers.
func (t *Transport) setRouters(routers []string) error {
	for i, text := range routers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		t.routers = append(t.routers, address)
		if _, known := t.indexOf[address]; !known {
			t.indexOf[address] = i
		}
	}
	return nil
}

// setBroadcastTargets takes the one address that reaches all, or goes by the list.
func (t *Transport) setBroadcastTargets(broadcast string, self int) error {
	if broadcast != "" {
		address, err := netip.ParseAddrPort(broadcast)
		if err != nil {
			return err
		}
		t.broadcastTargets = []netip.AddrPort{address}
		return nil
	}
	for i, address := range t.routers {
		if i != self {
			t.broadcastTargets = append(t.broadcastTargets, address)
		}
	}
	return nil
}

// listenShared opens a socket at an address that another process may use as well, during a hot restart.
func listenShared(address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	conn, err := config.ListenPacket(context.Background(), "udp", address.String())
	if err != nil {
		return nil, err
	}
	return conn.(*net.UDPConn), nil
}

// receive hands on what arrives, until the socket ends.
func (t *Transport) receive(handle Handler) {
	buffer := make([]byte, maxDatagramBytes+1) // one byte more shows that a datagram is too long
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.log.Warn().Err(err).Msg("no more messages from peers")
			return
		}
		if n > maxDatagramBytes {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		sender, known := t.indexOf[from]
		if !known {
			sender = UnknownSender
		}
		if known || len(t.routers) == 0 {
			handle(from, sender, slices.Clone(buffer[:n]))
		}
	}
}

// Broadcast sends a datagram to all other routers. One that is too long is not sent.
func (t *Transport) Broadcast(datagram []byte) {
	if t == nil || len(datagram) > maxDatagramBytes {
		return
	}
	for _, address := range t.broadcastTargets {
		t.conn.WriteToUDPAddrPort(datagram, address)
	}
}

// Send sends a datagram to the router with an index in the list. One that is too long, or to no router, is not sent.
func (t *Transport) Send(to int, datagram []byte) {
	if t == nil || len(datagram) > maxDatagramBytes || to < 0 || to >= len(t.routers) {
		return
	}
	t.conn.WriteToUDPAddrPort(datagram, t.routers[to])
}
