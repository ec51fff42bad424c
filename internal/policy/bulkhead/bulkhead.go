// Package bulkhead splits places of one kind between teams, so that nobody's surge takes another's last one. Each has
// places of its own that wait for it; the rest is for whoever comes. It does no I/O and has no clock.
package bulkhead

import "math"

// Kept is the part of all places that is split up for good: the other half serves whoever needs more, so that a team
// alone may still use most of what there is.
const Kept = 0.5

// Places are all places of one kind.
type Places struct {
	total    int
	used     int
	reserved int // for teams that use less than their own
	shares   map[string]*Share
}

// Share is one team's.
type Share struct {
	of    *Places
	own   int
	used  int
	ended bool
}

// New makes so many places for nobody yet.
func New(total int) *Places { return &Places{total: max(0, total), shares: map[string]*Share{}} }

// Split gives each of these teams its own places, by weight. Those that are no longer named keep what they use until
// they let go of it. A team with a weight has one place of its own at the least, as long as there are enough.
func (p *Places) Split(total int, weights map[string]float64) {
	p.total = max(0, total)
	sum := 0.0
	for _, w := range weights {
		sum += max(0, w)
	}
	for name, s := range p.shares {
		if _, there := weights[name]; !there {
			s.own, s.ended = 0, true
			delete(p.shares, name)
		}
	}
	kept := Kept * float64(p.total)
	for name, w := range weights {
		s := p.shares[name]
		if s == nil {
			s = &Share{of: p}
			p.shares[name] = s
		}
		if s.own = 0; sum > 0 && w > 0 {
			s.own = int(math.Floor(kept * w / sum))
		}
		if s.own == 0 && w > 0 && len(weights) <= int(kept) {
			s.own = 1
		}
	}
	p.reserved = 0
	for _, s := range p.shares {
		p.reserved += max(0, s.own-s.used)
	}
}

// Share gives a team's; nil if it has none.
func (p *Places) Share(name string) *Share { return p.shares[name] }

// Used is how many places are taken.
func (p *Places) Used() int { return p.used }

// Total is how many there are.
func (p *Places) Total() int { return p.total }

// Room tells whether a team could take n places without touching what is others' own. Without a team they come from
// what is nobody's.
func (p *Places) Room(s *Share, n int) bool {
	own := 0
	if s != nil {
		own = min(n, max(0, s.own-s.used))
	}
	return n == own || n-own <= p.total-p.used-p.reserved // its own are its own, also where others were forced in
}

// Take takes n places where there is room for them; false takes none.
func (p *Places) Take(s *Share, n int) bool {
	if !p.Room(s, n) {
		return false
	}
	p.take(s, n)
	return true
}

// Force takes n places whether there are any or not: for what cannot be refused any more.
func (p *Places) Force(s *Share, n int) { p.take(s, n) }

func (p *Places) take(s *Share, n int) {
	p.used += n
	if s != nil {
		p.hold(s, n)
	}
}

// Release gives n places back.
func (p *Places) Release(s *Share, n int) {
	p.used -= n
	if s != nil {
		p.hold(s, -n)
	}
}

func (p *Places) hold(s *Share, n int) {
	before := max(0, s.own-s.used)
	s.used += n
	if !s.ended {
		p.reserved += max(0, s.own-s.used) - before
	}
}

// Own is how many wait for a team, and Uses how many it has.
func (s *Share) Own() int { return s.own }

// Uses is how many places a team has taken.
func (s *Share) Uses() int { return s.used }
