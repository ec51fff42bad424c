package balancer

import (
	"slices"

	"bendtrestle/internal/seedhash"
)

// pick returns the server of a request's next attempt, or nil if there is none. It is the first of these that
// exists:
//   - a random one of the key's replicas with capacity,
//   - the nearest server to the key that is neither ejected nor overloaded,
//   - the nearest that is not ejected,
//   - the nearest that the rules allow.
//
// A key that is not hot has one replica, its nearest server.
func (b *Balancer) pick(req *request) *serverState {
	if !b.mayContinue(req) {
		return nil // a lookup that accepts no server would rank all virtual nodes
	}
	allowed := func(server *serverState) bool {
		if req.attemptedOn(server) || !b.mayAttempt(req, server) {
			return false
		}
		return b.hasSlowStartBudget(server)
	}
	healthy := func(server *serverState) bool { return allowed(server) && !b.ejected(server) }
	notOverloaded := func(server *serverState) bool { return healthy(server) && !b.overloaded(req, server) }

	server := b.pickReplica(req, healthy)
	if server != nil {
		return server
	}
	for _, accept := range [...]func(*serverState) bool{notOverloaded, healthy, allowed} {
		server = b.nearestServer(req.keyHash, accept)
		if server != nil {
			return server
		}
	}
	return nil
}

// pickReplica returns one of the servers that share a request's key: the first with capacity, starting at a random
// one; nil if there is none.
func (b *Balancer) pickReplica(req *request, healthy func(*serverState) bool) *serverState {
	replicas := b.replicasOf(req, healthy)
	first := b.firstReplica(req, replicas)
	for _, server := range replicas[first:] {
		if b.hasCapacity(req, server) {
			return server
		}
	}
	return nil
}

// replicasOf returns the healthy servers that share a request's key, the nearest first.
func (b *Balancer) replicasOf(req *request, healthy func(*serverState) bool) (replicas []*serverState) {
	wanted := min(int(req.replicas), len(b.servers.ready))
	b.nearestServer(req.keyHash, func(server *serverState) bool {
		if !slices.Contains(replicas, server) && healthy(server) {
			replicas = append(replicas, server)
		}
		return len(replicas) >= wanted // ends the lookup, which would otherwise walk the whole circle
	})
	return replicas
}

// firstReplica draws the index of the replica to try first. A router with few samples takes the less loaded of two
// drawn replicas; if every router took the least loaded of all, they would overload it together.
func (b *Balancer) firstReplica(req *request, replicas []*serverState) int {
	first := int(b.random.Float64() * float64(len(replicas)))
	if req.replicas <= 1 || !b.fewSamples(req.class) {
		return first
	}
	other := int(b.random.Float64() * float64(len(replicas)))
	if len(replicas) > 0 && b.reportedLoad(replicas[other]) < b.reportedLoad(replicas[first]) {
		return other
	}
	return first
}

// hasCapacity reports whether a replica has capacity for a request. A request for a hot key is not shed while one
// of its replicas has capacity, so a replica that would shed it is passed over.
func (b *Balancer) hasCapacity(req *request, server *serverState) bool {
	mayPassOver := req.replicas > 1 && req.valueFraction == 1 && server.health.consecutiveFailures == 0
	if mayPassOver {
		wouldShed := b.shedsForLatency(req, server)
		if wouldShed {
			return false
		}
	}
	return !b.overloaded(req, server)
}

// nearestServer returns the server nearest to a key by Hamming distance, among the accepted ones that answer for
// the key now; nil if there is none. Ties are broken by a hash of key and server.
func (b *Balancer) nearestServer(keyHash uint32, accept func(*serverState) bool) (nearest *serverState) {
	var nodes []virtualNode
	var nearestTie uint32
	nearestDistance := 0
	warmingKeyFactor := b.warmingKeyFactor()
	for i := range b.ring.nodes {
		if i == len(nodes) {
			nodes = b.ring.nearestNodes(keyHash%ringSlots, max(firstLookupNodes, lookupGrowth*i))
		}
		node := &nodes[i]
		if nearest != nil && node.distance > nearestDistance {
			break
		}
		server := node.server
		tie := seedhash.Mix(keyHash, server.ID)
		if !b.answersForKey(node, keyHash, float64(tie)/hashRange, warmingKeyFactor) {
			continue
		}
		if !accept(server) {
			continue
		}
		if nearest == nil || tie < nearestTie {
			nearest = server
			nearestTie = tie
			nearestDistance = node.distance
		}
	}
	return nearest
}

// answersForKey reports whether a virtual node answers for a key now. A server that is warming up answers for a
// fraction of its keys, a slow one for a fraction of its virtual nodes, and one in a zone with a zone share for
// that share of its keys. position is the key's position for this server, as keyPosition returns it.
func (b *Balancer) answersForKey(node *virtualNode, keyHash uint32, position, warmingKeyFactor float64) bool {
	server := node.server
	// A server that is warming up answers for a fraction of the keys of all its nodes: if it used only some of its
	// nodes, the number of keys would depend on the gaps to their neighbours.
	capacityFraction := b.warmFraction(server)
	if capacityFraction < 1 && position >= capacityFraction*warmingKeyFactor {
		return false
	}
	if float64(node.index)+position >= float64(server.virtualNodes)*server.keyShare {
		return false
	}
	return b.zones.serves(server.Zone, keyHash)
}

// warmingKeyFactor returns the factor for the key fractions of servers that are warming up. It is the acceptance
// rate: these servers must not take over the load that warm servers shed. It is 1 where no server is warm, or where
// current reports state the load of each server.
func (b *Balancer) warmingKeyFactor() float64 {
	if b.servers.allWarmingUp || b.loadReportsAreCurrent() {
		return 1
	}
	return b.recent.acceptanceRate
}
