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

// zoneName returns the name of zone n. Servers and routers are assigned to the zones in turn.
func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

func (s *Scenario) zoneNames() (all []string) {
	for z := range s.Fleet.Zones {
		all = append(all, zoneName(z))
	}
	return all
}

// routerZone returns the zone of router n.
func (s *Scenario) routerZone(n int) string { return zoneName(n % max(1, s.Fleet.Zones)) }

// zonesOf returns the zones of the target zone:N or region:NAME.
func (s *Scenario) zonesOf(what, of string) ([]string, error) {
	if what == "zone" {
		n, err := strconv.Atoi(of)
		if err != nil || n < 0 || n >= s.Fleet.Zones {
			return nil, fmt.Errorf("%q is not a zone number from 0 to %d", of, s.Fleet.Zones-1)
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
			s.file.Fault(key("zones"), "a region needs a name and at least one zone")
		}
		for _, z := range r.Zones {
			if !slices.Contains(zones, z) || in[z] {
				s.file.Fault(key("zones"), "%q is already in a region, or not one of %s", z, strings.Join(zones, ", "))
			}
			in[z] = true
		}
	}
}

// relayed reports whether connections and datagrams between processes go through relays.
func (s *Scenario) relayed() bool {
	return s.Routers.Relays || slices.ContainsFunc(s.Faults, func(f Fault) bool { return faultKinds[f.Kind].targets == "part" })
}

// partitionTraffic are the kinds of traffic that a fault of kind part can cut.
var partitionTraffic = []string{"servers", "words", "list"}

func (s *Scenario) checkPart(key string, f Fault) {
	if _, err := s.parseGroup(f.Target, nil); err != nil {
		s.file.Fault(key+".target", "%v", err)
	}
	if f.From != "" && f.From != "rest" {
		if _, err := s.parseGroup(f.From, nil); err != nil {
			s.file.Fault(key+".from", "%v", err)
		}
	}
	for _, w := range f.What {
		if !slices.Contains(partitionTraffic, w) {
			s.file.Fault(key+".what", "%q is not one of %s", w, strings.Join(partitionTraffic, ", "))
		}
	}
	if f.Pool != "" {
		s.file.Fault(key+".pool", "%s has no pool", f.Kind)
	}
	if strings.HasPrefix(f.Kind, "words-") && !s.Routers.Peers {
		s.file.Fault(key+".kind", "%s needs routers.peers", f.Kind)
	}
}

// parseGroup parses a group of processes: router:N, routers:COUNT, routers:PART%, routers, server:N, servers, lists,
// zone:N or region:NAME. A count selects the routers with the lowest numbers, so that each run selects the same ones.
func (s *Scenario) parseGroup(text string, servers func() []*emulator.Server) (func(faultproxy.End) bool, error) {
	what, of, _ := strings.Cut(text, ":")
	none := func(faultproxy.End) bool { return false }
	switch what {
	case "zone", "region":
		zones, err := s.zonesOf(what, of)
		if err != nil {
			return none, fmt.Errorf("%q: %w", text, err)
		}
		return func(e faultproxy.End) bool {
			return e.Kind == faultproxy.Server && slices.Contains(zones, e.Zone) || e.Kind == faultproxy.Router && slices.Contains(zones, s.routerZone(e.Number))
		}, nil
	case "router", "routers":
		t, err := s.parseTarget("router", text, "")
		if err != nil {
			return none, err
		}
		return func(e faultproxy.End) bool {
			return e.Kind == faultproxy.Router && (t.number >= 0 && e.Number == t.number || t.number < 0 && e.Number < t.count)
		}, nil
	case "server", "servers":
		t, err := s.parseTarget("server", text, "")
		if err != nil {
			return none, err
		}
		if t.number < 0 && text != "servers" {
			return none, fmt.Errorf("%q: only one server, those of a zone or of a region, or all servers can be cut off", text)
		}
		return func(e faultproxy.End) bool {
			return e.Kind == faultproxy.Server && (t.number < 0 || e.Name == servers()[t.number].Name)
		}, nil
	case "lists":
		return func(e faultproxy.End) bool { return e.Kind == faultproxy.ListService }, nil
	}
	return none, fmt.Errorf("%q is not router:N, routers:COUNT, routers:PART%%, routers, server:N, servers, lists, zone:N or region:NAME", text)
}

