package frontend

import "bendtrestle/internal/eventloop"

// CanAccept reports whether another connection may be accepted; listeners ask before each accept. Closed connections
// count until the loop has released their descriptors: else those that make room in one round would be held twice.
func (f *Frontend) CanAccept() bool {
	descriptors := len(f.connections) + f.loop.Finishing() + f.loop.Closing()
	return descriptors < f.limits.Connections+f.limits.RejectConnections
}

// Acceptor returns the function that takes the connections of a listener. The name of the listener is the one that the
// dispatcher knows it by.
func (f *Frontend) Acceptor(listener string, protocol Protocol) func(*eventloop.Conn) eventloop.Handler {
	return func(conn *eventloop.Conn) eventloop.Handler { return f.accept(conn, listener, protocol) }
}

// accept admits a connection, or marks it as over the limit. From half of the places on a new connection makes an idle
// one give way: clients may hold only so many descriptors themselves.
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

// evictIdle closes the connection that is idle for longest, and reports whether there was one. Connections that sent
// nothing usable so far go first, for they take no usual client's place.
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

// isEvictedBefore reports whether a connection makes room rather than another one; nil: there is no other yet.
func (c *ClientConn) isEvictedBefore(other *ClientConn) bool {
	if other == nil {
		return true
	}
	if c.established != other.established {
		return other.established
	}
	return c.lastActive < other.lastActive
}

// isEvictable reports whether a connection may be closed for room. One that has just come is about to be written to.
func (c *ClientConn) isEvictable(now float64) bool {
	return now-c.lastActive > evictableAfterSeconds && (c.isIdle() || c.isSilent())
}
