package balancer

import (
	"cmp"
	"math"
)

const (
	// slowStartSafetyFactor divides what the rule allows a server that is warming up: the other routers' part
	// is known only by their number.
	slowStartSafetyFactor = 2
	// ownSizeFactor raises that allowance where sizes are told: to three quarters of what the rule allows a
	// server of its size.
	ownSizeFactor = 1.5
	// defaultSlowStartSharedUpTo is Settings.SlowStartSharedUpTo where the settings do not say. Beyond so many
	// routers each sees so few requests that budgets kept for later would go unused.
	defaultSlowStartSharedUpTo = 64
)

// slowStart is the state of a server that is warming up.
type slowStart struct {
	startedAt  float64 // seconds, when it is taken to have started; 0: long ago
	budget     float64 // attempts that this router may start there now
	refilledAt float64 // seconds, when the budget was last refilled
}

// restartSlowStart begins a new slow start. A first budget of a whole attempt for each of many routers would be
// too much together: it is a random part of one.
func (b *Balancer) restartSlowStart(server *serverState) {
	server.slowStart = slowStart{startedAt: b.now, refilledAt: b.now, budget: b.random.Float64()}
}

// latestStart is the latest time at which a server may have started by the start time that the list tells, in
// seconds; 0 is long ago.
func (b *Balancer) latestStart(listed float64) float64 {
	if listed == 0 {
		return 0
	}
	return min(listed+b.settings.StartTimeError, max(listed, b.now))
}

// warmFraction is the part of its full capacity, from 0 to 1, that a server has at least: the settings tell the
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

// hasSlowStartBudget refills the slow-start budget of a server to the current time and tells whether it allows
// an attempt. It guards the rule on servers that are warming up: all routers together send one no more than
// Settings.OverloadFactor times what it can do within Settings.OverloadWindow. Servers that are warm, and the
// origin's, have no such bound.
func (b *Balancer) hasSlowStartBudget(server *serverState) bool {
	warm := b.warmFraction(server)
	if warm >= 1 || b.settings.OverloadWindow <= 0 || b.isOrigin(server) {
		return true
	}
	budget := &server.slowStart
	allowance := b.slowStartAllowance(server, warm)
	perWindow := max(allowance, b.settings.OverloadFactor/b.fleetSize) // unseen capacity: one attempt in the window
	refilled := budget.budget + perWindow*(b.now-budget.refilledAt)/b.settings.OverloadWindow
	// Each router keeps to its part. Of many, some keep no attempt for later: what is beyond this bound is
	// lost, all of it where the bound is 1 (the modulus is then infinite).
	kept := math.Mod(refilled, 1/max(0, 1-b.slowStartKeptPart(allowance)))
	budget.budget = min(kept, max(1, perWindow/4))
	budget.refilledAt = b.now
	return budget.budget >= 1
}

// slowStartAllowance is how many attempts this router may send a server within the overload window: a safe part
// of what the rule allows a server of the mean size, which can do at least what servers complete. Where sizes
// are told it is in proportion to the server's.
func (b *Balancer) slowStartAllowance(server *serverState, warm float64) float64 {
	servers := max(1, float64(len(b.servers.ready)), b.completions.meanServers)
	allowed := b.settings.OverloadFactor * warm * b.settings.OverloadWindow * b.completionRate() / servers
	allowance := allowed / slowStartSafetyFactor
	if b.servers.meanSize > 0 && server.size > 0 {
		allowance *= ownSizeFactor * server.size / b.servers.meanSize
	}
	return allowance
}

// slowStartKeptPart is the part of the routers, from 0 to 1 and more, that may keep an attempt for later: what
// chance adds to the allowances of all (its root) and a quarter of these. Beyond so many routers as the
// settings say, each may.
func (b *Balancer) slowStartKeptPart(allowance float64) float64 {
	sharedUpTo := cmp.Or(b.settings.SlowStartSharedUpTo, defaultSlowStartSharedUpTo)
	beyond := max(0, b.fleetSize-sharedUpTo)
	return allowance/4 + math.Sqrt(allowance/b.fleetSize) + 1/b.fleetSize + beyond
}
