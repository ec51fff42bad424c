// Package upstream makes executions at servers: it keeps the connections to each, writes commands there and tells how each
// execution ended. What is written and read is a wire's, one for each protocol.
package upstream

import (
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// Limits bound the connections.
type Limits struct {
	MaxConnections           int     // to all cache servers together
	MaxInFlightPerConnection int     // executions that a connection carries at once
	ConnectTimeout           float64 // a connection that is not up by then never comes up
	StallTimeout             float64 // a reply that has begun and gets no further byte for so long will not go on
	IdleTimeout              float64 // cache servers close one that stood idle for so long
}

// ConnectionPools is all cache servers.
type ConnectionPools struct {
	loop            *eventloop.Loop
	limits          Limits
	log             zerolog.Logger
	newCodec        func(ReplyHandler) Codec
	servers         map[uint64]*serverPool
	connectionCount int // of all servers
	sentAttempts    uint64
	closeCounts     [closeReasonCount]uint64 // connections that ended with something owed
	closed          bool
}

// serverPool is one cache serverPool and its connections.
type serverPool struct {
	pools         *ConnectionPools
	addr          netip.AddrPort
	listed        bool
	connections   []*connection // up or coming up
	idle          []*connection // of these, up with nothing out; the last was used last
	connecting    int           // of these, not up yet
	waiting       []*attempt
	loggedFailing bool // as last logged
}

// New makes an empty fleet.
func New(loop *eventloop.Loop, limits Limits, wire func(ReplyHandler) Codec, log zerolog.Logger) *ConnectionPools {
	f := &ConnectionPools{loop: loop, limits: limits, newCodec: wire, log: log, servers: map[uint64]*serverPool{}}
	f.closeExpiredIdle()
	return f
}

// SentAttempts counts the executions whose last byte the kernel has taken, since the start.
func (f *ConnectionPools) SentAttempts() uint64 { return f.sentAttempts }

// IdleConnections counts the connections that stand idle.
func (f *ConnectionPools) IdleConnections() (n int) {
	for _, s := range f.servers {
		n += len(s.idle)
	}
	return n
}

// SetMaxConnections sets how many connections there may be from now on; of those beyond it the idle ones are closed.
func (f *ConnectionPools) SetMaxConnections(connections int) {
	f.limits.MaxConnections = connections
	for f.connectionCount > connections && f.closeOldestIdle() {
	}
}

// SetEndpoint takes a server's address, known from now on.
func (f *ConnectionPools) SetEndpoint(id uint64, addr netip.AddrPort) {
	s := f.servers[id]
	if s == nil {
		s = &serverPool{pools: f}
		f.servers[id] = s
	}
	if s.listed = true; s.addr != addr && addr.IsValid() {
		s.addr = addr
		s.onAddressChange()
	}
}

// onAddressChange leaves the connections to the address before: another server may be there by now. What is out on them goes on, what is not
// written is not, and what waits for one gets a new one.
func (s *serverPool) onAddressChange() {
	s.closeIdle()
	for _, l := range slices.Clone(s.connections) {
		if l.cancelUnsent(); !l.established {
			l.close()
		}
	}
	s.assignWaiting()
}

// RemoveEndpoint takes that a server wants nothing new: no connection is kept open to it, and what still waits for one
// is not sent, lest it go out after the grace.
func (f *ConnectionPools) RemoveEndpoint(id uint64) {
	if s := f.servers[id]; s != nil {
		s.listed = false
		f.CancelUnsent(id)
		delete(f.servers, id) // what is out there goes on
	}
}

// CancelUnsent gives up what still waits for a connection to a server or to be written there, and closes idle ones.
func (f *ConnectionPools) CancelUnsent(id uint64) {
	if s := f.servers[id]; s != nil {
		for _, a := range s.waiting {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
		s.waiting = nil
		for _, l := range slices.Clone(s.connections) {
			l.cancelUnsent()
		}
		s.closeIdle()
	}
}

// cancelUnsent gives up what is on the connection and has not begun to leave.
func (l *connection) cancelUnsent() {
	for _, a := range slices.Clone(l.inFlight) {
		if !a.settled && l.withdraw(a) {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
	}
}

// Close lets go of all connections and timers; nothing may be out.
func (f *ConnectionPools) Close() {
	f.closed = true
	for id := range f.servers {
		f.RemoveEndpoint(id)
	}
}

// StartAttempt begins an execution; it is given up after limit, or where it is not written after within.
func (f *ConnectionPools) StartAttempt(id uint64, op *requestcore.Request, limit, within float64, x requestcore.AttemptObserver) requestcore.PendingAttempt {
	a := &attempt{request: op, onEnd: x.OnAttemptEnd, stillWanted: x.StillWanted}
	f.start(id, a, limit, within)
	return a
}

// Probe asks a server whether it is there.
func (f *ConnectionPools) Probe(id uint64, ended func(balancer.Outcome)) {
	a := &attempt{onEnd: func(how balancer.Outcome, _ requestcore.Result) { ended(how) }}
	limit := f.limits.ConnectTimeout + 0.1 // a round trip in a fleet is far below a tenth of a second
	f.start(id, a, limit, limit)
}

func (f *ConnectionPools) start(id uint64, a *attempt, limit, within float64) {
	s := f.servers[id]
	if s == nil { // not listed with an address
		s = &serverPool{pools: f}
	}
	a.pool = s
	a.deadline = f.loop.Now() + limit
	a.timer = f.loop.Timer(a.onTimer)
	a.awaitsSendDeadline, a.sendDeadline = within < limit, a.deadline-max(0, limit-within)
	a.timer.Set(a.sendDeadline)
	s.dispatch(a)
}

// closeExpiredIdle closes what has stood idle for long: an execution written to a connection that the server is just
// closing may have run.
func (f *ConnectionPools) closeExpiredIdle() {
	if f.closed {
		return
	}
	for _, s := range f.servers {
		s.closeExpiredIdle()
	}
	f.loop.After(max(f.limits.IdleTimeout/8, 0.1), f.closeExpiredIdle)
}

// closeExpiredIdle closes what has stood idle for long. It is looked at when one is picked, too: the loop may have been stopped meanwhile.
func (s *serverPool) closeExpiredIdle() {
	old := s.pools.loop.Now() - s.pools.limits.IdleTimeout*3/4
	for len(s.idle) > 0 && s.idle[0].idleSince < old {
		s.idle[0].close()
	}
}

// dispatch puts an attempt on an idle connection, else on the first that becomes free or comes up.
func (s *serverPool) dispatch(a *attempt) {
	s.closeExpiredIdle()
	for len(s.idle) > 0 {
		l := s.pickIdle()
		if l.socket.Quiet() {
			l.send(a)
			return
		}
		l.close() // it has ended or was spoken on out of turn: what would be written now might be lost
	}
	s.waiting = append(s.waiting, a)
	s.assignWaiting()
}

// assignWaiting finds connections for what waits: new ones, and where no more may be opened those that have something out, behind which
// it waits for the answers before it.
func (s *serverPool) assignWaiting() {
	s.dial()
	for len(s.waiting) > s.connecting {
		var least *connection
		for _, l := range s.connections {
			if l.established && l.addr == s.addr && l.body == nil && len(l.inFlight) < s.pools.limits.MaxInFlightPerConnection &&
				(least == nil || len(l.inFlight) < len(least.inFlight)) && !l.socket.Ended() {
				least = l
			}
		}
		first := s.waiting[s.connecting] // for which no connection comes up
		switch {
		case first.expired():
			first.abandon(balancer.NotAttempted)
		case least != nil:
			s.removeWaiting(first)
			least.send(first)
		case len(s.connections) == 0: // no descriptor is to be had
			s.removeWaiting(first)
			first.settle(balancer.NotAttempted, requestcore.Result{})
		default:
			return
		}
	}
}

const minIdleBeforeReuse = 0.005 // seconds; an end sent with or right after an answer has come by then, from any place in a fleet

// pickIdle gives the idle connection that was used last, but not just now: a server that ends a connection after an
// answer may not be heard of yet, and what is written there may have run.
func (s *serverPool) pickIdle() *connection {
	now := s.pools.loop.Now()
	for _, l := range slices.Backward(s.idle) {
		if now-l.idleSince > minIdleBeforeReuse {
			return l
		}
	}
	return s.idle[len(s.idle)-1]
}

// removeWaiting takes an attempt out of those that wait for a connection.
func (s *serverPool) removeWaiting(a *attempt) bool {
	i := slices.Index(s.waiting, a)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	return i >= 0
}

// dial opens a connection for each attempt that waits, as far as the bounds allow.
func (s *serverPool) dial() {
	f := s.pools
	for s.connecting < len(s.waiting) && len(s.connections) < max(1, f.limits.MaxConnections/max(1, len(f.servers))) && f.makeCapacity() {
		l := &connection{pool: s, addr: s.addr}
		l.codec = f.newCodec(l)
		conn, err := f.loop.Dial(s.addr, l)
		if err != nil {
			f.log.Warn().Err(err).Stringer("server", s.addr).Msg("no connection")
			a, how := s.waiting[0], balancer.NotAttempted // a lack of descriptors here says nothing against the server
			if eventloop.Refused(err) {
				how = balancer.ConnectFailed
			}
			s.removeWaiting(a)
			a.settle(how, requestcore.Result{})
			continue
		}
		l.socket = conn
		l.timer = f.loop.Timer(l.onConnectTimeout)
		l.timer.Set(f.loop.Now() + f.limits.ConnectTimeout)
		s.connections = append(s.connections, l)
		s.connecting++
		f.connectionCount++
	}
}

// makeCapacity tells whether one more connection may be opened, and makes makeCapacity by the one that has stood idle longest: with more
// servers than connections, those that were asked first would keep the others from ever being asked.
func (f *ConnectionPools) makeCapacity() bool {
	return f.connectionCount < f.limits.MaxConnections || f.closeOldestIdle() && f.connectionCount < f.limits.MaxConnections
}

// closeOldestIdle closes the connection that has stood idle longest, if any has.
func (f *ConnectionPools) closeOldestIdle() bool {
	var oldest *connection
	for _, s := range f.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].idleSince < oldest.idleSince) {
			oldest = s.idle[0]
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// failureTexts tell in the log how an execution failed there.
var failureTexts = map[balancer.Outcome]string{balancer.ConnectFailed: "no connection", balancer.ConnectionLost: "connection lost",
	balancer.TimedOut: "no answer", balancer.ServerError: "an error"}

// logHealthChange logs that a server begins to fail, or answers again.
func (s *serverPool) logHealthChange(how balancer.Outcome) {
	switch word := failureTexts[how]; {
	case word != "" && !s.loggedFailing:
		s.loggedFailing = true
		s.pools.log.Warn().Stringer("server", s.addr).Str("how", word).Msg("a cache server fails")
	case how == balancer.Succeeded && s.loggedFailing:
		s.loggedFailing = false
		s.pools.log.Info().Stringer("server", s.addr).Msg("a cache server answers again")
	}
}

func (s *serverPool) closeIdle() {
	for len(s.idle) > 0 {
		s.idle[0].close()
	}
}

// release takes a connection with nothing out.
func (s *serverPool) release(l *connection) {
	for len(s.waiting) > 0 && s.waiting[0].expired() {
		s.waiting[0].abandon(balancer.NotAttempted)
	}
	if waits := len(s.waiting) > 0 && l.addr == s.addr; waits && l.socket.Quiet() { // else what would be written now might be lost
		a := s.waiting[0]
		s.removeWaiting(a)
		l.send(a)
		return
	} else if waits {
		l.fail(ServerClosed)
		return
	}
	l.idleSince = s.pools.loop.Now()
	if s.idle = append(s.idle, l); !s.listed || l.addr != s.addr {
		l.close()
	}
}
