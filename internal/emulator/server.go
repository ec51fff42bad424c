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
	f       *Fleet
	chance  *rand.Rand
	work    processor
	kept    *store
	tip     Tip
	ln      *eventloop.Listener
	silent  *silence // while it has vanished
	conns   map[*serverConn]bool
	mode    Mode    // as it would have the list say
	started float64 // Unix seconds; 0: long ago
	fallen  bool

	lastListed  Mode // as the list last had it
	lastStarted float64
	over        bool // gone for good

	// The faults on it: each is begun and ended on its own, and they may overlap in any order.
	stalled, vanished, refusing, dead int
	slow                              []float64
	spoil, fail, reset                float64          // the part of answers that are spoilt, are errors, or reset instead
	ends                              [endings]float64 // the part of long values that end so
}

func newServer(f *Fleet, spec Spec, chance *rand.Rand) *Server {
	s := &Server{Spec: spec, f: f, chance: chance, kept: newStore(spec.Keep), conns: map[*serverConn]bool{}, mode: Ready,
		tip: Tip{Multiple: spec.Cold.Multiple, Time: spec.Cold.Fall}}
	s.work = processor{loop: f.loop, cores: max(1, spec.Cores), rate: spec.Speed}
	return s
}

// Started is when it last started, 0 for long ago.
func (s *Server) Started() float64 { return s.started }

// Fallen tells that it was pushed over while it was cold.
func (s *Server) Fallen() bool { return s.fallen }

// warmth is the part of its capacity that it has.
func (s *Server) warmth(now float64) float64 {
	if s.started == 0 || now-s.started >= s.Cold.Warm {
		return 1
	}
	return s.Cold.From + (1-s.Cold.From)*max(0, now-s.started)/s.Cold.Warm
}

// retime brings its cores in line with its warmth and the faults on it.
func (s *Server) retime() {
	rate := s.Speed * s.warmth(s.f.loop.Now())
	for _, factor := range s.slow {
		rate /= factor
	}
	if s.stalled > 0 || s.dead > 0 || s.fallen {
		rate = 0
	}
	s.work.setRate(rate)
}

// warm follows the warm-up in steps.
func (s *Server) warm() {
	s.retime()
	if now := s.f.loop.Now(); s.warmth(now) < 1 && !s.over {
		s.f.loop.After(s.Cold.Warm/50, s.warm)
	}
}

// cold makes it one that has just started, with nothing kept.
func (s *Server) cold() {
	s.started = s.f.loop.Now()
	s.kept = newStore(s.Keep)
	s.tip.Forget()
	s.warm()
}

// attend listens, is silent or refuses, as the faults have it.
func (s *Server) attend() error {
	vanished := s.vanished > 0 && s.dead == 0
	listen := s.vanished == 0 && s.dead == 0 && s.refusing == 0 && !s.fallen && !s.over
	if !listen && s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	if !vanished && s.silent != nil {
		s.silent.end()
		s.silent = nil
	}
	var err error
	if vanished && s.silent == nil && !s.over {
		s.silent, err = beSilent(s.Addr)
	}
	if listen && s.ln == nil {
		s.ln, err = s.f.loop.Listen(s.Addr, func() bool { return true }, s.accepted)
	}
	for c := range s.conns {
		c.mute(vanished)
	}
	return err
}

const unseen = 5 // seconds until the list's makers take a machine that says nothing for gone

// vanish is a machine that is cut off: it says nothing, and is given up after a while.
func (s *Server) vanish() error {
	s.vanished++
	s.f.loop.After(unseen, func() { s.f.list.change(s) })
	return s.attend()
}

func (s *Server) reappear() error {
	s.vanished--
	s.f.list.change(s)
	return s.attend()
}

// listed is what the list's makers know: whether a process runs, and what its operators want.
func (s *Server) listed() Mode {
	if s.dead > 0 || s.fallen || s.over || s.vanished > 0 {
		return Gone
	}
	return s.mode
}

// die resets all connections; what ran or waited is gone.
func (s *Server) die() {
	for c := range s.conns {
		c.lose(true)
	}
	s.work.clear()
}

// crash is a process that dies; back follows after a while, by revive.
func (s *Server) crash() {
	s.dead++
	s.die()
	s.attend()
	s.retime()
	s.f.list.change(s)
}

// revive ends a crash: it starts anew, cold.
func (s *Server) revive() error {
	if s.dead--; s.dead > 0 || s.over {
		return nil
	}
	s.fallen = false
	s.cold()
	err := s.attend()
	s.f.list.change(s)
	return err
}

// fall is a cold cache server that was pushed over: it stays down.
func (s *Server) fall() {
	s.f.book.Falls = append(s.f.book.Falls, Fall{At: s.f.loop.Now(), Server: s})
	s.fallen = true
	s.die()
	s.attend()
	s.f.list.change(s)
}

// leave ends it for good.
func (s *Server) leave() {
	s.over = true
	s.die()
	s.attend()
	s.mode = Gone
	s.f.list.change(s)
}

// comes takes note of the work that is sent to it, and tells whether that pushed it over.
func (s *Server) comes(work float64) bool {
	now := s.f.loop.Now()
	if s.warmth(now) >= 1 || s.fallen {
		return false
	}
	if s.tip.Comes(now, work, float64(s.work.cores)*s.Speed*s.warmth(now)) {
		s.fall()
		return true
	}
	return false
}

// value makes a read's answer: who made it for which try of what, filled up to its size.
func (s *Server) value(x *Execution, key string) Value {
	return NewValue(key, x.ID, s.Name, s.f.serial(), x.Type.Size)
}
