package peertransport

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// freeAddresses returns n loopback addresses at which nothing listens.
func freeAddresses(n int) (addresses []string) {
	for range n {
		addresses = append(addresses, testaddress.New())
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

// A broadcast reaches the other routers and not its sender. Datagrams that are too long, or whose sender is not in the
// list, are not handled.
func TestBroadcast(t *testing.T) {
	addresses := freeAddresses(3)
	routers := addresses[:2]
	received := make(chan string, 10)
	var transports []*Transport
	for i, listen := range routers {
		handle := func(from netip.AddrPort, sender int, datagram []byte) {
			received <- fmt.Sprint(from, " at ", sender, " to ", listen, " ", string(datagram))
		}
		transports = append(transports, open(t, listen, "", routers, i, handle))
	}
	unlisted := open(t, addresses[2], addresses[1], nil, 0, nil)
	unlisted.Broadcast([]byte("unlisted"))
	transports[0].Broadcast(tooLong)
	transports[0].Broadcast([]byte("payload"))
	select {
	case got := <-received:
		if want := addresses[0] + " at 0 to " + addresses[1] + " payload"; got != want {
			t.Errorf("received %q, want %q", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("no datagram was received within 5 s")
	}
	if len(received) > 0 {
		t.Errorf("received also %q, want one datagram", <-received)
	}
}

// A datagram to one router reaches only that router. Datagrams to an index that is not in the list, and too long ones,
// are not sent.
func TestSend(t *testing.T) {
	routers := freeAddresses(3)
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
	transports[0].Send(1, []byte("d")) // both are sent to the same socket
	got := []string{<-received, <-received}
	slices.Sort(got)
	if want := []string{"1 0 d", "1 2 c"}; !slices.Equal(got, want) {
		t.Errorf("received %q, want %q", got, want)
	}
	if len(received) > 0 {
		t.Errorf("received also %q, want two datagrams", <-received)
	}
}

// Without a list of routers the datagrams of all senders are handled, with UnknownSender as their index.
func TestAllSendersAreHandledWithoutList(t *testing.T) {
	addresses := freeAddresses(2)
	received := make(chan int, 1)
	open(t, addresses[0], "", nil, 0, func(_ netip.AddrPort, sender int, _ []byte) { received <- sender })
	sending := open(t, addresses[1], addresses[0], nil, 0, ignore)
	sending.Broadcast([]byte("payload"))
	if sender := <-received; sender != UnknownSender {
		t.Errorf("the sender's index is %d, want UnknownSender", sender)
	}
}

// Broadcast and Send on a nil Transport do nothing. Open returns an error for an invalid address.
func TestNilTransportAndInvalidAddress(t *testing.T) {
	var none *Transport
	none.Broadcast([]byte("payload"))
	none.Send(0, []byte("payload"))
	if _, err := Open("nowhere", "", nil, 0, nil, zerolog.Nop()); err == nil {
		t.Error(`Open("nowhere") succeeded, want an error`)
	}
}

// During a hot restart the predecessor and the successor process listen at the same address.
func TestAddressIsSharedWithSuccessor(t *testing.T) {
	address := freeAddresses(1)[0]
	for range 2 {
		if _, err := Open(address, "", nil, 0, ignore, zerolog.Nop()); err != nil {
			t.Error(err)
		}
	}
}
