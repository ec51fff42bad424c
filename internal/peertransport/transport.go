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

// maxDatagramBytes is the largest payload of a datagram, a limit of the platform.
const maxDatagramBytes = 256

// UnknownSender is the index of senders if there is no list of routers.
const UnknownSender = -1

// Handler handles a received datagram. Its arguments are the sender's address, the sender's index in the list of
// routers or UnknownSender, and the payload, which it may keep. It is called on the transport's goroutine.
type Handler func(from netip.AddrPort, sender int, datagram []byte)

// Transport sends datagrams to the other routers and receives theirs. A nil Transport sends nothing.
type Transport struct {
	conn             *net.UDPConn
	routers          []netip.AddrPort       // all routers, in the order of the list
	indexOf          map[netip.AddrPort]int // index in the list; the first one if an address is listed twice
	broadcastTargets []netip.AddrPort       // addresses that a broadcast is sent to
	log              zerolog.Logger
}

// Open opens a socket at the address listen and starts to receive. Broadcasts are sent to the address broadcast or, if
// that is empty, to each router of the list except this one, which has the index self. Datagrams from senders that are
// not in the list are dropped; with an empty list all datagrams are handled. The successor process of this router can
// listen at the same address.
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

// setRouters sets the list of all routers.
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

// setBroadcastTargets sets the targets of broadcasts: the broadcast address if there is one, else all other routers.
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

// listenShared opens a socket at an address that another process may use at the same time, during a hot restart.
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

// receive passes received datagrams to the handler until reading from the socket fails.
func (t *Transport) receive(handle Handler) {
	buffer := make([]byte, maxDatagramBytes+1) // the extra byte reveals datagrams that are too long
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.log.Warn().Err(err).Msg("reading from the peer socket failed; no more messages of other routers are received")
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

// Broadcast sends a datagram to all other routers. A datagram that is too long is not sent.
func (t *Transport) Broadcast(datagram []byte) {
	if t == nil || len(datagram) > maxDatagramBytes {
		return
	}
	for _, address := range t.broadcastTargets {
		t.conn.WriteToUDPAddrPort(datagram, address)
	}
}

// Send sends a datagram to the router with the given index in the list. A datagram that is too long, or whose index is
// not in the list, is not sent.
func (t *Transport) Send(to int, datagram []byte) {
	if t == nil || len(datagram) > maxDatagramBytes || to < 0 || to >= len(t.routers) {
		return
	}
	t.conn.WriteToUDPAddrPort(datagram, t.routers[to])
}
