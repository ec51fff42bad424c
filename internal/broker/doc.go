// Package broker stands between the front ends and the pools. It decides which team a request is of (by listener,
// tenant or key prefix), whether the team may have it now (its quota, and its partitions of the slots), and hands it
// to the core of the team's pool. It counts what became of each team's requests, and tells the other routers the
// demand.
//
// What comes in: requests and connections, from the front ends, which know a Broker as a requestcore.Dispatcher; the
// operators' teams and pools (Configure); messages of other routers (OnQuotaMessage). What goes out: requests to a
// pool's core, answers to the clients of rejected ones, and messages to other routers (QuotaMessages). All of it is
// called on the event loop; nothing here waits or does I/O.
//
//	settings.go   what operators say of teams and pools, and the lines that tell what changes
//	broker.go     the state, and which route takes a request or connection
//	platform.go   the route of requests that match no team
//	team.go       the route of a team's requests: admission, and hand-over to its pool's core
//	usage.go      what a team's request has used, until it is settled
//	configure.go  changes of teams and pools
//	status.go     tallies, and what is told to operators and other routers
package broker
