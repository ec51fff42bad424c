// Package service puts a router together and leads it from start to exit.
package service

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/broker"
	"bendtrestle/internal/config"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/frontend/tileserver"
	"bendtrestle/internal/hotrestart"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/peertransport"
	"bendtrestle/internal/policy/fleetsize"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"

	"github.com/rs/zerolog"
)

// Phase is a named part of a router's life.
type Phase int

// The phases, in their order.
const (
	Starting  Phase = iota // the list is not known; commands are taken, mn is not answered MN
	Serving                // mn is answered MN
	Leaving                // told to end: connections still come, and all is served
	Finishing              // no new connections; each is closed once it is idle
	Ended
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "finishing", "ended"}[p]
}

const (
	lingering = 0.5 // new connections go on coming for up to 0.4 s after SIGTERM
	margin    = 0.7 // SIGKILL comes no sooner than the longest hard stop and this after SIGTERM
	answering = 0.1 // before that, for the last answers to go out and be read
	unstated  = 1   // seconds that a client of a type without a hard stop is taken to wait, as in front
	passing   = 30  // beyond that, for long values: 4 MiB to a client that takes seconds
	counting  = 10  // between two lines of counts in the log
	mostShown = 20  // teams in each: those that took operations since the last, as many as a person reads
	talking   = 0.1 // between two looks whether the other routers are to be told of contracts
)

// Service is one router process.
type Service struct {
	phase     Phase
	began     float64
	conf      config.Config
	log       zerolog.Logger
	loop      *eventloop.Loop
	listener  *eventloop.Listener
	listeners map[string]*eventloop.Listener // of teams, by their addresses
	tiles     map[string]*tileserver.Server  // of these, those that speak HTTP
	front     *frontend.Front
	broker    *broker.Broker
	platform  *pool
	pools     map[string]*pool // the others, by name
	leaving   []*pool          // that are no longer named and have operations open
	module    requestcore.NewBalancer
	peers     *peertransport.Peers
	tier      *fleetsize.Estimator[netip.AddrPort] // of the routers that are heard; nil: none can be
	routers   int                                  // as the modules were told last; 0: by the settings
	desk      *desk                                // what the operators' door calls; nil: there is none
	door      *admin.Server
	loaded    uint64                     // configurations that were taken, the first one too
	invalid   uint64                     // that were not
	sent      uint64                     // executions written to servers of pools that are gone
	cut       [len(upstream.Cuts)]uint64 // and their connections that ended with something owed
	recovery  *recoveryWatch
	bans      *disabledservers.Registry
	zones     *zoneWatch              // nil: zones are not left as one
	gossip    *gossipWatch            // nil: what the module tells goes to all
	out       map[string]bool         // cache servers that operators took out
	before    *hotrestart.Predecessor // the process before this one, while it runs
	inherited map[string]int          // its listening sockets that are not in use here yet
	offer     *hotrestart.Listener    // where the process after this one asks
	beside    int                     // processes of this router that run beside this one
	heirs     int                     // of these, later ones that take clients
	operators operatorconfig.File     // as last taken
	later     bool                    // the clients' address is shared once this process serves
	draining  bool                    // clients are sent away
	drains    int                     // how often that began or ended
	seen      map[string]uint64       // what teams had taken when they were last counted
}

// Setup is all that a router is told: by the platform, and by its operators.
type Setup struct {
	Platform  config.Config
	Operators operatorconfig.File
	Flat      float64 // of a laboratory: what every operation counts of a budget, whatever it takes
}

// Signals are kept for Run from now on: one that comes before the configuration is read must not end the process as it does by
// default, nor may a log that nobody reads any more.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return signals
}

// Run serves until the router has ended; module starts its decisions, again reads the configuration anew.
func Run(set Setup, signals <-chan os.Signal, module requestcore.NewBalancer, again func() (Setup, error), log zerolog.Logger) error {
	conf := set.Platform
	// Two at least: with one, the runtime's monitor finds none idle and takes it from the loop at each wait for events.
	runtime.GOMAXPROCS(max(2, int(math.Ceil(conf.Cores))))
	confine(conf)
	if err := eventloop.LogTo(log.With().Str("level", "warn").Logger()); err != nil {
		return err
	}
	s, err := assemble(set, module, log)
	if err != nil {
		return err
	}
	s.loop.Guard(func(what any, stack []byte) {
		s.log.Error().Str("fault", fmt.Sprint(what)).Bytes("stack", stack).Msg("a callback failed")
	})
	go s.obey(signals, again)
	return s.loop.Run()
}

// confine bounds the runtime's memory. The kernel's buffers of a thousand sockets may count as well, at some 64 KiB each.
func confine(conf config.Config) { debug.SetMemoryLimit(int64(conf.Memory) / 2) }

