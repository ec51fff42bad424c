package service

import (
	"fmt"
	"hash/crc32"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/config"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/peertransport"
	"bendtrestle/internal/policy/gossip"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// fleetOf gives the platform's configuration of one of so many routers, of which the first two have the addresses given.
func fleetOf(t *testing.T, me, routers int, first ...string) config.Config {
	t.Helper()
	conf, err := config.Parse(fmt.Appendf(nil, usual, freeAddress(t), "127.0.0.1:1"), func(name string) string { return map[string]string{"TMPDIR": t.TempDir()}[name] })
	if err != nil {
		t.Fatal(err)
	}
	conf.Settings.GossipAllowed, conf.Settings.RouterIndex, conf.Settings.RouterCount = true, me, routers
	conf.Peers = first
	for i := len(first); i < routers; i++ {
		conf.Peers = append(conf.Peers, fmt.Sprintf("127.99.%d.%d:9", i/250, i%250+1))
	}
	conf.PeerListen = conf.Peers[me]
	return conf
}

func (s *Service) runs(t *testing.T) {
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
}

// others is the rest of a fleet on its own sockets, from a place on: the part of each that words go through, without a router round it.
func others(t *testing.T, at []string, from int, ids []uint16) {
	var names []uint32
	for _, text := range at {
		names = append(names, crc32.ChecksumIEEE([]byte(text)))
	}
	began := time.Now()
	now := func() float64 { return time.Since(began).Seconds() }
	var lock sync.Mutex
	var fleets []*gossip.Gossiper
	var ways []*peertransport.Peers
	for me := from; me < len(at); me++ {
		f := gossip.New(now(), gossip.Settings{Self: me, Seed: uint32(me), Incarnation: uint32(me), BytesPerSecond: 7000, LongestObjective: 0.6}, gossip.NewView(names))
		f.SetServers(ids)
		p, err := peertransport.Open(at[me], "", at, me, func(_ netip.AddrPort, from int, words []byte) {
			lock.Lock()
			defer lock.Unlock()
			f.OnDatagram(now(), from, words)
		}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		fleets, ways = append(fleets, f), append(ways, p)
	}
	stop, stopped := make(chan bool), make(chan bool)
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			lock.Lock()
			for i, f := range fleets {
				for _, d := range f.Tick(now()) {
					ways[i].Send(d.To, d.Bytes)
				}
			}
			lock.Unlock()
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
}

// What one router's module tells comes to hold at another, by sockets, in a fleet of a hundred.
func TestGossipOnSockets(t *testing.T) {
	var at []string
	for range 100 {
		at = append(at, freeUDP(t))
	}
	set := operatorconfig.File{Gossip: operatorconfig.Gossip{On: true, BytesPerSecond: 7000}}
	var both []*Service
	for me := range 2 {
		conf := fleetOf(t, me, 100, at...)
		conf.Known = discovery.EndpointList{Generation: 1, Complete: true}
		for _, id := range []uint64{7, 8} {
			conf.Known.Instances = append(conf.Known.Instances, discovery.Instance{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Endpoint: balancer.Endpoint{ID: id, State: balancer.Ready, Capacity: 1}})
		}
		s, err := assemble(Setup{Platform: conf, Operators: set}, requestcore.DefaultBalancer, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		if s.gossip == nil {
			t.Fatal("a hundred routers tell each other one by one")
		}
		both = append(both, s)
	}
	for _, s := range both {
		s.runs(t)
	}
	others(t, at, 2, []uint16{7, 8})
	tell, looks := both[0].telling(""), 0
	until(t, "an entry at the other router", both[1], func() bool {
		if looks++; looks%50 == 1 { // the first ones may come before they know each other
			both[0].loop.Post(func() { tell([]byte{7, 0, 32, 8, 0, 64}) })
		}
		one, _, _, ok := both[1].gossip.fleet.Summary(both[1].loop.Now(), 7)
		two, _, _, too := both[1].gossip.fleet.Summary(both[1].loop.Now(), 8)
		return ok && too && one > 0 && two > 0
	})
}

// With gossip off, at three routers, and where no list tells who is there, what the module tells goes to all, word for word.
func TestGossipOff(t *testing.T) {
	for _, c := range []struct {
		why     string
		routers int
		set     operatorconfig.Gossip
	}{{"off", 100, operatorconfig.Gossip{BytesPerSecond: 7000}}, {"three routers", 3, operatorconfig.Gossip{On: true, BytesPerSecond: 7000}},
		{"eighty routers", 80, operatorconfig.Gossip{On: true, BytesPerSecond: 7000}}} {
		peer, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		s, err := assemble(Setup{Platform: fleetOf(t, 0, c.routers, freeUDP(t), peer.LocalAddr().String()), Operators: operatorconfig.File{Gossip: c.set}}, requestcore.DefaultBalancer, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s.runs(t)
		words := "abcabcabc"
		on(s, func() bool { s.telling("")([]byte(words)); return true })
		buf := make([]byte, 300)
		n, _, err := peer.ReadFrom(buf)
		if err != nil || string(buf[:n]) != words || s.gossip != nil {
			t.Errorf("%s: the first that the peer has is %q, %v", c.why, buf[:n], err)
		}
	}
}

// A list without this router in it, or a platform that lets no peer be told, leaves it off.
func TestGossipNeedsAList(t *testing.T) {
	log := &noted{}
	conf := fleetOf(t, 0, 100, freeUDP(t))
	conf.Settings.GossipAllowed = false
	s, err := assemble(Setup{Platform: conf, Operators: operatorconfig.File{Gossip: operatorconfig.Gossip{On: true, BytesPerSecond: 7000}}}, requestcore.DefaultBalancer, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	s.runs(t)
	if s.gossip != nil || !strings.Contains(log.text(), "no list of peers with this router in it") {
		t.Errorf("it is on, or nothing was said: %s", log.text())
	}
}

// noted is a log that is read while others write.
type noted struct {
	lock sync.Mutex
	all  []byte
}

func (k *noted) Write(b []byte) (int, error) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.all = append(k.all, b...)
	return len(b), nil
}

func (k *noted) text() string {
	k.lock.Lock()
	defer k.lock.Unlock()
	return string(k.all)
}

// freeUDP gives an address that nothing listens at.
func freeUDP(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}
