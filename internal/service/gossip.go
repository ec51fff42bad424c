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
	// gossipStepSeconds is the time between two steps: a fiftieth of the time within which an observation is to reach all
	// routers, over some six hops.
	gossipStepSeconds = 0.05
	// gossipFeedSteps is the number of steps from one call of feedBalancer to the next.
	gossipFeedSteps = 2
)

// gossipAdapter passes the observations of the platform's balancer to the fleet by gossip, and those of the fleet to
// the balancer. A nil adapter does nothing; messages are then broadcast to all routers.
type gossipAdapter struct {
	service  *Service
	gossiper *gossip.Gossiper
	steps    int
}

// openGossip creates the adapter if the operators' file turns gossip on and it costs less than broadcasting.
func (s *Service) openGossip(operators operatorconfig.File) {
	if !operators.Gossip.On {
		return
	}
	settings := s.conf.Settings
	routers := len(s.conf.Peers)
	if s.peers.transport == nil || !settings.GossipAllowed || settings.RouterIndex >= routers {
		s.log.Warn().Int("peers", routers).
			Msg("gossip is on, but the list of peers does not contain this router, the socket for other routers is not open, " +
				"or the platform does not allow gossip; gossip stays off")
		return
	}
	if !gossip.CheaperThanBroadcast(routers, operators.Gossip.BytesPerSecond) {
		s.log.Info().Int("peers", routers).
			Msg("gossip is on, but broadcasting costs less in a fleet of this size; messages are sent to all routers")
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

// peerHashes returns a hash for each peer. It is computed from the parsed address, so that spelling does not matter.
func peerHashes(conf config.Config) []uint32 {
	var hashes []uint32
	for _, text := range conf.Peers {
		address, _ := netip.ParseAddrPort(text) // checked when the configuration was read
		hashes = append(hashes, crc32.ChecksumIEEE([]byte(address.String())))
	}
	return hashes
}

// longestObjective returns the longest latency objective of all traffic classes, in seconds.
func longestObjective(settings balancer.Settings) float64 {
	longest := 0.0
	for _, class := range settings.TrafficClasses {
		longest = max(longest, class.LatencyObjective)
	}
	return longest
}

// gossipSender returns the function with which a pool's balancer sends its gossip messages. If gossip is on, only the
// platform's pool sends and receives them.
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

// feedBalancer passes the fleet's observations to the balancer.
func (a *gossipAdapter) feedBalancer(now float64) {
	message := a.gossiper.SynthesizeObservations(now)
	if len(message) > 0 {
		a.service.pools.platform.core.OnGossip(message)
	}
}

// onEndpoints handles the platform's endpoint list, to whose servers gossip is limited.
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

// onMessage handles another router's message, and reports whether it was a gossip datagram.
func (a *gossipAdapter) onMessage(from int, message []byte) bool {
	return a != nil && a.gossiper.OnDatagram(a.service.loop.Now(), from, message)
}

// writeMetrics writes what gossip costs.
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
