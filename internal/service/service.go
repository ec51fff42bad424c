// Package service puts a router together and leads it from start to exit.
package service

import (
	"context"
	"maps"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"bendtrestle/internal/caches"
	"bendtrestle/internal/config"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/front"
	"bendtrestle/internal/peers"
	"bendtrestle/internal/router"
	"bendtrestle/internal/sock"
	"bendtrestle/logic"

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
	counting  = 10  // between two lines of counts in the log
)

// Service is one router process.
type Service struct {
	phase    Phase
	conf     config.Config
	log      zerolog.Logger
	loop     *sock.Loop
	listener *sock.Listener
	front    *front.Front
	router   *router.Router
	fleet    *caches.Fleet
	peers    *peers.Peers
	listed   map[uint64]bool // the servers that the list holds
	told     uint64          // the list's generation as the list service last told it
	watch    *watch          // whose news count
	next     *watch          // that watch's successor, until it has told a whole list
}

// watch is a call to a list service that goes on.
type watch struct {
	addr string
	stop context.CancelFunc
}

// Run serves until the router has ended; module starts its decisions, again reads the configuration anew.
func Run(conf config.Config, module router.Maker, again func() (config.Config, error), log zerolog.Logger) error {
	// Two at least: with one, the runtime's monitor finds none idle and takes it from the loop at each wait for events.
	runtime.GOMAXPROCS(max(2, int(math.Ceil(conf.Cores))))
	// Of the runtime's memory. The kernel's buffers of a thousand sockets may count as well, at some 64 KiB each.
	debug.SetMemoryLimit(int64(conf.Memory) / 2)
	if err := sock.LogTo(log.With().Str("level", "warn").Logger()); err != nil {
		return err
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := assemble(conf, module, log)
	if err != nil {
		return err
	}
	go s.obey(signals, again)
	return s.loop.Run()
}

// obey takes signals. Files are read here, off the loop.
func (s *Service) obey(signals <-chan os.Signal, again func() (config.Config, error)) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			s.loop.Post(s.leave)
		} else if conf, err := again(); err != nil {
			s.log.Error().Err(err).Msg("the new configuration cannot be used; the old one stays")
		} else {
			s.loop.Post(func() { s.reconfigure(conf) })
		}
	}
}

// reconfigure takes a new configuration while the router serves: the list service may have moved.
func (s *Service) reconfigure(conf config.Config) {
	if s.phase == Ended {
		return
	}
	if keys := s.conf.Restart(conf); len(keys) > 0 {
		s.log.Warn().Strs("keys", keys).Msg("these changes need a restart; the old values stay")
	}
	s.conf.Discovery = conf.Discovery
	s.log.Info().Str("discovery", conf.Discovery).Msg("configured anew")
	s.follow(conf.Discovery)
}

