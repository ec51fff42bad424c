package upstream

import (
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// serverPool is the connections to one server, and the attempts that wait for one.
type serverPool struct {
	pools         *ConnectionPools
	addr          netip.AddrPort // not valid: not known
	listed        bool           // the endpoint list names it
	connections   []*connection  // established, or being dialled
	idle          []*connection  // of these, established with nothing in flight; the last was used last
	connecting    int            // how many of them are being dialled
	waiting       []*attempt     // the longest waiting first
	loggedFailing bool           // the log last said that it fails
}

// onAddressChange leaves the connections to the address before: another server may be there by now. What is in flight
// on them goes on, what is not written is not, and what waits for one gets a new one.
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

// dispatch puts an attempt on an idle connection, else on the first that becomes free or is established.
func (s *serverPool) dispatch(a *attempt) {
	s.closeExpiredIdle() // here too: the loop may have been stopped since the last sweep
	for len(s.idle) > 0 {
		c := s.pickIdle()
		if c.socket.Quiet() {
			c.send(a)
			return
		}
		c.close() // it has ended, or something was sent unasked: what would be written now might be lost
	}
	s.waiting = append(s.waiting, a)
	s.assignWaiting()
}

// assignWaiting finds connections for what waits: new ones, and where no more may be opened the ones in use, by
// pipelining.
func (s *serverPool) assignWaiting() {
	s.dial()
	for len(s.waiting) > s.connecting {
		target := s.leastLoaded()
		first := s.waiting[s.connecting] // those before it get the connections that are being dialled
		switch {
		case first.expired():
			first.abandon(balancer.NotAttempted)
		case target != nil:
			s.removeWaiting(first)
			target.send(first)
		case len(s.connections) == 0: // no descriptor is to be had
			s.removeWaiting(first)
			first.settle(balancer.NotAttempted, requestcore.Result{})
		default:
			return
		}
	}
}

// leastLoaded gives the connection with the fewest attempts in flight that can carry another; nil if there is none.
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

// pickIdle gives the idle connection that was used last, but not just now, see minIdleSeconds; else the one that was
// used last.
func (s *serverPool) pickIdle() *connection {
	now := s.pools.loop.Now()
	for _, c := range slices.Backward(s.idle) {
		if now-c.idleSince > minIdleSeconds {
			return c
		}
	}
	return s.idle[len(s.idle)-1]
}

// removeWaiting takes an attempt out of those that wait for a connection, if it is among them.
func (s *serverPool) removeWaiting(a *attempt) {
	i := slices.Index(s.waiting, a)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// removeIdle takes a connection out of the idle ones, if it is among them.
func (s *serverPool) removeIdle(c *connection) {
	i := slices.Index(s.idle, c)
	if i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
	}
}

// dial opens a connection for each attempt that waits, as far as the limits allow.
func (s *serverPool) dial() {
	for s.connecting < len(s.waiting) && len(s.connections) < s.pools.maxPerServer() {
		hasCapacity := s.pools.makeCapacity()
		if !hasCapacity {
			return
		}
		s.dialOne()
	}
}

// dialOne opens a connection. If that fails at once, the longest waiting attempt is settled.
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

// onDialError settles the longest waiting attempt. Only a refusal tells of the server; a lack of descriptors here
// does not.
func (s *serverPool) onDialError(err error) {
	s.pools.log.Warn().Err(err).Stringer("server", s.addr).Msg("no connection")
	outcome := balancer.NotAttempted
	if eventloop.Refused(err) {
		outcome = balancer.ConnectFailed
	}
	s.failFirstWaiting(outcome)
}

// failFirstWaiting settles the longest waiting attempt; there must be one.
func (s *serverPool) failFirstWaiting(outcome balancer.Outcome) {
	first := s.waiting[0]
	s.removeWaiting(first)
	first.settle(outcome, requestcore.Result{})
}

// release takes an established connection with nothing in flight: it gets the longest waiting attempt, or becomes idle.
func (s *serverPool) release(c *connection) {
	for len(s.waiting) > 0 && s.waiting[0].expired() {
		s.waiting[0].abandon(balancer.NotAttempted)
	}
	if len(s.waiting) == 0 || c.addr != s.addr {
		s.addIdle(c)
		return
	}
	if !c.socket.Quiet() { // what would be written now might be lost
		c.fail(ServerClosed)
		return
	}
	first := s.waiting[0]
	s.removeWaiting(first)
	c.send(first)
}

// addIdle keeps a connection for later, unless its server is not listed any more, or is elsewhere.
func (s *serverPool) addIdle(c *connection) {
	c.idleSince = s.pools.loop.Now()
	s.idle = append(s.idle, c)
	if !s.listed || c.addr != s.addr {
		c.close()
	}
}

// closeExpiredIdle closes what has been idle for too long.
func (s *serverPool) closeExpiredIdle() {
	oldest := s.pools.loop.Now() - s.pools.limits.maxIdleSeconds()
	for len(s.idle) > 0 && s.idle[0].idleSince < oldest {
		s.idle[0].close()
	}
}

// closeIdle closes all that is idle.
func (s *serverPool) closeIdle() {
	for len(s.idle) > 0 {
		s.idle[0].close()
	}
}
