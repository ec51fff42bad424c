package emulator

import (
	"math/rand/v2"

	"bendtrestle/internal/eventloop"
)

// Spec describes one cache server.
type Spec struct {
	Name, Addr    string // its instance name in the list; where it listens
	Zone, Machine string
	Cell          int
	Cores         int
	Speed         float64 // of a core
	Weight        float64 // its size as the list has it
	Queue         int     // commands that may wait for a core; beyond these they are turned away
	PerConnection int     // commands of one connection that are worked on at once
	Connections   int     // that it holds; on others every command is turned away
	Handshake     float64 // seconds of work that a new connection costs
	Idle          float64 // a connection that stands idle for so long is closed
	Keep          int     // objects
	Cancels       bool    // work whose connection has gone stops
	Cold          Cold
}

// Cold describes how a cache server starts.
type Cold struct {
	From     float64 // the part of its capacity that it has at its start
	Warm     float64 // seconds until it has all of it
	Multiple float64 // sent more than so many times what it can do at that moment ...
	Fall     float64 // ... for so long, while it is cold, it falls over and stays down
}

// Mode is what the list says of a cache server.
type Mode string

// The list's words, as the protocol has them.
const (
	Ready    Mode = "ready"
	Draining Mode = "draining"
	Gone     Mode = "gone"
)

// Server is one cache server.
type Server struct {
	Spec
	fleet           *Fleet
	rng             *rand.Rand
	processor       processor
	cache           *store
	overload        OverloadDetector
	listener        *eventloop.Listener
	unreachableAddr *unreachableAddr // while it has vanished
	conns           map[*serverConn]bool
	mode            Mode    // as it would have the list say
	started         float64 // Unix seconds; 0: long ago
	collapsed       bool

	lastListed      Mode // as the list last had it
	lastListedStart float64
	removed         bool // gone for good

	// The faults on it: each is begun and ended on its own, and they may overlap in any order.
	stalled, unreachable, refusing, crashed      int
	slowFactors                                  []float64
	corruptFraction, failFraction, resetFraction float64              // the part of answers that are spoilt, are errors, or reset instead
	endingFractions                              [endingCount]float64 // the part of long values that end so
}

func newServer(fleet *Fleet, spec Spec, rng *rand.Rand) *Server {
	server := &Server{Spec: spec, fleet: fleet, rng: rng, cache: newStore(spec.Keep), conns: map[*serverConn]bool{}, mode: Ready,
		overload: OverloadDetector{Multiple: spec.Cold.Multiple, Time: spec.Cold.Fall}}
	server.processor = processor{loop: fleet.loop, cores: max(1, spec.Cores), rate: spec.Speed}
	return server
}

// Started is when it last started, 0 for long ago.
func (s *Server) Started() float64 { return s.started }

// Fallen tells that it was pushed over while it was cold.
func (s *Server) Collapsed() bool { return s.collapsed }

// warmth is the part of its capacity that it has.
func (s *Server) capacityFraction(now float64) float64 {
	if s.started == 0 || now-s.started >= s.Cold.Warm {
		return 1
	}
	return s.Cold.From + (1-s.Cold.From)*max(0, now-s.started)/s.Cold.Warm
}

// retime brings its cores in line with its warmth and the faults on it.
func (s *Server) updateRate() {
	rate := s.Speed * s.capacityFraction(s.fleet.loop.Now())
	for _, factor := range s.slowFactors {
		rate /= factor
	}
	if s.stalled > 0 || s.crashed > 0 || s.collapsed {
		rate = 0
	}
	s.processor.setRate(rate)
}

// warm follows the warm-up in steps.
func (s *Server) warmUp() {
	s.updateRate()
	if now := s.fleet.loop.Now(); s.capacityFraction(now) < 1 && !s.removed {
		s.fleet.loop.After(s.Cold.Warm/50, s.warmUp)
	}
}

// cold makes it one that has just started, with nothing kept.
func (s *Server) startCold() {
	s.started = s.fleet.loop.Now()
	s.cache = newStore(s.Keep)
	s.overload.Reset()
	s.warmUp()
}

// attend listens, is silent or refuses, as the faults have it.
func (s *Server) updateListening() error {
	vanished := s.unreachable > 0 && s.crashed == 0
	listen := s.unreachable == 0 && s.crashed == 0 && s.refusing == 0 && !s.collapsed && !s.removed
	if !listen && s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	if !vanished && s.unreachableAddr != nil {
		s.unreachableAddr.release()
		s.unreachableAddr = nil
	}
	var err error
	if vanished && s.unreachableAddr == nil && !s.removed {
		s.unreachableAddr, err = holdUnreachable(s.Addr)
	}
	if listen && s.listener == nil {
		s.listener, err = s.fleet.loop.Listen(s.Addr, func() bool { return true }, s.accepted)
	}
	for c := range s.conns {
		c.setUnreachable(vanished)
	}
	return err
}

const unreachableListDelay = 5 // seconds until the list's makers take a machine that says nothing for gone

// vanish is a machine that is cut off: it says nothing, and is given up after a while.
func (s *Server) becomeUnreachable() error {
	s.unreachable++
	s.fleet.loop.After(unreachableListDelay, func() { s.fleet.list.recordChange(s) })
	return s.updateListening()
}

func (s *Server) becomeReachable() error {
	s.unreachable--
	s.fleet.list.recordChange(s)
	return s.updateListening()
}

// listed is what the list's makers know: whether a process runs, and what its operators want.
func (s *Server) listedMode() Mode {
	if s.crashed > 0 || s.collapsed || s.removed || s.unreachable > 0 {
		return Gone
	}
	return s.mode
}

// die resets all connections; what ran or waited is gone.
func (s *Server) dropConnections() {
	for c := range s.conns {
		c.disconnect(true)
	}
	s.processor.cancelAll()
}

// crash is a process that dies; back follows after a while, by revive.
func (s *Server) crash() {
	s.crashed++
	s.dropConnections()
	s.updateListening()
	s.updateRate()
	s.fleet.list.recordChange(s)
}

// revive ends a crash: it starts anew, cold.
func (s *Server) restart() error {
	if s.crashed--; s.crashed > 0 || s.removed {
		return nil
	}
	s.collapsed = false
	s.startCold()
	err := s.updateListening()
	s.fleet.list.recordChange(s)
	return err
}

// fall is a cold cache server that was pushed over: it stays down.
func (s *Server) collapse() {
	s.fleet.records.Falls = append(s.fleet.records.Falls, Fall{At: s.fleet.loop.Now(), Server: s})
	s.collapsed = true
	s.dropConnections()
	s.updateListening()
	s.fleet.list.recordChange(s)
}

// leave ends it for good.
func (s *Server) remove() {
	s.removed = true
	s.dropConnections()
	s.updateListening()
	s.mode = Gone
	s.fleet.list.recordChange(s)
}

// comes takes note of the work that is sent to it, and tells whether that pushed it over.
func (s *Server) addLoad(work float64) bool {
	now := s.fleet.loop.Now()
	if s.capacityFraction(now) >= 1 || s.collapsed {
		return false
	}
	if s.overload.Add(now, work, float64(s.processor.cores)*s.Speed*s.capacityFraction(now)) {
		s.collapse()
		return true
	}
	return false
}

// value makes a read's answer: who made it for which try of what, filled up to its size.
func (s *Server) newValue(execution *Execution, key string) Value {
	return NewValue(key, execution.ID, s.Name, s.fleet.nextSerial(), execution.Type.Size)
}
