package requestcore

import "bendtrestle/balancer"

// Balancer makes the decisions, and acts through the balancer.Host that it was made with. The product's is
// balancer.Balancer, whose documentation says what the calls mean; experiments put others in its place, to see what the
// decisions alone are worth. All calls are made on the loop's goroutine, with the seconds of the loop's clock.
type Balancer interface {
	OnRequest(now float64, id uint64, class, tenant, key string, timeLeft float64)
	OnAttemptEnd(now float64, id uint64, attempt int, outcome balancer.Outcome, took float64, answered bool)
	OnClientGone(now float64, id uint64)
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

// NewBalancer makes a Balancer that acts on a host.
type NewBalancer func(now float64, settings balancer.Settings, host balancer.Host) Balancer

// DefaultBalancer makes the product's balancer.
func DefaultBalancer(now float64, settings balancer.Settings, host balancer.Host) Balancer {
	return balancer.New(now, settings, host)
}
