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
	Connections    int     // to all cache servers together
	PerConnection  int     // executions that a connection carries at once
	ConnectTimeout float64 // a connection that is not up by then never comes up
	Stall          float64 // a reply that has begun and gets no further byte for so long will not go on
	Idle           float64 // cache servers close one that stood idle for so long
}

// Fleet is all cache servers.
type Fleet struct {
	loop    *eventloop.Loop
	limits  Limits
	log     zerolog.Logger
	wire    func(Link) Wire
	servers map[uint64]*server
	links   int // of all servers
	sends   uint64
	cut     [cuts]uint64 // connections that ended with something owed
	closed  bool
}

// server is one cache server and its connections.
type server struct {
	f       *Fleet
	addr    netip.AddrPort
	listed  bool
	links   []*link // up or coming up
	idle    []*link // of these, up with nothing out; the last was used last
	coming  int     // of these, not up yet
	waiting []*attempt
	failing bool // as last logged
}

// New makes an empty fleet.
func New(loop *eventloop.Loop, limits Limits, wire func(Link) Wire, log zerolog.Logger) *Fleet {
	f := &Fleet{loop: loop, limits: limits, wire: wire, log: log, servers: map[uint64]*server{}}
	f.sweep()
	return f
}

// Sends counts the executions whose last byte the kernel has taken, since the start.
func (f *Fleet) Sends() uint64 { return f.sends }

// Idle counts the connections that stand idle.
func (f *Fleet) Idle() (n int) {
	for _, s := range f.servers {
		n += len(s.idle)
	}
	return n
}

// Limit sets how many connections there may be from now on; of those beyond it the idle ones are closed.
func (f *Fleet) Limit(connections int) {
	f.limits.Connections = connections
	for f.links > connections && f.makeRoom() {
	}
}

// Listed takes a server's address, known from now on.
func (f *Fleet) Listed(id uint64, addr netip.AddrPort) {
	s := f.servers[id]
	if s == nil {
		s = &server{f: f}
		f.servers[id] = s
	}
	if s.listed = true; s.addr != addr && addr.IsValid() {
		s.addr = addr
		s.moved()
	}
}

// moved leaves the connections to the address before: another server may be there by now. What is out on them goes on, what is not
// written is not, and what waits for one gets a new one.
func (s *server) moved() {
	s.closeIdle()
	for _, l := range slices.Clone(s.links) {
		if l.letGo(); !l.up {
			l.close()
		}
	}
	s.spread()
}

// Unlisted takes that a server wants nothing new: no connection is kept open to it, and what still waits for one
// is not sent, lest it go out after the grace.
func (f *Fleet) Unlisted(id uint64) {
	if s := f.servers[id]; s != nil {
		s.listed = false
		f.LetGo(id)
		delete(f.servers, id) // what is out there goes on
	}
}

