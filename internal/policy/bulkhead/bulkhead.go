// Package bulkhead splits places of one kind between teams, so that nobody's surge takes another's last one. Each has
// places of its own that wait for it; the rest is for whoever comes. It does no I/O and has no clock.
package bulkhead

import "math"

// ReservedFraction is the part of all places that is split up for good: the other half serves whoever needs more, so that a team
// alone may still use most of what there is.
const ReservedFraction = 0.5

// Bulkhead are all places of one kind.
type Bulkhead struct {
	capacity      int
	inUse         int
	unusedReserve int // for teams that use less than their own
	partitions    map[string]*Partition
}

// Partition is one team's.
type Partition struct {
	bulkhead *Bulkhead
	reserved int
	inUse    int
	ended    bool
}

// New makes so many places for nobody yet.
func New(total int) *Bulkhead {
	return &Bulkhead{capacity: max(0, total), partitions: map[string]*Partition{}}
}

// Repartition gives each of these teams its own places, by weight. Those that are no longer named keep what they use until
// they let go of it. A team with a weight has one place of its own at the least, as long as there are enough.
func (p *Bulkhead) Repartition(total int, weights map[string]float64) {
	p.capacity = max(0, total)
	sum := 0.0
	for _, w := range weights {
		sum += max(0, w)
	}
	for name, s := range p.partitions {
		if _, there := weights[name]; !there {
			s.reserved, s.ended = 0, true
			delete(p.partitions, name)
		}
	}
	kept := ReservedFraction * float64(p.capacity)
	for name, w := range weights {
		s := p.partitions[name]
		if s == nil {
			s = &Partition{bulkhead: p}
			p.partitions[name] = s
		}
		if s.reserved = 0; sum > 0 && w > 0 {
			s.reserved = int(math.Floor(kept * w / sum))
		}
		if s.reserved == 0 && w > 0 && len(weights) <= int(kept) {
			s.reserved = 1
		}
	}
	p.unusedReserve = 0
	for _, s := range p.partitions {
		p.unusedReserve += max(0, s.reserved-s.inUse)
	}
}

// Partition gives a team's; nil if it has none.
func (p *Bulkhead) Partition(name string) *Partition { return p.partitions[name] }

// InUse is how many places are taken.
func (p *Bulkhead) InUse() int { return p.inUse }

// Capacity is how many there are.
func (p *Bulkhead) Capacity() int { return p.capacity }

// CanAcquire tells whether a team could take n places without touching what is others' own. Without a team they come from
// what is nobody's.
func (p *Bulkhead) CanAcquire(s *Partition, n int) bool {
	own := 0
	if s != nil {
		own = min(n, max(0, s.reserved-s.inUse))
	}
	return n == own || n-own <= p.capacity-p.inUse-p.unusedReserve // its own are its own, also where others were forced in
}

// TryAcquire takes n places where there is room for them; false takes none.
func (p *Bulkhead) TryAcquire(s *Partition, n int) bool {
	if !p.CanAcquire(s, n) {
		return false
	}
	p.acquire(s, n)
	return true
}

// ForceAcquire takes n places whether there are any or not: for what cannot be refused any more.
func (p *Bulkhead) ForceAcquire(s *Partition, n int) { p.acquire(s, n) }

func (p *Bulkhead) acquire(s *Partition, n int) {
	p.inUse += n
	if s != nil {
		p.adjust(s, n)
	}
}

// Release gives n places back.
func (p *Bulkhead) Release(s *Partition, n int) {
	p.inUse -= n
	if s != nil {
		p.adjust(s, -n)
	}
}

func (p *Bulkhead) adjust(s *Partition, n int) {
	before := max(0, s.reserved-s.inUse)
	s.inUse += n
	if !s.ended {
		p.unusedReserve += max(0, s.reserved-s.inUse) - before
	}
}

// Reserved is how many wait for a team, and Uses how many it has.
func (s *Partition) Reserved() int { return s.reserved }

// InUse is how many places a team has taken.
func (s *Partition) InUse() int { return s.inUse }
