// Package upstream makes attempts at servers. It keeps a pool of connections to each server, writes commands there,
// reads the replies and tells how each attempt ended. It decides nothing about which server is asked: the balancer
// does.
//
// In go requests, by StartAttempt and Probe, and the endpoint list's addresses, by SetEndpoint and RemoveEndpoint.
// Out come the outcome of each attempt, by requestcore.AttemptObserver, and counts for the figures. Bytes are written
// and read by a Codec, one for each connection: the memcache codec is here, the one for tile servers is in package
// tileclient.
//
// All of it runs on the event loop's goroutine: callers are there, and observers are called there, never from within
// the call that settles their attempt but after it. Times are seconds of the loop's clock.
//
//   - limits.go: bounds and timeouts
//   - pools.go: ConnectionPools, the pools of all servers and what they share
//   - serverpool.go: the pool of one server, which attempt gets which connection
//   - connection.go: one connection from its dial to its end, and what is written there
//   - replies.go: what is read on a connection
//   - attempt.go: one attempt, from when it is started until it is settled
//   - bodystream.go: a value that is passed on while it is read
//   - codec.go, memcachecodec.go: the protocol of a connection
//   - closereason.go: why connections ended with a reply owed
//   - healthlog.go: which servers are logged as failing
package upstream
