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

// typicalMessage is what the module says: five servers, each with a usual time.
func typicalMessage(s *testbed) (message []byte) {
	const servers, typicalLatency = 5, 32
	all := s.fleet.Servers()
	for n := range servers {
		message = binary.LittleEndian.AppendUint16(message, uint16(discovery.ID(all[n*len(all)/servers].Name)))
		message = append(message, typicalLatency)
	}
	return message
}

// zoneMessages makes what each of some routers says of zones: eight of them, all well. It may be asked again and again.
func (b *bench) zoneMessages(s *testbed, routers int) func(voice int) []byte {
	servers, ids := map[string]int{}, map[uint16]bool{}
	for _, server := range s.fleet.Servers() {
		servers[server.Zone]++
		ids[uint16(discovery.ID(server.Name))] = true
	}
	controllers, clocks := make([]*zonefailover.Controller, routers), make([]float64, routers)
	for n := range controllers {
		controllers[n] = zonefailover.New(zonefailover.Settings{RouterIndex: n + 1, RouterCount: routers + 1, Incarnation: 1, WarmupSeconds: 9})
		controllers[n].OnEndpoints(0, servers, ids)
	}
	return func(n int) []byte {
		clocks[n] += 1000 // by its own clock, as it is always time to speak
		controllers[n].Tick(clocks[n])
		return controllers[n].NextMessage(clocks[n])
	}
}

