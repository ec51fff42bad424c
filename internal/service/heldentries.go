package service

import (
	"maps"
	"math"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/policy/membership"
)

// minReleaseSeconds is the least time between two looks at the held entries.
const minReleaseSeconds = 0.01

// heldEntry is an entry of an endpoint list that names a server as ready, and is not believed yet because a list of a
// later generation has withdrawn the server.
type heldEntry struct {
	instance   discovery.Instance
	generation uint64 // of the list that names it as ready
}

// recordWithdrawals records the servers that a list names as draining or removes, before the list is applied.
func (p *pool) recordWithdrawals(update balancer.EndpointUpdate, list discovery.EndpointList) {
	now := p.service.loop.Now()
	for _, entry := range list.Instances {
		if entry.State != balancer.Ready {
			p.withdrawals.Withdraw(entry.ID, entry.State == balancer.Removed, list.Generation, now)
		}
	}
	if update != balancer.UpdateFull {
		return
	}
	listed := make(map[uint64]bool, len(list.Instances))
	for _, entry := range list.Instances {
		listed[entry.ID] = true
	}
	for id := range p.endpoints {
		if !listed[id] {
			p.withdrawals.Withdraw(id, true, list.Generation, now)
		}
	}
}

// holdOutdated returns the list with those entries as draining that are not believed yet, and schedules when they will
// be.
func (p *pool) holdOutdated(update balancer.EndpointUpdate, list discovery.EndpointList) discovery.EndpointList {
	if update == balancer.UpdateFull || update == balancer.UpdateSaved {
		clear(p.held)
	}
	now := p.service.loop.Now()
	instances := list.Instances
	held := 0
	for i, entry := range list.Instances {
		delete(p.held, entry.ID)
		if entry.State != balancer.Ready {
			continue
		}
		verdict := p.withdrawals.Ready(p.readyEntry(entry, list.Generation), now)
		if verdict.Believed {
			continue
		}
		if held == 0 { // the caller's list stays as it is
			instances = slices.Clone(list.Instances)
		}
		held++
		p.held[entry.ID] = heldEntry{entry, list.Generation}
		instances[i].State = balancer.Draining
		p.releaseHeldAt(verdict.HeldUntil)
	}
	list.Instances = instances
	if held > 0 {
		p.log.Info().Uint64("generation", list.Generation).Int("held", held).
			Msg("the list names servers as ready that a later list has withdrawn; they get no requests yet")
	}
	return list
}

func (p *pool) readyEntry(entry discovery.Instance, generation uint64) membership.ReadyEntry {
	return membership.ReadyEntry{
		ID:          entry.ID,
		StartedAt:   entry.StartedAt,
		Generation:  generation,
		SourceSince: p.sourceSince,
	}
}

// releaseHeldAt has releaseHeld called at a time, in seconds of the loop's clock, or earlier if that is due already.
func (p *pool) releaseHeldAt(at float64) {
	if p.heldTimer == nil {
		p.heldTimer = p.service.loop.Timer(p.releaseHeld)
		p.nextRelease = math.Inf(1)
	}
	p.nextRelease = min(p.nextRelease, at)
	p.heldTimer.Set(p.nextRelease)
}

// releaseHeld applies the held entries that are believed by now.
func (p *pool) releaseHeld() {
	now := p.service.loop.Now()
	p.nextRelease = math.Inf(1)
	believed := discovery.EndpointList{Generation: p.generation}
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		entry := p.held[id]
		verdict := p.withdrawals.Ready(p.readyEntry(entry.instance, entry.generation), now)
		if verdict.Believed {
			believed.Instances = append(believed.Instances, entry.instance)
			continue
		}
		p.releaseHeldAt(max(verdict.HeldUntil, now+minReleaseSeconds))
	}
	if len(believed.Instances) > 0 {
		p.applyList(balancer.UpdateDelta, believed)
	}
}

// latestGeneration returns the latest generation of a list that this process acts on: that of the last list, or of an
// earlier one whose withdrawals the last list has not undone.
func (p *pool) latestGeneration() uint64 {
	latest := p.generation
	for id := range p.held {
		latest = max(latest, p.withdrawals.Generation(id))
	}
	return latest
}
