package scale

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"bendtrestle/internal/discovery"
	"bendtrestle/internal/policy/zonefailover"
)

// typicalMessage returns a gossip message as the balancer sends it: five servers, each with a typical latency.
func typicalMessage(t *testbed) (message []byte) {
	const servers, typicalLatency = 5, 32
	all := t.fleet.Servers()
	for n := range servers {
		message = binary.LittleEndian.AppendUint16(message, uint16(discovery.ID(all[n*len(all)/servers].Name)))
		message = append(message, typicalLatency)
	}
	return message
}

// zoneMessages returns a function that makes the next zone message of the n-th router: eight zones, all healthy.
func (b *bench) zoneMessages(t *testbed, routers int) func(router int) []byte {
	servers, ids := map[string]int{}, map[uint16]bool{}
	for _, server := range t.fleet.Servers() {
		servers[server.Zone]++
		ids[uint16(discovery.ID(server.Name))] = true
	}
	controllers, clocks := make([]*zonefailover.Controller, routers), make([]float64, routers)
	for n := range controllers {
		controllers[n] = zonefailover.New(zonefailover.Settings{RouterIndex: n + 1, RouterCount: routers + 1,
			Incarnation: 1, WarmupSeconds: 9})
		controllers[n].OnEndpoints(0, servers, ids)
	}
	return func(n int) []byte {
		clocks[n] += 1000 // the router's own clock moves so far that its next message is always due
		controllers[n].Tick(clocks[n])
		return controllers[n].NextMessage(clocks[n])
	}
}

// measureReceipt sends a router gossip messages at a rate for a window. It returns the router's usage and the messages
// per second that its socket's receive buffer had room for.
func (b *bench) measureReceipt(p *process, sockets *peerSockets, rate float64,
	payload func(peer int) []byte) (used usage, received float64, err error) {
	ctx, stop := context.WithCancel(b.ctx)
	defer stop()
	sendResult := make(chan error, 1)
	go func() {
		_, err := sockets.send(ctx, rate, payload)
		sendResult <- err
	}()
	before, after := 0, 0
	if err = sleep(b.ctx, b.plan.Settle, p); err == nil {
		if before, err = droppedDatagrams(b.address(routerOctet, 0, gossipPort)); err == nil {
			used, err = b.measureWindow(p)
		}
	}
	if err == nil {
		after, err = droppedDatagrams(b.address(routerOctet, 0, gossipPort))
	}
	stop()
	if sendErr := <-sendResult; err == nil {
		err = sendErr
	}
	const maxLoss = 0.01 // fraction of the messages; with more lost, the router is too slow or the machine too busy
	if received = rate - float64(after-before)/max(used.seconds, 1e-9); received < (1-maxLoss)*rate {
		b.addNote("of %.0f messages per second %.1f%% were dropped: the receive buffer of the router's socket was full",
			rate, 100*(1-received/rate))
	}
	return used, received, err
}

// fixedMessageRate is the messages per second where another size varies. It is high enough that several messages share
// a wake-up, and they come 50 at a time, far below the 277 that a socket's default receive buffer holds.
const fixedMessageRate = 10000

