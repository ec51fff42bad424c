package balancer

import "slices"

// This file holds the rules that no decision may break: whether any server may attempt a request, whether one
// server may, and whether a retry by the client is harmless.

// mayContinue reports whether a request may be attempted, or attempted again, at any server.
func (b *Balancer) mayContinue(req *request) bool {
	if req.answered || req.streaming || b.now >= req.deadline {
		return false
	}
	if b.settings.MaxAttempts > 0 && len(req.attempts) >= b.settings.MaxAttempts {
		return false
	}
	for _, earlier := range req.attempts {
		if earlier.inFlight && !b.settings.HedgingAllowed {
			return false
		}
		if !earlier.notExecuted && !b.mayRepeat(req.class, earlier) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a request may be attempted again after an attempt that may have been executed.
func (b *Balancer) mayRepeat(class *classState, earlier *attempt) bool {
	switch class.Idempotency {
	case AtMostOnce:
		return false
	case IdempotencyKeyed:
		return b.now-earlier.sentAt < class.DeduplicationWindow
	}
	return true
}

// mayAttempt reports whether one server may attempt a request now.
func (b *Balancer) mayAttempt(req *request, server *serverState) bool {
	if server.State != Ready || server.disabled {
		return false
	}
	if !req.class.allowsServer(server) && !b.isOrigin(server) {
		return false
	}
	if !b.mayContinue(req) {
		return false
	}
	if req.class.Idempotency != IdempotencyKeyed {
		return true
	}
	for _, earlier := range req.attempts {
		if !earlier.notExecuted && !req.class.deduplicates(earlier.server, server) {
			return false
		}
	}
	return true
}

// deduplicates reports whether a server drops repeats of a request that another server may have executed.
func (c *classState) deduplicates(executedOn, server *serverState) bool {
	switch c.DeduplicationScope {
	case ScopeZone:
		return executedOn.Zone == server.Zone
	case ScopeCell:
		return executedOn.Cell == server.Cell
	}
	return true
}

// allowsServer reports whether a class may be sent to a server at all, according to the server's current entry in
// the list. If no such server can take a request, the request is rejected, however idle the other servers are.
func (c *classState) allowsServer(server *serverState) bool {
	return allows(c.AllowedZones, server.Zone) && allows(c.AllowedMachineTypes, server.MachineType)
}

// allows reports whether a name is among the allowed ones; nil allows all.
func allows(allowed []string, name string) bool {
	return allowed == nil || slices.Contains(allowed, name)
}

// clientRetryIsHarmless reports whether a retry by the client, as a new request, has no second effect: repeats are
// harmless in its class or dropped by all servers, or no attempt can have been executed. An attempt in flight may
// have been. The deduplication window is not considered.
func (b *Balancer) clientRetryIsHarmless(req *request) bool {
	class := req.class
	if class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency == IdempotencyKeyed && class.DeduplicationScope == ScopeAll {
		return true
	}
	for _, earlier := range req.attempts {
		if !earlier.notExecuted {
			return false
		}
	}
	return true
}
