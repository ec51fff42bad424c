package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bendtrestle/internal/emulator"
)

// playFault plays one fault: it waits for the fault's start time, begins the fault, waits for its duration and ends it.
// When halt is closed, the fault ends early.
func (w *runState) playFault(i int, f Fault, halt chan struct{}) {
	chance := rand.New(rand.NewPCG(w.options.Seed, uint64(1000+i)))
	if !w.waitUntil(f.At, halt) {
		return
	}
	where := faultKinds[f.Kind].targets
	t, err := target{}, error(nil)
	if where == "part" {
		w.playPartition(f, halt)
		return
	}
	if where != "none" && where != "ledger" {
		if t, err = w.scenario.parseTarget(where, f.Target, f.Pool); err != nil {
			w.fail(err)
			return
		}
	}
	switch where {
	case "router":
		w.playRouterFault(f, w.routerNumbers(t, chance, len(w.routerNodes)), halt)
	case "list":
		w.playListFault(f, w.routerNumbers(t, chance, len(w.routerNodes)), halt)
	case "team":
		w.playBudgetChange(f, t.name, halt)
	default:
		switch f.Kind {
		case "deploy", "shrink", "grow", "drain":
			w.playFleetChange(f, t, chance, halt)
		default:
			w.playTimedFault(f, t, chance, halt)
		}
	}
}

// waitUntil waits for a time of the run, in seconds since its start. It returns false if halt is closed before.
func (w *runState) waitUntil(at float64, halt chan struct{}) bool {
	select {
	case <-halt:
		return false
	case <-time.After(time.Duration((w.startTime + at - w.clientLoop.Now()) * float64(time.Second))):
		return true
	}
}

// routerNumbers returns the numbers of the routers that a target selects out of all.
func (w *runState) routerNumbers(t target, chance *rand.Rand, all int) []int {
	if t.number >= 0 {
		return []int{t.number}
	}
	return randomIndices(chance, all, t.count)
}

// servers returns the cache servers that a target selects. A server named by its number and the servers of zones are
// selected in any state, all others only if they are in service.
func (w *runState) servers(fleet *emulator.Fleet, t target, chance *rand.Rand) (hit []*emulator.Server) {
	if t.number >= 0 {
		return []*emulator.Server{fleet.Servers()[t.number]}
	}
	if t.zones != nil {
		for _, s := range fleet.Servers() {
			if slices.Contains(t.zones, s.Zone) {
				hit = append(hit, s)
			}
		}
		return hit
	}
	in := fleet.Ready()
	for _, i := range randomIndices(chance, len(in), t.count) {
		hit = append(hit, in[i])
	}
	return hit
}

func serverNames(servers []*emulator.Server) string {
	var all []string
	for _, s := range servers {
		all = append(all, s.Name)
	}
	return strings.Join(all, " ")
}

