package upstream

import (
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// serverPool holds the connections to one server and the attempts that wait for a connection.
type serverPool struct {
	pools         *ConnectionPools
	addr          netip.AddrPort // invalid: unknown
	listed        bool           // the endpoint list contains the server
	connections   []*connection  // established or being dialled
	idle          []*connection  // the established ones with no attempt in flight, least recently used first
	connecting    int            // number of connections that are being dialled
	waiting       []*attempt     // in the order in which they started to wait
	loggedFailing bool           // the last logged state of the server is failing
}

// onAddressChange stops the use of connections to the previous address, where another server may be by now. Attempts in
// flight there continue, unwritten ones are cancelled, and attempts that wait for a connection get a new one.
func (s *serverPool) onAddressChange() {
	s.closeIdle()
	for _, c := range slices.Clone(s.connections) {
		c.cancelUnsent()
		if !c.established {
			c.close()
		}
	}
	s.assignWaiting()
}

// dispatch sends an attempt on an idle connection, or else on the first connection that becomes idle or is established.
func (s *serverPool) dispatch(a *attempt) {
	s.closeExpiredIdle() // the sweep may be late if the loop was stopped for a while
	for len(s.idle) > 0 {
		c := s.pickIdle()
		if c.socket.HasNoInput() {
			c.send(a)
			return
		}
		c.close() // it has ended, or unrequested bytes have arrived: a command written now might be lost
	}
	s.waiting = append(s.waiting, a)
	s.assignWaiting()
}

// assignWaiting finds connections for the attempts that wait: new ones or, if no more may be opened, those in use, by
// pipelining.
func (s *serverPool) assignWaiting() {
	s.dial()
	for len(s.waiting) > s.connecting {
		target := s.leastLoaded()
		first := s.waiting[s.connecting] // the attempts before it get the connections that are being dialled
		switch {
		case first.expired():
			first.abandon(balancer.NotAttempted)
		case target != nil:
			s.removeWaiting(first)
			target.send(first)
		case len(s.connections) == 0: // no file descriptor is available
			s.removeWaiting(first)
			first.settle(balancer.NotAttempted, requestcore.Result{})
		default:
			return
		}
	}
}

// leastLoaded returns the connection with the fewest attempts in flight of those that accept another; nil if none does.
func (s *serverPool) leastLoaded() *connection {
	var least *connection
	for _, c := range s.connections {
		if !c.acceptsPipelined() {
			continue
		}
		fewer := least == nil || len(c.inFlight) < len(least.inFlight)
		if fewer && !c.socket.Ended() {
			least = c
		}
	}
	return least
}

// pickIdle returns the most recently used of the connections that have been idle for more than minIdleSeconds. If there
// is none, it returns the most recently used idle connection.
func (s *serverPool) pickIdle() *connection {
	now := s.pools.loop.Now()
	for _, c := range slices.Backward(s.idle) {
		if now-c.idleSince > minIdleSeconds {
			return c
		}
	}
	return s.idle[len(s.idle)-1]
}

// removeWaiting removes an attempt from those that wait for a connection, if it is among them.
func (s *serverPool) removeWaiting(a *attempt) {
	i := slices.Index(s.waiting, a)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// removeIdle removes a connection from the idle ones, if it is among them.
func (s *serverPool) removeIdle(c *connection) {
	i := slices.Index(s.idle, c)
	if i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
	}
}

// dial opens a connection for each waiting attempt, as far as the limits allow.
func (s *serverPool) dial() {
	for s.connecting < len(s.waiting) && len(s.connections) < s.pools.maxPerServer() {
		hasCapacity := s.pools.makeCapacity()
		if !hasCapacity {
			return
		}
		s.dialOne()
	}
}

// dialOne opens a connection. If that fails immediately, the attempt that has waited longest is settled.
func (s *serverPool) dialOne() {
	pools := s.pools
	c := &connection{pool: s, addr: s.addr}
	c.codec = pools.newCodec(c)
	socket, err := pools.loop.Dial(s.addr, c)
	if err != nil {
		s.onDialError(err)
		return
	}
	c.socket = socket
	c.timer = pools.loop.Timer(c.onConnectTimeout)
	c.timer.Set(pools.loop.Now() + pools.limits.ConnectTimeout)
	s.connections = append(s.connections, c)
	s.connecting++
	pools.connectionCount++
}

// onDialError settles the attempt that has waited longest. Only a refused connection is evidence against the server; a
// lack of file descriptors in this process is not.
func (s *serverPool) onDialError(err error) {
	s.pools.log.Warn().Err(err).Stringer("server", s.addr).
		Msg("cannot dial the cache server; the longest waiting attempt ends")
	outcome := balancer.NotAttempted
	if eventloop.Refused(err) {
		outcome = balancer.ConnectFailed
	}
	s.failFirstWaiting(outcome)
}

// failFirstWaiting settles the attempt that has waited longest. There must be one.
func (s *serverPool) failFirstWaiting(outcome balancer.Outcome) {
	first := s.waiting[0]
	s.removeWaiting(first)
	first.settle(outcome, requestcore.Result{})
}

// release assigns the attempt that has waited longest to an established connection with no attempt in flight. If no
// attempt waits, the connection becomes idle.
func (s *serverPool) release(c *connection) {
	for len(s.waiting) > 0 && s.waiting[0].expired() {
		s.waiting[0].abandon(balancer.NotAttempted)
	}
	if len(s.waiting) == 0 || c.addr != s.addr {
		s.addIdle(c)
		return
	}
	if !c.socket.HasNoInput() { // a command written now might be lost
		c.fail(ServerClosed)
		return
	}
	first := s.waiting[0]
	s.removeWaiting(first)
	c.send(first)
}

// addIdle keeps a connection for later attempts, unless its server is not listed any more or has another address now.
func (s *serverPool) addIdle(c *connection) {
	c.idleSince = s.pools.loop.Now()
	s.idle = append(s.idle, c)
	if !s.listed || c.addr != s.addr {
		c.close()
	}
}

// closeExpiredIdle closes the connections that have been idle for too long.
func (s *serverPool) closeExpiredIdle() {
	cutoff := s.pools.loop.Now() - s.pools.limits.maxIdleSeconds()
	for len(s.idle) > 0 && s.idle[0].idleSince < cutoff {
		s.idle[0].close()
	}
}

// closeIdle closes all idle connections.
func (s *serverPool) closeIdle() {
	for len(s.idle) > 0 {
		s.idle[0].close()
	}
}
