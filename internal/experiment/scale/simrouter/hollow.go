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
	index        int // its number among the peers
	loop         *eventloop.Loop
	transport    Transport
	balancer     *balancer.Balancer
	serverIDs    []uint64 // of the servers, as the list has them
	generation   uint64   // of the list that is in force
	listSince    float64  // when that came into force, Unix seconds
	zoneMessages uint64   // words that were no module's: about zones, from real routers
	sendRound    int      // counts its talks and silences
}

// host lets the module act: there is nothing that it could act on but the other routers.
type host struct{ r *router }

func (host) StartAttempt(uint64, uint64, float64, float64) {}
func (host) CancelAttempt(uint64, int)                     {}
func (host) Reject(uint64, float64, balancer.RejectReason) {}
func (host) Fail(uint64)                                   {}
func (h host) Gossip(message []byte)                       { h.r.transport.Broadcast(message) }
func (host) Probe(uint64)                                  {}
func (host) SetTimer(float64, string)                      {}
func (host) WatchEndpoints(bool)                           {}

// settings are those of a router that hears others, as in a real one's configuration.
func settings(me, routers int) balancer.Settings {
	return balancer.Settings{Seed: uint32(me + 1), RouterIndex: me, RouterCount: routers, EventInterval: 0.002, WeightMode: balancer.WeightsStatic, MaxAttempts: 3, HedgingAllowed: true,
		CancellationAllowed: true, MaxRetryAfter: 1.2, GossipAllowed: true, GossipPrice: 0.01, OverloadWindow: 3, OverloadFactor: 4, WarmupStartCapacity: 0.3, WarmupDuration: 9,
		TrafficClasses: []balancer.TrafficClass{{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 0.150, Deadline: 0.750, PriorityWeight: 5}}}
}

const observationBytes = 3 // bytes of the module's words; a longer message than usualSize is about zones

// newRouter makes one that has a list. It hears from now on.
func newRouter(loop *eventloop.Loop, open OpenFunc, p Member, initialList discovery.EndpointList) (*router, error) {
	r := &router{index: p.Index, loop: loop}
	r.balancer = balancer.New(loop.Now(), settings(p.Index, len(p.Peers)), host{r})
	r.applyList(balancer.UpdateFull, initialList)
	for _, id := range r.serverIDs {
		p.ServerIDs = append(p.ServerIDs, uint16(id))
	}
	p.Loop, p.Deliver = loop, func(message []byte) { r.balancer.OnGossip(loop.Now(), message) }
	var err error
	r.transport, err = open(p, func(message []byte) {
		loop.Post(func() {
			if len(message) > messageBytes {
				r.zoneMessages++ // a real router asks its zones first
				return
			}
			r.balancer.OnGossip(loop.Now(), message)
		})
	})
	return r, err
}

// applyList takes a list.
func (r *router) applyList(kind balancer.EndpointUpdate, list discovery.EndpointList) {
	var endpoints []balancer.Endpoint
	for _, e := range list.Instances {
		endpoints = append(endpoints, e.Endpoint)
		if kind == balancer.UpdateFull {
			r.serverIDs = append(r.serverIDs, e.ID)
		}
	}
	r.balancer.OnEndpoints(r.loop.Now(), kind, endpoints)
	r.generation, r.listSince = list.Generation, r.loop.Now()
}

// follow watches a list service as a real router does, until ctx ends.
func (r *router) follow(ctx context.Context, addr string, seed uint32, log zerolog.Logger) {
	const grace = 0.5 // seconds of a drain, as in the real routers' configuration
	start := discovery.WatchStart{Generation: r.generation, SameService: true, Schedule: pollschedule.ForLocalAgent(grace, seed)}
	go discovery.Watch(ctx, addr, start, func(list discovery.EndpointList) error {
		taken := make(chan struct{})
		r.loop.Post(func() {
			kind := balancer.UpdateDelta
			if list.Complete {
				kind, r.serverIDs = balancer.UpdateFull, nil
			}
			if list.Complete || len(list.Instances) > 0 {
				r.applyList(kind, list)
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

const messageBytes = 15 // bytes of a word as the module says it: five servers

// send says a usual word: five servers, each with a usual time. They are the same five unless it begins with another one of the list.
func (r *router) send(first int) {
	var message []byte
	for n := range messageBytes / observationBytes {
		message = append(binary.LittleEndian.AppendUint16(message, uint16(r.serverIDs[(first+n*len(r.serverIDs)*observationBytes/messageBytes)%len(r.serverIDs)])), 32)
	}
	r.transport.Broadcast(message)
}

// sendPeriodically says a word each period, until hush; with all of servers other than the one before and than the next router.
func (r *router) sendPeriodically(first, period time.Duration, all bool) {
	r.sendRound++
	round := r.sendRound
	firstServer := 0
	if all {
		firstServer = r.index
	}
	var next func()
	next = func() {
		if r.sendRound == round {
			if r.send(firstServer); all {
				firstServer++
			}
			r.loop.After(period.Seconds(), next)
		}
	}
	r.loop.After(first.Seconds(), next)
}

func (r *router) stopSending() { r.sendRound++ }
