// Package gossip spreads what routers observe of servers through a fleet of thousands of routers, at a cost for one
// router that does not grow with the fleet. It decides whom to send what and when, and which of two summaries counts.
// It owns no socket, goroutine, clock or source of true randomness: datagrams, ticks and the time in seconds come in,
// datagrams to send come out.
//
// # How it works
//
// The list of routers is cut into groups of up to 512 neighbours (View). For each server, each group has owners:
// routers chosen by rendezvous hashing with bounded loads, in a ranked order, the same at every router that has the
// same view.
//
//   - An observation is what this router saw of a server: how long an attempt took, relative to the mean of its traffic
//     class, or a refusal. It is sent to the first owner of the server in the group; a refusal also to the second.
//   - A group sum is what has been reported to an owner of a server, decayed over time. Owners send it to the owners in all
//     other groups, which keep the newest of each group: so nothing is counted twice, in whatever order and however
//     often it arrives.
//   - A summary is the sum over all groups, published by an owner to its own group with a version. Routers pass it on
//     to random routers of the group a few times, urgent ones first and at once (rumor mongering).
//   - A pull asks for summaries that a router should have received and has not (anti-entropy).
//   - A probe asks whether a router understands this protocol. Builds that do not would take its datagrams for
//     something else: nothing but probes is sent to a router that has given no sign.
//
// A summary counts by the rank of its owner, the owner's incarnation and its version (compare). If an owner falls
// silent the next one publishes in its place; if all owners that a router sends to fall silent it turns to the next
// ones. After a network partition, the group sums of the other side are merged as soon as they arrive, and pulls fill
// in the summaries that were missed.
//
// # Use
//
//	g := gossip.New(now, settings, gossip.NewView(hashes))
//	g.SetServers(ids)              // on each change of the endpoint list
//	g.Report(now, observations)    // what the balancer has to tell
//	g.OnDatagram(now, from, bytes) // for each datagram of another router
//	for _, d := range g.Tick(now) { send(d.To, d.Bytes) } // each 50 ms
//	balancer.OnGossip(g.SynthesizeObservations(now))      // each 100 ms
//
// The service calls all of it from its event loop, the goroutine that a Gossiper belongs to; a View may be shared by
// Gossipers of one goroutine. Nothing is kept across a restart: a new process starts with another incarnation and
// learns by pulls.
//
// # Where to look
//
//	config.go         settings and the constants of the protocol
//	view.go           groups, and owners by rendezvous hashing
//	gossiper.go       the state of a router, and the order of a tick
//	peer.go           which routers understand the protocol: probes and their answers
//	observations.go   from this router's observations to the owners
//	owner.go          the duties of an owner: sums, group sums, summaries
//	merge.go          the summary of all groups, also after a partition
//	summary.go        which of two summaries counts
//	spread.go         passing summaries on
//	pull.go           anti-entropy
//	receive.go        what becomes of a datagram that arrives
//	codec.go          the bytes of each message
//	budget.go         limits in bytes and messages a second
//	synthesize.go     the observations for the balancer
package gossip
