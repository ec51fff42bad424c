package balancer

import (
	"cmp"
	"math"
)

const (
	// slowStartSafetyFactor divides what the rule allows: of the other routers a router knows only the number.
	slowStartSafetyFactor = 2
	// ownSizeFactor raises the allowance where the list tells sizes, to three quarters of what the rule allows a
	// server of its size.
	ownSizeFactor = 1.5
	// slowStartBurstPart bounds the attempts that a budget may hold: the allowance of a window over this.
	slowStartBurstPart = 4
	// defaultSlowStartSharedUpTo is Settings.SlowStartSharedUpTo, in routers, where the settings do not say. In a
	// larger fleet each router sees so few requests that a budget shared with others would mostly go unused.
	defaultSlowStartSharedUpTo = 64
)

// slowStart is the state of a server that is warming up. It is kept for warm servers, too, and not read then.
type slowStart struct {
	startedAt  float64 // seconds, when the server is taken to have started; 0: long ago
	budget     float64 // attempts that this router may start there now
	refilledAt float64 // seconds, when the budget was last refilled
}

// restartSlowStart takes a server as started now. Its first budget is a random part of an attempt: a whole one from
// each of many routers would be too much.
func (b *Balancer) restartSlowStart(server *serverState) {
	server.slowStart = slowStart{startedAt: b.now, refilledAt: b.now, budget: b.random.Float64()}
}

// latestStart is the latest time, in seconds, at which a server may have started that the list says started at a
// time. The rule on servers that are warming up goes by the true start. 0 is long ago.
func (b *Balancer) latestStart(listed float64) float64 {
	if listed == 0 {
		return 0
	}
	return min(listed+b.settings.StartTimeError, max(listed, b.now))
}

// warmFraction is the part of its full capacity, from 0 to 1, that a server surely has: the settings state the
// slowest warm-up.
func (b *Balancer) warmFraction(server *serverState) float64 {
	duration := b.settings.WarmupDuration
	if server.slowStart.startedAt == 0 || duration <= 0 {
		return 1
	}
	age := b.now - server.slowStart.startedAt
	if age >= duration {
		return 1
	}
	start := min(max(b.settings.WarmupStartCapacity, 0), 1)
	return 1 - (1-start)*(1-max(0, age)/duration)
}

// hasSlowStartBudget refills the slow-start budget of a server up to now, and reports whether it holds an attempt. It
// guards the rule on servers that are warming up: within any OverloadWindow, all routers together send such a server
// no more than OverloadFactor times what it can do. Warm servers have no such bound, and the origin's have their own
// (origin.go).
func (b *Balancer) hasSlowStartBudget(server *serverState) bool {
	warm := b.warmFraction(server)
	if warm >= 1 || b.settings.OverloadWindow <= 0 || b.isOrigin(server) {
		return true
	}
	budget := &server.slowStart
	allowance := b.slowStartAllowance(server, warm)
	perWindow := max(allowance, b.settings.OverloadFactor/b.fleetSize) // unseen capacity: one attempt in the window
	refilled := budget.budget + perWindow*(b.now-budget.refilledAt)/b.settings.OverloadWindow
	// Each router keeps to its own part, and all together must not keep too much for a burst. So of many routers only
	// some keep a whole attempt unused: a budget that reaches the modulus is lost. Where each router may keep one,
	// the modulus is infinite.
	kept := math.Mod(refilled, 1/max(0, 1-b.slowStartKeptPart(allowance)))
	budget.budget = min(kept, max(1, perWindow/slowStartBurstPart))
	budget.refilledAt = b.now
	return budget.budget >= 1
}

// slowStartAllowance is how many attempts this router may send a server within the overload window. It is a safe part
// of what the rule allows a server of mean size, taking for its capacity what the servers are seen to complete. Where
// the list tells sizes it is in proportion to the server's.
func (b *Balancer) slowStartAllowance(server *serverState, warm float64) float64 {
	servers := max(1, float64(len(b.servers.ready)), b.completions.meanServers)
	allowed := b.settings.OverloadFactor * warm * b.settings.OverloadWindow * b.completionRate() / servers
	allowance := allowed / slowStartSafetyFactor
	if b.servers.meanSize > 0 && server.size > 0 {
		allowance *= ownSizeFactor * server.size / b.servers.meanSize
	}
	return allowance
}

// slowStartKeptPart is the part of the routers that may keep an attempt unused, 1 and more being all of them: a
// quarter of what they all may send, its deviation by chance (the root), and one router. In a fleet above
// SlowStartSharedUpTo each may.
func (b *Balancer) slowStartKeptPart(allowance float64) float64 {
	sharedUpTo := cmp.Or(b.settings.SlowStartSharedUpTo, defaultSlowStartSharedUpTo)
	beyond := max(0, b.fleetSize-sharedUpTo)
	return allowance/4 + math.Sqrt(allowance/b.fleetSize) + 1/b.fleetSize + beyond
}
