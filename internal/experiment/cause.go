package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bendtrestle/internal/emulator"
)

// cause plays one fault: it waits for its time, begins it, waits for its length and ends it. When the run is over what
// is on is ended early.
func (w *world) cause(i int, f Fault, halt chan struct{}) {
	chance := rand.New(rand.NewPCG(w.o.Seed, uint64(1000+i)))
	if !w.until(f.At, halt) {
		return
	}
	where := kinds[f.Kind].on
	t, err := target{}, error(nil)
	if where == "part" {
		w.causePart(f, halt)
		return
	}
	if where != "none" && where != "ledger" {
		if t, err = w.s.target(where, f.Target, f.Pool); err != nil {
			w.fail(err)
			return
		}
	}
	switch where {
	case "router":
		w.causeAtRouters(f, w.many(t, chance, len(w.nodes)), halt)
	case "list":
		w.causeAtLists(f, w.many(t, chance, len(w.nodes)), halt)
	case "team":
		w.causeAtTeam(f, t.name, halt)
	default:
		switch f.Kind {
		case "deploy", "shrink", "grow", "drain":
			w.causeChange(f, t, chance, halt)
		default:
			w.causeSimple(f, t, chance, halt)
		}
	}
}

// until waits for a time of the run; false if it ended before.
func (w *world) until(at float64, halt chan struct{}) bool {
	select {
	case <-halt:
		return false
	case <-time.After(time.Duration((w.began + at - w.clientOn.Now()) * float64(time.Second))):
		return true
	}
}

// many gives the numbers of what a target hits among so many.
func (w *world) many(t target, chance *rand.Rand, all int) []int {
	if t.number >= 0 {
		return []int{t.number}
	}
	return draw(chance, all, t.count)
}

// servers gives the cache servers that a target hits, of those in service; one named by number is hit in any case.
func (w *world) servers(fleet *emulator.Fleet, t target, chance *rand.Rand) (hit []*emulator.Server) {
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
	in := fleet.Serving()
	for _, i := range draw(chance, len(in), t.count) {
		hit = append(hit, in[i])
	}
	return hit
}

func names(servers []*emulator.Server) string {
	var all []string
	for _, s := range servers {
		all = append(all, s.Name)
	}
	return strings.Join(all, " ")
}

// causeSimple plays what begins at once, lasts, and ends at once.
func (w *world) causeSimple(f Fault, t target, chance *rand.Rand, halt chan struct{}) {
	var ends []func() error
	plain := func(end func()) { ends = append(ends, func() error { end(); return nil }) }
	reading := strings.HasPrefix(f.Kind, "read-")
	about, length := "", f.For
	var fleet *emulator.Fleet // clients alone have none, nor faults that need one
	if len(w.fleets) > 0 {
		fleet = w.fleets[w.at(f.Pool)]
	}
	kind, tenant := t.name, ""
	if t.what == "tenant" {
		kind, tenant = "", t.name
	}
	begin := func() {
		switch f.Kind {
		case "hot-key":
			key := fmt.Sprintf("hot-%.2f", f.At)
			plain(w.clients.Heat(key, f.Part))
			about = fmt.Sprintf("%s for %v of the arrivals", key, f.Part)
		case "surge":
			plain(w.clients.Surge(kind, tenant, f.Factor))
			about = fmt.Sprintf("%s %v times", f.Target, f.Factor)
		case "read-slow", "read-pause", "read-leave":
			plain(w.clients.Read(emulator.Reading{Part: f.Part, Rate: f.Rate, Pause: f.Delay, Leave: f.Kind == "read-leave"}))
			about = fmt.Sprintf("%v of the reads", f.Part)
		case "dear":
			for _, t := range w.types {
				if t.Name == kind || t.Tenant == tenant && tenant != "" || kind == "" && tenant == "" {
					before := t.Work
					t.Work *= f.Factor
					plain(func() { t.Work = before })
				}
			}
			about = fmt.Sprintf("%s work %v times", f.Target, f.Factor)
		case "ledger-stall":
			plain(fleet.Ledger().Stall())
		case "ledger-slow":
			plain(fleet.Ledger().Slow(f.Factor))
		default:
			hit := w.servers(fleet, t, chance)
			about = names(hit)
			for _, s := range hit {
				switch f.Kind {
				case "stall":
					plain(s.Stall())
				case "slow":
					plain(s.Slow(f.Factor))
				case "crash":
					ends = append(ends, s.Crash())
				case "restart":
					length = max(f.For, 0.2) // a process takes that to start
					ends = append(ends, s.Crash())
				case "vanish":
					end, err := s.Vanish()
					w.fail(err)
					ends = append(ends, end)
				case "refuse":
					ends = append(ends, s.Refuse())
				case "reset":
					plain(s.Reset(f.Part))
				case "spoil":
					plain(s.Spoil(f.Part))
				case "error":
					plain(s.Fail(f.Part))
				case "close-behind":
					plain(s.CloseBehind(f.Part))
				case "reset-behind":
					plain(s.ResetBehind(f.Part))
				case "break-off":
					plain(s.BreakOff(f.Part))
				case "reset-under":
					plain(s.ResetUnder(f.Part))
				case "cease":
					plain(s.Cease(f.Part))
				}
			}
		}
	}
	loop := w.fleetOn
	if f.Kind == "hot-key" || f.Kind == "surge" || reading {
		loop = w.clientOn
	}
	on(loop, begin)
	w.note("%s %s begins", f.Kind, about)
	w.until(f.At+length, halt)
	on(loop, func() {
		for _, end := range ends {
			w.fail(end())
		}
	})
	w.note("%s %s ends", f.Kind, about)
}

