// Package simrouter runs simulated routers, some hundreds per process. A simulated router has no clients, no payload
// and no connections to servers, but a real router's gossip transport, endpoint list and balancer. It costs what the
// size of the fleet costs a real router, so that a whole fleet fits on one machine. Package scale compares simulated
// routers with real ones.
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

// router is a simulated router. All of it except the counters of its transport belongs to the event loop that the
// routers of a process share.
type router struct {
	index        int // among the peers
	loop         *eventloop.Loop
	transport    Transport
	loadBalancer *balancer.Balancer
	serverIDs    []uint64 // in the order of the list
	generation   uint64   // of the list that is in force
	listSince    float64  // when that list came into force, Unix seconds
	zoneMessages uint64   // received messages that are not for the balancer: zone messages of real routers
	sendRound    int      // counts starts and stops of periodic sending, so that an earlier timer ends
}

// host carries out the balancer's actions. Only gossip has an effect, because there are no requests and no servers.
type host struct{ r *router }

func (host) StartAttempt(uint64, uint64, float64, float64) {}
func (host) CancelAttempt(uint64, int)                     {}
func (host) Reject(uint64, float64, balancer.RejectReason) {}
func (host) Fail(uint64)                                   {}
func (h host) Gossip(message []byte)                       { h.r.transport.Broadcast(message) }
func (host) Probe(uint64)                                  {}
func (host) SetTimer(float64, string)                      {}
func (host) WatchEndpoints(bool)                           {}

// settings returns balancer settings of a router that gossips, with the values of a real router's configuration.
func settings(me, routers int) balancer.Settings {
	return balancer.Settings{Seed: uint32(me + 1), RouterIndex: me, RouterCount: routers, EventInterval: 0.002, WeightMode: balancer.WeightsStatic, MaxAttempts: 3, HedgingAllowed: true,
		CancellationAllowed: true, MaxRetryAfter: 1.2, GossipAllowed: true, GossipPrice: 0.01, OverloadWindow: 3, OverloadFactor: 4, WarmupStartCapacity: 0.3, WarmupDuration: 9,
		TrafficClasses: []balancer.TrafficClass{{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 0.150, Deadline: 0.750, PriorityWeight: 5}}}
}

const observationBytes = 3 // bytes of one observation in a gossip message

// newRouter returns a router with an endpoint list. It receives messages from now on.
func newRouter(loop *eventloop.Loop, open OpenFunc, member Member,
	initialList discovery.EndpointList) (*router, error) {
	r := &router{index: member.Index, loop: loop}
	r.loadBalancer = balancer.New(loop.Now(), settings(member.Index, len(member.Peers)), host{r})
	r.applyList(balancer.UpdateFull, initialList)
	for _, id := range r.serverIDs {
		member.ServerIDs = append(member.ServerIDs, uint16(id))
	}
	member.Loop, member.Deliver = loop, func(message []byte) { r.loadBalancer.OnGossip(loop.Now(), message) }
	var err error
	r.transport, err = open(member, func(message []byte) {
		loop.Post(func() {
			if len(message) > messageBytes {
				r.zoneMessages++ // zone messages are longer; a real router passes messages to zone failover first
				return
			}
			r.loadBalancer.OnGossip(loop.Now(), message)
		})
	})
	return r, err
}

// applyList passes an endpoint list to the balancer.
func (r *router) applyList(kind balancer.EndpointUpdate, list discovery.EndpointList) {
	var endpoints []balancer.Endpoint
	for _, e := range list.Instances {
		endpoints = append(endpoints, e.Endpoint)
		if kind == balancer.UpdateFull {
			r.serverIDs = append(r.serverIDs, e.ID)
		}
	}
	r.loadBalancer.OnEndpoints(r.loop.Now(), kind, endpoints)
	r.generation, r.listSince = list.Generation, r.loop.Now()
}

// follow watches a list service in the same way as a real router, until ctx ends.
func (r *router) follow(ctx context.Context, addr string, seed uint32, log zerolog.Logger) {
	const grace = 0.5 // drain grace in seconds, as in the real routers' configuration
	start := discovery.WatchStart{Generation: r.generation, SameService: true, Schedule: pollschedule.ForLocalAgent(grace, seed)}
	go discovery.Watch(ctx, addr, start, func(list discovery.EndpointList) error {
		applied := make(chan struct{})
		r.loop.Post(func() {
			kind := balancer.UpdateDelta
			if list.Full {
				kind, r.serverIDs = balancer.UpdateFull, nil
			}
			if list.Full || len(list.Instances) > 0 {
				r.applyList(kind, list)
			}
			close(applied)
		})
		select {
		case <-applied:
		case <-ctx.Done():
		}
		return nil
	}, func(error) {}, log)
}

const messageBytes = 15 // bytes of a typical message of the balancer: observations of five servers

// send sends a typical message: five servers, each with a typical latency. first selects which five of the list.
func (r *router) send(first int) {
	var message []byte
	for n := range messageBytes / observationBytes {
		message = append(binary.LittleEndian.AppendUint16(message,
			uint16(r.serverIDs[(first+n*len(r.serverIDs)*observationBytes/messageBytes)%len(r.serverIDs)])), 32)
	}
	r.transport.Broadcast(message)
}

// sendPeriodically sends a message each period until stopSending. With all set, each message is about other servers
// than the previous one, and routers start at different servers.
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
