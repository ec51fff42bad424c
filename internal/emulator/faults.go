package emulator

import (
	"fmt"
	"slices"
)

// The faults. A call begins a fault and returns the function that ends it. Any number of faults may be active together,
// also on one target, and they may end in any order.

// Stall stops a cache server's cores. It still accepts connections and reads commands.
func (s *Server) Stall() (end func()) {
	s.stalled++
	s.updateRate()
	return func() { s.stalled--; s.updateRate() }
}

// Slow makes the server's cores slower by this factor.
func (s *Server) Slow(factor float64) (end func()) {
	s.slowFactors = append(s.slowFactors, factor)
	s.updateRate()
	return func() {
		i := slices.Index(s.slowFactors, factor)
		s.slowFactors = slices.Delete(s.slowFactors, i, i+1)
		s.updateRate()
	}
}

// Crash ends the server's process: connections are reset, new ones refused. At the fault's end it restarts cold and
// empty.
func (s *Server) Crash() (end func() error) {
	s.crash()
	return s.restart
}

// MakeUnreachable cuts the server's machine off from the network: open connections fall silent and new ones are never
// established. At the fault's end the connections that were open are reset.
func (s *Server) MakeUnreachable() (end func() error, err error) {
	return s.becomeReachable, s.becomeUnreachable()
}

// Refuse makes the server refuse new connections. Open connections keep working.
func (s *Server) Refuse() (end func() error) {
	s.refusing++
	s.updateListening()
	return func() error { s.refusing--; return s.updateListening() }
}

// addFraction adds to a fraction and returns the function that subtracts it again.
func addFraction(fraction *float64, amount float64) (end func()) {
	*fraction += amount
	return func() { *fraction = max(0, *fraction-amount) }
}

// Corrupt replaces a fraction of the server's answers by malformed ones.
func (s *Server) Corrupt(fraction float64) (end func()) {
	return addFraction(&s.corruptFraction, fraction)
}

// Fail replaces a fraction of the server's answers by errors.
func (s *Server) Fail(fraction float64) (end func()) { return addFraction(&s.failFraction, fraction) }

// Reset makes the server reset the connection instead of sending a fraction of its answers.
func (s *Server) Reset(fraction float64) (end func()) { return addFraction(&s.resetFraction, fraction) }

// CloseAfterValue makes the server close the connection in order after a fraction of its long values, which it sends
// completely.
func (s *Server) CloseAfterValue(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[closesAfterValue], fraction)
}

// ResetAfterValue makes the server reset the connection after a fraction of its long values, which it sends
// completely. The reset follows 0.05 s after its kernel has taken the last byte.
func (s *Server) ResetAfterValue(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[resetsAfterValue], fraction)
}

// CloseWithinValue makes the server close the connection in order within a fraction of its long values.
func (s *Server) CloseWithinValue(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[closesWithinValue], fraction)
}

// ResetWithinValue makes the server reset the connection within a fraction of its long values.
func (s *Server) ResetWithinValue(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[resetsWithinValue], fraction)
}

// StallWithinValue makes the server stop sending within a fraction of its long values. The connection stays open.
func (s *Server) StallWithinValue(fraction float64) (end func()) {
	return addFraction(&s.endingFractions[stallsWithinValue], fraction)
}

// Drain makes the list service list a ready server as draining.
func (s *Server) Drain() {
	if s.mode == Ready {
		s.mode = Draining
		s.fleet.list.recordChange(s)
	}
}

// Undrain makes the list service list a draining server as ready again.
func (s *Server) Undrain() {
	if s.mode == Draining && !s.removed {
		s.mode = Ready
		s.fleet.list.recordChange(s)
	}
}

// Leave removes the server permanently.
func (s *Server) Leave() { s.remove() }

// Stall stops the origin's work.
func (o *Origin) Stall() (end func()) {
	o.stalled++
	o.updateRate()
	return func() { o.stalled--; o.updateRate() }
}

// Slow makes the origin slower by this factor.
func (o *Origin) Slow(factor float64) (end func()) {
	o.slowFactors = append(o.slowFactors, factor)
	o.updateRate()
	return func() {
		i := slices.Index(o.slowFactors, factor)
		o.slowFactors = slices.Delete(o.slowFactors, i, i+1)
		o.updateRate()
	}
}

// Origin returns the origin.
func (f *Fleet) Origin() *Origin { return f.origin }

// Silence makes the agent accept calls without answering them.
func (a *Agent) Silence() (end func()) {
	a.withLock(func() { a.silent++ })
	return func() { a.withLock(func() { a.silent-- }) }
}

// Refuse makes the agent refuse new connections and close open ones.
func (a *Agent) Refuse() (end func() error) {
	a.refuse()
	return a.accept
}

// Delay makes changes reach the agent this many seconds later.
func (a *Agent) Delay(extra float64) (end func()) {
	a.withLock(func() { a.extraDelays = append(a.extraDelays, extra) })
	return func() {
		a.withLock(func() {
			i := slices.Index(a.extraDelays, extra)
			a.extraDelays = slices.Delete(a.extraDelays, i, i+1)
		})
	}
}

// Freeze keeps the agent at its current generation.
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

// ServeOlder makes the agent answer with the list as it was this many changes ago.
func (a *Agent) ServeOlder(changes int) (end func()) {
	a.withLock(func() { a.generationsBehind += changes })
	return func() { a.withLock(func() { a.generationsBehind -= changes }) }
}

// AddHotKey makes a fraction of all requests use one hot key.
func (c *Clients) AddHotKey(key string, fraction float64) (end func()) {
	hot := hotKey{key, fraction}
	c.hotKeys = append(c.hotKeys, hot)
	return func() {
		i := slices.Index(c.hotKeys, hot)
		c.hotKeys = slices.Delete(c.hotKeys, i, i+1)
	}
}

// Surge multiplies the arrival rate of a traffic type, of a tenant, or of all requests if both are empty.
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

// ReadBehavior is how a fraction of the clients' reads receive long values.
type ReadBehavior struct {
	Fraction float64 // fraction of the read attempts
	Rate     float64 // bytes per second; 0: no limit
	Pause    float64 // seconds for which the client stops reading, once within the value
	Leave    bool    // the client disconnects within the value
}

// SetReadBehavior makes a fraction of the reads receive long values in this way. Several ways may be active, each
// with its fraction.
func (c *Clients) SetReadBehavior(behavior ReadBehavior) (end func()) {
	c.readBehaviors = append(c.readBehaviors, behavior)
	return func() {
		i := slices.Index(c.readBehaviors, behavior)
		c.readBehaviors = slices.Delete(c.readBehaviors, i, i+1)
	}
}

// NextName returns the name for the next server that is added.
func (f *Fleet) NextName() string { return fmt.Sprintf("%ss-%03d", f.namePrefix, len(f.servers)) }