// measureReceiving measures receiving gossip messages.
func measureReceiving(b *bench) error {
	mostServers, fewestPeers, rate := slices.Max(b.plan.Servers), slices.Min(b.plan.Routers), float64(fixedMessageRate)
	if b.plan.Small {
		rate = 200
	}
	dropped := 0
	withPeers := func(servers, peers int, zoned bool, f func(t *testbed, p *process, sockets *peerSockets,
		payload func(int) []byte) error) error {
		sockets, err := b.openPeerSockets(peers)
		if err != nil {
			return err
		}
		defer sockets.close()
		return b.withRouter(servers, routerSetup{peers: b.peerAddresses(peers), gossip: true, zoneFailover: zoned},
			func(t *testbed, p *process) error {
				message := typicalMessage(t)
				err := f(t, p, sockets, func(int) []byte { return message })
				if err != nil {
					return err
				}
				n, err := droppedDatagrams(b.address(routerOctet, 0, gossipPort))
				dropped += n
				b.add("hear.bytes.word", 0, float64(len(message)+headerBytes), 0)
				return err
			})
	}
	// measureMessage computes the CPU time of one message: the usage beyond that of the same router before any message
	// was sent.
	measureMessage := func(p *process, sockets *peerSockets, payload func(int) []byte,
		record func(cpuMicros float64, s usage)) error {
		before, err := b.measureWindow(p)
		if err != nil {
			return err
		}
		s, received, err := b.measureReceipt(p, sockets, rate, payload)
		if err == nil {
			record((s.cpuRate()-before.cpuRate())/max(received, 1), s)
		}
		return err
	}
	for _, n := range b.plan.Routers {
		b.progressf("receiving from %d peers with %d servers", n, mostServers)
		err := withPeers(mostServers, n, false, func(_ *testbed, p *process, sockets *peerSockets,
			payload func(int) []byte) error {
			err := measureMessage(p, sockets, payload, func(cpuMicros float64, s usage) {
				b.add("hear.core.word.peers", float64(n), cpuMicros, s.loop)
			})
			if err != nil {
				return err
			}
			s, _, err := b.measureReceipt(p, sockets, float64(n), payload)
			b.add("hear.core.word", float64(n), s.cpuRate(), s.loop)
			return err
		})
		if err != nil {
			return err
		}
	}
	for _, n := range b.plan.Servers {
		b.progressf("receiving from %d peers with %d servers", fewestPeers, n)
		err := withPeers(n, fewestPeers, false, func(_ *testbed, p *process, sockets *peerSockets,
			payload func(int) []byte) error {
			return measureMessage(p, sockets, payload, func(cpuMicros float64, s usage) {
				b.add("hear.core.word.servers", float64(n), cpuMicros, s.loop)
			})
		})
		if err != nil {
			return err
		}
	}
	b.progressf("receiving at rising rates")
	err := withPeers(mostServers, fewestPeers, false, func(_ *testbed, p *process, sockets *peerSockets,
		payload func(int) []byte) error {
		for _, n := range b.plan.Routers {
			s, _, err := b.measureReceipt(p, sockets, float64(n), payload)
			if err != nil {
				return err
			}
			b.add("hear.core.word.rate", float64(n), s.cpuRate(), s.loop)
		}
		return nil
	})
	if err != nil {
		return err
	}
	b.progressf("receiving zone messages")
	err = withPeers(mostServers, fewestPeers, true, func(t *testbed, p *process, sockets *peerSockets,
		_ func(int) []byte) error {
		payload, size := b.zoneMessages(t, fewestPeers), 0
		err := measureMessage(p, sockets, func(n int) []byte {
			message := payload(n)
			size = len(message)
			return message
		}, func(cpuMicros float64, s usage) { b.add("hear.core.zones", 0, cpuMicros, s.loop) })
		if size == 0 && err == nil {
			err = fmt.Errorf("the zone controllers made no message")
		}
		b.add("hear.bytes.zones", 0, float64(size+headerBytes), 0)
		return err
	})
	b.add("hear.lost", 0, float64(dropped), 0)
	return err
}

// measureSending measures broadcasts to all peers: a router with zone failover on sends a message every half second, as
// it does in a fleet of fifty.
func measureSending(b *bench) error {
	const fleet, twoMessages = 50, 1200 * time.Millisecond
	mostServers := slices.Max(b.plan.Servers)
	lost, datagrams, size, messages, totalSeconds := 0, 0, 0, 0.0, 0.0
	for _, n := range b.plan.Routers {
		b.progressf("sending to %d peers", n)
		sockets, err := b.openPeerSockets(n)
		if err != nil {
			return err
		}
		err = b.withRouter(mostServers, routerSetup{peers: b.peerAddresses(n), fleetSize: fleet, gossip: true,
			zoneFailover: true}, func(_ *testbed, p *process) error {
			before, _, err := sockets.countMessages(b.ctx)
			if err != nil {
				return err
			}
			s, missing, sent := usage{}, 0, 0.0
			for attempt := 0; sent == 0; attempt++ { // on a busy machine a window may end before the first message
				if attempt == 5 {
					return fmt.Errorf("none of %d peers received a message within %.1f s", n,
						s.seconds*float64(attempt))
				}
				if s, err = p.measureWindow(b.ctx, max(b.plan.Window, twoMessages)); err != nil {
					return err
				}
				after, more, err := sockets.countMessages(b.ctx)
				if err != nil {
					return err
				}
				missing, sent = missing+more, float64(after-before)
			}
			b.recordLoop(s)
			for _, received := range sockets.received {
				datagrams += received
			}
			size, lost, messages, totalSeconds = size+sockets.bytes, lost+missing, messages+sent, totalSeconds+s.seconds
			b.add("tell.core.datagram", float64(n), s.cpu*1e6/sent, s.loop)
			return nil
		})
		sockets.close()
		if err != nil {
			return err
		}
	}
	b.add("tell.words", 0, messages/totalSeconds, 0)
	b.add("tell.bytes.datagram", 0, float64(size)/float64(datagrams)+headerBytes, 0)
	b.add("tell.lost", 0, float64(lost), 0)
	return nil
}
