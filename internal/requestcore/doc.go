// Package requestcore is the core of the real router: from a request that a front end has read to its one final
// answer. A Core owns one Balancer, which decides, and is its host: it starts, cancels and counts attempts, sets
// timers, sends gossip. It knows no protocol: front ends submit Requests and get answers as Clients, and an Upstream
// makes the attempts.
//
// In go requests, clients that disconnect, endpoint updates, gossip, operators' orders; out go answers, attempts,
// health checks and gossip. Each request gets exactly one answer, Succeeded, Rejected or
// Failed, unless its client disconnects first; it is forgotten once it is answered and no attempt of it is
// outstanding.
//
// A Core is not safe for concurrent use: all of it, and all callbacks of its interfaces, run on the event loop's
// goroutine. Callbacks may call back into the Core, except that an attempt must not end before the call that started
// it has returned. Times are float64 seconds of the loop's clock.
//
// A panic of the balancer costs the request at hand its answer (Failed) and is counted and logged; the router serves
// on.
//
// Files:
//
//	request.go       Request, Client, Result and how a request ends
//	body.go          values that are passed on while they come
//	dependencies.go  Upstream, Clock and what else a Core acts on
//	balancer.go      Balancer, the decisions
//	dispatcher.go    which Core takes a request
//	core.go          Core: what comes from outside
//	openrequest.go   a request until it is forgotten
//	attempt.go       an attempt until it ends
//	host.go          Core: what the balancer asks for
package requestcore