// playTimedFault plays a fault that starts and ends for all its targets at the same time.
func (w *runState) playTimedFault(f Fault, t target, chance *rand.Rand, halt chan struct{}) {
	var ends []func() error
	addEnd := func(end func()) { ends = append(ends, func() error { end(); return nil }) }
	reading := strings.HasPrefix(f.Kind, "read-")
	about, length := "", f.For
	var fleet *emulator.Fleet // nil in a load run, which has no faults of servers
	if len(w.fleets) > 0 {
		fleet = w.fleets[w.poolIndex(f.Pool)]
	}
	kind, tenant := t.name, ""
	if t.what == "tenant" {
		kind, tenant = "", t.name
	}
	begin := func() {
		switch f.Kind {
		case "hot-key":
			key := fmt.Sprintf("hot-%.2f", f.At)
			addEnd(w.clients.AddHotKey(key, f.Part))
			about = fmt.Sprintf("%s for %v of the arrivals", key, f.Part)
		case "surge":
			addEnd(w.clients.Surge(kind, tenant, f.Factor))
			about = fmt.Sprintf("%s %v times", f.Target, f.Factor)
		case "read-slow", "read-pause", "read-leave":
			addEnd(w.clients.SetReadBehavior(emulator.ReadBehavior{Fraction: f.Part, Rate: f.Rate, Pause: f.Delay, Leave: f.Kind == "read-leave"}))
			about = fmt.Sprintf("%v of the reads", f.Part)
		case "dear":
			for _, t := range w.types {
				if t.Name == kind || t.Tenant == tenant && tenant != "" || kind == "" && tenant == "" {
					before := t.Work
					t.Work *= f.Factor
					addEnd(func() { t.Work = before })
				}
			}
			about = fmt.Sprintf("%s work %v times", f.Target, f.Factor)
		case "ledger-stall":
			addEnd(fleet.Origin().Stall())
		case "ledger-slow":
			addEnd(fleet.Origin().Slow(f.Factor))
		default:
			hit := w.servers(fleet, t, chance)
			about = serverNames(hit)
			for _, s := range hit {
				switch f.Kind {
				case "stall":
					addEnd(s.Stall())
				case "slow":
					addEnd(s.Slow(f.Factor))
				case "crash":
					ends = append(ends, s.Crash())
				case "restart":
					length = max(f.For, 0.2) // seconds that a process takes to start
					ends = append(ends, s.Crash())
				case "vanish":
					end, err := s.MakeUnreachable()
					w.fail(err)
					ends = append(ends, end)
				case "refuse":
					ends = append(ends, s.Refuse())
				case "reset":
					addEnd(s.Reset(f.Part))
				case "spoil":
					addEnd(s.Corrupt(f.Part))
				case "error":
					addEnd(s.Fail(f.Part))
				case "close-behind":
					addEnd(s.CloseAfterValue(f.Part))
				case "reset-behind":
					addEnd(s.ResetAfterValue(f.Part))
				case "break-off":
					addEnd(s.CloseWithinValue(f.Part))
				case "reset-under":
					addEnd(s.ResetWithinValue(f.Part))
				case "cease":
					addEnd(s.StallWithinValue(f.Part))
				}
			}
		}
	}
	loop := w.fleetLoop
	if f.Kind == "hot-key" || f.Kind == "surge" || reading {
		loop = w.clientLoop
	}
	runOnLoop(loop, begin)
	w.recordEvent("%s %s begins", f.Kind, about)
	w.waitUntil(f.At+length, halt)
	runOnLoop(loop, func() {
		for _, end := range ends {
			w.fail(end())
		}
	})
	w.recordEvent("%s %s ends", f.Kind, about)
}

// drainSeconds returns how many seconds a cache server drains before it is removed. Unless the fault sets it, it is the
// sum of the list's longest usual delay, the drain grace and the longest hard stop.
func (w *runState) drainSeconds(f Fault) float64 {
	if f.Drain > 0 {
		return f.Drain
	}
	return w.scenario.List.Delay + w.scenario.List.Spread + w.scenario.Rules.GraceMS/1e3 + w.longestStop()
}

// playFleetChange plays a fault that adds, drains or removes cache servers. The changes are spread evenly over the
// fault's duration.
func (w *runState) playFleetChange(f Fault, t target, chance *rand.Rand, halt chan struct{}) {
	var hit []*emulator.Server
	turns, pool := f.Count, w.poolIndex(f.Pool)
	if f.Kind != "grow" {
		runOnLoop(w.fleetLoop, func() { hit = w.servers(w.fleets[pool], t, chance) })
		turns = len(hit)
	}
	for i := range turns {
		if !w.waitUntil(f.At+f.For*float64(i)/float64(turns), halt) {
			return
		}
		if f.Kind == "grow" || f.Kind == "deploy" {
			runOnLoop(w.fleetLoop, func() {
				s, err := w.fleets[pool].Add(w.spec(pool), true)
				if w.fail(err); err == nil {
					w.recordEvent("%s: %s is added, cold", f.Kind, s.Name)
				}
			})
		}
		if f.Kind == "grow" {
			continue
		}
		s := hit[i]
		runOnLoop(w.fleetLoop, s.Drain)
		w.recordEvent("%s: %s drains", f.Kind, s.Name)
		if f.Kind == "drain" {
			continue
		}
		runOnLoop(w.fleetLoop, func() { w.fleetLoop.After(w.drainSeconds(f), s.Leave) })
	}
	if f.Kind == "drain" {
		w.waitUntil(f.At+f.For, halt)
		for _, s := range hit {
			runOnLoop(w.fleetLoop, s.Undrain)
			w.recordEvent("drain: %s is ready again", s.Name)
		}
	}
}

