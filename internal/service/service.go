package service

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/broker"
	"bendtrestle/internal/config"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"

	"github.com/rs/zerolog"
)

// Service is one router process. It belongs to the event loop's goroutine.
type Service struct {
	log       zerolog.Logger
	loop      *eventloop.Loop
	conf      config.Config       // the configuration in effect, with the limits of all processes of this router together
	operators operatorconfig.File // as last applied
	broker    *broker.Broker

	lifecycle lifecycle
	reloads   reloadCounts
	clients   clientSide
	memory    valueMemory
	pools     poolSet
	peers     peerRouters
	startup   *startupAdapter
	zones     *zoneAdapter   // nil: zone failover is off
	gossip    *gossipAdapter // nil: the balancer's gossip is broadcast to all routers
	disabled  disabledServers
	restart   hotRestart
	admin     adminSide
	counts    countsLog
}

// Setup is the whole configuration of a router.
type Setup struct {
	// Platform is the platform's configuration.
	Platform config.Config
	// Operators is the operators' file; the zero value where there is none.
	Operators operatorconfig.File
	// FlatCost, for experiments only, is the load in seconds that each request uses of a quota, regardless of the time
	// it takes; 0: the time it takes.
	FlatCost float64
}

// Run serves until the router has shut down. It runs the event loop on the calling goroutine.
//
// signals is the channel that [Signals] returns. newBalancer creates the balancer of each pool. reload reads the
// configuration again; it is called at SIGHUP on a goroutine of its own and may take long. An error means that the
// router could not start.
func Run(setup Setup, signals <-chan os.Signal, newBalancer requestcore.NewBalancer, reload func() (Setup, error),
	log zerolog.Logger) error {
	conf := setup.Platform
	// With a single processor the Go runtime's monitor thread finds no idle one, and takes it away from the loop at
	// each wait for events.
	runtime.GOMAXPROCS(max(2, int(math.Ceil(conf.Cores))))
	limitMemory(conf)
	if err := eventloop.SetLogOutput(log.With().Str("level", "warn").Logger()); err != nil {
		return err
	}
	s, err := assemble(setup, newBalancer, log)
	if err != nil {
		return err
	}
	s.loop.OnPanic(func(what any, stack []byte) {
		s.log.Error().Str("fault", fmt.Sprint(what)).Bytes("stack", stack).
			Msg("a callback on the event loop panicked; the process continues")
	})
	go s.handleSignals(signals, reload)
	return s.loop.Run()
}

// limitMemory bounds the Go runtime's memory to half of what the process may use. The kernel's buffers may count
// towards the process's memory too: those of a thousand sockets, at some 64 KiB each.
func limitMemory(conf config.Config) { debug.SetMemoryLimit(int64(conf.MemoryBytes) / 2) }

// assemble creates and connects the components, from the servers to the clients. The loop does not run yet.
func assemble(setup Setup, newBalancer requestcore.NewBalancer, log zerolog.Logger) (*Service, error) {
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	conf, enough := setup.Platform.WithReserved(reservedDescriptors(setup.Operators))
	loop.SetDescriptorLimit(conf.MaxConnections)
	s := newService(conf, setup.Operators, newBalancer, loop, log)
	s.warnIfDescriptorsShort(enough)
	s.logStart(conf)
	s.openPeers(conf, setup.Operators)
	s.openStartup(setup.Operators)
	s.openZones(setup.Operators)
	s.openGossip(setup.Operators)
	s.openRequestPath(conf, setup.Operators)
	s.findPredecessor()
	if err := s.openListener(); err != nil {
		return nil, err
	}
	s.openDisabledServers()
	s.pools.platform.initialList = s.conf.InitialEndpoints
	s.pools.platform.applyList(balancer.UpdateSaved, s.conf.InitialEndpoints)
	s.pools.platform.watchListService(conf.Discovery)
	s.applyContracts(setup)
	s.zones.begin()
	s.gossip.begin()
	s.startup.begin()
	s.loop.After(countsIntervalSeconds, s.logCountsRepeatedly)
	s.openAdmin(conf)
	return s, nil
}

// newService creates the Service with nothing open yet.
func newService(conf config.Config, operators operatorconfig.File, newBalancer requestcore.NewBalancer,
	loop *eventloop.Loop, log zerolog.Logger) *Service {
	return &Service{
		log:       log,
		loop:      loop,
		conf:      conf,
		operators: operators,
		lifecycle: lifecycle{startedAt: loop.Now()},
		reloads:   reloadCounts{accepted: 1},
		clients:   newClientSide(),
		pools:     newPoolSet(newBalancer),
		disabled:  disabledServers{ids: map[string]bool{}},
		counts:    countsLog{receivedByTeam: map[string]uint64{}},
	}
}

func (s *Service) logStart(conf config.Config) {
	s.log.Info().
		Str("name", conf.Name).
		Str("listen", conf.Listen).
		Int("clients", conf.ClientConnections).
		Int("caches", conf.UpstreamConnections).
		Int("open", conf.OpenRequests).
		Msg("starting")
	if conf.LoadReports.Mode != "off" {
		s.log.Info().Stringer("loadInfo", conf.LoadReports).
			Msg("load reports are not available with this protocol; own counts and the endpoint list's weights are used")
	}
}

// openRequestPath creates the platform's pool, the broker and the frontend. The startup adapter has already set the
// completion rate of the last run in s.conf.
func (s *Service) openRequestPath(conf config.Config, operators operatorconfig.File) {
	s.memory = newValueMemory(s.loop, conf)
	settings := conf.Settings
	settings.InitialCompletionRate = s.conf.Settings.InitialCompletionRate
	// Replies on one connection arrive in order, but each attempt has a connection of its own.
	settings.OrderedConnections = false
	settings.RetryBudgetPerTenant = len(operators.Teams) > 0
	settings.SlowStartMaxSharingRouters = float64(operators.Cold.Routers)
	s.pools.platform = s.newPool(poolOptions{
		settings:              settings,
		connections:           conf.UpstreamConnections,
		connectTimeout:        conf.ConnectTimeout,
		stallTimeout:          stallTimeout(conf.ConnectTimeout),
		idleTimeout:           conf.IdleTimeout,
		requestsPerConnection: conf.AttemptsPerConnection,
		newCodec:              upstream.MemcacheCodecs(s.memory.queue),
	})
	s.broker = broker.New(s.loop.Now, settings, s.pools.platform.core, brokerLimits(conf))
	s.clients.frontend = frontend.New(s.loop, s.broker, frontendLimits(conf), s.memory.values)
}

// stallTimeout returns after how many seconds without progress a reply in the platform's protocol has stalled. Most servers
// send a reply without a pause, so the gaps within it are shorter than the round trips of connecting, which the connect
// timeout allows for.
func stallTimeout(connectTimeout float64) float64 { return connectTimeout / 3 }

// openAdmin starts the admin server if the configuration names an address for it.
func (s *Service) openAdmin(conf config.Config) {
	if conf.AdminListen == "" {
		return
	}
	s.admin.handler = &adminHandler{service: s}
	s.publish()
	s.admin.server = admin.Start(conf.AdminListen, conf.AdminConnections, s.admin.handler, s.log)
}
