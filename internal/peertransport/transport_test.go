package peertransport

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// freeAddresses gives so many addresses that nothing listens at.
func freeAddresses(t *testing.T, n int) (addresses []string) {
	for range n {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		addresses = append(addresses, conn.LocalAddr().String())
	}
	return addresses
}

func open(t *testing.T, listen, broadcast string, routers []string, self int, handle Handler) *Transport {
	t.Helper()
	transport, err := Open(listen, broadcast, routers, self, handle, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return transport
}

func ignore(netip.AddrPort, int, []byte) {}

var tooLong = []byte(strings.Repeat("x", maxDatagramBytes+1))

// A broadcast reaches the other routers and not its sender. Datagrams of a stranger and too long ones are not handled.
func TestBroadcast(t *testing.T) {
	addresses := freeAddresses(t, 3)
	routers := addresses[:2]
	received := make(chan string, 10)
	var transports []*Transport
	for i, listen := range routers {
		handle := func(from netip.AddrPort, sender int, datagram []byte) {
			received <- fmt.Sprint(from, " at ", sender, " to ", listen, " ", string(datagram))
		}
		transports = append(transports, open(t, listen, "", routers, i, handle))
	}
	stranger := open(t, addresses[2], addresses[1], nil, 0, nil)
	stranger.Broadcast([]byte("psst"))
	transports[0].Broadcast(tooLong)
	transports[0].Broadcast([]byte("news"))
	select {
	case got := <-received:
		if want := addresses[0] + " at 0 to " + addresses[1] + " news"; got != want {
			t.Errorf("received %q, want %q", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing was received")
	}
	if len(received) > 0 {
		t.Errorf("received also %q", <-received)
	}
}

// A datagram to one router reaches it alone, and one to an index that is no router's goes nowhere.
func TestSend(t *testing.T) {
	routers := freeAddresses(t, 3)
	received := make(chan string, 10)
	var transports []*Transport
	for i, listen := range routers {
		transports = append(transports, open(t, listen, "", routers, i, func(_ netip.AddrPort, sender int, datagram []byte) {
			received <- fmt.Sprint(i, " ", sender, " ", string(datagram))
		}))
	}
	transports[2].Send(-1, []byte("a"))
	transports[2].Send(3, []byte("b"))
	transports[2].Send(1, tooLong)
	transports[2].Send(1, []byte("c"))
	transports[0].Send(1, []byte("d")) // both are on the way to one socket
	got := []string{<-received, <-received}
	slices.Sort(got)
	if want := []string{"1 0 d", "1 2 c"}; !slices.Equal(got, want) {
		t.Errorf("received %q, want %q", got, want)
	}
	if len(received) > 0 {
		t.Errorf("received also %q", <-received)
	}
}

// Without a list of routers the datagrams of all senders are handled, with no index.
func TestNoList(t *testing.T) {
	addresses := freeAddresses(t, 2)
	received := make(chan int, 1)
	open(t, addresses[0], "", nil, 0, func(_ netip.AddrPort, sender int, _ []byte) { received <- sender })
	one := open(t, addresses[1], addresses[0], nil, 0, ignore)
	one.Broadcast([]byte("news"))
	if sender := <-received; sender != UnknownSender {
		t.Errorf("received from %d", sender)
	}
}

// Without a transport nothing is sent and nothing breaks.
func TestNoTransport(t *testing.T) {
	var none *Transport
	none.Broadcast([]byte("news"))
	none.Send(0, []byte("news"))
	if _, err := Open("nowhere", "", nil, 0, nil, zerolog.Nop()); err == nil {
		t.Error("an address that is none was taken")
	}
}

// The process that follows another at a hot restart listens at the same address.
func TestAddressIsShared(t *testing.T) {
	address := freeAddresses(t, 1)[0]
	for range 2 {
		if _, err := Open(address, "", nil, 0, ignore, zerolog.Nop()); err != nil {
			t.Error(err)
		}
	}
}
