package balancer

import (
	"cmp"
	"math"
)

const (
	// slowStartSafetyFactor divides what the overload rule allows: a router has the number of the other
	// routers, but not what they send.
	slowStartSafetyFactor = 2
	// ownSizeFactor raises the allowance where the list states sizes, to three quarters of what the overload rule
	// allows a server of its size.
	ownSizeFactor = 1.5
	// slowStartBurstDivisor bounds the attempts that a budget may hold: the allowance of a window over this
	// divisor, but at least 1.
	slowStartBurstDivisor = 4
	// defaultSlowStartMaxSharingRouters is the default of Settings.SlowStartMaxSharingRouters. In a larger fleet
	// each router gets so few requests that a budget shared with others would mostly go unused.
	defaultSlowStartMaxSharingRouters = 64
)

// slowStart is the slow-start state of a server. It is kept for warm servers, too, but not used.
type slowStart struct {
	startedAt  float64 // seconds, when the server is taken to have started; 0: so long ago that it is warm
	budget     float64 // attempts that this router may start at the server now
	refilledAt float64 // seconds, when the budget was last refilled
}

// restartSlowStart treats a server as started now. Its first budget is a random fraction of an attempt: a whole
// attempt from each of many routers would exceed the overload rule.
func (b *Balancer) restartSlowStart(server *serverState) {
	server.slowStart = slowStart{startedAt: b.now, refilledAt: b.now, budget: b.random.Float64()}
}

// latestStartTime returns the latest time, in seconds, at which a server may have started, given its start time in
// the list. The overload rule applies from the true start. A listed time of 0 stays 0.
func (b *Balancer) latestStartTime(listed float64) float64 {
	if listed == 0 {
		return 0
	}
	return min(listed+b.settings.StartTimeError, max(listed, b.now))
}

// warmFraction returns the fraction of its full capacity, from 0 to 1, that a server has at least: the settings
// state the slowest warm-up.
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

// hasSlowStartBudget refills the slow-start budget of a server, and reports whether it holds an attempt. It
// enforces the overload rule for servers that are warming up: within any OverloadWindow, all routers together send
// such a server at most OverloadFactor times what it can do. Warm servers have no such limit, and the origin's
// servers have their own (origin.go).
func (b *Balancer) hasSlowStartBudget(server *serverState) bool {
	capacityFraction := b.warmFraction(server)
	if capacityFraction >= 1 || b.settings.OverloadWindow <= 0 || b.isOrigin(server) {
		return true
	}
	b.refillSlowStart(server, b.slowStartAllowance(server, capacityFraction))
	return server.slowStart.budget >= 1
}

// refillSlowStart adds to a server's slow-start budget what has accrued since the last refill, and bounds it: an
// unused budget is lost when it wraps (slowStartWrapBudget), and at most a fraction of a window's allowance is
// kept.
func (b *Balancer) refillSlowStart(server *serverState, allowance float64) {
	state := &server.slowStart
	// An unknown capacity counts as one attempt per window.
	attemptsPerWindow := max(allowance, b.settings.OverloadFactor/b.fleetSize)
	refilled := state.budget + attemptsPerWindow*(b.now-state.refilledAt)/b.settings.OverloadWindow
	wrapped := math.Mod(refilled, b.slowStartWrapBudget(allowance))
	state.budget = min(wrapped, max(1, attemptsPerWindow/slowStartBurstDivisor))
	state.refilledAt = b.now
}

// slowStartWrapBudget returns the budget, in attempts, at which an unused budget restarts at 0; +Inf if it never
// does.
//
// Each router keeps to its own allowance, but in a burst all of them spend their unused budgets at once. So of many
// routers only a fraction p (slowStartHoldingFraction) may hold a whole unused attempt. A budget that grows
// linearly and wraps at 1/(1-p) is 1 or more for a fraction p of the time, and the first budgets are random, so
// that the routers are not in step.
//
// Example: 10 routers, each with an allowance of half an attempt per window. Then p is 0.5/4 + sqrt(0.5/10) + 1/10
// = 0.449, and the budget wraps at 1/0.551 = 1.81 attempts: 4 or 5 of the routers hold one. With an allowance of
// two attempts, p is above 1 and the budget never wraps: each router may hold one.
//
// The budget wraps only by what accrues between two refills: a refill cuts a budget that holds an attempt to the
// bound in refillSlowStart, usually 1, and the budget accrues from there.
func (b *Balancer) slowStartWrapBudget(allowance float64) float64 {
	return 1 / max(0, 1-b.slowStartHoldingFraction(allowance))
}

// slowStartAllowance returns the number of attempts that this router may send a server within the overload window.
// It is a safe fraction of what the overload rule allows a server of mean size, whose capacity is estimated from
// the attempts that servers complete. Where the list states sizes, the allowance is in proportion to the server's
// size.
func (b *Balancer) slowStartAllowance(server *serverState, capacityFraction float64) float64 {
	servers := max(1, float64(len(b.servers.ready)), b.completions.meanServers)
	allowed := b.settings.OverloadFactor * capacityFraction * b.settings.OverloadWindow * b.completionRate() / servers
	allowance := allowed / slowStartSafetyFactor
	if b.servers.meanSize > 0 && server.size > 0 {
		allowance *= ownSizeFactor * server.size / b.servers.meanSize
	}
	return allowance
}

// slowStartHoldingFraction returns the fraction of the routers that may hold an unused attempt; 1 or more means all
// of them. In routers, it is a quarter of the attempts that all may send in a window, plus the standard deviation
// of that number (its square root), plus one. In a fleet larger than SlowStartMaxSharingRouters each router may hold
// one. allowance is that of one router.
func (b *Balancer) slowStartHoldingFraction(allowance float64) float64 {
	maxSharingRouters := cmp.Or(b.settings.SlowStartMaxSharingRouters, defaultSlowStartMaxSharingRouters)
	excessRouters := max(0, b.fleetSize-maxSharingRouters)
	return allowance/4 + math.Sqrt(allowance/b.fleetSize) + 1/b.fleetSize + excessRouters
}
