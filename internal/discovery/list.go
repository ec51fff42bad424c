package discovery

import (
	"hash/crc32"
	"net/netip"

	"bendtrestle/balancer"
)

// Instance is one cache server of a list.
type Instance struct {
	balancer.Endpoint
	Addr netip.AddrPort // invalid: it cannot be reached, and its State is not Ready

	faulty bool // a field cannot be read
}

// EndpointList is a complete list, or what has changed since an earlier one.
type EndpointList struct {
	Generation uint64 // grows with each change, as long as one service counts
	Complete   bool   // all servers are in it; else only those that changed
	Instances  []Instance
	FirstFault string // what is wrong with the first instance that cannot be used; "": nothing with any
}

// ID makes a server's id of its instance's name, the same at every router. It fits into 32 bits, as gossip has it.
func ID(instance string) uint64 { return uint64(crc32.ChecksumIEEE([]byte(instance))) }

// drainFaulty has the instances that cannot be read completely get nothing new, and counts them.
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
