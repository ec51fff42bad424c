package broker

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// platform is the route of requests that match no team. It has no quota. It is also the UsageObserver of its requests.
type platform struct {
	broker    *Broker
	core      *requestcore.Core
	classes   []balancer.TrafficClass
	deadlines map[string]float64 // seconds, by traffic class
	tenants   map[string]bool    // tenants in the platform's settings
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

// MaxDeadline returns the deadline of a traffic class, in seconds. known is false if the platform has no such class.
func (p *platform) MaxDeadline(class string) (seconds float64, known bool) {
	seconds, known = p.deadlines[class]
	return seconds, known
}

// HasCapacity reports whether there is a slot for another request that is not reserved for a team.
func (p *platform) HasCapacity() bool {
	return p.broker.slots.requests.CanAcquire(nil, 1) && p.broker.slots.bytes.CanAcquire(nil, 1)
}

// Submit submits a request to the platform's core.
func (p *platform) Submit(request *requestcore.Request, client requestcore.Client) (*requestcore.Core, uint64) {
	p.broker.slots.requests.ForceAcquire(nil, 1)
	request.Usage = p
	if !p.tenants[request.Tenant] {
		request.Tenant = "" // the balancer keeps state for each tenant, which made-up tenants must not fill
	}
	return p.core, p.core.Submit(request, client)
}

// AddBufferedBytes adds n, which may be negative, to the bytes that are buffered for clients.
func (p *platform) AddBufferedBytes(n int) { p.broker.slots.bytes.ForceAcquire(nil, n) }

// AttemptEnded does nothing, because nothing is charged without a quota.
func (p *platform) AttemptEnded(float64) {}

// Answered does nothing, because the core counts the platform's requests.
func (p *platform) Answered(requestcore.RequestEnd, requestcore.RejectReason) {}

// RequestDone releases the slot of a request.
func (p *platform) RequestDone() { p.broker.slots.requests.Release(nil, 1) }