// drained is how long a cache server drains before it goes, where the fault does not say: the list's usual delay, the
// grace and the longest hard stop are over by then.
func (w *world) drained(f Fault) float64 {
	if f.Drain > 0 {
		return f.Drain
	}
	return w.s.List.Delay + w.s.List.Spread + w.s.Rules.GraceMS/1e3 + w.longestStop()
}

// causeChange plays what changes the fleet. Each server's turn comes at its own time within the fault's length.
func (w *world) causeChange(f Fault, t target, chance *rand.Rand, halt chan struct{}) {
	var hit []*emulator.Server
	turns, pool := f.Count, w.at(f.Pool)
	if f.Kind != "grow" {
		on(w.fleetOn, func() { hit = w.servers(w.fleets[pool], t, chance) })
		turns = len(hit)
	}
	for i := range turns {
		if !w.until(f.At+f.For*float64(i)/float64(turns), halt) {
			return
		}
		if f.Kind == "grow" || f.Kind == "deploy" {
			on(w.fleetOn, func() {
				s, err := w.fleets[pool].Add(w.spec(pool), true)
				if w.fail(err); err == nil {
					w.note("%s: %s comes, cold", f.Kind, s.Name)
				}
			})
		}
		if f.Kind == "grow" {
			continue
		}
		s := hit[i]
		on(w.fleetOn, s.Drain)
		w.note("%s: %s drains", f.Kind, s.Name)
		if f.Kind == "drain" {
			continue
		}
		on(w.fleetOn, func() { w.fleetOn.After(w.drained(f), s.Leave) })
	}
	if f.Kind == "drain" {
		w.until(f.At+f.For, halt)
		for _, s := range hit {
			on(w.fleetOn, s.Undrain)
			w.note("drain: %s is taken back", s.Name)
		}
	}
}

// causeAtLists plays trouble with the list service.
func (w *world) causeAtLists(f Fault, hit []int, halt chan struct{}) {
	var ends []func() error
	plain := func(end func()) { ends = append(ends, func() error { end(); return nil }) }
	pool := w.at(f.Pool)
	for _, n := range hit {
		switch a := w.agents[pool][n]; f.Kind {
		case "list-late":
			plain(a.Delay(f.Delay))
		case "list-lag":
			plain(a.Freeze())
		case "list-silent":
			plain(a.Silence())
		case "list-refuse":
			ends = append(ends, a.Refuse())
		case "list-old":
			plain(a.Older(f.Count))
		case "list-move":
			w.mu.Lock()
			w.moves++
			addr := w.address(agentsAt, n, 8500+1000*pool+w.moves)
			w.mu.Unlock()
			if err := a.Move(addr); err != nil {
				w.fail(err)
				return
			}
			w.fail(w.nodes[n].reload(func() {
				if pool == 0 {
					w.nodes[n].conf["discovery"] = addr
				}
				w.nodes[n].operators = w.operators(n)
			}))
		}
	}
	w.note("%s of routers %v begins", f.Kind, hit)
	if f.Kind == "list-move" {
		return
	}
	w.until(f.At+f.For, halt)
	for _, end := range ends {
		w.fail(end())
	}
	w.note("%s of routers %v ends", f.Kind, hit)
}

// causeAtTeam changes a team's budget at all routers while its traffic flows, and back.
func (w *world) causeAtTeam(f Fault, team string, halt chan struct{}) {
	set := func(factor float64) {
		w.mu.Lock()
		w.factors[team] = factor
		w.mu.Unlock()
		for n, r := range w.nodes {
			w.fail(r.reload(func() { r.operators = w.operators(n) }))
		}
		w.note("contract: team %s has %v times its budget", team, factor)
	}
	set(f.Factor)
	w.until(f.At+f.For, halt)
	set(1)
}

// causeAtRouters kills routers and starts them again after the fault's length, or restarts them as planned.
func (w *world) causeAtRouters(f Fault, hit []int, halt chan struct{}) {
	if strings.HasPrefix(f.Kind, "state-") {
		w.causeAtState(f, hit, halt)
		return
	}
	if f.Kind == "router-stop" {
		w.causeStop(f, hit, halt)
		return
	}
	for i, n := range hit {
		r := w.nodes[n]
		switch f.Kind {
		case "router-kill":
			r.kill()
			w.note("router %d is killed", n)
		case "router-restart": // one after another, within the fault's length
			if !w.until(f.At+f.For*float64(i)/float64(len(hit)), halt) {
				return
			}
			w.note("router %d is told to end", n)
			r.stop(w.patience())
			if !w.again(n) {
				return
			}
		}
	}
	if f.Kind == "router-kill" {
		w.until(f.At+f.For, halt)
		for _, n := range hit { // all at once, as a release that went wrong
			if !w.begun(n) {
				return
			}
		}
		for _, n := range hit {
			if !w.awaited(n) {
				return
			}
		}
	}
}

func (w *world) again(n int) bool { return w.begun(n) && w.awaited(n) }

// begun starts a router anew: with nothing but the list as it last had it.
func (w *world) begun(n int) bool {
	r := w.nodes[n]
	r.mu.Lock()
	if !w.s.List.Forgets {
		r.conf["known"] = w.agents[0][n].Known()
	}
	r.mu.Unlock()
	if err := r.start(); err != nil {
		w.fail(err)
		return false
	}
	w.note("router %d starts again", n)
	return true
}

// awaited waits until it serves.
func (w *world) awaited(n int) bool {
	if err := w.nodes[n].ready(starting); err != nil {
		w.fail(err)
		return false
	}
	return true
}
