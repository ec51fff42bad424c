// Package service assembles a router process and leads it from start to exit.
//
// # What it assembles
//
// The parts below know nothing of one another; this package connects them and holds no routing rule of its own.
//
//	clients -> frontend -> broker -> requestcore.Core (one a pool) -> upstream -> servers
//
// Beside the course of a request stand the endpoint lists (package discovery), messages between routers
// (package peertransport), and the adapters of the policies: zone failover, gossip, startup, quotas. Each concern
// has its file:
//
//   - service.go: the Service, its parts, and how they are put together
//   - lifecycle.go: phases, signals to end, deadlines of the graceful shutdown
//   - reload.go: signals and the configuration that SIGHUP reads anew
//   - pool.go, poolset.go, endpoints.go, endpointwatch.go: a set of servers with its balancer, endpoint list and watch
//   - contracts.go, limits.go: the operators' pools and quotas; descriptors and the limits of this process
//   - listeners.go: the addresses that clients connect to
//   - peers.go, gossip.go: messages between routers and the fleet's size
//   - zones.go, zonesadmin.go: the adapter of zone failover and what operators call about zones
//   - startup.go: the way to full service, and the snapshot that helps the next start
//   - hotrestart.go, successor.go: the process that ran before this one, and those that follow it
//   - adminhandler.go, drain.go, disabledservers.go, metrics.go: what the admin server calls and shows
//   - countslog.go: the counts that are logged every ten seconds
//   - saved.go: the forms of lists that outlive the process
//
// # Phases
//
// A process goes through [Starting], [Serving], [Leaving], [Finishing] and [Ended], and never back. Starting ends
// with the first endpoint list that names a ready server. SIGTERM begins Leaving: connections are still accepted
// for acceptAfterSignalSeconds, since clients learn of the end late. Finishing closes each connection once it is
// idle. What is still open when the longest deadline has passed is answered, and the process ends before SIGKILL
// may come.
//
// # Goroutines
//
// One goroutine, the event loop's, owns the Service and calls all of its methods, unless a comment says otherwise.
// Others reach it by eventloop.Loop.Post alone: the signals' goroutine and the one that reads the configuration,
// the endpoint watches, the sockets of other routers, the admin server's handlers, the files of disabled servers
// and evacuated zones, and the two sides of a hot restart. While the process serves, the loop waits for
// none of them.
//
// # What outlives the process
//
// Servers disabled and zones evacuated by an operator are binding and kept in files that all processes of this
// router share. The snapshot (the endpoint list and the completion rate) is a hint with an age. At a hot restart
// the successor receives the listening sockets and the endpoint list as last received. All else is learned anew;
// requests in flight end with the process.
package service
