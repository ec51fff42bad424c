package bulkhead

import "math"

// ReservedFraction is the fraction of all slots that is reserved for teams. The rest is available to all, so that a
// single busy team can still use most of the slots.
const ReservedFraction = 0.5

// Bulkhead manages the slots of one kind. It belongs to one goroutine.
type Bulkhead struct {
	capacity      int
	inUse         int
	unusedReserve int // reserved slots that their teams do not use now
	partitions    map[string]*Partition
}

// Partition is one team's slots. A team that Repartition no longer lists keeps its partition until it has released its
// slots.
type Partition struct {
	reserved int
	inUse    int
	ended    bool // the team is no longer listed; unusedReserve does not include this partition
}

// New returns a bulkhead with the given number of slots, none of them reserved.
func New(capacity int) *Bulkhead {
	return &Bulkhead{capacity: max(0, capacity), partitions: map[string]*Partition{}}
}

// Repartition sets the capacity, and reserves slots for the listed teams by weight. Teams that are no longer listed
// keep the slots that they use until they release them. Each team with a weight above 0 has at least one reserved slot,
// if there are enough reserved slots for all teams.
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

// endUnlisted ends the partitions of teams that are not in weights.
func (b *Bulkhead) endUnlisted(weights map[string]float64) {
	for team, p := range b.partitions {
		if _, named := weights[team]; !named {
			p.reserved = 0
			p.ended = true
			delete(b.partitions, team)
		}
	}
}

// Partition returns the partition of a team, or nil if it has none.
func (b *Bulkhead) Partition(team string) *Partition { return b.partitions[team] }

// InUse returns the number of slots in use, with or without a partition.
func (b *Bulkhead) InUse() int { return b.inUse }

// Capacity returns the number of slots.
func (b *Bulkhead) Capacity() int { return b.capacity }

// CanAcquire reports whether n slots can be acquired for a partition without using slots that are reserved for others.
// With a nil partition, only unreserved slots can be acquired.
func (b *Bulkhead) CanAcquire(p *Partition, n int) bool {
	fromReserve := 0
	if p != nil {
		fromReserve = min(n, p.unused())
	}
	if fromReserve == n {
		return true // reserved slots are available even if ForceAcquire has exceeded the capacity
	}
	unreserved := b.capacity - b.inUse - b.unusedReserve
	return n-fromReserve <= unreserved
}

// TryAcquire acquires n slots if CanAcquire allows it, and reports whether it did.
func (b *Bulkhead) TryAcquire(p *Partition, n int) bool {
	if !b.CanAcquire(p, n) {
		return false
	}
	b.adjust(p, n)
	return true
}

// ForceAcquire acquires n slots even if none are free, for work that can no longer be rejected.
func (b *Bulkhead) ForceAcquire(p *Partition, n int) { b.adjust(p, n) }

// Release releases n slots.
func (b *Bulkhead) Release(p *Partition, n int) { b.adjust(p, -n) }

// adjust adds n, which may be negative, to the slots in use.
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

// Reserved returns the number of slots that are reserved for the team.
func (p *Partition) Reserved() int { return p.reserved }

// InUse returns the number of slots that the team uses.
func (p *Partition) InUse() int { return p.inUse }

// unused returns the number of reserved slots that the team does not use.
func (p *Partition) unused() int { return max(0, p.reserved-p.inUse) }
