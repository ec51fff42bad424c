// Package discovery follows the list of cache servers.
package discovery

import (
	"hash/crc32"
	"net/netip"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"
)

// Instance is one cache server of a list. Its id is made from the instance's name, the same at every router.
type Instance struct {
	balancer.Endpoint
	Addr   netip.AddrPort
	faulty bool // a field cannot be read
}

// EndpointList is a whole list, or what has changed since an earlier one.
type EndpointList struct {
	Generation uint64
	Complete   bool
	Instances  []Instance
	FirstFault string `json:"-"` // what is wrong with the first entry that cannot be used; empty: with none
}

var modes = map[string]balancer.EndpointState{"ready": balancer.Ready, "draining": balancer.Draining}

// ID makes a server's id. It fits into 32 bits, as a peer's words have it.
func ID(instance string) uint64 { return uint64(crc32.ChecksumIEEE([]byte(instance))) }

// Parse reads a list from a list service. What is wrong with an entry costs that server alone: it gets nothing new, and the
// rest of the list, with the drains that it tells, still counts. A list without any that can be used is an error.
func Parse(text []byte) (EndpointList, error) {
	o, err := settings.Parse(text, "malformed list")
	if err != nil {
		return EndpointList{}, err
	}
	l, faults, bad := FromObject(o), o.Faults(), 0
	if l.Complete && o.Absent("instances") {
		o.Fault("instances", "missing")
	}
	elsewhere := slices.ContainsFunc(faults, func(f settings.Fault) bool { return !strings.HasPrefix(f.Path, "/instances") })
	for i := range l.Instances {
		if l.Instances[i].faulty {
			l.Instances[i].State = min(l.Instances[i].State, balancer.Draining)
			bad++
		}
	}
	if len(faults) > 0 && bad < len(l.Instances) && !elsewhere {
		l.FirstFault = faults[0].Text
		return l, nil
	}
	return l, o.Err()
}

// FromObject reads a list from an object, which keeps the faults.
func FromObject(o *settings.Object) EndpointList {
	l := EndpointList{Generation: o.ID("generation"), Complete: o.Flag("reset")}
	for _, e := range o.List("instances") {
		before := o.Met()
		name, at := e.Text("instanceId"), e.Text("hostPort")
		mode := modes[e.Text("lifecycle")]
		addr, err := netip.ParseAddrPort(at)
		if err != nil && mode == balancer.Ready {
			mode = balancer.Draining // nowhere to send to; the rest of the list still counts
		}
		entry := Instance{Addr: addr, Endpoint: balancer.Endpoint{ID: ID(name), State: mode,
			Capacity: e.Number("weight"), Zone: e.Name0("zone"), Cell: e.Count("cell"), MachineType: e.Name0("machineType"),
			StartedAt: e.Number("startedAtMs") / 1e3}}
		if entry.faulty = o.Met() > before; name != "" {
			l.Instances = append(l.Instances, entry)
		}
	}
	return l
}