// LetGo gives up what still waits for a connection to a server or to be written there, and closes idle ones.
func (f *Fleet) LetGo(id uint64) {
	if s := f.servers[id]; s != nil {
		for _, a := range s.waiting {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
		s.waiting = nil
		for _, l := range slices.Clone(s.links) {
			l.letGo()
		}
		s.closeIdle()
	}
}

// letGo gives up what is on the connection and has not begun to leave.
func (l *link) letGo() {
	for _, a := range slices.Clone(l.queue) {
		if !a.done && l.takeBack(a) {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
	}
}

// Close lets go of all connections and timers; nothing may be out.
func (f *Fleet) Close() {
	f.closed = true
	for id := range f.servers {
		f.Unlisted(id)
	}
}

// StartAttempt begins an execution; it is given up after limit, or where it is not written after within.
func (f *Fleet) StartAttempt(id uint64, op *requestcore.Request, limit, within float64, x requestcore.AttemptObserver) requestcore.PendingAttempt {
	a := &attempt{op: op, ended: x.OnAttemptEnd, wanted: x.StillWanted}
	f.begin(id, a, limit, within)
	return a
}

// Probe asks a server whether it is there.
func (f *Fleet) Probe(id uint64, ended func(balancer.Outcome)) {
	a := &attempt{ended: func(how balancer.Outcome, _ requestcore.Result) { ended(how) }}
	limit := f.limits.ConnectTimeout + 0.1 // a round trip in a fleet is far below a tenth of a second
	f.begin(id, a, limit, limit)
}

func (f *Fleet) begin(id uint64, a *attempt, limit, within float64) {
	s := f.servers[id]
	if s == nil { // not listed with an address
		s = &server{f: f}
	}
	a.on = s
	a.until = f.loop.Now() + limit
	a.timer = f.loop.Timer(a.overdue)
	a.early, a.latest = within < limit, a.until-max(0, limit-within)
	a.timer.Set(a.latest)
	s.place(a)
}

// sweep closes what has stood idle for long: an execution written to a connection that the server is just
// closing may have run.
func (f *Fleet) sweep() {
	if f.closed {
		return
	}
	for _, s := range f.servers {
		s.age()
	}
	f.loop.After(max(f.limits.Idle/8, 0.1), f.sweep)
}

// age closes what has stood idle for long. It is looked at when one is picked, too: the loop may have been stopped meanwhile.
func (s *server) age() {
	old := s.f.loop.Now() - s.f.limits.Idle*3/4
	for len(s.idle) > 0 && s.idle[0].since < old {
		s.idle[0].close()
	}
}

// place puts an attempt on an idle connection, else on the first that becomes free or comes up.
func (s *server) place(a *attempt) {
	s.age()
	for len(s.idle) > 0 {
		l := s.rested()
		if l.conn.Quiet() {
			l.send(a)
			return
		}
		l.close() // it has ended or was spoken on out of turn: what would be written now might be lost
	}
	s.waiting = append(s.waiting, a)
	s.spread()
}

// spread finds connections for what waits: new ones, and where no more may be opened those that have something out, behind which
// it waits for the answers before it.
func (s *server) spread() {
	s.dial()
	for len(s.waiting) > s.coming {
		var least *link
		for _, l := range s.links {
			if l.up && l.addr == s.addr && l.passage == nil && len(l.queue) < s.f.limits.PerConnection &&
				(least == nil || len(l.queue) < len(least.queue)) && !l.conn.Ended() {
				least = l
			}
		}
		first := s.waiting[s.coming] // for which no connection comes up
		switch {
		case first.lapsed():
			first.giveUp(balancer.NotAttempted)
		case least != nil:
			s.leave(first)
			least.send(first)
		case len(s.links) == 0: // no descriptor is to be had
			s.leave(first)
			first.settle(balancer.NotAttempted, requestcore.Result{})
		default:
			return
		}
	}
}

const rest = 0.005 // seconds; an end sent with or right after an answer has come by then, from any place in a fleet

// rested gives the idle connection that was used last, but not just now: a server that ends a connection after an
// answer may not be heard of yet, and what is written there may have run.
func (s *server) rested() *link {
	now := s.f.loop.Now()
	for _, l := range slices.Backward(s.idle) {
		if now-l.since > rest {
			return l
		}
	}
	return s.idle[len(s.idle)-1]
}

// leave takes an attempt out of those that wait for a connection.
func (s *server) leave(a *attempt) bool {
	i := slices.Index(s.waiting, a)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	return i >= 0
}

// dial opens a connection for each attempt that waits, as far as the bounds allow.
func (s *server) dial() {
	f := s.f
	for s.coming < len(s.waiting) && len(s.links) < max(1, f.limits.Connections/max(1, len(f.servers))) && f.room() {
		l := &link{on: s, addr: s.addr}
		l.wire = f.wire(l)
		conn, err := f.loop.Dial(s.addr, l)
		if err != nil {
			f.log.Warn().Err(err).Stringer("server", s.addr).Msg("no connection")
			a, how := s.waiting[0], balancer.NotAttempted // a lack of descriptors here says nothing against the server
			if eventloop.Refused(err) {
				how = balancer.ConnectFailed
			}
			s.leave(a)
			a.settle(how, requestcore.Result{})
			continue
		}
		l.conn = conn
		l.timer = f.loop.Timer(l.neverUp)
		l.timer.Set(f.loop.Now() + f.limits.ConnectTimeout)
		s.links = append(s.links, l)
		s.coming++
		f.links++
	}
}

// room tells whether one more connection may be opened, and makes room by the one that has stood idle longest: with more
// servers than connections, those that were asked first would keep the others from ever being asked.
func (f *Fleet) room() bool {
	return f.links < f.limits.Connections || f.makeRoom() && f.links < f.limits.Connections
}

// makeRoom closes the connection that has stood idle longest, if any has.
func (f *Fleet) makeRoom() bool {
	var oldest *link
	for _, s := range f.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].since < oldest.since) {
			oldest = s.idle[0]
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// words tell in the log how an execution failed there.
var words = map[balancer.Outcome]string{balancer.ConnectFailed: "no connection", balancer.ConnectionLost: "connection lost",
	balancer.TimedOut: "no answer", balancer.ServerError: "an error"}

// note logs that a server begins to fail, or answers again.
func (s *server) note(how balancer.Outcome) {
	switch word := words[how]; {
	case word != "" && !s.failing:
		s.failing = true
		s.f.log.Warn().Stringer("server", s.addr).Str("how", word).Msg("a cache server fails")
	case how == balancer.Succeeded && s.failing:
		s.failing = false
		s.f.log.Info().Stringer("server", s.addr).Msg("a cache server answers again")
	}
}

func (s *server) closeIdle() {
	for len(s.idle) > 0 {
		s.idle[0].close()
	}
}

// free takes a connection with nothing out.
func (s *server) free(l *link) {
	for len(s.waiting) > 0 && s.waiting[0].lapsed() {
		s.waiting[0].giveUp(balancer.NotAttempted)
	}
	if waits := len(s.waiting) > 0 && l.addr == s.addr; waits && l.conn.Quiet() { // else what would be written now might be lost
		a := s.waiting[0]
		s.leave(a)
		l.send(a)
		return
	} else if waits {
		l.broken(ServerEnded)
		return
	}
	l.since = s.f.loop.Now()
	if s.idle = append(s.idle, l); !s.listed || l.addr != s.addr {
		l.close()
	}
}
