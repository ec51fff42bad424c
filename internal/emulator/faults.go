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
	s.updateRate()
	return func() { s.stalled--; s.updateRate() }
}

// Slow makes its cores so many times slower.
func (s *Server) Slow(factor float64) (end func()) {
	s.slowFactors = append(s.slowFactors, factor)
	s.updateRate()
	return func() {
		i := slices.Index(s.slowFactors, factor)
		s.slowFactors = slices.Delete(s.slowFactors, i, i+1)
		s.updateRate()
	}
}

// Crash ends its process: connections are reset, new ones refused; afterwards it starts anew, cold and empty.
func (s *Server) Crash() (end func() error) {
	s.crash()
	return s.restart
}

// Vanish cuts its machine off: what is open is silent, what is new never comes up; afterwards what was open is reset.
func (s *Server) Vanish() (end func() error, err error) {
	return s.becomeReachable, s.becomeUnreachable()
}

// Refuse makes it refuse new connections; those that it has go on.
func (s *Server) Refuse() (end func() error) {
	s.refusing++
	s.updateListening()
	return func() error { s.refusing--; return s.updateListening() }
}

// part adds to a part and gives the way back.
func addFraction(fraction *float64, amount float64) (end func()) {
	*fraction += amount
	return func() { *fraction = max(0, *fraction-amount) }
}

// Spoil makes a part of its answers noise, Fail errors, Reset a connection's end.
func (s *Server) Spoil(fraction float64) (end func()) {
	return addFraction(&s.corruptFraction, fraction)
}

// Fail makes a part of its answers errors.
func (s *Server) Fail(fraction float64) (end func()) { return addFraction(&s.failFraction, fraction) }

// Reset makes a part of its answers the end of their connection.
func (s *Server) Reset(fraction float64) (end func()) { return addFraction(&s.resetFraction, fraction) }

// CloseBehind makes a part of its long values the last on their connection: it gives them whole and closes in order.
func (s *Server) CloseBehind(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[closesAfterValue], fraction)
}

// ResetBehind makes it give a part of them whole and reset the connection, 0.05 s after its kernel has taken the last byte.
func (s *Server) ResetBehind(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[resetsAfterValue], fraction)
}

// BreakOff makes it close in order within a part of them.
func (s *Server) BreakOff(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[closesWithinValue], fraction)
}

// ResetUnder makes it reset the connection within a part of them.
func (s *Server) ResetUnder(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[resetsWithinValue], fraction)
}

// Cease makes it say no more within a part of them, on a connection that stays.
func (s *Server) Cease(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[stallsWithinValue], fraction)
}

// Drain makes the list say that it wants nothing new.
func (s *Server) Drain() {
	if s.mode == Ready {
		s.mode = Draining
		s.fleet.list.recordChange(s)
	}
}

// Undrain takes that back.
func (s *Server) Undrain() {
	if s.mode == Draining && !s.removed {
		s.mode = Ready
		s.fleet.list.recordChange(s)
	}
}

// Leave ends it for good.
func (s *Server) Leave() { s.remove() }

// Stall lets the origin stand still.
func (l *Ledger) Stall() (end func()) {
	l.stalled++
	l.updateRate()
	return func() { l.stalled--; l.updateRate() }
}

// Slow makes it so many times slower.
func (l *Ledger) Slow(factor float64) (end func()) {
	l.slowFactors = append(l.slowFactors, factor)
	l.updateRate()
	return func() {
		i := slices.Index(l.slowFactors, factor)
		l.slowFactors = slices.Delete(l.slowFactors, i, i+1)
		l.updateRate()
	}
}

// Ledger is the origin.
func (f *Fleet) Ledger() *Ledger { return f.origin }

// Silence lets an agent accept and say nothing.
func (a *Agent) Silence() (end func()) {
	a.withLock(func() { a.silent++ })
	return func() { a.withLock(func() { a.silent-- }) }
}

// Refuse lets it refuse connections and end those it has.
func (a *Agent) Refuse() (end func() error) {
	a.refuse()
	return a.accept
}

// Delay lets news take so many seconds longer.
func (a *Agent) Delay(extra float64) (end func()) {
	a.withLock(func() { a.extraDelays = append(a.extraDelays, extra) })
	return func() {
		a.withLock(func() {
			i := slices.Index(a.extraDelays, extra)
			a.extraDelays = slices.Delete(a.extraDelays, i, i+1)
		})
	}
}

// Freeze lets it learn nothing more.
func (a *Agent) Freeze() (end func()) {
	var at int
	a.withLock(func() { at = a.generation(); a.frozenAt = append(a.frozenAt, at) })
	return func() {
		a.withLock(func() {
			i := slices.Index(a.frozenAt, at)
			a.frozenAt = slices.Delete(a.frozenAt, i, i+1)
		})
	}
}

// Older lets it answer with the list as it was so many changes ago.
func (a *Agent) Older(changes int) (end func()) {
	a.withLock(func() { a.generationsBehind += changes })
	return func() { a.withLock(func() { a.generationsBehind -= changes }) }
}

// Heat lets a part of all operations ask for one key.
func (c *Clients) Heat(key string, fraction float64) (end func()) {
	hot := hotKey{key, fraction}
	c.hotKeys = append(c.hotKeys, hot)
	return func() {
		i := slices.Index(c.hotKeys, hot)
		c.hotKeys = slices.Delete(c.hotKeys, i, i+1)
	}
}

// Surge multiplies the arrivals of a traffic type, of a tenant, or of all where both are empty.
func (c *Clients) Surge(trafficType, tenant string, factor float64) (end func()) {
	added := surge{trafficType, tenant, factor}
	c.surges = append(c.surges, added)
	c.rescheduleArrivals()
	return func() {
		i := slices.Index(c.surges, added)
		c.surges = slices.Delete(c.surges, i, i+1)
		c.rescheduleArrivals()
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
func (c *Clients) Read(behavior Reading) (end func()) {
	c.readBehaviors = append(c.readBehaviors, behavior)
	return func() {
		i := slices.Index(c.readBehaviors, behavior)
		c.readBehaviors = slices.Delete(c.readBehaviors, i, i+1)
	}
}

// NextName names the server that comes next.
func (f *Fleet) NextName() string { return fmt.Sprintf("%ss-%03d", f.namePrefix, len(f.servers)) }
