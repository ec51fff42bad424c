package service

import (
	"maps"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/policy/membership"
	"bendtrestle/internal/policy/pollschedule"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"

	"github.com/rs/zerolog"
)

// maxKnownServers bounds the servers that operators' calls may name: several times the servers of a fleet.
const maxKnownServers = 4096

// pool is a set of servers with one protocol. Each pool has an endpoint list, connections and a balancer of its own, so
// that a failure of one does not affect the others. The platform's servers are one pool.
type pool struct {
	service *Service
	name    string // "" for the platform's pool
	core    *requestcore.Core
	servers *upstream.ConnectionPools
	log     zerolog.Logger

	polled      bool                          // its balancer polls the endpoint list, and is notified of failed polls
	endpoints   map[uint64]discovery.Instance // the current endpoint list, by the server's id
	ready       map[uint64]bool               // servers that the list names as ready; false only in applyList
	known       map[uint64]bool               // servers that a list has named since the start; true: listed now
	generation  uint64                        // of the last list that the list service sent
	initialList discovery.EndpointList        // the list known at the start, until the first watch begins

	withdrawals *membership.Tracker  // servers that a list has named as draining or has removed
	held        map[uint64]heldEntry // entries of the current list that are not believed yet, by the server's id
	heldTimer   *eventloop.Timer     // calls releaseHeld; nil: no entry was held so far
	nextRelease float64              // when it is due, in seconds of the loop's clock; infinite: never
	sourceSince float64              // when the current list's service was first followed, or began to number anew

	schedule  pollschedule.Schedule // of polls of the list service
	watch     *endpointWatch        // the current watch
	nextWatch *endpointWatch        // its replacement, until that has received a full list
}

// poolOptions are the parameters of a new pool. Times are in seconds.
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

// newPool creates a pool without servers.
func (s *Service) newPool(options poolOptions) *pool {
	settings := options.settings
	p := &pool{
		service:   s,
		name:      options.name,
		log:       s.log,
		polled:    settings.PollEndpoints,
		endpoints: map[uint64]discovery.Instance{},
		ready:     map[uint64]bool{},
		known:     map[uint64]bool{},

		withdrawals: membership.NewTracker(),
		held:        map[uint64]heldEntry{},
		sourceSince: s.loop.Now(),

		schedule: pollschedule.ForLocalAgent(s.conf.DrainGrace, settings.Seed),
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
		HedgingAllowed:           settings.HedgingAllowed,
		IdleTimeout:              options.idleTimeout,
	}, options.newCodec, p.log)
	p.core = s.newCore(p, settings)
	return p
}

// newCore creates a pool's core with its balancer.
func (s *Service) newCore(p *pool, settings balancer.Settings) *requestcore.Core {
	if p.name != "" { // the completion rate of the last run is that of the platform's servers
		settings.InitialCompletionRate = 0
	}
	dependencies := requestcore.Dependencies{
		Clock:          s.loop,
		Upstream:       p.servers,
		Gossip:         s.gossipSender(p.name),
		WatchEndpoints: func(bool) {}, // the list is always watched
		Log:            p.log,
		ReadAhead:      s.memory.readAhead,
	}
	if s.zones != nil { // an interface that holds a nil adapter would not be nil
		dependencies.ZoneObserver = s.zones
	}
	core := requestcore.New(settings, dependencies, s.pools.newBalancer)
	if s.peers.announcedFleetSize > 0 {
		core.SetFleetSize(s.peers.announcedFleetSize)
	}
	return core
}

// requestsPerConnection returns how many attempts a connection may have in flight: one if hedging is not allowed. An
// attempt that is given up behind a long value would stay in flight then, as its connection must not be cut.
func requestsPerConnection(settings balancer.Settings, allowed int) int {
	if !settings.HedgingAllowed {
		return 1
	}
	return allowed
}

// setListed records whether the current list names a server.
func (p *pool) setListed(id uint64, listed bool) {
	p.known[id] = listed
	if len(p.known) > maxKnownServers {
		maps.DeleteFunc(p.known, func(_ uint64, listed bool) bool { return !listed })
	}
}

// health returns how many servers the list names, and how many of these the balancer avoids now.
func (p *pool) health() (listed, avoided int) {
	for id, isListed := range p.known {
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

// setDisabled stops sending requests to a server, or allows them again.
func (p *pool) setDisabled(id uint64, disabled bool) {
	p.core.SetDisabled(id, disabled)
	if disabled {
		p.servers.CancelUnsent(id)
	}
}
