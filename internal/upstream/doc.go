// Package upstream makes attempts at servers. It keeps a pool of connections to each server, writes commands, reads the
// replies and reports the outcome of each attempt. It does not choose the server of an attempt: the balancer does.
//
// Inputs are requests, by StartAttempt and Probe, and the addresses of the endpoint list, by SetEndpoint and
// RemoveEndpoint. Outputs are the outcome of each attempt, by requestcore.AttemptObserver, and counts for the metrics.
// A Codec encodes and decodes the bytes of each connection: the memcache codec is in this package, the codec for tile
// servers is in package tileclient.
//
// All code runs on the event loop's goroutine. Callers call from there, and observers are called there after the
// callback that settles their attempt, never from within it. Times are seconds of the loop's clock.
//
//   - limits.go: limits and timeouts
//   - pools.go: ConnectionPools, the pools of all servers and their shared state
//   - serverpool.go: the pool of one server, which assigns attempts to connections
//   - connection.go: one connection from its dial to its close, and the writing of commands
//   - replies.go: the reading of replies on a connection
//   - attempt.go: one attempt, from its start until it is settled
//   - bodystream.go: a value that is forwarded while it is being read
//   - codec.go, memcachecodec.go: the protocol of a connection
//   - closereason.go: why connections ended while a reply was expected
//   - healthlog.go: the log of servers that begin to fail or recover
package upstream
