package broker

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// platform is the route of requests that match no team: without a quota. It is the UsageObserver of its requests,
// too.
type platform struct {
	broker    *Broker
	core      *requestcore.Core
	classes   []balancer.TrafficClass
	deadlines map[string]float64 // seconds, by traffic class
	tenants   map[string]bool    // that the platform knows
}

func newPlatform(b *Broker, settings balancer.Settings, core *requestcore.Core) *platform {
	p := &platform{
		broker:    b,
		core:      core,
		classes:   settings.TrafficClasses,
		deadlines: map[string]float64{},
		tenants:   map[string]bool{},
	}
	for _, tenant := range settings.Tenants {
		p.tenants[tenant.Name] = true
	}
	for _, class := range settings.TrafficClasses {
		p.deadlines[class.Name] = class.Deadline
	}
	return p
}

// MaxDeadline is the deadline of a traffic class, in seconds; false: the platform has no such class.
func (p *platform) MaxDeadline(class string) (seconds float64, known bool) {
	seconds, known = p.deadlines[class]
	return seconds, known
}

// HasCapacity tells whether there is a slot for another request that is not reserved for a team.
func (p *platform) HasCapacity() bool {
	return p.broker.slots.requests.CanAcquire(nil, 1) && p.broker.slots.bytes.CanAcquire(nil, 1)
}

// Submit hands a request to the platform's core.
func (p *platform) Submit(request *requestcore.Request, client requestcore.Client) (*requestcore.Core, uint64) {
	p.broker.slots.requests.ForceAcquire(nil, 1)
	request.Usage = p
	if !p.tenants[request.Tenant] {
		request.Tenant = "" // the balancer keeps a record of each: clients must not make up ever new ones
	}
	return p.core, p.core.Submit(request, client)
}

// AddHeldBytes counts bytes that are held for clients, more or less.
func (p *platform) AddHeldBytes(n int) { p.broker.slots.bytes.ForceAcquire(nil, n) }

// AttemptEnded takes no note: without a quota nothing is charged.
func (p *platform) AttemptEnded(float64) {}

// Answered takes no note: the core counts its own.
func (p *platform) Answered(requestcore.RequestEnd, requestcore.RejectReason) {}

// RequestDone gives the slot back.
func (p *platform) RequestDone() { p.broker.slots.requests.Release(nil, 1) }