// playListFault plays a fault of the list service.
func (w *runState) playListFault(f Fault, hit []int, halt chan struct{}) {
	var ends []func() error
	addEnd := func(end func()) { ends = append(ends, func() error { end(); return nil }) }
	pool := w.poolIndex(f.Pool)
	for _, n := range hit {
		switch a := w.agents[pool][n]; f.Kind {
		case "list-late":
			addEnd(a.Delay(f.Delay))
		case "list-lag":
			addEnd(a.Freeze())
		case "list-silent":
			addEnd(a.Silence())
		case "list-refuse":
			ends = append(ends, a.Refuse())
		case "list-old":
			addEnd(a.ServeOlder(f.Count))
		case "list-move":
			w.mu.Lock()
			w.listMoves++
			addr := w.address(agentAddrByte, n, 8500+1000*pool+w.listMoves)
			w.mu.Unlock()
			if err := a.Move(addr); err != nil {
				w.fail(err)
				return
			}
			w.fail(w.routerNodes[n].reload(func() {
				if pool == 0 {
					w.routerNodes[n].config["discovery"] = addr
				}
				w.routerNodes[n].operators = w.operators(n)
			}))
		}
	}
	w.recordEvent("%s of routers %v begins", f.Kind, hit)
	if f.Kind == "list-move" {
		return
	}
	w.waitUntil(f.At+f.For, halt)
	for _, end := range ends {
		w.fail(end())
	}
	w.recordEvent("%s of routers %v ends", f.Kind, hit)
}

// playBudgetChange multiplies a team's budget by the fault's factor at all routers while they serve its traffic, and
// then restores it.
func (w *runState) playBudgetChange(f Fault, team string, halt chan struct{}) {
	set := func(factor float64) {
		w.mu.Lock()
		w.budgetFactors[team] = factor
		w.mu.Unlock()
		for n, r := range w.routerNodes {
			w.fail(r.reload(func() { r.operators = w.operators(n) }))
		}
		w.recordEvent("contract: team %s has %v times its budget", team, factor)
	}
	set(f.Factor)
	w.waitUntil(f.At+f.For, halt)
	set(1)
}

// playRouterFault kills routers and starts them again after the fault's duration, or restarts them gracefully.
func (w *runState) playRouterFault(f Fault, hit []int, halt chan struct{}) {
	if strings.HasPrefix(f.Kind, "state-") {
		w.playStateFault(f, hit, halt)
		return
	}
	if f.Kind == "router-stop" {
		w.playRouterStop(f, hit, halt)
		return
	}
	for i, n := range hit {
		r := w.routerNodes[n]
		switch f.Kind {
		case "router-kill":
			r.kill()
			w.recordEvent("router %d is killed", n)
		case "router-restart": // one after another, within the fault's duration
			if !w.waitUntil(f.At+f.For*float64(i)/float64(len(hit)), halt) {
				return
			}
			w.recordEvent("router %d gets SIGTERM", n)
			r.stop(w.shutdownSeconds())
			if !w.restartRouter(n) {
				return
			}
		}
	}
	if f.Kind == "router-kill" {
		w.waitUntil(f.At+f.For, halt)
		for _, n := range hit { // all at the same time, as after a failed release
			if !w.startRouter(n) {
				return
			}
		}
		for _, n := range hit {
			if !w.awaitReady(n) {
				return
			}
		}
	}
}

func (w *runState) restartRouter(n int) bool { return w.startRouter(n) && w.awaitReady(n) }

// startRouter starts a new process of a router. Its configuration contains the endpoint list that its last process had,
// unless list.forgets is set.
func (w *runState) startRouter(n int) bool {
	r := w.routerNodes[n]
	r.mu.Lock()
	if !w.scenario.List.Forgets {
		r.config["known"] = w.agents[0][n].LastList()
	}
	r.mu.Unlock()
	if err := r.start(); err != nil {
		w.fail(err)
		return false
	}
	w.recordEvent("router %d starts again", n)
	return true
}

// awaitReady waits until the router serves requests.
func (w *runState) awaitReady(n int) bool {
	if err := w.routerNodes[n].ready(startTimeout); err != nil {
		w.fail(err)
		return false
	}
	return true
}
