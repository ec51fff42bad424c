package service

import (
	"maps"
	"slices"

	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"
)

// retiringPollSeconds is the time between two checks whether a pool that is no longer configured has open requests.
const retiringPollSeconds = 1

// poolSet holds all pools of this process.
type poolSet struct {
	newBalancer requestcore.NewBalancer
	platform    *pool
	named       map[string]*pool // the pools of the operators' file, by name
	retiring    []*pool          // no longer configured, with open requests

	retiredAttempts    uint64                             // attempts sent by closed pools
	retiredCloseCounts [len(upstream.CloseReasons)]uint64 // of closed pools, by upstream.CloseReasons
	retiredPassCounts  requestcore.PassCounts             // of closed pools
}

func newPoolSet(newBalancer requestcore.NewBalancer) poolSet {
	return poolSet{newBalancer: newBalancer, named: map[string]*pool{}}
}

// namedInOrder returns the pools of the operators' file, by name.
func (set *poolSet) namedInOrder() []*pool {
	pools := make([]*pool, 0, len(set.named))
	for _, name := range slices.Sorted(maps.Keys(set.named)) {
		pools = append(pools, set.named[name])
	}
	return pools
}

// active returns the platform's pool, followed by those of the operators' file by name.
func (set *poolSet) active() []*pool {
	return append([]*pool{set.platform}, set.namedInOrder()...)
}

// retireUnnamed removes the pools that the operators' file no longer names. Their endpoint lists are watched until
// their open requests have ended.
func (s *Service) retireUnnamed(keep map[string]bool) {
	for _, p := range s.pools.namedInOrder() {
		if keep[p.name] {
			continue
		}
		s.pools.retiring = append(s.pools.retiring, p)
		delete(s.pools.named, p.name)
		s.loop.After(retiringPollSeconds, s.closeRetired)
	}
}

// closeRetired closes the retiring pools that have no open requests, and checks the others again later.
func (s *Service) closeRetired() {
	pools := &s.pools
	pools.retiring = slices.DeleteFunc(pools.retiring, func(p *pool) bool {
		if p.core.OpenRequests() > 0 {
			return false
		}
		p.stopWatching()
		p.servers.Close()
		pools.retiredAttempts += p.servers.SentAttempts()
		pools.retiredPassCounts.Add(p.core.Counts.PassedIncomplete)
		for reason, n := range p.servers.CloseCounts() {
			pools.retiredCloseCounts[reason] += n
		}
		return true
	})
	if len(pools.retiring) > 0 && s.lifecycle.phase != Ended {
		s.loop.After(retiringPollSeconds, s.closeRetired)
	}
}
