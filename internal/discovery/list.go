package discovery

import (
	"hash/crc32"
	"net/netip"

	"bendtrestle/balancer"
)

// Instance is one cache server in a list.
type Instance struct {
	balancer.Endpoint
	Addr netip.AddrPort // invalid: the server cannot be reached, and its State is not Ready

	faulty bool // a field is malformed
}

// EndpointList is a full list, or a delta to an earlier list.
type EndpointList struct {
	Generation uint64 // increases with each change, as long as the same service assigns it
	Full       bool   // a full list with all servers; else a delta with the changed ones
	Instances  []Instance
	FirstFault string // first fault of an instance that cannot be used; "": all can be used
}

// ID returns the id of a server for the name of its instance. It is the same at every router, and fits into the 32 bits
// that gossip messages have for it.
func ID(instance string) uint64 { return uint64(crc32.ChecksumIEEE([]byte(instance))) }

// drainFaulty marks the instances with malformed fields as draining, so that they get no new requests, and returns
// their number.
func (l *EndpointList) drainFaulty() int {
	count := 0
	for i := range l.Instances {
		instance := &l.Instances[i]
		if !instance.faulty {
			continue
		}
		instance.State = min(instance.State, balancer.Draining)
		count++
	}
	return count
}
