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

// peerRouters is the transport to the other routers of the fleet, and their number.
type peerRouters struct {
	transport          *peertransport.Transport             // nil: no messages are sent; its methods then do nothing
	fleetSize          *fleetsize.Estimator[netip.AddrPort] // by the senders of messages; nil: there is no socket
	announcedFleetSize int                                  // fleet size that the balancers use; 0: that of the settings
}

// openPeers opens the socket for other routers if gossip or quotas may need it.
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
	if err != nil { // not fatal: the router also serves without the other routers' messages
		s.log.Warn().Err(err).Msg("the socket for other routers cannot be opened; no messages are sent or received")
	}
}

// onPeerMessage handles another router's message: on zones, on quotas, of the gossip protocol, or from a balancer. Each
// message counts its sender towards the fleet size. sender is its index in the list of peers, or negative if it is not
// in the list.
func (s *Service) onPeerMessage(from netip.AddrPort, sender int, message []byte) {
	s.peers.fleetSize.OnMessage(s.loop.Now(), from)
	s.announceFleetSize()
	handled := s.zones.onMessage(message) || s.broker.OnQuotaMessage(message) || s.gossip.onMessage(sender, message)
	if !handled && s.conf.Settings.GossipAllowed {
		s.pools.platform.core.OnGossip(message)
	}
}

// announceFleetSize passes the number of routers to the balancers if it has changed.
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

// newIncarnation returns a number that differs from those of earlier and concurrent processes of this router.
func newIncarnation() uint32 {
	return crc32.ChecksumIEEE([]byte(time.Now().String() + strconv.Itoa(os.Getpid())))
}
