// Package gossip distributes server load observations through a fleet of thousands of routers. The cost for one router
// does not grow with the fleet size. The package decides what to send to which router and when, and which of two
// summaries takes precedence. It owns no socket, goroutine, clock or source of true randomness: its inputs are
// datagrams, ticks and the time in seconds, its outputs are datagrams to send.
//
// # How it works
//
// The list of routers is divided into gossip groups of up to 512 consecutive routers (View). For each server, each
// group has owners: routers chosen by rendezvous hashing with bounded loads and ranked. Every router with the same view
// computes the same owners.
//
//   - An observation is the outcome of one attempt at a server as this router measured it: the duration of the attempt
//     relative to the mean of its traffic class, or a refusal. It is sent to the first owner of the server in the
//     group; a refusal is also sent to the second owner.
//   - A group sum is the sum of the observations reported to an owner of a server, decayed over time. Owners send it
//     to the owners in all other groups, which keep only the newest sum of each group. No observation is thus counted
//     twice, even if group sums are duplicated or arrive out of order.
//   - A summary is the sum over all groups. An owner publishes it to its own group with a version. Routers forward it
//     to random routers of the group a few times; urgent summaries are sent first and without delay (rumor mongering).
//   - A pull requests summaries that a router should have received but has not (anti-entropy).
//   - A probe asks whether a router supports this protocol. Builds without it would misread its datagrams as balancer
//     observations, so a router receives nothing but probes until it has shown that it supports the protocol.
//
// Precedence between summaries is decided by the rank of the owner, the owner's incarnation and the version (compare).
// If an owner stops sending, the next one publishes in its place. If all owners that a router sends observations to
// stop publishing, the router switches to the next ones. After a network partition, the group sums of the other side
// are merged as soon as they arrive, and pulls fetch the summaries that were missed.
//
// # Use
//
//	g := gossip.New(now, settings, gossip.NewView(hashes))
//	g.SetServers(ids)              // on each change of the endpoint list
//	g.Report(now, observations)    // observations from the balancer for other routers
//	g.OnDatagram(now, from, bytes) // for each datagram of another router
//	for _, d := range g.Tick(now) { send(d.To, d.Bytes) } // every 50 ms
//	balancer.OnGossip(g.SynthesizeObservations(now))      // every 100 ms
//
// The service calls all of it from its event loop, the goroutine that a Gossiper belongs to. Gossipers of one goroutine
// may share a View. Nothing is kept across a restart: a new process starts with another incarnation and fetches the
// summaries by pulls.
//
// # Where to look
//
//	config.go         settings and the constants of the protocol
//	view.go           groups, and owners by rendezvous hashing
//	gossiper.go       the state of a router, and the order of steps in a tick
//	peer.go           which routers support the protocol: probes and acknowledgements
//	observations.go   sending this router's observations to the owners
//	owner.go          the duties of an owner: sums, group sums, summaries
//	merge.go          merging the sums of all groups, also after a partition
//	summary.go        which of two summaries takes precedence
//	spread.go         forwarding summaries
//	pull.go           anti-entropy
//	receive.go        handling of received datagrams
//	codec.go          the encoding of each message
//	budget.go         limits in bytes and messages per second
//	synthesize.go     synthesized observations for the balancer
package gossip
