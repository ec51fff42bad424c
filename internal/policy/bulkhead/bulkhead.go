package bulkhead

import "math"

// ReservedFraction is the part of all slots that is reserved for teams. The rest serves whoever needs more, so that a
// team alone may still use most of what there is.
const ReservedFraction = 0.5

// Bulkhead is all slots of one kind. It belongs to one goroutine.
type Bulkhead struct {
	capacity      int
	inUse         int
	unusedReserve int // reserved slots that their teams do not use
	partitions    map[string]*Partition
}

// Partition is one team's part. A team that is no longer named keeps its partition until it has released its slots.
type Partition struct {
	reserved int
	inUse    int
	ended    bool // it counts no more for the reserve
}

// New makes one with so many slots, none of them reserved.
func New(capacity int) *Bulkhead {
	return &Bulkhead{capacity: max(0, capacity), partitions: map[string]*Partition{}}
}

// Repartition sets the capacity, and reserves slots for each of these teams by weight. Teams that are no longer named
// keep the slots that they use until they release them. A team with a weight above 0 has one reserved slot at the
// least, as long as there are enough.
func (b *Bulkhead) Repartition(capacity int, weights map[string]float64) {
	b.capacity = max(0, capacity)
	b.endUnlisted(weights)
	sum := 0.0
	for _, weight := range weights {
		sum += max(0, weight)
	}
	reservable := ReservedFraction * float64(b.capacity)
	for team, weight := range weights {
		p := b.partitions[team]
		if p == nil {
			p = &Partition{}
			b.partitions[team] = p
		}
		p.reserved = 0
		if sum > 0 && weight > 0 {
			p.reserved = int(math.Floor(reservable * weight / sum))
		}
		if p.reserved == 0 && weight > 0 && len(weights) <= int(reservable) {
			p.reserved = 1
		}
	}
	b.unusedReserve = 0
	for _, p := range b.partitions {
		b.unusedReserve += p.unused()
	}
}

// endUnlisted ends the partitions of teams without a weight.
func (b *Bulkhead) endUnlisted(weights map[string]float64) {
	for team, p := range b.partitions {
		if _, named := weights[team]; !named {
			p.reserved = 0
			p.ended = true
			delete(b.partitions, team)
		}
	}
}

// Partition gives a team's; nil if it has none.
func (b *Bulkhead) Partition(team string) *Partition { return b.partitions[team] }

// InUse is how many slots are taken, by teams and others.
func (b *Bulkhead) InUse() int { return b.inUse }

// Capacity is how many slots there are.
func (b *Bulkhead) Capacity() int { return b.capacity }

// CanAcquire tells whether n slots may be taken for a team without touching what is reserved for others. A nil
// partition takes of what is not reserved.
func (b *Bulkhead) CanAcquire(p *Partition, n int) bool {
	fromReserve := 0
	if p != nil {
		fromReserve = min(n, p.unused())
	}
	if fromReserve == n {
		return true // reserved slots are the team's own, even where others have forced theirs beyond the capacity
	}
	unreserved := b.capacity - b.inUse - b.unusedReserve
	return n-fromReserve <= unreserved
}

// TryAcquire takes n slots if it can; false: it took none.
func (b *Bulkhead) TryAcquire(p *Partition, n int) bool {
	if !b.CanAcquire(p, n) {
		return false
	}
	b.adjust(p, n)
	return true
}

// ForceAcquire takes n slots whether there are any or not: for what cannot be rejected any more.
func (b *Bulkhead) ForceAcquire(p *Partition, n int) { b.adjust(p, n) }

// Release gives n slots back.
func (b *Bulkhead) Release(p *Partition, n int) { b.adjust(p, -n) }

// adjust changes the slots in use.
func (b *Bulkhead) adjust(p *Partition, n int) {
	b.inUse += n
	if p == nil {
		return
	}
	before := p.unused()
	p.inUse += n
	if !p.ended {
		b.unusedReserve += p.unused() - before
	}
}

// Reserved is how many slots wait for a team.
func (p *Partition) Reserved() int { return p.reserved }

// InUse is how many slots a team has taken.
func (p *Partition) InUse() int { return p.inUse }

// unused is how many reserved slots the team does not use.
func (p *Partition) unused() int { return max(0, p.reserved-p.inUse) }
