package admin

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
)

// boundedListener limits the number of connections. A connection beyond the limit replaces one whose response has been
// written, or else the oldest one whose request has not been read completely, so that clients that send nothing do not
// block other clients.
type boundedListener struct {
	net.Listener
	maxConnections int
	mu             sync.Mutex
	connections    []*connection // in the order in which they were accepted
}

// connection is the connection of one client.
type connection struct {
	net.Conn
	listener    *boundedListener
	requestRead atomic.Bool // the request has been read completely
	answered    atomic.Bool // the response has been written completely
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// markRequestRead records that a request has been read completely. Its connection is not evicted any more until the
// response has been written.
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

// admit adds a connection if there is capacity for it. At or above the limit there is capacity if another connection
// can be evicted, or while less than twice the limit are open: those whose request has been read are answered within a
// second.
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
		evicted.Close() // acquires the lock
	}
	return admitted
}

// evictable returns the oldest answered connection, which the HTTP server keeps open for half a second so that a reset
// does not cut off the response. If there is none, it returns the oldest connection whose request has not been read
// completely, or nil. The caller must hold mu.
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

// CloseWrite is called by the HTTP server when a response has been written.
func (c *connection) CloseWrite() error {
	c.answered.Store(true)
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return conn.CloseWrite()
}

// Close closes the connection and frees its slot. It may be called more than once.
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
