package service

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/policy/pollschedule"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"

	"github.com/rs/zerolog"
)

// pool is a set of servers with a list, connections and a module of its own. The platform's deployment is one; what
// becomes of one costs the others nothing.
type pool struct {
	s        *Service
	name     string
	router   *requestcore.Core
	fleet    *upstream.Fleet
	onDemand bool                          // its module asks for the list
	listed   map[uint64]bool               // the servers that the list holds
	known    map[uint64]bool               // servers that a list has named since the start, true: the present one does
	entries  map[uint64]discovery.Instance // the present list
	told     uint64                        // the list's generation as the list service last told it
	last     discovery.EndpointList        // the list as the router's last run had it
	rhythm   pollschedule.Schedule         // of calls to the list service
	watch    *watch                        // whose news count
	next     *watch                        // that watch's successor, until it has told a whole list
	log      zerolog.Logger
}

// watch is a call to a list service that goes on.
type watch struct {
	addr  string
	known uint64 // the generation that was known as it began
	since float64
	stop  context.CancelFunc
}

// newPool makes one without servers.
func (s *Service) newPool(name string, set balancer.Settings, connections int, connect, stall, idle float64, streams int, wire func(upstream.Link) upstream.Wire) *pool {
	p := &pool{s: s, name: name, onDemand: set.PollEndpoints, listed: map[uint64]bool{}, known: map[uint64]bool{}, entries: map[uint64]discovery.Instance{}, log: s.log}
	p.rhythm = pollschedule.ForLocalAgent(s.conf.DrainGrace, set.Seed)
	if set.PollEndpoints {
		p.rhythm = pollschedule.ForSharedService(set.PollInterval, set.Seed)
	}
	if name != "" {
		p.log = s.log.With().Str("pool", name).Logger()
	}
	p.fleet = upstream.New(s.loop, upstream.Limits{Connections: connections, PerConnection: piped(set, streams), ConnectTimeout: connect,
		Stall: stall, Idle: idle}, wire, p.log)
	watch := func(on bool) {} // the list is watched in any case
	if name != "" {           // what was finished before was at the platform's servers
		set.InitialCompletionRate = 0
	}
	out := requestcore.Dependencies{Clock: s.loop, Upstream: p.fleet, Gossip: s.telling(name), WatchEndpoints: watch, Log: p.log}
	if s.zones != nil {
		out.ZoneObserver = s.zones
	}
	p.router = requestcore.New(set, out, s.module)
	if s.routers > 0 {
		p.router.SetFleetSize(s.routers)
	}
	return p
}

// piped is how many executions a connection carries. Where second copies are barred it is one: what is given up behind a long value
// would still be out there, for its connection must not be cut.
func piped(set balancer.Settings, streams int) int {
	if !set.HedgingAllowed {
		return 1
	}
	return streams
}