// obey takes signals. Files are read off the loop, and beside this: a disk that hangs must not hide that the process is to end.
func (s *Service) obey(signals <-chan os.Signal, again func() (Setup, error)) {
	asked := make(chan bool, 1)
	defer close(asked)
	go func() {
		for range asked {
			if set, err := again(); err != nil {
				s.log.Error().Err(err).Msg("the new configuration cannot be used; the old one stays")
				s.loop.Post(func() { s.invalid++ })
			} else {
				s.loop.Post(func() { s.reconfigure(set) })
			}
		}
	}()
	for sig := range signals {
		if sig != syscall.SIGHUP {
			s.loop.Post(s.leave)
			continue
		}
		select {
		case asked <- true:
		default: // one that waits will read what this one would
		}
	}
}

// reconfigure takes a new configuration while the router serves: the list service may have moved, contracts may differ.
func (s *Service) reconfigure(set Setup) {
	if s.phase == Ended {
		return
	}
	conf := set.Platform
	if s.phase >= Leaving { // drains still count; listeners and contracts that come now would be nobody's
		s.log.Info().Str("discovery", conf.Discovery).Msg("configured anew while leaving: the list service alone counts")
		s.conf.Discovery = conf.Discovery
		s.platform.follow(conf.Discovery)
		return
	}
	if keys := s.conf.Restart(conf); len(keys) > 0 {
		s.log.Warn().Strs("keys", keys).Msg("these changes need a restart; the old values stay")
	}
	s.conf.Discovery = conf.Discovery
	s.loaded++
	s.log.Info().Str("discovery", conf.Discovery).Msg("configured anew")
	s.platform.follow(conf.Discovery)
	if keys := s.operators.Restart(set.Operators); len(keys) > 0 {
		s.log.Warn().Strs("keys", keys).Msg("these changes of the operators' file need a restart; the old values stay")
		set.Operators.Zones, set.Operators.Recovery, set.Operators.Gossip = s.operators.Zones, s.operators.Recovery, s.operators.Gossip
		set.Operators.Cold = s.operators.Cold
	}
	s.contract(set)
	s.zones.reconfigure(set.Operators)
}

// assemble puts the parts together, from the caches to the clients.
func assemble(set Setup, module requestcore.NewBalancer, log zerolog.Logger) (*Service, error) {
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	conf, enough := set.Platform.Apart(named(set.Operators))
	loop.Limit(conf.Connections)
	s, c := &Service{conf: conf, operators: set.Operators, log: log, loop: loop, module: module, loaded: 1, pools: map[string]*pool{},
		listeners: map[string]*eventloop.Listener{}, tiles: map[string]*tileserver.Server{}, out: map[string]bool{}, seen: map[string]uint64{}}, &conf
	s.began = loop.Now()
	s.scarce(enough)
	s.log.Info().Str("name", c.Name).Str("listen", c.Listen).Int("clients", c.Clients).Int("caches", c.Caches).
		Int("open", c.Open).Msg("starting")
	if c.Reports.How != "off" {
		s.log.Info().Stringer("loadInfo", c.Reports).Msg("reports of load are not to be had on this protocol: own counts and the list's weights decide")
	}
	if (c.Settings.GossipAllowed || len(set.Operators.Teams) > 0) && c.PeerListen != "" {
		s.tier = fleetsize.New[netip.AddrPort](c.Settings.RouterCount)
		heard := func(from netip.AddrPort, place int, words []byte) {
			s.loop.Post(func() { s.heard(from, place, words) })
		}
		s.peers, err = peertransport.Open(c.PeerListen, c.PeersAll, c.Peers, c.Settings.RouterIndex, heard, s.log)
		if err != nil { // they are a help, nothing depends on them
			s.log.Warn().Err(err).Msg("no peers")
		}
	}
	s.openRecovery(set.Operators)
	s.openZones(set.Operators)
	s.openGossip(set.Operators)
	c.Settings.InitialCompletionRate = s.conf.Settings.InitialCompletionRate
	c.Settings.OrderedConnections = false // answers come in the order of a connection, but each execution has one of its own
	c.Settings.RetryBudgetPerTenant = len(set.Operators.Teams) > 0
	c.Settings.SlowStartSharedUpTo = float64(set.Operators.Cold.Routers)
	s.platform = s.newPool("", c.Settings, c.Caches, c.ConnectTimeout, stall(c.ConnectTimeout), c.ConnIdle, c.PerConnection, upstream.Memcache)
	s.broker = broker.New(s.loop.Now, c.Settings, s.platform.router, broker.Limits{Open: c.Open, Held: c.Held, Connections: c.Clients})
	s.front = frontend.New(s.loop, s.broker, frontend.Limits{Connections: c.Clients, Spare: c.Spare, Arriving: c.Held})
	s.succeed()
	if err = s.open(); err != nil {
		return nil, err
	}
	s.openBans()
	s.platform.last = s.conf.Known
	s.platform.hear(balancer.UpdateSaved, s.conf.Known)
	s.platform.follow(c.Discovery)
	s.contract(set)
	s.zones.begin()
	s.gossip.begin()
	s.recovery.begin()
	s.loop.After(counting, s.count)
	if c.Ops != "" {
		s.desk = &desk{s: s}
		s.publish()
		s.door = admin.Start(c.Ops, c.OpsPlaces, s.desk, s.log)
	}
	return s, nil
}

