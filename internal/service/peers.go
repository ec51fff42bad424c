package service

import (
	"hash/crc32"
	"net/netip"
	"os"
	"strconv"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/peertransport"
	"bendtrestle/internal/policy/fleetsize"
)

// peerRouters is the way to the other routers of the fleet, and how many there are.
type peerRouters struct {
	transport          *peertransport.Transport             // nil: nothing is sent to other routers; its methods do nothing then
	fleetSize          *fleetsize.Estimator[netip.AddrPort] // of the fleet, by the routers that are heard; nil: none can be
	announcedFleetSize int                                  // fleet size as the balancers know it; 0: that of the settings
}

// openPeers opens the socket for other routers, where there may be something to send.
func (s *Service) openPeers(conf config.Config, operators operatorconfig.File) {
	needed := conf.Settings.GossipAllowed || len(operators.Teams) > 0
	if !needed || conf.PeerListen == "" {
		return
	}
	s.peers.fleetSize = fleetsize.New[netip.AddrPort](conf.Settings.RouterCount)
	received := func(from netip.AddrPort, sender int, message []byte) {
		s.loop.Post(func() { s.onPeerMessage(from, sender, message) })
	}
	var err error
	s.peers.transport, err = peertransport.Open(conf.PeerListen, conf.PeersAll, conf.Peers, conf.Settings.RouterIndex,
		received, s.log)
	if err != nil { // gossip is a help; nothing depends on it
		s.log.Warn().Err(err).Msg("the socket for other routers cannot be opened; nothing is sent or received")
	}
}

// onPeerMessage takes another router's message: about zones, quotas, what goes through the fleet, or the
// balancer's. Each one shows that its sender is there. sender is its index in the list of peers, or negative.
func (s *Service) onPeerMessage(from netip.AddrPort, sender int, message []byte) {
	s.peers.fleetSize.OnMessage(s.loop.Now(), from)
	s.announceFleetSize()
	handled := s.zones.onMessage(message) || s.broker.OnQuotaMessage(message) || s.gossip.onMessage(sender, message)
	if !handled && s.conf.Settings.GossipAllowed {
		s.pools.platform.core.OnGossip(message)
	}
}

// announceFleetSize lets the balancers know how many routers there are, where that has changed.
func (s *Service) announceFleetSize() {
	if s.peers.fleetSize == nil {
		return
	}
	routers := s.peers.fleetSize.Size(s.loop.Now())
	if routers == s.peers.announcedFleetSize {
		return
	}
	s.peers.announcedFleetSize = routers
	for _, p := range s.pools.active() {
		p.core.SetFleetSize(routers)
	}
}

// newIncarnation returns a number that differs from those of the processes of this router before and beside this one.
func newIncarnation() uint32 {
	return crc32.ChecksumIEEE([]byte(time.Now().String() + strconv.Itoa(os.Getpid())))
}
