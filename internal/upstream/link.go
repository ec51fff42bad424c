package upstream

import (
	"math"
	"net/netip"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// attempt is one execution, or a probe where op is nil.
type attempt struct {
	on     *server
	op     *requestcore.Request
	ended  func(balancer.Outcome, requestcore.Result)
	until  float64
	timer  *eventloop.Timer
	early  bool        // its timer is for when it is to be written, which is before that
	latest float64     // it is not written from then on
	wanted func() bool // its operation still waits for it; nil: a probe
	link   *link       // nil while it waits for one
	parts  [][]byte    // of its command, not in its connection's buffer yet
	begun  bool        // some of it is or was there
	start  uint64      // where its first byte stands in what its connection is sent
	end    uint64      // and where its last byte does
	sent   bool        // it is counted as written
	done   bool
}

// settle tells how it ended, after the present callback.
func (a *attempt) settle(how balancer.Outcome, with requestcore.Result) {
	if !a.done {
		a.done = true
		a.timer.Stop()
		a.on.note(how)
		a.on.f.loop.Later(func() { a.ended(how, with) })
	}
}

// written tells whether its last byte was: else it never ran.
func (a *attempt) written() bool { return a.link != nil && a.link.conn.Sent() >= a.end }

// count counts it once it is written.
func (a *attempt) count() {
	if !a.sent && a.op != nil && a.written() {
		a.sent = true
		a.on.f.sends++
	}
}

// left tells whether any of it was written.
func (a *attempt) left() bool { return a.link != nil && a.begun && a.link.conn.Sent() > a.start }

// overdue gives it up at its limit, or where it was to be written by now and is not.
func (a *attempt) overdue() {
	switch {
	case !a.written():
		a.giveUp(balancer.NotAttempted)
	case a.early:
		a.early = false
		a.timer.Set(a.until)
	default:
		a.giveUp(balancer.TimedOut)
		a.on.closeIdle() // a machine cut off would be silent there too; a new connection tells within its timeout
	}
}

// lapsed tells that it must not be written any more, though the loop, which may have been stopped, has not heard of that yet: the
// time in which it was to be written is over, or its client has left.
func (a *attempt) lapsed() bool {
	return a.on.f.loop.Now() >= a.latest || a.wanted != nil && !a.wanted()
}

// Cancel gives it up.
func (a *attempt) Cancel() { a.giveUp(balancer.Cancelled) }

// CancelIfUnsent gives it up if it still waits for a connection, or on one whose kernel takes no more: its operation is answered, or
// its client has gone, and what is sent later is for nobody. One that has begun to leave goes on where that would end others.
func (a *attempt) CancelIfUnsent() {
	if !a.written() && (!a.left() || !a.link.carries(a)) {
		a.giveUp(balancer.NotAttempted)
	}
}

// giveUp ends its connection, which tells the cache server; what is piped there ends with it. What has not left is only taken
// back, and a client that leaves does not end the executions of others.
func (a *attempt) giveUp(how balancer.Outcome) {
	if a.done {
		return
	}
	if how == balancer.NotAttempted && a.left() && a.link.passage != nil {
		how = balancer.Cancelled // its rest goes on to leave, and it may run
	}
	a.settle(how, requestcore.Result{})
	switch l := a.link; {
	case l == nil:
		a.on.leave(a)
	case l.takeBack(a):
	case l.passage != nil: // a long value is before it, which must not be cut off
	case how == balancer.Cancelled && l.carries(a):
	default:
		l.broken(GivenUp)
	}
}

// link is one connection to a cache server.
type link struct {
	on      *server
	addr    netip.AddrPort // where it leads
	conn    *eventloop.Conn
	timer   *eventloop.Timer // until it is up, then until a reply that has begun must have gone on
	up      bool
	wire    Wire
	queue   []*attempt // out, in the order of their answers
	passage *passage   // of the first of them
	length  uint64     // of all that its buffer was given
	since   float64    // idle since then
	spoke   float64    // when the last whole reply was read
}

// send writes an attempt's command.
func (l *link) send(a *attempt) {
	s := l.on
	if i := slices.Index(s.idle, l); i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
	}
	a.link, a.end = l, math.MaxUint64
	l.queue = append(l.queue, a)
	a.parts = l.wire.Command(a.op, a.until-s.f.loop.Now())
	l.fill()
	a.count()
}

