package admin

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
)

// boundedListener bounds the connections. One that is beyond the bound takes the place of one whose response was
// written, or else of the one that has gone without a whole request for longest, so that callers that say nothing keep
// nobody out.
type boundedListener struct {
	net.Listener
	maxConnections int
	mu             sync.Mutex
	connections    []*connection // in the order in which they were accepted
}

// connection is one caller's.
type connection struct {
	net.Conn
	listener    *boundedListener
	requestRead atomic.Bool // the whole request was read
	answered    atomic.Bool // the whole response was written
}

// connectionKey finds a request's connection in its context.
type connectionKey struct{}

// markRequestRead notes that a request was read whole: from now on its connection gives way to no other.
func markRequestRead(request *http.Request) {
	c, ok := request.Context().Value(connectionKey{}).(*connection)
	if ok {
		c.requestRead.Store(true)
	}
}

// Accept is called by the HTTP server.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: conn, listener: l}
		if l.admit(c) {
			return c, nil
		}
		conn.Close()
	}
}

// admit takes a connection in, if there is room for it. Beyond the bound there is room where another gives way, or
// while fewer than twice as many are open: those whose request was read are answered within a second.
func (l *boundedListener) admit(c *connection) bool {
	l.mu.Lock()
	var evicted *connection
	if len(l.connections) >= l.maxConnections {
		evicted = l.evictable()
	}
	admitted := evicted != nil || len(l.connections) < 2*l.maxConnections
	if admitted {
		l.connections = append(l.connections, c)
	}
	l.mu.Unlock()
	if evicted != nil {
		evicted.Close() // takes the lock
	}
	return admitted
}

// evictable returns the oldest connection that was answered (the HTTP server holds it open for half a second, lest a
// reset cut the response), else the oldest without a whole request; nil: there is neither. The caller holds mu.
func (l *boundedListener) evictable() *connection {
	var waiting *connection
	for _, c := range l.connections {
		if c.answered.Load() {
			return c
		}
		if waiting == nil && !c.requestRead.Load() {
			waiting = c
		}
	}
	return waiting
}

// CloseWrite is called by the HTTP server once a response was written.
func (c *connection) CloseWrite() error {
	c.answered.Store(true)
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return conn.CloseWrite()
}

// Close releases the connection's place. It may be called more than once.
func (c *connection) Close() error {
	l := c.listener
	l.mu.Lock()
	at := slices.Index(l.connections, c)
	if at >= 0 {
		l.connections = slices.Delete(l.connections, at, at+1)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
