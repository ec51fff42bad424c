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

// free gives so many addresses that nothing listens at.
func free(t *testing.T, n int) (all []string) {
	for range n {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all = append(all, c.LocalAddr().String())
	}
	return all
}

// A router's words reach the others, not itself; those of a stranger and too long ones are not heard.
func TestTell(t *testing.T) {
	at := free(t, 3)
	heard := make(chan string, 10)
	var open []*Transport
	for i, listen := range at[:2] {
		p, err := Open(listen, "", at[:2], i, func(from netip.AddrPort, place int, words []byte) {
			heard <- fmt.Sprint(from, " at ", place, " to ", listen, " ", string(words))
		}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, p)
	}
	stranger, err := Open(at[2], at[1], nil, 0, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	stranger.Broadcast([]byte("psst"))
	open[0].Broadcast([]byte(strings.Repeat("x", bound+1)))
	open[0].Broadcast([]byte("news"))
	select {
	case got := <-heard:
		if want := at[0] + " at 0 to " + at[1] + " news"; got != want {
			t.Errorf("heard %q, want %q", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing was heard")
	}
	if len(heard) > 0 {
		t.Errorf("heard also %q", <-heard)
	}
}

// A message to one router reaches it alone, and one to a place that is nobody's goes nowhere.
func TestSend(t *testing.T) {
	at := free(t, 3)
	heard := make(chan string, 10)
	var open []*Transport
	for i, listen := range at {
		p, err := Open(listen, "", at, i, func(_ netip.AddrPort, from int, words []byte) { heard <- fmt.Sprint(i, " ", from, " ", string(words)) }, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, p)
	}
	open[2].Send(-1, []byte("a"))
	open[2].Send(3, []byte("b"))
	open[2].Send(1, []byte(strings.Repeat("x", bound+1)))
	open[2].Send(1, []byte("c"))
	open[0].Send(1, []byte("d")) // both are on the way to one socket
	got := []string{<-heard, <-heard}
	slices.Sort(got)
	if want := []string{"1 0 d", "1 2 c"}; !slices.Equal(got, want) {
		t.Errorf("heard %q, want %q", got, want)
	}
	if len(heard) > 0 {
		t.Errorf("heard also %q", <-heard)
	}
}

// Without a list all are heard, from nobody's place.
func TestNoList(t *testing.T) {
	at := free(t, 2)
	heard := make(chan int, 1)
	if _, err := Open(at[0], "", nil, 0, func(_ netip.AddrPort, from int, _ []byte) { heard <- from }, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	one, err := Open(at[1], at[0], nil, 0, func(netip.AddrPort, int, []byte) {}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	one.Broadcast([]byte("news"))
	if from := <-heard; from != -1 {
		t.Errorf("heard from %d", from)
	}
}

// Without peers nothing is told and nothing breaks.
func TestNoPeers(t *testing.T) {
	var none *Transport
	none.Broadcast([]byte("news"))
	none.Send(0, []byte("news"))
	if _, err := Open("nowhere", "", nil, 0, nil, zerolog.Nop()); err == nil {
		t.Error("an address that is none was taken")
	}
}

// A process that follows another hears at the same address.
func TestAddressIsShared(t *testing.T) {
	at := free(t, 1)[0]
	for range 2 {
		if _, err := Open(at, "", nil, 0, func(netip.AddrPort, int, []byte) {}, zerolog.Nop()); err != nil {
			t.Error(err)
		}
	}
}
