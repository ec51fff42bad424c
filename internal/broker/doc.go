// Package broker routes requests from the front ends to the pools. It determines the team of a request (by listener,
// tenant or key prefix), decides whether to admit the request (by the team's quota and its partitions of the slots),
// and submits it to the core of the team's pool. It counts the outcomes of each team's requests and broadcasts the
// teams' demand to the other routers.
//
// Inputs are requests and connections from the front ends, which use a Broker as a requestcore.Dispatcher; the
// operators' teams and pools (Configure); and messages of other routers (OnQuotaMessage). Outputs are requests to a
// pool's core, answers to the clients of rejected requests, and messages to other routers (QuotaMessages). All methods
// are called on the event loop; none of them blocks or does I/O.
//
//	settings.go   the configuration of teams and pools, and log lines for its changes
//	broker.go     the state, and the routing of requests and connections
//	platform.go   the route of requests that match no team
//	team.go       the route of a team's requests: admission, and submission to its pool's core
//	usage.go      the resources that a team's request uses, until it is settled
//	configure.go  changes of teams and pools
//	status.go     request counts, and status for operators and other routers
package broker
