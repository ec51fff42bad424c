package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bendtrestle/internal/emulator"
	"bendtrestle/internal/experiment/faultproxy"
)

// zoneName names the n-th zone; servers and routers are in them in turn.
func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

func (s *Scenario) zoneNames() (all []string) {
	for z := range s.Fleet.Zones {
		all = append(all, zoneName(z))
	}
	return all
}

// routerZone is the zone that a router stands in.
func (s *Scenario) routerZone(n int) string { return zoneName(n % max(1, s.Fleet.Zones)) }

// zonesOf gives the zones of zone:N or region:NAME.
func (s *Scenario) zonesOf(what, of string) ([]string, error) {
	if what == "zone" {
		n, err := strconv.Atoi(of)
		if err != nil || n < 0 || n >= s.Fleet.Zones {
			return nil, fmt.Errorf("%q is not a number of a zone from 0 to %d", of, s.Fleet.Zones-1)
		}
		return []string{zoneName(n)}, nil
	}
	for _, r := range s.Regions {
		if r.Name == of {
			return r.Zones, nil
		}
	}
	return nil, fmt.Errorf("there is no region %q", of)
}

func (s *Scenario) checkRegions(zones []string) {
	in := map[string]bool{}
	for i, r := range s.Regions {
		key := func(k string) string { return fmt.Sprintf("region.%d.%s", i, k) }
		if r.Name == "" || len(r.Zones) == 0 {
			s.file.Fault(key("zones"), "a region has a name and one zone or more")
		}
		for _, z := range r.Zones {
			if !slices.Contains(zones, z) || in[z] {
				s.file.Fault(key("zones"), "%q is in a region already, or none of %s", z, strings.Join(zones, ", "))
			}
			in[z] = true
		}
	}
}

// relayed tells whether relays are to stand between processes.
func (s *Scenario) relayed() bool {
	return s.Routers.Relays || slices.ContainsFunc(s.Faults, func(f Fault) bool { return faultKinds[f.Kind].targets == "part" })
}

// whats are what a part may be of.
var partitionTraffic = []string{"servers", "words", "list"}

func (s *Scenario) checkPart(key string, f Fault) {
	if _, err := s.group(f.Target, nil); err != nil {
		s.file.Fault(key+".target", "%v", err)
	}
	if f.From != "" && f.From != "rest" {
		if _, err := s.group(f.From, nil); err != nil {
			s.file.Fault(key+".from", "%v", err)
		}
	}
	for _, w := range f.What {
		if !slices.Contains(partitionTraffic, w) {
			s.file.Fault(key+".what", "%q is none of %s", w, strings.Join(partitionTraffic, ", "))
		}
	}
	if f.Pool != "" {
		s.file.Fault(key+".pool", "%s has none", f.Kind)
	}
	if strings.HasPrefix(f.Kind, "words-") && !s.Routers.Peers {
		s.file.Fault(key+".kind", "%s needs routers.peers", f.Kind)
	}
}

// group reads who is meant: router:N, routers:COUNT, routers:PART%, routers, server:N, servers, lists, zone:N, region:NAME. The first
// so many routers are meant where a count is, so that a run is the same each time.
func (s *Scenario) group(text string, servers func() []*emulator.Server) (func(faultproxy.End) bool, error) {
	what, of, _ := strings.Cut(text, ":")
	none := func(faultproxy.End) bool { return false }
	switch what {
	case "zone", "region":
		zones, err := s.zonesOf(what, of)
		if err != nil {
			return none, fmt.Errorf("%q: %w", text, err)
		}
		return func(e faultproxy.End) bool {
			return e.Kind == faultproxy.Server && slices.Contains(zones, e.Zone) || e.Kind == faultproxy.Router && slices.Contains(zones, s.routerZone(e.N))
		}, nil
	case "router", "routers":
		t, err := s.target("router", text, "")
		if err != nil {
			return none, err
		}
		return func(e faultproxy.End) bool {
			return e.Kind == faultproxy.Router && (t.number >= 0 && e.N == t.number || t.number < 0 && e.N < t.count)
		}, nil
	case "server", "servers":
		t, err := s.target("server", text, "")
		if err != nil {
			return none, err
		}
		if t.number < 0 && text != "servers" {
			return none, fmt.Errorf("%q: of servers, a part is from one, from a zone, from a region or from all", text)
		}
		return func(e faultproxy.End) bool {
			return e.Kind == faultproxy.Server && (t.number < 0 || e.Name == servers()[t.number].Name)
		}, nil
	case "lists":
		return func(e faultproxy.End) bool { return e.Kind == faultproxy.List }, nil
	}
	return none, fmt.Errorf("%q is not router:N, routers:COUNT, routers:PART%%, routers, server:N, servers, lists, zone:N or region:NAME", text)
}

