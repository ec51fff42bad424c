// Package peertransport sends and receives short UDP datagrams between routers. It owns the socket and the addresses of
// the other routers, and does not interpret payloads. Each protocol between routers recognizes its own datagrams by
// their first byte and length (see policy/gossip/codec.go for the rule); the service passes a datagram to each protocol
// in turn.
//
// A datagram is sent either to all other routers (Broadcast) or to one of them by its index in the list (Send). There
// are no retries: a datagram that cannot be sent immediately is lost, like one lost in the network. Both methods may be
// called from any goroutine. Received datagrams are passed to a Handler on the transport's own goroutine, which ends
// when reading from the socket fails; the service posts them to its event loop.
package peertransport
