package membership

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// CatchUpSeconds is how long after its first list a service may lag behind what an earlier one has told.
	CatchUpSeconds = 4
	// ListDelaySeconds is how long after the first service any other may know of a withdrawal.
	ListDelaySeconds = 6
	// maxWithdrawals bounds the withdrawals that are remembered: several times the servers of a fleet.
	maxWithdrawals = 4096
)

// withdrawal is what is known of a server that a list has named as draining or has removed.
type withdrawal struct {
	generation uint64  // of the list that told of it first
	toldAt     float64 // seconds, when that was
	removed    bool    // the list does not contain the server any more
}

// Tracker remembers the servers that were withdrawn and are not ready again.
type Tracker struct {
	withdrawn map[uint64]withdrawal // by the server's id
}

// NewTracker returns a tracker without withdrawals.
func NewTracker() *Tracker { return &Tracker{withdrawn: map[uint64]withdrawal{}} }

// Withdraw records that a list has named a server as draining, or has removed it. What was told first stays: repeated
// lists do not prolong the time for which the withdrawal is kept.
func (t *Tracker) Withdraw(id uint64, removed bool, generation uint64, now float64) {
	first, known := t.withdrawn[id]
	if !known {
		first = withdrawal{generation: generation, toldAt: now}
	}
	first.generation = max(first.generation, generation)
	first.removed = removed
	t.withdrawn[id] = first
	if len(t.withdrawn) > maxWithdrawals {
		t.forgetOldest()
	}
}

// forgetOldest forgets a quarter of the withdrawals, those that were told first.
func (t *Tracker) forgetOldest() {
	ids := slices.Sorted(maps.Keys(t.withdrawn))
	slices.SortStableFunc(ids, func(a, b uint64) int { return cmp.Compare(t.withdrawn[a].toldAt, t.withdrawn[b].toldAt) })
	for _, id := range ids[:len(ids)/4] {
		delete(t.withdrawn, id)
	}
}

// ReadyEntry is an entry of a list that names a server as ready. Times are in seconds.
type ReadyEntry struct {
	ID          uint64
	StartedAt   float64 // when the server started; 0: long ago
	Generation  uint64  // of the list
	SourceSince float64 // when the list's service was first followed, or began to number its generations anew
}

// Verdict is whether an entry is believed.
type Verdict struct {
	Believed bool
	// HeldUntil is the time from which the entry is believed unless a list contradicts it before; 0 if it is believed.
	HeldUntil float64
}

// Ready returns whether an entry that names a server as ready is believed now. It is held if a list of a later
// generation has withdrawn the server, until both the entry's service and the withdrawal had the time to catch up. A
// server that has started after it was withdrawn is ready again in any case.
func (t *Tracker) Ready(entry ReadyEntry, now float64) Verdict {
	earlier, withdrawn := t.withdrawn[entry.ID]
	if !withdrawn {
		return Verdict{Believed: true}
	}
	heldUntil := max(entry.SourceSince+CatchUpSeconds, earlier.toldAt+ListDelaySeconds)
	outdated := entry.Generation < earlier.generation && entry.StartedAt <= earlier.toldAt
	if outdated && now < heldUntil {
		return Verdict{HeldUntil: heldUntil}
	}
	delete(t.withdrawn, entry.ID)
	return Verdict{Believed: true}
}

// Generation returns the generation of the list that has withdrawn a server; 0: it is not withdrawn.
func (t *Tracker) Generation(id uint64) uint64 { return t.withdrawn[id].generation }

// RecentlyRemoved returns the servers whose removal not all list services may know of yet, by id.
func (t *Tracker) RecentlyRemoved(now float64) []uint64 {
	var ids []uint64
	for _, id := range slices.Sorted(maps.Keys(t.withdrawn)) {
		earlier := t.withdrawn[id]
		if earlier.removed && now < earlier.toldAt+ListDelaySeconds {
			ids = append(ids, id)
		}
	}
	return ids
}
