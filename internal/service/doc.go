// Package service assembles a router process and controls it from start to exit.
//
// # What it assembles
//
// The packages below do not create or configure one another. This package does that, and contains no routing rule of
// its own.
//
//	clients -> frontend -> broker -> requestcore.Core (one per pool) -> upstream -> servers
//
// Outside the request path are the endpoint lists (package discovery), messages between routers (package
// peertransport), and the adapters of the policies: zone failover, gossip, startup, quotas. Each concern has its file:
//
//   - service.go: the Service, its components, and their assembly
//   - lifecycle.go: phases and the deadlines of the graceful shutdown
//   - reload.go: signals and the configuration that SIGHUP reloads
//   - pool.go, poolset.go, endpoints.go, endpointwatch.go: a set of servers with its balancer, endpoint list and watch
//   - contracts.go, limits.go: the operators' pools and quotas; descriptors and the limits of this process
//   - listeners.go: the addresses that clients connect to
//   - peers.go, gossip.go: messages between routers and the fleet's size
//   - zones.go, zonesadmin.go: the adapter of zone failover and the operators' calls about zones
//   - startup.go: the progress to full service, and the snapshot for the next start
//   - hotrestart.go, successor.go: the predecessor process and the successor processes
//   - adminhandler.go, drain.go, disabledservers.go, metrics.go: the admin server's calls, and the metrics
//   - countslog.go: the counts that are logged every ten seconds
//   - saved.go: the formats of endpoint lists that outlive the process
//
// # Phases
//
// A process goes through [Starting], [Serving], [Leaving], [Finishing] and [Ended], and never back. Starting ends
// with the first endpoint list that names a ready server. SIGTERM begins Leaving: connections are still accepted
// for acceptAfterSignalSeconds, because clients learn of the shutdown with a delay. Finishing closes each connection
// once it is idle. Requests that are still open when the longest deadline has passed get a final answer, and the
// process ends before SIGKILL may arrive.
//
// # Goroutines
//
// One goroutine, the event loop's, owns the Service and calls all of its methods, unless a comment says otherwise.
// Others reach it only through eventloop.Loop.Post: the goroutines for signals and for reading the configuration, the
// endpoint watches, the socket for other routers, the admin server's handlers, the files of disabled servers and
// evacuated zones, and the two sides of a hot restart. While the process serves, the loop waits for none of them.
//
// # What outlives the process
//
// Servers disabled and zones evacuated by an operator stay so: they are kept in files that all processes of this
// router share. The snapshot (the endpoint list and the completion rate) is a hint that expires with age. At a hot
// restart the successor receives the listening sockets and the endpoint list as last received. All other state is
// built up again; requests in flight end with the process.
package service