// measureReceipt has a router hear words at a rate, and gives what a window of that took, and how many words a second it had room for.
func (b *bench) measureReceipt(p *process, v *peerSockets, rate float64, payload func(voice int) []byte) (used usage, received float64, err error) {
	ctx, stop := context.WithCancel(b.ctx)
	defer stop()
	sendResult := make(chan error, 1)
	go func() {
		_, err := v.send(ctx, rate, payload)
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
	const maxLoss = 0.01 // of the words: with more lost, a router is too slow for them, or the machine too busy
	if received = rate - float64(after-before)/max(used.seconds, 1e-9); received < (1-maxLoss)*rate {
		b.addNote("of %.0f words a second %.1f%% found no room at the router's socket", rate, 100*(1-received/rate))
	}
	return used, received, err
}

// fixedMessageRate is words a second where something else grows: so many that what a wake-up takes is shared by several of them, and 50 at once
// are far below the 277 that a socket's usual room holds.
const fixedMessageRate = 10000

// measureReceiving measures hearing words.
func measureReceiving(b *bench) error {
	most, fewest, rate := slices.Max(b.plan.Servers), slices.Min(b.plan.Routers), float64(fixedMessageRate)
	if b.plan.Small {
		rate = 200
	}
	dropped := 0
	withPeers := func(servers, peers int, zoned bool, f func(s *testbed, p *process, v *peerSockets, payload func(int) []byte) error) error {
		v, err := b.openPeerSockets(peers)
		if err != nil {
			return err
		}
		defer v.close()
		return b.withRouter(servers, routerSetup{peers: b.peerAddresses(peers), gossip: true, zoneFailover: zoned}, func(s *testbed, p *process) error {
			message := typicalMessage(s)
			err := f(s, p, v, func(int) []byte { return message })
			if err != nil {
				return err
			}
			n, err := droppedDatagrams(b.address(routerOctet, 0, gossipPort))
			dropped += n
			b.add("hear.bytes.word", 0, float64(len(message)+headerBytes), 0)
			return err
		})
	}
	// one word's time: what is taken beyond the same router's before anybody spoke
	measureMessage := func(p *process, v *peerSockets, payload func(int) []byte, record func(cpuMicros float64, s usage)) error {
		before, err := b.measureWindow(p)
		if err != nil {
			return err
		}
		s, received, err := b.measureReceipt(p, v, rate, payload)
		if err == nil {
			record((s.cpuRate()-before.cpuRate())/max(received, 1), s)
		}
		return err
	}
	for _, n := range b.plan.Routers {
		b.progressf("hearing %d peers before %d servers", n, most)
		err := withPeers(most, n, false, func(_ *testbed, p *process, v *peerSockets, payload func(int) []byte) error {
			err := measureMessage(p, v, payload, func(cpuMicros float64, s usage) { b.add("hear.core.word.peers", float64(n), cpuMicros, s.loop) })
			if err != nil {
				return err
			}
			s, _, err := b.measureReceipt(p, v, float64(n), payload)
			b.add("hear.core.word", float64(n), s.cpuRate(), s.loop)
			return err
		})
		if err != nil {
			return err
		}
	}
	for _, n := range b.plan.Servers {
		b.progressf("hearing %d peers before %d servers", fewest, n)
		err := withPeers(n, fewest, false, func(_ *testbed, p *process, v *peerSockets, payload func(int) []byte) error {
			return measureMessage(p, v, payload, func(cpuMicros float64, s usage) { b.add("hear.core.word.servers", float64(n), cpuMicros, s.loop) })
		})
		if err != nil {
			return err
		}
	}
	b.progressf("hearing at growing rates")
	err := withPeers(most, fewest, false, func(_ *testbed, p *process, v *peerSockets, payload func(int) []byte) error {
		for _, n := range b.plan.Routers {
			s, _, err := b.measureReceipt(p, v, float64(n), payload)
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
	b.progressf("hearing of zones")
	err = withPeers(most, fewest, true, func(s *testbed, p *process, v *peerSockets, _ func(int) []byte) error {
		payload, size := b.zoneMessages(s, fewest), 0
		err := measureMessage(p, v, func(n int) []byte {
			message := payload(n)
			size = len(message)
			return message
		}, func(cpuMicros float64, s usage) { b.add("hear.core.zones", 0, cpuMicros, s.loop) })
		if size == 0 && err == nil {
			err = fmt.Errorf("no words about zones were made")
		}
		b.add("hear.bytes.zones", 0, float64(size+headerBytes), 0)
		return err
	})
	b.add("hear.lost", 0, float64(dropped), 0)
	return err
}

// measureSending measures telling all peers: a router with zones on says a word each half second, as it would in a fleet of fifty.
func measureSending(b *bench) error {
	const fleet, twoMessages = 50, 1200 * time.Millisecond
	most := slices.Max(b.plan.Servers)
	lost, datagrams, size, messages, seconds := 0, 0, 0, 0.0, 0.0
	for _, n := range b.plan.Routers {
		b.progressf("telling %d peers", n)
		v, err := b.openPeerSockets(n)
		if err != nil {
			return err
		}
		err = b.withRouter(most, routerSetup{peers: b.peerAddresses(n), fleetSize: fleet, gossip: true, zoneFailover: true}, func(_ *testbed, p *process) error {
			before, _, err := v.messages(b.ctx)
			if err != nil {
				return err
			}
			s, missing, sent := usage{}, 0, 0.0
			for attempt := 0; sent == 0; attempt++ { // on a busy machine a window may end before the first word
				if attempt == 5 {
					return fmt.Errorf("no word came to %d peers in %.1f s", n, s.seconds*float64(attempt))
				}
				if s, err = p.measureWindow(b.ctx, max(b.plan.Window, twoMessages)); err != nil {
					return err
				}
				after, more, err := v.messages(b.ctx)
				if err != nil {
					return err
				}
				missing, sent = missing+more, float64(after-before)
			}
			b.recordLoop(s)
			for _, received := range v.received {
				datagrams += received
			}
			size, lost, messages, seconds = size+v.bytes, lost+missing, messages+sent, seconds+s.seconds
			b.add("tell.core.datagram", float64(n), s.cpu*1e6/sent, s.loop)
			return nil
		})
		v.close()
		if err != nil {
			return err
		}
	}
	b.add("tell.words", 0, messages/seconds, 0)
	b.add("tell.bytes.datagram", 0, float64(size)/float64(datagrams)+headerBytes, 0)
	b.add("tell.lost", 0, float64(lost), 0)
	return nil
}