// rule returns the relays' rule for a fault between processes.
func (w *runState) rule(f Fault) (faultproxy.Rule, error) {
	fleet := func() []*emulator.Server { return w.fleet.Servers() }
	in, err := w.scenario.parseGroup(f.Target, fleet)
	if err != nil {
		return faultproxy.Rule{}, err
	}
	// Each router has a list service of its own, which is on its router's side of the cut unless it is named.
	out := func(e faultproxy.End) bool { return !in(e) && e.Kind != faultproxy.ListService }
	if f.From != "" && f.From != "rest" {
		if out, err = w.scenario.parseGroup(f.From, fleet); err != nil {
			return faultproxy.Rule{}, err
		}
	}
	about := func(from, to faultproxy.End) bool {
		what := "servers"
		switch {
		case from.Kind == faultproxy.Router && to.Kind == faultproxy.Router:
			what = "words"
		case from.Kind == faultproxy.ListService || to.Kind == faultproxy.ListService:
			what = "list"
		}
		words := strings.HasPrefix(f.Kind, "words-")
		return words == (what == "words") && words || !words && (f.What == nil || slices.Contains(f.What, what)) && !(f.Kind == "conns-late" && what == "words")
	}
	r := faultproxy.Rule{Match: func(from, to faultproxy.End) bool {
		there, back := in(from) && out(to), out(from) && in(to)
		if strings.HasPrefix(f.Kind, "words-") && f.From == "" {
			there = in(from) || in(to) // all gossip messages that they send and receive
		}
		return (there || back && f.Kind != "part-one-way") && about(from, to)
	}}
	switch f.Kind {
	case "part", "part-one-way":
		r.Effect.Cut = true
	case "conns-late":
		r.Effect.Delay = f.Delay
	case "words-lose":
		r.Effect.LossFraction = f.Part
	case "words-late": // up to half more delay at random, so that messages are reordered
		r.Effect.Delay, r.Effect.Spread = f.Delay, f.Delay/2
	case "words-double":
		r.Effect.DuplicateFraction = f.Part
	}
	return r, nil
}

// playPartition plays a fault between processes.
func (w *runState) playPartition(f Fault, halt chan struct{}) {
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

// The third byte of a relay's address is this plus the number of the router that uses the relay.
const relayAddrByte = 120

// relays starts relays between all processes.
func (w *runState) relays() error {
	w.net = faultproxy.New(w.fleetLoop.Now, w.options.Seed)
	at := func(router, n, port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", w.options.Net, relayAddrByte+router, 1+n%200, port+n/200)
	}
	if w.scenario.Routers.Peers {
		err := w.net.RelayDatagrams(w.scenario.Routers.Count, func(of, router int) string { return at(router, of, 7946) },
			func(router int) string { return w.address(routerAddrByte, router, 7946) })
		if err != nil {
			return err
		}
	}
	for n := range w.scenario.Routers.Count {
		router := faultproxy.End{Kind: faultproxy.Router, Number: n}
		agent := w.agents[0][n]
		w.listAddrs = append(w.listAddrs, at(n, 199, 8500))
		if err := w.net.RelayConnections(router, faultproxy.End{Kind: faultproxy.ListService, Number: n}, w.listAddrs[n], agent.Addr()); err != nil {
			return err
		}
		known := map[*emulator.Server]string{}
		agent.SetAddresses(func(s *emulator.Server) string { // only the agent calls it, one call at a time: known needs no lock
			if known[s] == "" {
				known[s] = at(n, len(known), 11300)
				w.fail(w.net.RelayConnections(router, faultproxy.End{Kind: faultproxy.Server, Name: s.Name, Zone: s.Zone}, known[s], s.Addr))
			}
			return known[s]
		})
	}
	return nil
}

// peerAddrsAt returns the peer addresses of all routers as configured at router n: those of relays, if there are any,
// but for its own.
func (w *runState) peerAddrsAt(n int) []string {
	all := w.peerAddrs()
	if w.net == nil {
		return all
	}
	for of := range all {
		if of != n {
			all[of] = fmt.Sprintf("127.%d.%d.%d:7946", w.options.Net, relayAddrByte+n, 1+of)
		}
	}
	return all
}

// listServiceAddr returns the address of a router's list service, or of the relay before it.
func (w *runState) listServiceAddr(n int) string {
	if w.net == nil {
		return w.agents[0][n].Addr()
	}
	return w.listAddrs[n]
}

// playRouterStop stops routers by SIGSTOP and continues them after the fault's duration.
func (w *runState) playRouterStop(f Fault, hit []int, halt chan struct{}) {
	for _, n := range hit {
		w.routerNodes[n].pause()
		w.recordEvent("router %d is stopped", n)
	}
	w.waitUntil(f.At+f.For, halt)
	for _, n := range hit {
		w.routerNodes[n].resume()
		w.recordEvent("router %d continues", n)
	}
}

const pollInterval = 10 * time.Millisecond
