package frontend

import "bendtrestle/internal/eventloop"

// CanAccept reports whether another connection may be accepted; listeners call it before each accept. A closed
// connection counts until the loop has released its descriptor: otherwise the descriptors of connections evicted within
// one round and those of their successors would exceed the limit.
func (f *Frontend) CanAccept() bool {
	descriptors := len(f.connections) + f.loop.HalfClosedConns() + f.loop.Closing()
	return descriptors < f.limits.Connections+f.limits.RejectConnections
}

// Acceptor returns the function that handles the accepted connections of a listener. The dispatcher identifies the
// listener by its name.
func (f *Frontend) Acceptor(listener string, protocol Protocol) func(*eventloop.Conn) eventloop.Handler {
	return func(conn *eventloop.Conn) eventloop.Handler { return f.accept(conn, listener, protocol) }
}

// accept admits a connection, or marks it as over the limit. If at least half of the limit is used, a new connection
// evicts an idle one, because clients have a limited number of descriptors themselves.
func (f *Frontend) accept(conn *eventloop.Conn, listener string, protocol Protocol) eventloop.Handler {
	now := f.loop.Now()
	c := &ClientConn{frontend: f, conn: conn, listener: listener}
	c.lastActive = now
	c.acceptedAt = now
	c.codec = protocol(c)
	connections := len(f.connections)
	if connections >= f.limits.Connections/2 {
		evicted := f.evictIdle()
		c.overLimit = !evicted && connections >= f.limits.Connections
	}
	c.admitted = f.dispatcher.AdmitConnection(listener)
	if !c.admitted {
		c.overLimit = true
	}
	f.connections[c] = true
	return c
}

// evictIdle closes the connection that has been idle for longest, and reports whether there was one. Connections that
// have sent no valid command are closed first, so that they do not displace established clients.
func (f *Frontend) evictIdle() bool {
	now := f.loop.Now()
	var victim *ClientConn
	for c := range f.connections {
		if c.isEvictedBefore(victim) && c.isEvictable(now) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.close()
	return true
}

// isEvictedBefore reports whether a connection is evicted rather than another one; other is nil if there is none yet.
func (c *ClientConn) isEvictedBefore(other *ClientConn) bool {
	if other == nil {
		return true
	}
	if c.established != other.established {
		return other.established
	}
	return c.lastActive < other.lastActive
}

// isEvictable reports whether a connection may be closed to make room. A client that has just connected is about to
// send its first command.
func (c *ClientConn) isEvictable(now float64) bool {
	return now-c.lastActive > evictableAfterSeconds && (c.isIdle() || c.isSilent())
}