// follow moves the watch to a list service. The watch before it goes on until the new one has told a whole list: so
// no news is lost between them, and an address where nothing answers costs nothing.
func (p *pool) follow(addr string) {
	if p.next != nil {
		if p.next.addr == addr {
			return
		}
		p.next.stop()
		p.next = nil
	}
	if p.watch != nil && p.watch.addr == addr {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{addr: addr, since: p.s.loop.Now(), stop: stop}
	p.next = w
	start := discovery.WatchStart{Generation: p.told, Schedule: p.rhythm}
	if len(p.last.Instances) > 0 { // of the address that the start names: one named later may count its own way
		start.Generation, start.SameService = p.last.Generation, true
		p.told, p.last = p.last.Generation, discovery.EndpointList{} // nor may one named later take back the drains in it
	}
	w.known = start.Generation
	p.rhythm.Backoff.Seed++ // another's chance for the next
	go discovery.Watch(ctx, addr, start, func(l discovery.EndpointList) error {
		taken := make(chan error, 1)
		p.s.loop.Post(func() { taken <- p.news(w, l) })
		select {
		case err := <-taken:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}, func(error) {
		if p.onDemand { // elsewhere the module has asked for nothing
			p.s.loop.Post(func() { p.failed(w) })
		}
	}, p.log.With().Str("discovery", addr).Logger())
}

// stop ends its watches.
func (p *pool) stop() {
	for _, w := range []*watch{p.watch, p.next} {
		if w != nil {
			w.stop()
		}
	}
}

// catchUp is how long a list service may lag behind what is known: one that was moved to has the last list by then, or counts
// its own way.
const catchUp = 2

// news takes a list. What the watch before this one told meanwhile must not be taken back by a service that lags behind it, so
// that is looked at here, where both come in.
func (p *pool) news(w *watch, l discovery.EndpointList) error {
	if w != p.watch && w != p.next {
		return nil // moved from since
	}
	if known := max(p.told, w.known); l.Complete && l.Generation < known && p.s.loop.Now()-w.since < catchUp {
		// It may count anew: what it says of drains is heeded at once, which costs little if it is old.
		l.Instances = slices.DeleteFunc(l.Instances, func(e discovery.Instance) bool { return e.State != balancer.Draining })
		p.hear(balancer.UpdateDelta, l)
		return fmt.Errorf("%w: %d, %d", discovery.ErrOutdated, l.Generation, known)
	}
	if w == p.next {
		if p.watch != nil {
			p.watch.stop()
		}
		p.watch, p.next = w, nil
	}
	if p.told = l.Generation; l.Complete {
		p.hear(balancer.UpdateFull, l)
	} else {
		p.hear(balancer.UpdateDelta, l)
	}
	return nil
}

func (p *pool) failed(w *watch) {
	if w == p.watch || p.watch == nil && w == p.next {
		p.hear(balancer.UpdateFailed, discovery.EndpointList{})
	}
}

// hear takes news of the list. The addresses are known before the module acts on it.
func (p *pool) hear(kind balancer.EndpointUpdate, l discovery.EndpointList) {
	if kind == balancer.UpdateFull || kind == balancer.UpdateSaved {
		for id := range p.listed {
			p.listed[id] = false
		}
		for id := range p.known {
			p.known[id] = false
		}
		clear(p.entries)
	}
	var members []balancer.Endpoint
	for _, e := range l.Instances {
		p.listed[e.ID] = e.State == balancer.Ready
		p.named(e.ID, e.State != balancer.Removed)
		if p.entries[e.ID] = e; e.State == balancer.Removed {
			delete(p.entries, e.ID)
		}
		p.fleet.Listed(e.ID, e.Addr)
		members = append(members, e.Endpoint)
	}
	p.router.OnEndpoints(kind, members)
	p.s.zones.listed()
	p.s.gossip.listed()
	p.s.recovery.listed(p, kind == balancer.UpdateFull || kind == balancer.UpdateDelta) // a call that failed confirms nothing
	maps.DeleteFunc(p.listed, func(id uint64, in bool) bool {
		if !in {
			p.fleet.Unlisted(id)
		}
		return !in
	})
	ready := len(p.listed)
	if p.s.phase == Starting && ready > 0 {
		p.s.serve()
	}
	if len(l.Instances) > 0 {
		p.log.Info().Uint64("generation", l.Generation).Int("changes", len(l.Instances)).Int("ready", ready).Msg("list")
	}
}

const names = 4096 // servers remembered for operators' calls; several fleets' worth

// named remembers that a list names a server, or no longer does.
func (p *pool) named(id uint64, now bool) {
	p.known[id] = now
	if len(p.known) > names {
		maps.DeleteFunc(p.known, func(_ uint64, listed bool) bool { return !listed })
	}
}

// standing tells how many servers the list holds, and how many of these are avoided now.
func (p *pool) standing() (listed, avoided int) {
	for id, now := range p.known {
		if !now {
			continue
		}
		if listed++; p.router.Avoids(id) {
			avoided++
		}
	}
	return listed, avoided
}

// bar leaves a server out, or takes it back.
func (p *pool) bar(id uint64, out bool) {
	p.router.SetDisabled(id, out)
	if out {
		p.fleet.LetGo(id)
	}
}

// count logs what has happened since the start.
func (p *pool) count(log zerolog.Logger, clients int) {
	c := p.router.Counts
	e := log.Info().Uint64("taken", c.Taken).Uint64("finished", c.Succeeded).Uint64("declined", c.Rejected).
		Uint64("terminated", c.Failed).Uint64("left", c.ClientsGone).Uint64("executions", c.Attempts).
		Uint64("faults", c.Faults).Int("open", p.router.OpenRequests()).Int("clients", clients).Int("idle", p.fleet.Idle())
	for why, n := range p.fleet.Cut() {
		if n > 0 {
			e = e.Uint64("servers' connections cut, "+upstream.Cuts[why], n)
		}
	}
	for why, n := range p.s.front.Cut() {
		if n > 0 {
			e = e.Uint64("clients' connections cut, "+frontend.Cuts[why], n)
		}
	}
	reasonsOf(e, c.Reasons[:]).Msg("counts")
}