// Flushed goes on with what waits.
func (l *link) Flushed() {
	l.queue = slices.DeleteFunc(l.queue, func(a *attempt) bool { // before fill, which would begin the next of them
		late := len(a.parts) > 0 && !a.begun && a.lapsed()
		if late {
			a.settle(balancer.NotAttempted, requestcore.Result{})
		}
		return late
	})
	l.fill()
	for _, a := range l.queue {
		if a.count(); !a.sent && a.op != nil {
			break // nor are those behind it
		}
	}
}

// fill gives the connection's buffer what waits, one command at a time: while none of it has left it can still be taken back.
func (l *link) fill() {
	for _, a := range l.queue {
		if len(a.parts) == 0 {
			continue
		}
		if !a.begun && l.conn.Unsent() > 0 {
			return
		}
		if !a.begun {
			a.begun, a.start = true, l.length
		}
		for len(a.parts) > 0 {
			n := l.conn.Write(a.parts[0])
			l.length += uint64(n)
			if a.parts[0] = a.parts[0][n:]; len(a.parts[0]) > 0 {
				return
			}
			a.parts = a.parts[1:]
		}
		a.end = l.length
	}
}

// takeBack takes an attempt of which nothing has left from what is to be sent; false if some of it has.
func (l *link) takeBack(a *attempt) bool {
	i := slices.Index(l.queue, a)
	if i < 0 || a.left() {
		return false
	}
	if a.begun { // then the buffer holds nothing else
		l.conn.TakeBack()
		l.length = a.start
	}
	a.parts = nil
	if l.queue = slices.Delete(l.queue, i, i+1); len(l.queue) == 0 {
		l.on.free(l)
	} else {
		l.fill()
	}
	return true
}

// carries tells whether somebody waits for another execution on the connection.
func (l *link) carries(but *attempt) bool {
	return slices.ContainsFunc(l.queue, func(a *attempt) bool { return a != but && !a.done })
}

// Opened takes the end of a dial.
func (l *link) Opened() {
	l.timer.Stop()
	l.timer = l.on.f.loop.Timer(l.stalled)
	l.up = true
	l.on.coming--
	if !l.conn.Quiet() && l.addr == l.on.addr && len(l.on.waiting) > 0 {
		// It ended or spoke as it came up: another at once would fare no better, nor would all that follow, as fast as they can be made.
		a := l.on.waiting[0]
		l.on.leave(a)
		a.settle(balancer.ConnectFailed, requestcore.Result{})
		l.broken(ServerEnded)
		return
	}
	l.on.free(l)
	l.on.spread()
}

// neverUp takes the time by which a connection should have come up.
func (l *link) neverUp() {
	l.conn.Close()
	l.on.closeIdle() // they lead to the same machine, and would tell nothing for an execution's whole limit
	l.Closed()
}

// Closed takes a connection's end, or that it never came up: then the longest waiting attempt failed.
func (l *link) Closed() {
	s := l.on
	if !l.up && len(s.waiting) > 0 {
		a := s.waiting[0]
		s.leave(a)
		a.settle(balancer.ConnectFailed, requestcore.Result{})
	}
	if l.up && !l.conn.ByReset() {
		l.wire.Closed() // it may end an answer as it should; a reset is no end
	}
	l.broken(ServerEnded)
}

