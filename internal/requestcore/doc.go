// Package requestcore is the protocol-independent core of the router process. It takes a request from the point at
// which a front end has read it to its one final answer. A Core owns one Balancer, which makes the decisions, and acts
// as its host: it starts, cancels and counts attempts, sets timers and sends gossip. Front ends submit Requests and
// receive the answers as Clients; an Upstream makes the attempts.
//
// Inputs are requests, disconnects of clients, endpoint updates, gossip and operators' commands. Outputs are answers,
// attempts, health checks and gossip. Each request gets exactly one answer (Succeeded, Rejected or Failed) unless its
// client disconnects first. It is removed once it is answered and none of its attempts is outstanding.
//
// A Core is not safe for concurrent use: all of its methods, and all callbacks of its interfaces, run on the event
// loop's goroutine. Callbacks may call back into the Core, except that an attempt must not end before the call that
// started it has returned. Times are float64 seconds of the loop's clock.
//
// If the balancer panics, the request that the call was for is answered with Failed, and the panic is counted and
// logged. The router continues to serve.
//
// Files:
//
//	request.go       Request, Client, Result and how a request ends
//	body.go          values that are forwarded while they are being received
//	dependencies.go  Upstream, Clock and the other dependencies of a Core
//	balancer.go      Balancer, which makes the decisions
//	dispatcher.go    Dispatcher and Route, which select the Core for a request
//	core.go          Core: calls from front ends and the service
//	openrequest.go   a request until it is removed
//	attempt.go       an attempt until it ends
//	heldbody.go      a value that waits before its client receives the first byte
//	readahead.go     a value that is read into memory meanwhile
//	host.go          Core: calls from the balancer
package requestcore
