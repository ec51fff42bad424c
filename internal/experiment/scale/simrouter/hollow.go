// Package simrouter is routers without clients, payload and connections to servers: the real ways to other routers, the real list of
// servers and the real module, some hundreds to a process. What a real router costs for its fleet's size they cost, too, so that a
// whole fleet fits on one machine; what they leave out is stated where they are set beside real ones.
package simrouter

import (
	"context"
	"encoding/binary"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/policy/pollschedule"

	"github.com/rs/zerolog"
)

// router is a hollow one. All of it but the counters of its way belongs to the loop that it shares with the others of its process.
type router struct {
	me         int // its number among the peers
	loop       *eventloop.Loop
	way        Way
	module     *balancer.Balancer
	ids        []uint64 // of the servers, as the list has them
	generation uint64   // of the list that is in force
	since      float64  // when that came into force, Unix seconds
	zoned      uint64   // words that were no module's: about zones, from real routers
	turn       int      // counts its talks and silences
}

// host lets the module act: there is nothing that it could act on but the other routers.
type host struct{ r *router }

func (host) StartAttempt(uint64, uint64, float64, float64) {}
func (host) CancelAttempt(uint64, int)                     {}
func (host) Reject(uint64, float64, balancer.RejectReason) {}
func (host) Fail(uint64)                                   {}
func (h host) Gossip(words []byte)                         { h.r.way.Tell(words) }
func (host) Probe(uint64)                                  {}
func (host) SetTimer(float64, string)                      {}
func (host) WatchEndpoints(bool)                           {}

// settings are those of a router that hears others, as in a real one's configuration.
func settings(me, routers int) balancer.Settings {
	return balancer.Settings{Seed: uint32(me + 1), RouterIndex: me, RouterCount: routers, EventInterval: 0.002, WeightMode: balancer.WeightsStatic, MaxAttempts: 3, HedgingAllowed: true,
		CancellationAllowed: true, MaxRetryAfter: 1.2, GossipAllowed: true, GossipPrice: 0.01, OverloadWindow: 3, OverloadFactor: 4, WarmupStartCapacity: 0.3, WarmupDuration: 9,
		TrafficClasses: []balancer.TrafficClass{{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 0.150, Deadline: 0.750, PriorityWeight: 5}}}
}

const wordSize = 3 // bytes of the module's words; a longer message than usualSize is about zones

// begin makes one that has a list. It hears from now on.
func begin(loop *eventloop.Loop, open Open, p Place, known discovery.EndpointList) (*router, error) {
	r := &router{me: p.Me, loop: loop}
	r.module = balancer.New(loop.Now(), settings(p.Me, len(p.Peers)), host{r})
	r.take(balancer.UpdateFull, known)
	for _, id := range r.ids {
		p.Servers = append(p.Servers, uint16(id))
	}
	p.Loop, p.Feed = loop, func(words []byte) { r.module.OnGossip(loop.Now(), words) }
	var err error
	r.way, err = open(p, func(words []byte) {
		loop.Post(func() {
			if len(words) > usualSize {
				r.zoned++ // a real router asks its zones first
				return
			}
			r.module.OnGossip(loop.Now(), words)
		})
	})
	return r, err
}

// take takes a list.
func (r *router) take(kind balancer.EndpointUpdate, l discovery.EndpointList) {
	var members []balancer.Endpoint
	for _, e := range l.Instances {
		members = append(members, e.Endpoint)
		if kind == balancer.UpdateFull {
			r.ids = append(r.ids, e.ID)
		}
	}
	r.module.OnEndpoints(r.loop.Now(), kind, members)
	r.generation, r.since = l.Generation, r.loop.Now()
}

// follow watches a list service as a real router does, until ctx ends.
func (r *router) follow(ctx context.Context, addr string, seed uint32, log zerolog.Logger) {
	const grace = 0.5 // seconds of a drain, as in the real routers' configuration
	start := discovery.WatchStart{Generation: r.generation, SameService: true, Schedule: pollschedule.ForLocalAgent(grace, seed)}
	go discovery.Watch(ctx, addr, start, func(l discovery.EndpointList) error {
		taken := make(chan struct{})
		r.loop.Post(func() {
			kind := balancer.UpdateDelta
			if l.Complete {
				kind, r.ids = balancer.UpdateFull, nil
			}
			if l.Complete || len(l.Instances) > 0 {
				r.take(kind, l)
			}
			close(taken)
		})
		select {
		case <-taken:
		case <-ctx.Done():
		}
		return nil
	}, func(error) {}, log)
}

const usualSize = 15 // bytes of a word as the module says it: five servers

// say says a usual word: five servers, each with a usual time. They are the same five unless it begins with another one of the list.
func (r *router) say(from int) {
	var words []byte
	for n := range usualSize / wordSize {
		words = append(binary.LittleEndian.AppendUint16(words, uint16(r.ids[(from+n*len(r.ids)*wordSize/usualSize)%len(r.ids)])), 32)
	}
	r.way.Tell(words)
}

// talk says a word each period, until hush; with all of servers other than the one before and than the next router.
func (r *router) talk(first, period time.Duration, all bool) {
	r.turn++
	turn := r.turn
	from := 0
	if all {
		from = r.me
	}
	var next func()
	next = func() {
		if r.turn == turn {
			if r.say(from); all {
				from++
			}
			r.loop.After(period.Seconds(), next)
		}
	}
	r.loop.After(first.Seconds(), next)
}

func (r *router) hush() { r.turn++ }