// broken settles all that is out on a connection and closes it. Where something is owed on it, the reason is counted, and a value that
// is cut off is logged.
func (l *link) broken(why Cut) {
	if l.owes() {
		l.on.f.cut[why]++
	}
	if l.passage != nil && l.passage.wanted() && why != ClientGone {
		l.on.f.log.Warn().Stringer("server", l.addr).Str("why", Cuts[why]).Int("length", l.passage.length).Msg("a value is cut off")
	}
	for _, a := range l.queue {
		if a.written() {
			a.settle(balancer.ConnectionLost, requestcore.Result{})
		} else {
			a.settle(balancer.ConnectFailed, requestcore.Result{})
		}
	}
	l.queue = nil
	l.cut()
	if l.conn != nil { // what was given up must not reach a machine that was cut off seconds later, when its operation has long ended
		l.conn.Forget()
	}
	l.close()
	l.on.spread()
}

// close forgets the connection.
func (l *link) close() {
	s := l.on
	i := slices.Index(s.links, l)
	if i < 0 {
		return
	}
	s.links = slices.Delete(s.links, i, i+1)
	s.f.links--
	if !l.up {
		s.coming--
	}
	if i := slices.Index(s.idle, l); i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
	}
	l.timer.Stop()
	l.conn.Close()
	l.wire.Drop()
}

// Input reads replies.
func (l *link) Input() {
	for l.conn.In.Len() > 0 {
		held := l.conn.In.Len()
		if _, err := l.wire.Read(l.conn.In); err != nil {
			l.Stray(err.Error())
			return
		}
		if l.conn.In.Len() == held {
			break // a long value that is not taken now
		}
		if !slices.Contains(l.on.links, l) {
			return // a reply ended it
		}
	}
	if l.passage != nil {
		l.timer.Set(l.on.f.loop.Now() + silent)
	} else if l.wire.Begun() {
		l.timer.Set(l.on.f.loop.Now() + l.on.f.limits.Stall)
	} else {
		l.timer.Stop()
	}
}

// stalled takes that a reply does not go on: one that says more than it holds would be waited for until the hard
// stop. What the loop has not come to read is no stall.
func (l *link) stalled() {
	if l.passage != nil && l.conn.In.Len() > 0 { // its taker has no room
		l.timer.Set(l.on.f.loop.Now() + silent)
	} else if l.conn.Unread() {
		l.timer.Set(l.on.f.loop.Now() + l.on.f.limits.Stall)
	} else {
		l.stray("a part", Silent)
	}
}

// Stray takes what no server should have sent: the connection cannot be relied on any more.
func (l *link) Stray(what string) { l.stray(what, OutOfOrder) }

func (l *link) stray(what string, why Cut) {
	l.on.f.log.Warn().Stringer("server", l.on.addr).Str("reply", what).Msg("a reply out of order")
	l.broken(why)
}

// second is how long after a reply another may come of the same command, in seconds: the slack that the protocol allows to all
// that is late.
const second = 0.05

// Answered settles the attempt whose turn it is. One that is not written yet, or a reply with none out, leaves
// the connection in no known state.
func (l *link) Answered(how balancer.Outcome, with requestcore.Result, more bool) {
	if len(l.queue) == 0 {
		l.broken(OutOfOrder)
		return
	}
	a := l.queue[0]
	l.queue = l.queue[1:]
	whole, now := a.written(), l.on.f.loop.Now()
	if how == balancer.Overloaded && a.op != nil && a.op.NotIdempotent && now-l.spoke < second {
		how = balancer.OutcomeUnknown // it may be the reply before, said twice: this names no operation, and proves nothing
	}
	l.spoke = now
	a.settle(how, with)
	switch {
	case !whole || !more:
		l.broken(Unwhole)
	case len(l.queue) == 0:
		l.on.free(l)
	}
}

// Due gives the operation whose reply is due, nil for a probe; false if none is.
func (l *link) Due() (op *requestcore.Request, due bool) {
	if len(l.queue) == 0 {
		return nil, false
	}
	return l.queue[0].op, true
}
