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
	// slowStartBurstDivisor bounds the attempts that a budget may hold: the allowance of a window over this.
	slowStartBurstDivisor = 4
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

// latestStartTime is the latest time, in seconds, at which a server may have started that the list says started at a
// time. The rule on servers that are warming up goes by the true start. 0 is long ago.
func (b *Balancer) latestStartTime(listed float64) float64 {
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
	startCapacity := min(max(b.settings.WarmupStartCapacity, 0), 1)
	return 1 - (1-startCapacity)*(1-max(0, age)/duration)
}

// hasSlowStartBudget refills the slow-start budget of a server up to now, and reports whether it holds an attempt. It
// guards the rule on servers that are warming up: within any OverloadWindow, all routers together send such a server
// no more than OverloadFactor times what it can do. Warm servers have no such bound, and the origin's have their own
// (origin.go).
func (b *Balancer) hasSlowStartBudget(server *serverState) bool {
	capacityFraction := b.warmFraction(server)
	if capacityFraction >= 1 || b.settings.OverloadWindow <= 0 || b.isOrigin(server) {
		return true
	}
	b.refillSlowStart(server, b.slowStartAllowance(server, capacityFraction))
	return server.slowStart.budget >= 1
}

// refillSlowStart adds to a server's slow-start budget what has accrued since it was last refilled, and bounds it:
// what accrued unused is lost at the wrap (slowStartWrap), and no more than a part of a window's allowance is kept.
func (b *Balancer) refillSlowStart(server *serverState, allowance float64) {
	state := &server.slowStart
	attemptsPerWindow := max(allowance, b.settings.OverloadFactor/b.fleetSize) // unseen capacity: one attempt in the window
	refilled := state.budget + attemptsPerWindow*(b.now-state.refilledAt)/b.settings.OverloadWindow
	wrapped := math.Mod(refilled, b.slowStartWrapBudget(allowance))
	state.budget = min(wrapped, max(1, attemptsPerWindow/slowStartBurstDivisor))
	state.refilledAt = b.now
}

// slowStartWrapBudget is the budget, in attempts, at which an unused budget starts at 0 again; +Inf: it never does.
//
// Each router keeps to its own allowance, but in a burst all of them spend what they have kept at once. So of many
// routers only a part p (slowStartKeptPart) is to hold a whole attempt unused. A budget that grows evenly and wraps at
// 1/(1-p) is 1 or more for a part p of the time, and the first budgets are random, so that the routers are not in step.
//
// Example: 10 routers, each with an allowance of half an attempt in the window. Then p is 0.5/4 + sqrt(0.5/10) + 1/10
// = 0.449, and the budget wraps at 1/0.551 = 1.81 attempts: 4 or 5 of the routers hold one. With an allowance of two
// attempts, p is above 1 and the budget never wraps: each router may hold one.
//
// The budget wraps only by what accrues between two refills: one that was refilled while it held an attempt is cut to
// the bound in refillSlowStart, mostly 1, and accrues from there.
func (b *Balancer) slowStartWrapBudget(allowance float64) float64 {
	return 1 / max(0, 1-b.slowStartHoldingFraction(allowance))
}

// slowStartAllowance is how many attempts this router may send a server within the overload window. It is a safe part
// of what the rule allows a server of mean size, taking for its capacity what the servers are seen to complete. Where
// the list tells sizes it is in proportion to the server's.
func (b *Balancer) slowStartAllowance(server *serverState, capacityFraction float64) float64 {
	servers := max(1, float64(len(b.servers.ready)), b.completions.meanServers)
	allowed := b.settings.OverloadFactor * capacityFraction * b.settings.OverloadWindow * b.completionRate() / servers
	allowance := allowed / slowStartSafetyFactor
	if b.servers.meanSize > 0 && server.size > 0 {
		allowance *= ownSizeFactor * server.size / b.servers.meanSize
	}
	return allowance
}

// slowStartHoldingFraction is the part of the routers that may keep an attempt unused, 1 and more being all of them. In
// routers it is a quarter of the attempts that all may send in a window, the standard deviation of that number (its
// root), and one more. In a fleet above SlowStartSharedUpTo each may. allowance is that of one router.
func (b *Balancer) slowStartHoldingFraction(allowance float64) float64 {
	sharedUpTo := cmp.Or(b.settings.SlowStartSharedUpTo, defaultSlowStartSharedUpTo)
	excessRouters := max(0, b.fleetSize-sharedUpTo)
	return allowance/4 + math.Sqrt(allowance/b.fleetSize) + 1/b.fleetSize + excessRouters
}
