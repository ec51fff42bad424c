package gossip

import (
	"math"
	"slices"

	"bendtrestle/internal/seedhash"
)

// owners are the routers that own a server in a group, in order of rank; -1 where there are fewer.
type owners [ownersPerGroup]int16

// View is the list of routers, divided into groups, and the assignment of servers to owners. Gossipers of one goroutine
// may share a view, which caches computed assignments.
type View struct {
	hashes   []uint32 // of the routers' names
	groups   int
	byWeight map[ownerKey]owners
	servers  []uint16 // sorted
	balanced map[ownerKey]owners
}

// ownerKey is a group and the identifier of a server.
type ownerKey uint32

func newOwnerKey(group int, server uint16) ownerKey {
	return ownerKey(uint32(group)<<16 | uint32(server))
}

// NewView returns a view of the routers with the given hashes of their names, in the order of the list of routers. All
// routers must use the same hashes in the same order.
func NewView(hashes []uint32) *View {
	return &View{
		hashes:   hashes,
		groups:   max(1, (len(hashes)+maxGroupRouters-1)/maxGroupRouters),
		byWeight: map[ownerKey]owners{},
		balanced: map[ownerKey]owners{},
	}
}

// groupOf returns the group of a router.
func (v *View) groupOf(router int) int { return router * v.groups / len(v.hashes) }

// groupBounds returns the first router of a group and the first one after it.
func (v *View) groupBounds(group int) (from, to int) {
	routers := len(v.hashes)
	from = (group*routers + v.groups - 1) / v.groups
	to = ((group+1)*routers + v.groups - 1) / v.groups
	return from, to
}

// setServers sets the sorted identifiers of the servers that owners are chosen for.
func (v *View) setServers(servers []uint16) {
	if slices.Equal(v.servers, servers) {
		return
	}
	v.servers = slices.Clone(servers)
	clear(v.balanced)
}

// ownersOf returns a server's owners in a group, chosen by rendezvous hashing with bounded loads. Without the bound,
// some router would be the first owner of five servers, at half a kilobyte per second each.
func (v *View) ownersOf(group int, server uint16) owners {
	key := newOwnerKey(group, server)
	if chosen, ok := v.balanced[key]; ok {
		return chosen
	}
	_, listed := slices.BinarySearch(v.servers, server)
	if !listed {
		return v.ownersByWeight(group, server)
	}
	v.balance(group)
	return v.balanced[key]
}

// balance chooses the owners of all servers in a group, in the order of the servers' identifiers. The first owner of a
// server is the router with the largest weight that is not yet the first owner of as many servers as the limit allows.
// Adding or removing a server therefore moves few others.
func (v *View) balance(group int) {
	from, to := v.groupBounds(group)
	firstOwnerCounts := make([]int, to-from)
	limit := int(math.Ceil(ownerLoadFactor * float64(len(v.servers)) / float64(to-from)))
	for _, server := range v.servers {
		chosen := v.ownersByWeight(group, server)
		for i, router := range chosen {
			if router < 0 {
				break
			}
			load := &firstOwnerCounts[int(router)-from]
			if *load < limit {
				*load++
				copy(chosen[1:i+1], chosen[:i])
				chosen[0] = router
				break
			}
		}
		v.balanced[newOwnerKey(group, server)] = chosen
	}
}

// ownersByWeight returns the routers of a group with the largest weights for a server, in descending order.
func (v *View) ownersByWeight(group int, server uint16) owners {
	key := newOwnerKey(group, server)
	if chosen, ok := v.byWeight[key]; ok {
		return chosen
	}
	if len(v.byWeight) >= maxServers*v.groups {
		clear(v.byWeight)
	}
	chosen := v.heaviest(group, server)
	v.byWeight[key] = chosen
	return chosen
}

func (v *View) heaviest(group int, server uint16) owners {
	var chosen owners
	for i := range chosen {
		chosen[i] = -1
	}
	var weights [ownersPerGroup]uint32
	from, to := v.groupBounds(group)
	for router := from; router < to; router++ {
		weight := seedhash.Mix(v.hashes[router], uint64(server))
		candidate := int16(router)
		for i := range chosen { // inserts the candidate; what it displaces becomes the candidate
			if chosen[i] < 0 || weight > weights[i] {
				chosen[i], candidate = candidate, chosen[i]
				weights[i], weight = weight, weights[i]
			}
			if candidate < 0 {
				break
			}
		}
	}
	return chosen
}
