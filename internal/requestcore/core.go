package requestcore

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"

	"bendtrestle/balancer"
)

// Core is a balancer and the requests that it was given.
type Core struct {
	Counts Counts

	deps     Dependencies
	balancer Balancer
	requests map[uint64]*openRequest
	lastID   uint64

	zones      map[uint64]string  // of servers that the list names a zone for
	objectives map[string]float64 // latency objectives in seconds, by traffic class
	idempotent map[string]bool    // traffic classes whose requests may simply be repeated
}

// Counts is what has happened since the start.
type Counts struct {
	Taken, Succeeded, Rejected, Failed, ClientsGone uint64 // requests

	Attempts uint64
	Faults   uint64                   // panics of the balancer
	Reasons  [len(ReasonNames)]uint64 // of the rejected requests
}

// New makes a core, and a balancer for it.
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

// OpenRequests returns how many requests have no answer or have attempts outstanding.
func (c *Core) OpenRequests() int { return len(c.requests) }

// Submit takes a request, and returns the id by which OnClientGone names it. The client may be answered before Submit
// returns.
func (c *Core) Submit(request *Request, client Client) uint64 {
	c.lastID++
	c.Counts.Taken++
	request.NotIdempotent = !c.idempotent[request.Class]
	r := &openRequest{Request: request, core: c, id: c.lastID, client: client}
	c.requests[r.id] = r
	c.callBalancer(r, func() {
		c.balancer.OnRequest(c.deps.Clock.Now(), r.id, request.Class, request.Tenant, request.Key, request.TimeLeft)
	})
	return r.id
}

// OnClientGone is called when a client has disconnected. It has no effect on a request that was answered.
func (c *Core) OnClientGone(id uint64) {
	r := c.requests[id]
	if r == nil || r.client == nil {
		return
	}
	c.Counts.ClientsGone++
	r.client = nil
	r.reportEnd(ClientGone, NoReason)
	c.callBalancer(r, func() { c.balancer.OnClientGone(c.deps.Clock.Now(), id) })
	r.removeIfDone()
}

// FailAll answers all requests that have no answer, in the order in which they came: the process ends.
func (c *Core) FailAll() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		c.Fail(id)
	}
}

// OnEndpoints is called with an update of the endpoint list.
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

// OnGossip is called with a peer's message.
func (c *Core) OnGossip(message []byte) {
	c.callBalancer(nil, func() { c.balancer.OnGossip(c.deps.Clock.Now(), message) })
}

// SetDisabled disables a server by order of operators, or enables it again.
func (c *Core) SetDisabled(server uint64, disabled bool) {
	c.callBalancer(nil, func() { c.balancer.SetDisabled(c.deps.Clock.Now(), server, disabled) })
}

// SetZoneShare sets the part of its keys, 0 to 1, that a zone serves from now on.
func (c *Core) SetZoneShare(zone string, share float64) {
	c.callBalancer(nil, func() { c.balancer.SetZoneShare(c.deps.Clock.Now(), zone, share) })
}

// SetTrafficClasses sets the classes that requests may have from now on.
func (c *Core) SetTrafficClasses(classes []balancer.TrafficClass) {
	c.indexClasses(classes)
	c.callBalancer(nil, func() { c.balancer.SetTrafficClasses(classes) })
}

// SetFleetSize sets the number of routers, by those that are heard.
func (c *Core) SetFleetSize(routers int) {
	c.callBalancer(nil, func() { c.balancer.SetFleetSize(c.deps.Clock.Now(), routers) })
}

// Avoids reports whether the balancer sends nothing new to a server now.
func (c *Core) Avoids(server uint64) (avoided bool) {
	c.callBalancer(nil, func() { avoided = c.balancer.Avoids(server) })
	return avoided
}

// callBalancer calls the balancer. A panic is counted and logged, and the request at hand, which may be nil, fails; the router
// serves on, for the other requests have their answers to get.
func (c *Core) callBalancer(request *openRequest, call func()) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		c.Counts.Faults++
		c.deps.Log.Error().Str("fault", fmt.Sprint(fault)).Bytes("stack", debug.Stack()).Msg("the balancer panicked")
		if request != nil && request.client != nil {
			c.Fail(request.id)
		}
	}()
	call()
}
