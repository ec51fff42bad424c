package service

import (
	"hash/crc32"
	"net/netip"
	"os"
	"strconv"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/gossip"
)

const (
	gossiping = 0.05 // seconds between two steps: a fiftieth of the time in which all are to know, some six hops
	feeding   = 2    // steps between two times that the module is fed
)

// gossipWatch brings the module's words to the fleet, and what the fleet holds to the module. A nil one does nothing: each tells all.
type gossipWatch struct {
	s     *Service
	fleet *gossip.Gossiper
	steps int
}

// openGossip makes it where the operators want it, and where it costs less than telling all.
func (s *Service) openGossip(f operatorconfig.File) {
	if !f.Gossip.On {
		return
	}
	c := s.conf
	switch routers := len(c.Peers); {
	case s.peers == nil || !c.Settings.GossipAllowed || c.Settings.RouterIndex >= routers:
		s.log.Warn().Int("peers", routers).Msg("gossip is on, and there is no list of peers with this router in it, or none may be told: it does nothing")
		return
	case !gossip.CheaperThanBroadcast(routers, f.Gossip.BytesPerSecond):
		s.log.Info().Int("peers", routers).Msg("gossip is on, and so few routers tell each other for less: they do")
		return
	}
	var names []uint32
	for _, text := range c.Peers { // by the address itself, however it is written
		at, _ := netip.ParseAddrPort(text) // checked when it was read
		names = append(names, crc32.ChecksumIEEE([]byte(at.String())))
	}
	longest := 0.0
	for _, t := range c.Settings.TrafficClasses {
		longest = max(longest, t.LatencyObjective)
	}
	life := crc32.ChecksumIEEE([]byte(time.Now().String() + strconv.Itoa(os.Getpid())))
	s.gossip = &gossipWatch{s: s, fleet: gossip.New(s.loop.Now(), gossip.Settings{Self: c.Settings.RouterIndex, Seed: c.Settings.Seed ^ life, Incarnation: life,
		BytesPerSecond: f.Gossip.BytesPerSecond, LongestObjective: longest}, gossip.NewView(names))}
}

// telling is what the module of a pool tells by. Through the fleet go the platform's words alone: no other pool hears any.
func (s *Service) telling(pool string) func(words []byte) {
	switch {
	case s.gossip == nil:
		return s.peers.Broadcast
	case pool == "":
		return func(words []byte) { s.gossip.fleet.Report(s.loop.Now(), words) }
	}
	return func([]byte) {}
}

func (w *gossipWatch) begin() {
	if w != nil {
		w.step()
	}
}

func (w *gossipWatch) step() {
	if w.s.phase == Ended {
		return
	}
	now := w.s.loop.Now()
	for _, d := range w.fleet.Tick(now) {
		w.s.peers.Send(d.To, d.Bytes)
	}
	if w.steps++; w.steps%feeding == 0 {
		if words := w.fleet.SynthesizeObservations(now); len(words) > 0 {
			w.s.platform.router.OnGossip(words)
		}
	}
	w.s.loop.After(gossiping, w.step)
}

// listed takes the platform's list.
func (w *gossipWatch) listed() {
	if w == nil {
		return
	}
	var ids []uint16
	for id, e := range w.s.platform.entries {
		if e.State != balancer.Removed {
			ids = append(ids, uint16(id))
		}
	}
	w.fleet.SetServers(ids)
}

// heard takes a peer's words; false if they do not go through the fleet.
func (w *gossipWatch) heard(from int, words []byte) bool {
	return w != nil && w.fleet.OnDatagram(w.s.loop.Now(), from, words)
}

// figures shows what it costs.
func (w *gossipWatch) figures(say func(name string, value uint64)) {
	if w == nil {
		return
	}
	c := w.fleet.Counters
	say("gossip_datagrams", c.DatagramsSent)
	say("gossip_bytes", c.BytesSent)
	say("gossip_heard_bytes", c.BytesReceived)
	say("gossip_dropped", c.DatagramsDropped)
	say("gossip_bounded_words", c.ObservationsLimited)
	say("gossip_untold_words", c.ObservationsUnsent)
}
