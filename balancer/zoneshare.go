package balancer

import (
	"hash/crc32"
	"maps"
	"slices"

	"bendtrestle/internal/seedhash"
)

// zoneShares holds, for each zone, the fraction of its keys, from 0 to 1, that it does not answer for now. Zones
// without an entry answer for all of their keys.
type zoneShares struct {
	withheld map[string]float64
}

// serves reports whether a zone answers for a key now. The result is the same at every router.
func (z *zoneShares) serves(zone string, keyHash uint32) bool {
	withheld := z.withheld[zone]
	if withheld <= 0 {
		return true
	}
	zoneHash := uint64(crc32.ChecksumIEEE([]byte(zone)))
	return float64(seedhash.Mix(keyHash, zoneHash)) < (1-withheld)*hashRange
}

// SetZoneShare sets the share of its keys, from 0 to 1, that a zone's servers answer for from now on. A share of 0
// evacuates the zone: attempts in flight there are cancelled if a repeat of their request is harmless, so that the
// request is retried elsewhere instead of waiting until its deadline. The origin's servers are not affected.
func (b *Balancer) SetZoneShare(now float64, zone string, share float64) {
	b.now = now
	b.zones.withheld[zone] = 1 - share
	if share != 0 {
		return
	}
	inZone := func(a *attempt) bool { return a.server.Zone == zone && !b.isOrigin(a.server) }
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		req := b.requests[id]
		if b.clientRetryIsHarmless(req) {
			b.cancelAttempts(req, inZone)
		}
	}
}
