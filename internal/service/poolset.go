package service

import (
	"maps"
	"slices"

	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/upstream"
)

// retiringPollSeconds is the time between two looks whether a pool that is no longer named has requests open.
const retiringPollSeconds = 1

// poolSet is all pools of this process.
type poolSet struct {
	newBalancer requestcore.NewBalancer
	platform    *pool
	named       map[string]*pool // those of the operators' file, by name
	retiring    []*pool          // no longer named, with requests open

	retiredAttempts    uint64                             // attempts sent to servers of pools that are gone
	retiredCloseCounts [len(upstream.CloseReasons)]uint64 // connections of theirs that ended with something owed, by the reason
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

// active returns the platform's pool and behind it those of the operators' file, by name.
func (set *poolSet) active() []*pool {
	return append([]*pool{set.platform}, set.namedInOrder()...)
}

// retireUnnamed takes the pools out that the operators' file names no longer. Their endpoint lists are followed
// until what is open there has ended.
func (s *Service) retireUnnamed(stay map[string]bool) {
	for _, p := range s.pools.namedInOrder() {
		if stay[p.name] {
			continue
		}
		s.pools.retiring = append(s.pools.retiring, p)
		delete(s.pools.named, p.name)
		s.loop.After(retiringPollSeconds, s.closeRetired)
	}
}

// closeRetired closes retiring pools once nothing of theirs is open.
func (s *Service) closeRetired() {
	pools := &s.pools
	pools.retiring = slices.DeleteFunc(pools.retiring, func(p *pool) bool {
		if p.core.OpenRequests() > 0 {
			return false
		}
		p.stopWatching()
		p.servers.Close()
		pools.retiredAttempts += p.servers.SentAttempts()
		for reason, n := range p.servers.CloseCounts() {
			pools.retiredCloseCounts[reason] += n
		}
		return true
	})
	if len(pools.retiring) > 0 && s.lifecycle.phase != Ended {
		s.loop.After(retiringPollSeconds, s.closeRetired)
	}
}
