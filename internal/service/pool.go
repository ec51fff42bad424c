package service

import (
	"maps"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/policy/pollschedule"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"

	"github.com/rs/zerolog"
)

// maxKnownServers bounds the servers remembered for operators' calls: several fleets' worth.
const maxKnownServers = 4096

// pool is a set of servers with one protocol, and an endpoint list, connections and a balancer of its own. The
// platform's deployment is one; what happens to a pool costs the others nothing.
type pool struct {
	service *Service
	name    string // "": the platform's
	core    *requestcore.Core
	servers *upstream.ConnectionPools
	log     zerolog.Logger

	polled       bool                          // its balancer polls the endpoint list, and hears of polls that fail
	endpoints    map[uint64]discovery.Instance // the present endpoint list, by the server's id
	ready        map[uint64]bool               // servers that the list has as ready
	knownServers map[uint64]bool               // servers that a list has named since the start; true: the present one does
	generation   uint64                        // of the list that the list service last brought
	initialList  discovery.EndpointList        // the list as the router's last run had it, until the first watch begins

	schedule  pollschedule.Schedule // of polls of the list service
	watch     *endpointWatch        // whose lists count
	nextWatch *endpointWatch        // its successor, until it has brought a whole list
}

// poolOptions is what a pool is made by. Times are in seconds.
type poolOptions struct {
	name                  string
	settings              balancer.Settings
	connections           int
	connectTimeout        float64
	stallTimeout          float64
	idleTimeout           float64
	requestsPerConnection int
	newCodec              func(upstream.ReplyHandler) upstream.Codec
}

// newPool makes a pool without servers.
func (s *Service) newPool(options poolOptions) *pool {
	settings := options.settings
	p := &pool{
		service:      s,
		name:         options.name,
		log:          s.log,
		polled:       settings.PollEndpoints,
		endpoints:    map[uint64]discovery.Instance{},
		ready:        map[uint64]bool{},
		knownServers: map[uint64]bool{},
		schedule:     pollschedule.ForLocalAgent(s.conf.DrainGrace, settings.Seed),
	}
	if p.polled {
		p.schedule = pollschedule.ForSharedService(settings.PollInterval, settings.Seed)
	}
	if p.name != "" {
		p.log = s.log.With().Str("pool", p.name).Logger()
	}
	p.servers = upstream.New(s.loop, upstream.Limits{
		MaxConnections:           options.connections,
		MaxInFlightPerConnection: requestsPerConnection(settings, options.requestsPerConnection),
		ConnectTimeout:           options.connectTimeout,
		StallTimeout:             options.stallTimeout,
		IdleTimeout:              options.idleTimeout,
	}, options.newCodec, p.log)
	p.core = s.newCore(p, settings)
	return p
}

// newCore makes a pool's core with its balancer.
func (s *Service) newCore(p *pool, settings balancer.Settings) *requestcore.Core {
	if p.name != "" { // the completion rate of the last run was that of the platform's servers
		settings.InitialCompletionRate = 0
	}
	dependencies := requestcore.Dependencies{
		Clock:          s.loop,
		Upstream:       p.servers,
		Gossip:         s.gossipSender(p.name),
		WatchEndpoints: func(bool) {}, // the list is watched in any case
		Log:            p.log,
	}
	if s.zones != nil { // a nil adapter in the interface would not be nil
		dependencies.ZoneObserver = s.zones
	}
	core := requestcore.New(settings, dependencies, s.pools.newBalancer)
	if s.peers.announcedFleetSize > 0 {
		core.SetFleetSize(s.peers.announcedFleetSize)
	}
	return core
}

// requestsPerConnection is how many attempts a connection carries at once: one where hedging is not allowed, for
// there an attempt that is given up behind a long value would stay in flight, as its connection must not be cut.
func requestsPerConnection(settings balancer.Settings, allowed int) int {
	if !settings.HedgingAllowed {
		return 1
	}
	return allowed
}

// setListed notes that the present list names a server, or no longer does.
func (p *pool) setListed(id uint64, listed bool) {
	p.knownServers[id] = listed
	if len(p.knownServers) > maxKnownServers {
		maps.DeleteFunc(p.knownServers, func(_ uint64, listed bool) bool { return !listed })
	}
}

// health returns how many servers the list holds, and how many of these are avoided now.
func (p *pool) health() (listed, avoided int) {
	for id, isListed := range p.knownServers {
		if !isListed {
			continue
		}
		listed++
		if p.core.Avoids(id) {
			avoided++
		}
	}
	return listed, avoided
}

// setDisabled leaves a server out, or takes it back.
func (p *pool) setDisabled(id uint64, disabled bool) {
	p.core.SetDisabled(id, disabled)
	if disabled {
		p.servers.CancelUnsent(id)
	}
}
