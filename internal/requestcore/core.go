package requestcore

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"

	"bendtrestle/balancer"
)

// Core is a balancer together with the requests that are submitted to it.
type Core struct {
	Counts Counts

	deps     Dependencies
	balancer Balancer
	requests map[uint64]*openRequest
	lastID   uint64

	zones      map[uint64]string  // zones by server id, of the servers for which the endpoint list names one
	objectives map[string]float64 // latency objectives in seconds, by traffic class
	idempotent map[string]bool    // by traffic class: whether repeating a request has no further effect
}

// Counts holds event counts since the process started.
type Counts struct {
	Received, Succeeded, Rejected, Failed, Disconnected uint64 // requests

	Attempts uint64
	Panics   uint64                   // panics of the balancer
	Reasons  [len(ReasonNames)]uint64 // rejected requests by RejectReason

	PassedIncomplete PassCounts // values passed on incomplete before answers that wait behind
}

// New returns a core with a balancer of its own.
func New(settings balancer.Settings, deps Dependencies, newBalancer NewBalancer) *Core {
	c := &Core{deps: deps, requests: map[uint64]*openRequest{}, zones: map[uint64]string{}}
	c.indexClasses(settings.TrafficClasses)
	c.balancer = newBalancer(deps.Clock.Now(), settings, c)
	return c
}

func (c *Core) indexClasses(classes []balancer.TrafficClass) {
	c.objectives = map[string]float64{}
	c.idempotent = map[string]bool{}
	for _, class := range classes {
		c.objectives[class.Name] = class.LatencyObjective
		c.idempotent[class.Name] = class.Idempotency == balancer.Idempotent
	}
}

// OpenRequests returns the number of requests that have no answer or have attempts outstanding.
func (c *Core) OpenRequests() int { return len(c.requests) }

// Submit passes a request to the balancer, and returns the request's id for OnClientDisconnected. The client may be
// answered before Submit returns.
func (c *Core) Submit(request *Request, client Client) uint64 {
	c.lastID++
	c.Counts.Received++
	request.NotIdempotent = !c.idempotent[request.Class]
	deadline := c.deps.Clock.Now() + request.TimeLeft
	r := &openRequest{Request: request, core: c, id: c.lastID, client: client, deadline: deadline}
	c.requests[r.id] = r
	c.callBalancer(r, func() {
		c.balancer.OnRequest(c.deps.Clock.Now(), r.id, request.Class, request.Tenant, request.Key, request.TimeLeft)
	})
	return r.id
}

// OnClientDisconnected is called when the client of a request has disconnected. It has no effect once the request is
// answered.
func (c *Core) OnClientDisconnected(id uint64) {
	r := c.requests[id]
	if r == nil || r.client == nil {
		return
	}
	c.Counts.Disconnected++
	r.client = nil
	r.reportEnd(ClientDisconnected, NoReason)
	c.callBalancer(r, func() { c.balancer.OnClientDisconnected(c.deps.Clock.Now(), id) })
	r.removeIfDone()
}

// FailAll fails all requests that have no answer, in the order in which they were submitted, before the process exits.
func (c *Core) FailAll() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		c.Fail(id)
	}
}

// OnEndpoints applies an update of the endpoint list.
func (c *Core) OnEndpoints(kind balancer.EndpointUpdate, endpoints []balancer.Endpoint) {
	if kind == balancer.UpdateFull || kind == balancer.UpdateSaved {
		clear(c.zones)
	}
	for _, endpoint := range endpoints {
		if endpoint.State == balancer.Removed || endpoint.Zone == "" {
			delete(c.zones, endpoint.ID)
		} else {
			c.zones[endpoint.ID] = endpoint.Zone
		}
	}
	c.callBalancer(nil, func() { c.balancer.OnEndpoints(c.deps.Clock.Now(), kind, endpoints) })
}

// OnGossip is called with a gossip message from a peer router.
func (c *Core) OnGossip(message []byte) {
	c.callBalancer(nil, func() { c.balancer.OnGossip(c.deps.Clock.Now(), message) })
}

// SetDisabled disables a server on an operator's request, or enables it again.
func (c *Core) SetDisabled(server uint64, disabled bool) {
	c.callBalancer(nil, func() { c.balancer.SetDisabled(c.deps.Clock.Now(), server, disabled) })
}

// SetZoneShare sets the fraction of its keys, 0 to 1, that a zone serves from now on.
func (c *Core) SetZoneShare(zone string, share float64) {
	c.callBalancer(nil, func() { c.balancer.SetZoneShare(c.deps.Clock.Now(), zone, share) })
}

// SetTrafficClasses replaces the traffic classes that requests may belong to.
func (c *Core) SetTrafficClasses(classes []balancer.TrafficClass) {
	c.indexClasses(classes)
	c.callBalancer(nil, func() { c.balancer.SetTrafficClasses(classes) })
}

// SetFleetSize sets the number of routers in the fleet, as counted from the peers whose gossip arrives.
func (c *Core) SetFleetSize(routers int) {
	c.callBalancer(nil, func() { c.balancer.SetFleetSize(c.deps.Clock.Now(), routers) })
}

// Avoids reports whether the balancer currently sends no new requests to a server.
func (c *Core) Avoids(server uint64) (avoided bool) {
	c.callBalancer(nil, func() { avoided = c.balancer.Avoids(server) })
	return avoided
}

// callBalancer runs a call of the balancer. If it panics, the panic is counted and logged, and the request that the
// call is for, which may be nil, fails. The process continues, so that the other requests still get their answers.
func (c *Core) callBalancer(request *openRequest, call func()) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		c.Counts.Panics++
		c.deps.Log.Error().Str("fault", fmt.Sprint(fault)).Bytes("stack", debug.Stack()).
			Msg("the balancer panicked; the unanswered request of the call, if any, fails")
		if request != nil && request.client != nil {
			c.Fail(request.id)
		}
	}()
	call()
}