// rule makes a fault between processes.
func (w *world) rule(f Fault) (faultproxy.Rule, error) {
	fleet := func() []*emulator.Server { return w.fleet.Servers() }
	in, err := w.scenario.group(f.Target, fleet)
	if err != nil {
		return faultproxy.Rule{}, err
	}
	// A list service stands beside each router: it is on its router's side unless it is named.
	out := func(e faultproxy.End) bool { return !in(e) && e.Kind != faultproxy.List }
	if f.From != "" && f.From != "rest" {
		if out, err = w.scenario.group(f.From, fleet); err != nil {
			return faultproxy.Rule{}, err
		}
	}
	about := func(from, to faultproxy.End) bool {
		what := "servers"
		switch {
		case from.Kind == faultproxy.Router && to.Kind == faultproxy.Router:
			what = "words"
		case from.Kind == faultproxy.List || to.Kind == faultproxy.List:
			what = "list"
		}
		words := strings.HasPrefix(f.Kind, "words-")
		return words == (what == "words") && words || !words && (f.What == nil || slices.Contains(f.What, what)) && !(f.Kind == "conns-late" && what == "words")
	}
	r := faultproxy.Rule{Match: func(from, to faultproxy.End) bool {
		there, back := in(from) && out(to), out(from) && in(to)
		if strings.HasPrefix(f.Kind, "words-") && f.From == "" {
			there = in(from) || in(to) // all that they say and hear
		}
		return (there || back && f.Kind != "part-one-way") && about(from, to)
	}}
	switch f.Kind {
	case "part", "part-one-way":
		r.Effect.Cut = true
	case "conns-late":
		r.Effect.Delay = f.Delay
	case "words-lose":
		r.Effect.Lose = f.Part
	case "words-late": // spread by half: they overtake each other
		r.Effect.Delay, r.Effect.Spread = f.Delay, f.Delay/2
	case "words-double":
		r.Effect.Double = f.Part
	}
	return r, nil
}

// causePart plays a fault between processes.
func (w *world) playPartition(f Fault, halt chan struct{}) {
	r, err := w.rule(f)
	if err != nil {
		w.fail(err)
		return
	}
	about := strings.TrimSpace(f.Kind + " " + f.Target)
	if f.Kind == "conns-reset" {
		n := w.net.Reset(func(router, to faultproxy.End) bool { return r.Match(router, to) || r.Match(to, router) })
		w.recordEvent("%s: %d connections", about, n)
		return
	}
	heal, err := w.net.Begin(r)
	w.fail(err)
	w.recordEvent("%s begins", about)
	w.waitUntil(f.At+f.For, halt)
	w.fail(heal())
	w.recordEvent("%s ends", about)
}

// The third number of addresses at relays: that of the router at which they stand.
const relaysAt = 120

// relays puts relays between all processes.
func (w *world) relays() error {
	w.net = faultproxy.New(w.fleetLoop.Now, w.options.Seed)
	at := func(router, n, port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", w.options.Net, relaysAt+router, 1+n%200, port+n/200)
	}
	if w.scenario.Routers.Peers {
		err := w.net.Words(w.scenario.Routers.Count, func(of, router int) string { return at(router, of, 7946) },
			func(router int) string { return w.address(routersAt, router, 7946) })
		if err != nil {
			return err
		}
	}
	for n := range w.scenario.Routers.Count {
		router := faultproxy.End{Kind: faultproxy.Router, N: n}
		agent := w.agents[0][n]
		w.listAddrs = append(w.listAddrs, at(n, 199, 8500))
		if err := w.net.Conn(router, faultproxy.End{Kind: faultproxy.List, N: n}, w.listAddrs[n], agent.Addr()); err != nil {
			return err
		}
		known := map[*emulator.Server]string{}
		agent.Via(func(s *emulator.Server) string { // the agent calls it where nothing else does
			if known[s] == "" {
				known[s] = at(n, len(known), 11300)
				w.fail(w.net.Conn(router, faultproxy.End{Kind: faultproxy.Server, Name: s.Name, Zone: s.Zone}, known[s], s.Addr))
			}
			return known[s]
		})
	}
	return nil
}

// peersOf are the addresses of all routers as one of them knows them.
func (w *world) peersOf(n int) []string {
	all := w.peers()
	if w.net == nil {
		return all
	}
	for of := range all {
		if of != n {
			all[of] = fmt.Sprintf("127.%d.%d.%d:7946", w.options.Net, relaysAt+n, 1+of)
		}
	}
	return all
}

// listOf is where a router asks for the list.
func (w *world) listOf(n int) string {
	if w.net == nil {
		return w.agents[0][n].Addr()
	}
	return w.listAddrs[n]
}

// causeStop stops routers where they stand, and lets them go on later.
func (w *world) playRouterStop(f Fault, hit []int, halt chan struct{}) {
	for _, n := range hit {
		w.routerNodes[n].pause()
		w.recordEvent("router %d is stopped", n)
	}
	w.waitUntil(f.At+f.For, halt)
	for _, n := range hit {
		w.routerNodes[n].resume()
		w.recordEvent("router %d goes on", n)
	}
}

const pollInterval = 10 * time.Millisecond
