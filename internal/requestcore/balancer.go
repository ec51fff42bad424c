package requestcore

import "bendtrestle/balancer"

// Balancer decides which servers get attempts, and acts through the balancer.Host that it was created with. The router
// uses balancer.Balancer, whose documentation defines the calls. Experiments use other implementations, to measure the
// effect of the decisions alone. All calls are made on the event loop's goroutine, with times in seconds of the loop's
// clock.
type Balancer interface {
	OnRequest(now float64, id uint64, class, tenant, key string, timeLeft float64)
	OnAttemptEnd(now float64, id uint64, attempt int, outcome balancer.Outcome, elapsed float64, answered bool)
	OnReplyStalled(now float64, id uint64, attempt int)
	OnReplyDelayed(id uint64, attempt int)
	WouldRetry(now float64, id uint64, attempt int) bool
	OnClientDisconnected(now float64, id uint64)
	OnEndpoints(now float64, kind balancer.EndpointUpdate, endpoints []balancer.Endpoint)
	OnGossip(now float64, message []byte)
	SetFleetSize(now float64, routers int)
	OnProbeResult(now float64, server uint64, outcome balancer.Outcome)
	OnTimer(now float64, name string)
	SetTrafficClasses(classes []balancer.TrafficClass)
	SetDisabled(now float64, server uint64, disabled bool)
	SetZoneShare(now float64, zone string, share float64)
	Avoids(server uint64) bool
}

// NewBalancer returns a Balancer that acts through a host.
type NewBalancer func(now float64, settings balancer.Settings, host balancer.Host) Balancer

// DefaultBalancer returns the router's own balancer, a balancer.Balancer.
func DefaultBalancer(now float64, settings balancer.Settings, host balancer.Host) Balancer {
	return balancer.New(now, settings, host)
}
