package frontend

import "hash/maphash"

// recentIDs stores the ids of recently submitted requests. Every request must have a new id: a cache server rejects a
// request with the id of another one, which would look as if the server were overloaded.
//
// A newer id replaces an older one with the same hash modulo the number of slots, so an id may be dropped early. An id
// is taken for a repeated one by mistake only if the whole hashes collide.
type recentIDs struct {
	seed  maphash.Seed
	slots [recentIDCount]recentID
}

type recentID struct {
	hash  uint64
	until float64 // by when the request has certainly ended, by the loop's clock
}

func newRecentIDs() recentIDs { return recentIDs{seed: maphash.MakeSeed()} }

// isRepeated reports whether an id was submitted recently. If not, it stores the id for the seconds that its request
// has left and commandSeconds more.
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
