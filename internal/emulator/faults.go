package emulator

import (
	"fmt"
	"slices"
)

// The faults. Each is begun by a call and ended by the call that this gives back; any number may be on at once, also on
// one target, and end in any order.

// Stall lets a cache server's cores stand still; it goes on accepting and reading.
func (s *Server) Stall() (end func()) {
	s.stalled++
	s.retime()
	return func() { s.stalled--; s.retime() }
}

// Slow makes its cores so many times slower.
func (s *Server) Slow(factor float64) (end func()) {
	s.slow = append(s.slow, factor)
	s.retime()
	return func() {
		i := slices.Index(s.slow, factor)
		s.slow = slices.Delete(s.slow, i, i+1)
		s.retime()
	}
}

// Crash ends its process: connections are reset, new ones refused; afterwards it starts anew, cold and empty.
func (s *Server) Crash() (end func() error) {
	s.crash()
	return s.revive
}

// Vanish cuts its machine off: what is open is silent, what is new never comes up; afterwards what was open is reset.
func (s *Server) Vanish() (end func() error, err error) {
	return s.reappear, s.vanish()
}

// Refuse makes it refuse new connections; those that it has go on.
func (s *Server) Refuse() (end func() error) {
	s.refusing++
	s.attend()
	return func() error { s.refusing--; return s.attend() }
}

// part adds to a part and gives the way back.
func part(of *float64, more float64) (end func()) {
	*of += more
	return func() { *of = max(0, *of-more) }
}

// Spoil makes a part of its answers noise, Fail errors, Reset a connection's end.
func (s *Server) Spoil(more float64) (end func()) { return part(&s.spoil, more) }

// Fail makes a part of its answers errors.
func (s *Server) Fail(more float64) (end func()) { return part(&s.fail, more) }

// Reset makes a part of its answers the end of their connection.
func (s *Server) Reset(more float64) (end func()) { return part(&s.reset, more) }

// CloseBehind makes a part of its long values the last on their connection: it gives them whole and closes in order.
func (s *Server) CloseBehind(more float64) (end func()) { return part(&s.ends[closes], more) }

// ResetBehind makes it give a part of them whole and reset the connection, 0.05 s after its kernel has taken the last byte.
func (s *Server) ResetBehind(more float64) (end func()) { return part(&s.ends[resets], more) }

// BreakOff makes it close in order within a part of them.
func (s *Server) BreakOff(more float64) (end func()) { return part(&s.ends[breaksOff], more) }

// ResetUnder makes it reset the connection within a part of them.
func (s *Server) ResetUnder(more float64) (end func()) { return part(&s.ends[resetUnder], more) }

// Cease makes it say no more within a part of them, on a connection that stays.
func (s *Server) Cease(more float64) (end func()) { return part(&s.ends[ceases], more) }

// Drain makes the list say that it wants nothing new.
func (s *Server) Drain() {
	if s.mode == Ready {
		s.mode = Draining
		s.f.list.change(s)
	}
}

// Undrain takes that back.
func (s *Server) Undrain() {
	if s.mode == Draining && !s.over {
		s.mode = Ready
		s.f.list.change(s)
	}
}

// Leave ends it for good.
func (s *Server) Leave() { s.leave() }

// Stall lets the origin stand still.
func (l *Ledger) Stall() (end func()) {
	l.stalled++
	l.retime()
	return func() { l.stalled--; l.retime() }
}

// Slow makes it so many times slower.
func (l *Ledger) Slow(factor float64) (end func()) {
	l.slow = append(l.slow, factor)
	l.retime()
	return func() {
		i := slices.Index(l.slow, factor)
		l.slow = slices.Delete(l.slow, i, i+1)
		l.retime()
	}
}

// Ledger is the origin.
func (f *Fleet) Ledger() *Ledger { return f.ledger }

// Silence lets an agent accept and say nothing.
func (a *Agent) Silence() (end func()) {
	a.with(func() { a.silent++ })
	return func() { a.with(func() { a.silent-- }) }
}

// Refuse lets it refuse connections and end those it has.
func (a *Agent) Refuse() (end func() error) {
	a.refuse()
	return a.accept
}

// Delay lets news take so many seconds longer.
func (a *Agent) Delay(more float64) (end func()) {
	a.with(func() { a.behind = append(a.behind, more) })
	return func() {
		a.with(func() {
			i := slices.Index(a.behind, more)
			a.behind = slices.Delete(a.behind, i, i+1)
		})
	}
}

// Freeze lets it learn nothing more.
func (a *Agent) Freeze() (end func()) {
	var at int
	a.with(func() { at = a.generation(); a.frozen = append(a.frozen, at) })
	return func() {
		a.with(func() {
			i := slices.Index(a.frozen, at)
			a.frozen = slices.Delete(a.frozen, i, i+1)
		})
	}
}

// Older lets it answer with the list as it was so many changes ago.
func (a *Agent) Older(changes int) (end func()) {
	a.with(func() { a.old += changes })
	return func() { a.with(func() { a.old -= changes }) }
}

// Heat lets a part of all operations ask for one key.
func (c *Clients) Heat(key string, part float64) (end func()) {
	h := hotKey{key, part}
	c.hot = append(c.hot, h)
	return func() {
		i := slices.Index(c.hot, h)
		c.hot = slices.Delete(c.hot, i, i+1)
	}
}

// Surge multiplies the arrivals of a traffic type, of a tenant, or of all where both are empty.
func (c *Clients) Surge(kind, tenant string, factor float64) (end func()) {
	s := surge{kind, tenant, factor}
	c.surges = append(c.surges, s)
	c.replan()
	return func() {
		i := slices.Index(c.surges, s)
		c.surges = slices.Delete(c.surges, i, i+1)
		c.replan()
	}
}

// Reading is how a part of the clients' reads take long values.
type Reading struct {
	Part  float64 // of the tries of reads
	Rate  float64 // bytes a second; 0: as they come
	Pause float64 // seconds for which it reads nothing, once, within the value
	Leave bool    // it goes away within the value
}

// Read lets a part of the reads take long values so. Where several are on, each has its part.
func (c *Clients) Read(how Reading) (end func()) {
	c.readings = append(c.readings, how)
	return func() {
		i := slices.Index(c.readings, how)
		c.readings = slices.Delete(c.readings, i, i+1)
	}
}

// NextName names the server that comes next.
func (f *Fleet) NextName() string { return fmt.Sprintf("%ss-%03d", f.named, len(f.servers)) }