// follow moves the watch to a list service. The watch before it goes on until the new one has told a whole list: so
// no news is lost between them, and an address where nothing answers costs nothing.
func (s *Service) follow(addr string) {
	if s.next != nil {
		if s.next.addr == addr {
			return
		}
		s.next.stop()
		s.next = nil
	}
	if s.watch != nil && s.watch.addr == addr {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{addr: addr, stop: stop}
	s.next = w
	go discovery.Watch(ctx, addr, s.told, func(l discovery.List) {
		s.loop.Post(func() { s.news(w, l) })
	}, func(error) {
		if s.conf.Settings.OnRequest { // elsewhere the module has asked for nothing
			s.loop.Post(func() { s.failed(w) })
		}
	}, s.log.With().Str("discovery", addr).Logger())
}

// assemble puts the parts together, from the caches to the clients.
func assemble(conf config.Config, module router.Maker, log zerolog.Logger) (*Service, error) {
	loop, err := sock.New()
	if err != nil {
		return nil, err
	}
	s, c := &Service{conf: conf, log: log, loop: loop, listed: map[uint64]bool{}}, &conf
	s.log.Info().Str("name", c.Name).Str("listen", c.Listen).Int("clients", c.Clients).Int("caches", c.Caches).
		Int("open", c.Open).Msg("starting")
	// A reply is sent in one go: its parts lie closer than the round trips of a new connection, for which the
	// connect timeout leaves room.
	s.fleet = caches.New(s.loop, caches.Limits{Connections: c.Caches, PerConnection: c.PerConnection,
		ConnectTimeout: c.ConnectTimeout, Stall: c.ConnectTimeout / 3, Idle: c.ConnIdle}, s.log)
	if c.Settings.Peers && c.PeerListen != "" {
		heard := func(words []byte) { s.loop.Post(func() { s.router.Told(words) }) }
		s.peers, err = peers.Open(c.PeerListen, c.PeersAll, c.Peers, c.Settings.Me, heard, s.log)
		if err != nil { // they are a help, nothing depends on them
			s.log.Warn().Err(err).Msg("no peers")
		}
	}
	c.Settings.Ordered = false // answers come in the order of a connection, but each execution has one of its own
	watch := func(on bool) {}  // the list is watched in any case
	s.router = router.New(c.Settings, router.Outside{Clock: s.loop, Caches: s.fleet, Tell: s.peers.Tell,
		Watch: watch, Log: s.log}, module)
	hardStops := map[string]float64{}
	for _, t := range c.Settings.TrafficTypes {
		hardStops[t.Name] = t.HardStop
	}
	s.front = front.New(s.loop, s.router, front.Limits{Connections: c.Clients, Spare: c.Spare, Open: c.Open, Held: c.Held}, hardStops)
	s.hear(logic.Disk, c.Known)
	s.listener, err = s.loop.Listen(c.Listen, s.front.Room, s.front.Accepted)
	if err != nil {
		return nil, err
	}
	s.follow(c.Discovery)
	s.loop.After(counting, s.count)
	return s, nil
}

func (s *Service) news(w *watch, l discovery.List) {
	if w == s.next {
		if s.watch != nil {
			s.watch.stop()
		}
		s.watch, s.next = w, nil
	}
	if w != s.watch {
		return // moved from since
	}
	if s.told = l.Generation; l.Whole {
		s.hear(logic.Snapshot, l)
	} else {
		s.hear(logic.Diff, l)
	}
}

func (s *Service) failed(w *watch) {
	if w == s.watch || s.watch == nil && w == s.next {
		s.hear(logic.Failed, discovery.List{})
	}
}

// hear takes news of the list. The addresses are known before the module acts on it.
func (s *Service) hear(kind logic.ListKind, l discovery.List) {
	if kind == logic.Snapshot || kind == logic.Disk {
		for id := range s.listed {
			s.listed[id] = false
		}
	}
	var members []logic.Member
	for _, e := range l.Entries {
		s.listed[e.ID] = e.Mode == logic.InService
		s.fleet.Listed(e.ID, e.Addr)
		members = append(members, e.Member)
	}
	s.router.Listed(kind, members)
	maps.DeleteFunc(s.listed, func(id uint64, in bool) bool {
		if !in {
			s.fleet.Unlisted(id)
		}
		return !in
	})
	ready := len(s.listed)
	if s.phase == Starting && ready > 0 {
		s.front.Ready()
		s.enter(Serving)
	}
	if len(l.Entries) > 0 {
		s.log.Info().Uint64("generation", l.Generation).Int("changes", len(l.Entries)).Int("ready", ready).Msg("list")
	}
}

func (s *Service) enter(p Phase) {
	s.phase = p
	s.log.Info().Stringer("phase", p).Msg("phase")
}

// leave takes the signal to end.
func (s *Service) leave() {
	if s.phase >= Leaving {
		return
	}
	s.enter(Leaving)
	s.loop.After(lingering, s.finish)
	longest := 0.0
	for _, t := range s.conf.Settings.TrafficTypes {
		longest = max(longest, t.HardStop)
	}
	s.loop.After(longest+margin, s.end)
}

// finish takes no more connections and closes those that are idle, as they become so.
func (s *Service) finish() {
	s.listener.Close()
	s.enter(Finishing)
	s.front.Leave()
	s.endIfDone()
}

func (s *Service) endIfDone() {
	if s.front.Clients() == 0 {
		s.end()
		return
	}
	s.front.Leave() // what was not idle a moment ago may be now
	s.loop.After(0.01, s.endIfDone)
}

func (s *Service) end() {
	if s.phase != Ended {
		s.enter(Ended)
		s.counts()
		for _, w := range []*watch{s.watch, s.next} {
			if w != nil {
				w.stop()
			}
		}
		s.loop.Stop()
	}
}

func (s *Service) count() {
	s.counts()
	s.loop.After(counting, s.count)
}

func (s *Service) counts() {
	c := s.router.Counts
	s.log.Info().Uint64("taken", c.Taken).Uint64("finished", c.Finished).Uint64("declined", c.Declined).
		Uint64("terminated", c.Terminated).Uint64("left", c.Left).Uint64("executions", c.Executions).
		Uint64("faults", c.Faults).Int("open", s.router.Open()).Int("clients", s.front.Clients()).Msg("counts")
}
