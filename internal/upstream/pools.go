package upstream

import (
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// ConnectionPools are the connections to all servers, a pool for each. All methods are called on the event loop's
// goroutine.
type ConnectionPools struct {
	loop            *eventloop.Loop
	limits          Limits
	log             zerolog.Logger
	newCodec        func(ReplyHandler) Codec
	servers         map[uint64]*serverPool   // by the id that the endpoint list gives them
	connectionCount int                      // of all servers, also of removed ones
	sentAttempts    uint64                   // see SentAttempts
	closeCounts     [closeReasonCount]uint64 // see CloseCounts
	closed          bool
}

// New makes pools without servers. newCodec is called for each connection that is dialled, with the handler that its
// codec calls.
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

// SentAttempts counts the attempts whose last byte the kernel has taken, since the start; probes are not counted.
func (p *ConnectionPools) SentAttempts() uint64 { return p.sentAttempts }

// IdleConnections counts the connections that are idle now.
func (p *ConnectionPools) IdleConnections() int {
	count := 0
	for _, server := range p.servers {
		count += len(server.idle)
	}
	return count
}

// SetMaxConnections sets how many connections there may be from now on. Of those beyond it the idle ones are closed.
func (p *ConnectionPools) SetMaxConnections(connections int) {
	p.limits.MaxConnections = connections
	for p.connectionCount > connections {
		closed := p.closeOldestIdle()
		if !closed {
			return
		}
	}
}

// SetEndpoint adds a server, or takes the address that it has now. An address that is not valid leaves the one before.
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

// RemoveEndpoint takes a server out: what waits there is not sent, no connection is kept open, and what is in flight
// goes on.
func (p *ConnectionPools) RemoveEndpoint(id uint64) {
	server := p.servers[id]
	if server == nil {
		return
	}
	server.listed = false
	p.CancelUnsent(id)
	delete(p.servers, id)
}

// CancelUnsent ends as balancer.NotAttempted what waits for a connection to a server or to be written there, and
// closes its idle connections. What is in flight goes on.
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

// Close closes all connections and ends the timers. Nothing may be in flight.
func (p *ConnectionPools) Close() {
	p.closed = true
	for id := range p.servers {
		p.RemoveEndpoint(id)
	}
}

// StartAttempt begins an attempt at a server and returns at once; the observer is told of its end. It ends as
// balancer.TimedOut after timeout seconds, or as balancer.NotAttempted where it is not written within sendWithin
// seconds.
func (p *ConnectionPools) StartAttempt(
	id uint64, request *requestcore.Request, timeout, sendWithin float64, observer requestcore.AttemptObserver,
) requestcore.PendingAttempt {
	a := &attempt{request: request, onEnd: observer.OnAttemptEnd, stillWanted: observer.StillWanted}
	p.start(id, a, timeout, sendWithin)
	return a
}

// Probe makes a health check of a server; ended is called once.
func (p *ConnectionPools) Probe(id uint64, ended func(balancer.Outcome)) {
	a := &attempt{onEnd: func(outcome balancer.Outcome, _ requestcore.Result) { ended(outcome) }}
	timeout := p.limits.ConnectTimeout + probeRoundTripSeconds
	p.start(id, a, timeout, timeout)
}

// start sets an attempt's timer and gives it to its server's pool. A server that is not known gets a pool of its own
// without an address, where the attempt ends as not attempted.
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

// closeExpiredIdle closes what has been idle for too long, again and again until Close.
func (p *ConnectionPools) closeExpiredIdle() {
	if p.closed {
		return
	}
	for _, server := range p.servers {
		server.closeExpiredIdle()
	}
	p.loop.After(p.limits.sweepSeconds(), p.closeExpiredIdle)
}

// maxPerServer is how many connections one server may have: an equal part of all.
func (p *ConnectionPools) maxPerServer() int {
	return max(1, p.limits.MaxConnections/max(1, len(p.servers)))
}

// makeCapacity tells whether one more connection may be opened. At the bound it closes the one that has been idle
// longest: with more servers than connections, those that were asked first would keep the others from ever being
// asked.
func (p *ConnectionPools) makeCapacity() bool {
	if p.connectionCount >= p.limits.MaxConnections {
		p.closeOldestIdle()
	}
	return p.connectionCount < p.limits.MaxConnections
}

// closeOldestIdle closes the connection that has been idle longest; false if none is idle.
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
