package frontend

import "hash/maphash"

// recentIDs remembers the ids of requests that were submitted lately. Ids are new with every request; a cache server
// rejects what comes under another request's id, which would look as if the server were overloaded.
//
// A newer id takes the slot of an older one with the same hash modulo the number of slots, so that one may be forgotten
// early; none is remembered wrongly but by a collision of the whole hash.
type recentIDs struct {
	seed  maphash.Seed
	slots [recentIDCount]recentID
}

type recentID struct {
	hash  uint64
	until float64 // when the request has surely ended, by the loop's clock
}

func newRecentIDs() recentIDs { return recentIDs{seed: maphash.MakeSeed()} }

// isRepeated reports whether an id was submitted lately, and remembers it for the seconds that its request has left.
func (r *recentIDs) isRepeated(id string, now, timeLeft float64) bool {
	hash := maphash.String(r.seed, id)
	slot := &r.slots[hash%recentIDCount]
	if slot.hash == hash && now < slot.until {
		return true
	}
	slot.hash = hash
	slot.until = now + timeLeft + commandSeconds
	return false
}
