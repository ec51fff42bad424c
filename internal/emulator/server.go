package emulator

import (
	"math/rand/v2"

	"bendtrestle/internal/eventloop"
)

// Spec describes one cache server.
type Spec struct {
	Name, Addr    string // instance name in the endpoint list; address at which it listens
	Zone, Machine string
	Cell          int
	Cores         int
	Speed         float64 // of a core; 1 does one second of work per second
	Weight        float64 // weight in the endpoint list
	Queue         int     // most commands that wait for a core; further ones are rejected
	PerConnection int     // most commands of one connection that are in progress
	Connections   int     // most connections; on further ones every command is rejected; 0: no limit
	Handshake     float64 // seconds of work for a new connection, added to its first command
	Idle          float64 // seconds after which an idle connection is closed; 0: never
	CacheSize     int     // most objects in the cache
	Cancels       bool    // it cancels work whose connection has ended
	Cold          Cold
}

// Cold describes a cache server's warm-up after its start, and the overload rule during it.
type Cold struct {
	From            float64 // fraction of its capacity at its start
	Warm            float64 // seconds until it has its full capacity
	Multiple        float64 // if the offered load exceeds this multiple of its current capacity ...
	CollapseSeconds float64 // ... for this many seconds while it is cold, it collapses and stays down
}

// Mode is the state of a cache server in the endpoint list.
type Mode string

// The modes, as the list service's protocol names them.
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
	unreachableAddr *unreachableAddr // its address while it is unreachable
	conns           map[*serverConn]bool
	mode            Mode    // the mode that its operators want
	started         float64 // Unix seconds; 0: long before the run
	collapsed       bool

	lastListed      Mode // the mode last recorded in the list
	lastListedStart float64
	removed         bool // removed permanently

	// Active faults. Each begins and ends independently, and they may overlap in any order.
	stalled, unreachable, refusing, crashed      int
	slowFactors                                  []float64
	corruptFraction, failFraction, resetFraction float64              // of answers: malformed, errors, or resets instead
	endingFractions                              [endingCount]float64 // fraction of long values with each ending
}

func newServer(fleet *Fleet, spec Spec, rng *rand.Rand) *Server {
	server := &Server{Spec: spec, fleet: fleet, rng: rng, cache: newStore(spec.CacheSize), conns: map[*serverConn]bool{},
		mode: Ready, overload: OverloadDetector{Multiple: spec.Cold.Multiple, Seconds: spec.Cold.CollapseSeconds}}
	server.processor = processor{loop: fleet.loop, cores: max(1, spec.Cores), rate: spec.Speed}
	return server
}

// Started returns when the server last started, in Unix seconds; 0: long before the run.
func (s *Server) Started() float64 { return s.started }

// Collapsed reports whether the server was overloaded while it was cold, and is down.
func (s *Server) Collapsed() bool { return s.collapsed }

// capacityFraction returns the fraction of its full capacity that the server has.
func (s *Server) capacityFraction(now float64) float64 {
	if s.started == 0 || now-s.started >= s.Cold.Warm {
		return 1
	}
	return s.Cold.From + (1-s.Cold.From)*max(0, now-s.started)/s.Cold.Warm
}

// updateRate sets the cores' speed by the warm-up and the active faults.
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

// warmUp updates the cores' speed in 50 steps until the server is warm.
func (s *Server) warmUp() {
	s.updateRate()
	if now := s.fleet.loop.Now(); s.capacityFraction(now) < 1 && !s.removed {
		s.fleet.loop.After(s.Cold.Warm/50, s.warmUp)
	}
}

// startCold puts the server into the state right after a start, with an empty cache.
func (s *Server) startCold() {
	s.started = s.fleet.loop.Now()
	s.cache = newStore(s.CacheSize)
	s.overload.Reset()
	s.warmUp()
}

// updateListening listens, makes the address unreachable or refuses connections, according to the active faults.
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

const unreachableListDelay = 5 // seconds until the list service lists an unreachable machine as gone

// becomeUnreachable cuts the server's machine off. The list service lists it as gone after unreachableListDelay.
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

// listedMode returns the mode for the endpoint list: gone if no process can be reached, else what the operators want.
func (s *Server) listedMode() Mode {
	if s.crashed > 0 || s.collapsed || s.removed || s.unreachable > 0 {
		return Gone
	}
	return s.mode
}

// dropConnections resets all connections and discards all running and waiting work.
func (s *Server) dropConnections() {
	for c := range s.conns {
		c.disconnect(true)
	}
	s.processor.cancelAll()
}

// crash ends the process. It is undone by restart.
func (s *Server) crash() {
	s.crashed++
	s.dropConnections()
	s.updateListening()
	s.updateRate()
	s.fleet.list.recordChange(s)
}

// restart ends a crash: the server starts cold.
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

// collapse takes down a cold cache server that was overloaded. It stays down until a crash fault on it ends.
func (s *Server) collapse() {
	s.fleet.records.Collapses = append(s.fleet.records.Collapses, Collapse{At: s.fleet.loop.Now(), Server: s})
	s.collapsed = true
	s.dropConnections()
	s.updateListening()
	s.fleet.list.recordChange(s)
}

// remove removes the server permanently.
func (s *Server) remove() {
	s.removed = true
	s.dropConnections()
	s.updateListening()
	s.mode = Gone
	s.fleet.list.recordChange(s)
}

// addLoad counts work that is sent to the server, and reports whether it made the server collapse.
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

// newValue returns a read's value: it names the key, the attempt and the server, filled up to the type's size.
func (s *Server) newValue(execution *Execution, key string) Value {
	return NewValue(key, execution.ID, s.Name, s.fleet.nextSerial(), execution.Type.Size)
}