// stall is how long a reply of the platform's protocol may stand still: it is sent in one go, and its parts lie closer than
// the round trips of a new connection, for which the connect timeout leaves room.
func stall(connectTimeout float64) float64 { return connectTimeout / 3 }

// heard takes a peer's words: about zones, contracts, what goes through the fleet, or the module's. Each tells that its sender is there.
func (s *Service) heard(from netip.AddrPort, place int, words []byte) {
	s.tier.OnMessage(s.loop.Now(), from)
	s.counted()
	if !s.zones.heard(words) && !s.broker.Heard(words) && !s.gossip.heard(place, words) && s.conf.Settings.GossipAllowed {
		s.platform.router.OnGossip(words)
	}
}

// counted lets the modules know how many routers there are, where that has changed.
func (s *Service) counted() {
	if s.tier == nil {
		return
	}
	if n := s.tier.Size(s.loop.Now()); n != s.routers {
		s.routers = n
		s.platform.router.SetFleetSize(n)
		for _, name := range slices.Sorted(maps.Keys(s.pools)) {
			s.pools[name].router.SetFleetSize(n)
		}
	}
}

func (s *Service) enter(p Phase) {
	s.phase = p
	s.publish()
	s.log.Info().Stringer("phase", p).Msg("phase")
}

// leave takes the signal to end.
func (s *Service) leave() {
	if s.phase >= Leaving {
		return
	}
	s.enter(Leaving)
	late := lingering
	if s.heirs > 0 { // the next process takes what comes late
		late = 0
	}
	s.loop.After(late, s.finish)
	at := s.loop.Now() + s.longest() + margin - answering
	s.front.Until(at)
	s.loop.Timer(func() { s.expire(at + passing) }).Set(at)
}

// longest is how long a client waits at most.
func (s *Service) longest() float64 {
	longest := s.broker.LongestStop()
	for _, t := range s.conf.Settings.TrafficClasses {
		longest = max(longest, cmp.Or(t.Deadline, unstated))
	}
	return longest
}

// expire ends the router whatever is open, but for long values on their way: what is killed meanwhile would have been cut off.
func (s *Service) expire(latest float64) {
	if s.front.Passing() == 0 || s.loop.Now() > latest {
		s.answer()
		return
	}
	s.loop.After(0.1, func() { s.expire(latest) })
}

// answer gives all that is open its final answer, declines what still comes, and ends the process once clients have had time
// to read that.
func (s *Service) answer() {
	s.platform.router.FailAll()
	for _, p := range s.pools {
		p.router.FailAll()
	}
	for _, p := range s.leaving {
		p.router.FailAll()
	}
	s.loop.After(answering/2, s.front.Shut)
	s.loop.After(answering, s.end)
}

// finish takes no more connections and closes those that are idle, as they become so.
func (s *Service) finish() {
	s.listener.Close()
	for _, l := range s.listeners {
		l.Close()
	}
	if s.before != nil && s.heirs == 0 { // the process before this one is the only one left that can accept
		s.part()
	}
	if s.offer != nil && s.beside > 0 && s.heirs == 0 { // the next process is not ready; it alone can answer, if only that
		s.offer.Close()
	}
	s.enter(Finishing)
	s.front.Leave()
	s.endIfDone()
}

func (s *Service) endIfDone() {
	if s.front.Clients() == 0 && s.loop.Finishing() == 0 {
		s.end()
		return
	}
	s.front.Deepen(s.conf.Memory / 2)
	s.front.Leave() // what was not idle a moment ago may be now
	s.loop.After(0.01, s.endIfDone)
}

func (s *Service) end() {
	if s.phase != Ended {
		s.enter(Ended)
		s.counts()
		if s.door != nil {
			s.door.Close()
		}
		s.bans.Close()
		s.zones.close()
		s.recovery.close()
		s.part()
		s.platform.stop()
		for _, p := range s.pools {
			p.stop()
		}
		s.loop.Stop()
	}
}

func (s *Service) count() {
	s.counted()
	s.counts()
	s.loop.After(counting, s.count)
}

func (s *Service) counts() {
	s.platform.count(s.log, s.front.Clients())
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		p.count(s.log.With().Str("pool", name).Logger(), s.front.Clients())
	}
	shown := 0
	for _, t := range s.broker.States() {
		if t.Taken == s.seen[t.Team] || shown >= mostShown {
			continue
		}
		shown++
		s.seen[t.Team] = t.Taken
		e := s.log.Info().Str("team", t.Team).Str("pool", t.Pool).Uint64("taken", t.Taken).Uint64("finished", t.Finished).
			Uint64("declined", t.Declined).Uint64("terminated", t.Terminated).Uint64("left", t.Left).Int("open", t.Open).
			Float64("load", t.Took).Float64("budget", t.Budget).Float64("part", t.Part).Float64("balance", t.Balance)
		reasonsOf(e, t.Reasons[:]).Msg("contract")
	}
}

// reasonsOf adds the reasons of declines that there were.
func reasonsOf(e *zerolog.Event, counts []uint64) *zerolog.Event {
	for why, n := range counts {
		if n > 0 {
			e = e.Uint64("declined for "+requestcore.ReasonNames[why], n)
		}
	}
	return e
}
