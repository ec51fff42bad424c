package service

import (
	"context"
	"fmt"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
)

// catchUpSeconds is how long a list service may lag behind what is known: one that was moved to has the last list
// by then, or counts generations of its own.
const catchUpSeconds = 2

// endpointWatch is a watch of one list service. Its polls run on a goroutine of package discovery, which posts to
// the loop.
type endpointWatch struct {
	address         string
	startedAt       float64 // seconds of the loop's clock
	knownGeneration uint64  // that was known as it began
	stop            context.CancelFunc
}

// watchListService moves the watch to a list service. The present watch goes on until the new one has brought a whole list, so
// that no update is lost between them and an address where nothing answers costs nothing.
func (p *pool) watchListService(address string) {
	if p.nextWatch != nil {
		if p.nextWatch.address == address {
			return
		}
		p.nextWatch.stop()
		p.nextWatch = nil
	}
	if p.watch != nil && p.watch.address == address {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	start := p.watchStart()
	w := &endpointWatch{address: address, startedAt: p.service.loop.Now(), knownGeneration: start.Generation, stop: stop}
	p.nextWatch = w
	go discovery.Watch(ctx, address, start, p.listPoster(ctx, w), p.failurePoster(w),
		p.log.With().Str("discovery", address).Logger())
}

// watchStart is what a new watch begins with.
func (p *pool) watchStart() discovery.WatchStart {
	start := discovery.WatchStart{Generation: p.generation, Schedule: p.schedule}
	if len(p.initialList.Instances) > 0 {
		// The list of the last run is of the address that the start names. One named later may have generations of its
		// own, nor may it take back the drains in that list.
		start.Generation = p.initialList.Generation
		start.SameService = true
		p.generation = p.initialList.Generation
		p.initialList = discovery.EndpointList{}
	}
	p.schedule.Backoff.Seed++ // the next watch has random numbers of its own
	return start
}

// listPoster returns what the watch calls with each list, from its goroutine: it waits until the loop has taken the
// list.
func (p *pool) listPoster(ctx context.Context, w *endpointWatch) func(discovery.EndpointList) error {
	return func(list discovery.EndpointList) error {
		taken := make(chan error, 1)
		p.service.loop.Post(func() { taken <- p.onList(w, list) })
		select {
		case err := <-taken:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// failurePoster returns what the watch calls with each poll that failed, from its goroutine.
func (p *pool) failurePoster(w *endpointWatch) func(error) {
	return func(error) {
		if p.polled { // elsewhere the balancer has asked for nothing
			p.service.loop.Post(func() { p.onPollFailed(w) })
		}
	}
}

// stopWatching ends the pool's watches.
func (p *pool) stopWatching() {
	for _, w := range []*endpointWatch{p.watch, p.nextWatch} {
		if w != nil {
			w.stop()
		}
	}
}

// onList takes a list from a watch. What the watch before it brought meanwhile must not be taken back by a service
// that lags behind: this is decided here, where both come in. The error is discovery.ErrOutdated then, and the whole
// list is polled again.
func (p *pool) onList(w *endpointWatch, list discovery.EndpointList) error {
	if w != p.watch && w != p.nextWatch {
		return nil // its list service has been left
	}
	known := max(p.generation, w.knownGeneration)
	if list.Complete && list.Generation < known && p.service.loop.Now()-w.startedAt < catchUpSeconds {
		p.applyDrains(list)
		return fmt.Errorf("%w: %d, %d", discovery.ErrOutdated, list.Generation, known)
	}
	if w == p.nextWatch {
		if p.watch != nil {
			p.watch.stop()
		}
		p.watch = w
		p.nextWatch = nil
	}
	p.generation = list.Generation
	update := balancer.UpdateDelta
	if list.Complete {
		update = balancer.UpdateFull
	}
	p.applyList(update, list)
	return nil
}

// applyDrains applies the drains alone of a list that seems old. Its service may count anew: then the drains count at
// once, and if the list is old, they cost little.
func (p *pool) applyDrains(list discovery.EndpointList) {
	list.Instances = slices.DeleteFunc(list.Instances, func(entry discovery.Instance) bool {
		return entry.State != balancer.Draining
	})
	p.applyList(balancer.UpdateDelta, list)
}

// onPollFailed lets the balancer know that the list service did not answer.
func (p *pool) onPollFailed(w *endpointWatch) {
	counts := w == p.watch || p.watch == nil && w == p.nextWatch
	if counts {
		p.applyList(balancer.UpdateFailed, discovery.EndpointList{})
	}
}
