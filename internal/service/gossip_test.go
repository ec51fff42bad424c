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
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// bytesPerSecond is the budget of gossip in these tests.
const bytesPerSecond = 7000

// peerConfig returns the platform's configuration for the router at index in a fleet of a number of routers. The first
// of them have the given addresses.
func peerConfig(t *testing.T, index, routers int, first ...string) config.Config {
	t.Helper()
	conf := parseConfig(t, baseConfig, testaddress.New(), "127.0.0.1:1", t.TempDir())
	conf.Settings.GossipAllowed = true
	conf.Settings.RouterIndex = index
	conf.Settings.RouterCount = routers
	conf.Peers = first
	for i := len(first); i < routers; i++ {
		conf.Peers = append(conf.Peers, fmt.Sprintf("127.99.%d.%d:9", i/250, i%250+1))
	}
	conf.PeerListen = conf.Peers[index]
	return conf
}

// startOtherRouters simulates the routers of a fleet from an index on, each with a socket of its own: only their gossip
// runs, without the rest of a router.
func startOtherRouters(t *testing.T, addresses []string, from int, servers []uint16) {
	var hashes []uint32
	for _, address := range addresses {
		hashes = append(hashes, crc32.ChecksumIEEE([]byte(address)))
	}
	began := time.Now()
	now := func() float64 { return time.Since(began).Seconds() }
	var mu sync.Mutex
	var gossipers []*gossip.Gossiper
	var transports []*peertransport.Transport
	for index := from; index < len(addresses); index++ {
		gossiper := gossip.New(now(), gossip.Settings{
			Self:             index,
			Seed:             uint32(index),
			Incarnation:      uint32(index),
			BytesPerSecond:   bytesPerSecond,
			LongestObjective: 0.6,
		}, gossip.NewView(hashes))
		gossiper.SetServers(servers)
		received := func(_ netip.AddrPort, from int, message []byte) {
			mu.Lock()
			defer mu.Unlock()
			gossiper.OnDatagram(now(), from, message)
		}
		transport, err := peertransport.Open(addresses[index], "", addresses, index, received, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		gossipers = append(gossipers, gossiper)
		transports = append(transports, transport)
	}
	step := func() {
		mu.Lock()
		defer mu.Unlock()
		for i, gossiper := range gossipers {
			for _, datagram := range gossiper.Tick(now()) {
				transports[i].Send(datagram.To, datagram.Bytes)
			}
		}
	}
	stop := make(chan bool)
	stopped := make(chan bool)
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				step()
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-stopped
	})
}

// In a fleet of a hundred routers that exchange UDP datagrams, the observations of one router's balancer must reach
// another router.
func TestGossipReachesAnotherRouterOverUDP(t *testing.T) {
	var addresses []string
	for range 100 {
		addresses = append(addresses, testaddress.New())
	}
	operators := operatorconfig.File{Gossip: operatorconfig.Gossip{On: true, BytesPerSecond: bytesPerSecond}}
	var services []*Service
	for index := range 2 {
		conf := peerConfig(t, index, 100, addresses...)
		conf.InitialEndpoints = discovery.EndpointList{Generation: 1, Full: true}
		for _, id := range []uint64{7, 8} {
			conf.InitialEndpoints.Instances = append(conf.InitialEndpoints.Instances, discovery.Instance{
				Addr:     netip.MustParseAddrPort("127.0.0.1:1"),
				Endpoint: balancer.Endpoint{ID: id, State: balancer.Ready, Capacity: 1},
			})
		}
		s := assembleSetup(t, Setup{Platform: conf, Operators: operators}, zerolog.Nop())
		if s.gossip == nil {
			t.Fatal("gossip is off in a fleet of a hundred routers")
		}
		services = append(services, s)
	}
	for _, s := range services {
		s.runLoop(t)
	}
	startOtherRouters(t, addresses, 2, []uint16{7, 8})
	sender, receiver := services[0], services[1]
	send := sender.gossipSender("")
	polls := 0
	waitUntil(t, "an entry at the other router", receiver, func() bool {
		polls++
		if polls%50 == 1 { // the first ones may arrive before the routers know that all of them support gossip
			sender.loop.Post(func() { send([]byte{7, 0, 32, 8, 0, 64}) })
		}
		one, _, _, oneKnown := receiver.gossip.gossiper.Summary(receiver.loop.Now(), 7)
		two, _, _, twoKnown := receiver.gossip.gossiper.Summary(receiver.loop.Now(), 8)
		return oneKnown && twoKnown && one > 0 && two > 0
	})
}

// If gossip is off in the operators' file, or the fleet is so small (three or eighty routers) that broadcasting
// costs less, the balancer's messages are sent to all routers unchanged.
func TestBroadcastWhereGossipIsOff(t *testing.T) {
	for _, fleet := range []struct {
		name    string
		routers int
		gossip  operatorconfig.Gossip
	}{
		{"off", 100, operatorconfig.Gossip{BytesPerSecond: bytesPerSecond}},
		{"three routers", 3, operatorconfig.Gossip{On: true, BytesPerSecond: bytesPerSecond}},
		{"eighty routers", 80, operatorconfig.Gossip{On: true, BytesPerSecond: bytesPerSecond}},
	} {
		peer, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		conf := peerConfig(t, 0, fleet.routers, testaddress.New(), peer.LocalAddr().String())
		operators := operatorconfig.File{Gossip: fleet.gossip}
		s := assembleSetup(t, Setup{Platform: conf, Operators: operators}, zerolog.Nop())
		s.runLoop(t)
		message := "abcabcabc"
		runOnLoop(s, func() { s.gossipSender("")([]byte(message)) })
		received := make([]byte, 300)
		n, _, err := peer.ReadFrom(received)
		if err != nil || string(received[:n]) != message || s.gossip != nil {
			t.Errorf("%s: the peer received %q, %v, want the message unchanged and gossip off", fleet.name, received[:n], err)
		}
	}
}

// The platform's configuration does not allow gossip. It must stay off, with a warning, though the operators' file
// turns it on.
func TestGossipStaysOffWhereNotAllowed(t *testing.T) {
	log := &logBuffer{}
	conf := peerConfig(t, 0, 100, testaddress.New())
	conf.Settings.GossipAllowed = false
	operators := operatorconfig.File{Gossip: operatorconfig.Gossip{On: true, BytesPerSecond: bytesPerSecond}}
	s := assembleSetup(t, Setup{Platform: conf, Operators: operators}, zerolog.New(log))
	s.runLoop(t)
	if s.gossip != nil || !strings.Contains(log.text(), "the list of peers does not contain this router") {
		t.Errorf("gossip is on, or the warning is missing in the log: %s", log.text())
	}
}
