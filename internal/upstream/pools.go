package upstream

import (
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// ConnectionPools holds the connections to all servers, one pool for each. All methods must be called on the event
// loop's goroutine.
type ConnectionPools struct {
	loop            *eventloop.Loop
	limits          Limits
	log             zerolog.Logger
	newCodec        func(ReplyHandler) Codec
	servers         map[uint64]*serverPool   // by endpoint id
	awaitingMemory  int                      // connections whose values wait for memory
	connectionCount int                      // connections to all servers, including removed ones
	sentAttempts    uint64                   // see SentAttempts
	closeCounts     [closeReasonCount]uint64 // see CloseCounts
	closed          bool
}

// New returns pools without servers. newCodec is called for each connection that is dialled, with the ReplyHandler for
// its codec.
func New(loop *eventloop.Loop, limits Limits, newCodec func(ReplyHandler) Codec, log zerolog.Logger) *ConnectionPools {
	p := &ConnectionPools{
		loop:     loop,
		limits:   limits,
		log:      log,
		newCodec: newCodec,
		servers:  map[uint64]*serverPool{},
	}
	p.closeExpiredIdle()
	return p
}

// SentAttempts returns the number of attempts whose last byte the kernel has accepted since the start, without probes.
func (p *ConnectionPools) SentAttempts() uint64 { return p.sentAttempts }

// IdleConnections returns the number of connections that are idle.
func (p *ConnectionPools) IdleConnections() int {
	count := 0
	for _, server := range p.servers {
		count += len(server.idle)
	}
	return count
}

// SetMaxConnections sets the maximum number of connections. If there are more, idle ones are closed.
func (p *ConnectionPools) SetMaxConnections(connections int) {
	p.limits.MaxConnections = connections
	for p.connectionCount > connections {
		closed := p.closeOldestIdle()
		if !closed {
			return
		}
	}
}

// SetEndpoint adds a server, or changes its address. If the new address is invalid, the previous one stays.
func (p *ConnectionPools) SetEndpoint(id uint64, addr netip.AddrPort) {
	server := p.servers[id]
	if server == nil {
		server = &serverPool{pools: p}
		p.servers[id] = server
	}
	server.listed = true
	if server.addr != addr && addr.IsValid() {
		server.addr = addr
		server.onAddressChange()
	}
}

// RemoveEndpoint removes a server: attempts that wait there are not sent, its connections are closed as soon as they
// are idle, and attempts in flight continue.
func (p *ConnectionPools) RemoveEndpoint(id uint64) {
	server := p.servers[id]
	if server == nil {
		return
	}
	server.listed = false
	p.CancelUnsent(id)
	delete(p.servers, id)
}

// CancelUnsent ends the attempts that wait for a connection to a server, or to be written there, as
// balancer.NotAttempted, and closes its idle connections. Attempts that are written, even in part, continue.
func (p *ConnectionPools) CancelUnsent(id uint64) {
	server := p.servers[id]
	if server == nil {
		return
	}
	for _, a := range server.waiting {
		a.settle(balancer.NotAttempted, requestcore.Result{})
	}
	server.waiting = nil
	for _, c := range slices.Clone(server.connections) {
		c.cancelUnsent()
	}
	server.closeIdle()
}

// Close closes all connections and stops the timers. No attempt may be in flight.
func (p *ConnectionPools) Close() {
	p.closed = true
	for id := range p.servers {
		p.RemoveEndpoint(id)
	}
}

// StartAttempt starts an attempt at a server and returns immediately; the observer is notified of its end. The attempt
// ends as balancer.TimedOut after timeout seconds, or as balancer.NotAttempted if it is not written within sendWithin
// seconds.
func (p *ConnectionPools) StartAttempt(
	id uint64, request *requestcore.Request, timeout, sendWithin float64, observer requestcore.AttemptObserver,
) requestcore.PendingAttempt {
	a := &attempt{request: request, observer: observer}
	p.start(id, a, timeout, sendWithin)
	return a
}

// Probe makes a health check of a server and calls done once with the outcome.
func (p *ConnectionPools) Probe(id uint64, done func(balancer.Outcome)) {
	a := &attempt{observer: probeObserver(done)}
	timeout := p.limits.ConnectTimeout + probeRoundTripSeconds
	p.start(id, a, timeout, timeout)
}

// start sets the timer of an attempt and passes it to the pool of its server. For an unknown server it creates a
// temporary pool without an address, where the attempt ends as balancer.NotAttempted.
func (p *ConnectionPools) start(id uint64, a *attempt, timeout, sendWithin float64) {
	server := p.servers[id]
	if server == nil {
		server = &serverPool{pools: p}
	}
	a.pool = server
	a.deadline = p.loop.Now() + timeout
	a.awaitsSendDeadline = sendWithin < timeout
	a.sendDeadline = a.deadline - max(0, timeout-sendWithin)
	a.timer = p.loop.Timer(a.onTimer)
	a.timer.Set(a.sendDeadline)
	server.dispatch(a)
}

// closeExpiredIdle closes the connections that have been idle for too long, and schedules the next sweep until Close.
func (p *ConnectionPools) closeExpiredIdle() {
	if p.closed {
		return
	}
	for _, server := range p.servers {
		server.closeExpiredIdle()
	}
	p.loop.After(p.limits.sweepSeconds(), p.closeExpiredIdle)
}

// maxPerServer returns the maximum number of connections to one server, an equal fraction of all.
func (p *ConnectionPools) maxPerServer() int {
	return max(1, p.limits.MaxConnections/max(1, len(p.servers)))
}

// makeCapacity reports whether one more connection may be opened. At the limit it first closes the connection that has
// been idle longest. Otherwise, with more servers than connections, the servers used first would keep all connections
// and the others would never get an attempt.
func (p *ConnectionPools) makeCapacity() bool {
	if p.connectionCount >= p.limits.MaxConnections {
		p.closeOldestIdle()
	}
	return p.connectionCount < p.limits.MaxConnections
}

// closeOldestIdle closes the connection that has been idle longest. It returns false if none is idle.
func (p *ConnectionPools) closeOldestIdle() bool {
	var oldest *connection
	for _, server := range p.servers {
		if len(server.idle) == 0 {
			continue
		}
		first := server.idle[0]
		if oldest == nil || first.idleSince < oldest.idleSince {
			oldest = first
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}
