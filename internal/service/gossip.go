package service

import (
	"hash/crc32"
	"net/netip"

	"bendtrestle/balancer"
	"bendtrestle/internal/config"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/gossip"
)

const (
	// gossipStepSeconds is the time between two steps: a fiftieth of the time in which all routers are to know, some
	// six hops.
	gossipStepSeconds = 0.05
	// gossipFeedSteps is how many steps lie between two times that the balancer gets what the fleet knows.
	gossipFeedSteps = 2
)

// gossipAdapter brings what the platform's balancer says to the fleet, and what the fleet knows to the balancer. A
// nil one does nothing: each router sends to all others then.
type gossipAdapter struct {
	service  *Service
	gossiper *gossip.Gossiper
	steps    int
}

// openGossip makes the adapter where the operators want it, and where it costs less than sending to all.
func (s *Service) openGossip(operators operatorconfig.File) {
	if !operators.Gossip.On {
		return
	}
	settings := s.conf.Settings
	routers := len(s.conf.Peers)
	if s.peers.transport == nil || !settings.GossipAllowed || settings.RouterIndex >= routers {
		s.log.Warn().Int("peers", routers).
			Msg("gossip is on, but there is no list of peers with this router in it, or gossip is not allowed: it does nothing")
		return
	}
	if !gossip.CheaperThanBroadcast(routers, operators.Gossip.BytesPerSecond) {
		s.log.Info().Int("peers", routers).
			Msg("gossip is on, but among so few routers sending to all costs less: each sends to all")
		return
	}
	incarnation := newIncarnation()
	gossiper := gossip.New(s.loop.Now(), gossip.Settings{
		Self:             settings.RouterIndex,
		Seed:             settings.Seed ^ incarnation,
		Incarnation:      incarnation,
		BytesPerSecond:   operators.Gossip.BytesPerSecond,
		LongestObjective: longestObjective(settings),
	}, gossip.NewView(peerHashes(s.conf)))
	s.gossip = &gossipAdapter{service: s, gossiper: gossiper}
}

// peerHashes names the peers by a hash of the address itself, however it is written.
func peerHashes(conf config.Config) []uint32 {
	var hashes []uint32
	for _, text := range conf.Peers {
		address, _ := netip.ParseAddrPort(text) // checked when the configuration was read
		hashes = append(hashes, crc32.ChecksumIEEE([]byte(address.String())))
	}
	return hashes
}

// longestObjective is the longest latency objective of all traffic classes, in seconds.
func longestObjective(settings balancer.Settings) float64 {
	longest := 0.0
	for _, class := range settings.TrafficClasses {
		longest = max(longest, class.LatencyObjective)
	}
	return longest
}

// gossipSender returns what a pool's balancer sends its gossip by. What goes through the fleet is the platform's
// alone: no other pool hears any.
func (s *Service) gossipSender(pool string) func(message []byte) {
	if s.gossip == nil {
		return s.peers.transport.Broadcast
	}
	if pool != "" {
		return func([]byte) {}
	}
	return func(message []byte) { s.gossip.gossiper.Report(s.loop.Now(), message) }
}

func (a *gossipAdapter) begin() {
	if a != nil {
		a.step()
	}
}

func (a *gossipAdapter) step() {
	if a.service.lifecycle.phase == Ended {
		return
	}
	now := a.service.loop.Now()
	for _, datagram := range a.gossiper.Tick(now) {
		a.service.peers.transport.Send(datagram.To, datagram.Bytes)
	}
	a.steps++
	if a.steps%gossipFeedSteps == 0 {
		a.feedBalancer(now)
	}
	a.service.loop.After(gossipStepSeconds, a.step)
}

// feedBalancer passes on to the balancer what the fleet knows.
func (a *gossipAdapter) feedBalancer(now float64) {
	message := a.gossiper.SynthesizeObservations(now)
	if len(message) > 0 {
		a.service.pools.platform.core.OnGossip(message)
	}
}

// onEndpoints handles the platform's endpoint list: gossip is about its servers.
func (a *gossipAdapter) onEndpoints() {
	if a == nil {
		return
	}
	var ids []uint16
	for id, entry := range a.service.pools.platform.endpoints {
		if entry.State != balancer.Removed {
			ids = append(ids, uint16(id))
		}
	}
	a.gossiper.SetServers(ids)
}

// onMessage takes another router's message; false if it does not go through the fleet.
func (a *gossipAdapter) onMessage(from int, message []byte) bool {
	return a != nil && a.gossiper.OnDatagram(a.service.loop.Now(), from, message)
}

// writeMetrics shows what gossip costs.
func (a *gossipAdapter) writeMetrics(write func(name string, value uint64)) {
	if a == nil {
		return
	}
	counts := a.gossiper.Counters
	write("gossip_datagrams", counts.DatagramsSent)
	write("gossip_bytes", counts.BytesSent)
	write("gossip_heard_bytes", counts.BytesReceived)
	write("gossip_dropped", counts.DatagramsDropped)
	write("gossip_bounded_words", counts.ObservationsLimited)
	write("gossip_untold_words", counts.ObservationsUnsent)
}
