// Package peertransport carries short datagrams between routers, by UDP. It owns the socket and the addresses of the
// other routers; it does not read what it carries. Each protocol between routers tells its own datagrams apart by their
// first byte and length (see policy/gossip/codec.go for the rule), and the service offers a datagram to each in turn.
//
// A datagram goes either to all other routers (Broadcast) or to one of them by its index in the list (Send). Nothing is
// retried: a datagram that cannot be sent at once counts as lost on the way. Both methods may be called from any
// goroutine. What arrives is handed to a Handler on the transport's own goroutine, which ends with the
// socket; the service posts it to its event loop.
package peertransport
