package service

import (
	"context"
	"fmt"
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
)

// refuseOlderSeconds is how long after its watch began a list of a lower generation than the last known is refused,
// except for its drains. After that time the list is followed, since its service may number its generations
// independently, but servers that a later list has withdrawn stay withdrawn for longer (package membership).
const refuseOlderSeconds = 2

// endpointWatch is a watch of one list service. It polls on a goroutine of its own, which posts the lists to the loop.
type endpointWatch struct {
	address         string
	startedAt       float64 // seconds of the loop's clock
	generationsFrom float64 // when its service was first followed or began to number its generations anew; likewise
	knownGeneration uint64  // the last one known when the watch began
	followed        bool    // a list of it was applied
	stop            context.CancelFunc
}

// watchListService watches the list service at an address. The current watch continues until the new one has received
// a full list, so that no update is lost in between and an address that does not answer does no harm.
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
	now := p.service.loop.Now()
	w := &endpointWatch{
		address:         address,
		startedAt:       now,
		generationsFrom: now,
		knownGeneration: start.Generation,
		stop:            stop,
	}
	p.nextWatch = w
	go discovery.Watch(ctx, address, start, p.listPoster(ctx, w), p.failurePoster(w),
		p.log.With().Str("discovery", address).Logger())
}

// watchStart returns the state that a new watch starts from.
func (p *pool) watchStart() discovery.WatchStart {
	start := discovery.WatchStart{Generation: p.generation, Schedule: p.schedule}
	if len(p.initialList.Instances) > 0 {
		// The initial list comes from the list service that the process was started with, which the first watch polls. A
		// list service that is configured later may number its generations independently, and must not revert the drains
		// of the initial list.
		start.Generation = p.initialList.Generation
		start.SameService = true
		p.generation = p.initialList.Generation
		p.initialList = discovery.EndpointList{}
	}
	p.schedule.Backoff.Seed++ // the next watch draws other random numbers
	return start
}

// listPoster returns the function that the watch calls on its goroutine with each list. It returns once the loop has
// applied the list.
func (p *pool) listPoster(ctx context.Context, w *endpointWatch) func(discovery.EndpointList) error {
	return func(list discovery.EndpointList) error {
		applied := make(chan error, 1)
		p.service.loop.Post(func() { applied <- p.onList(w, list) })
		select {
		case err := <-applied:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// failurePoster returns the function that the watch calls on its goroutine after a failed poll.
func (p *pool) failurePoster(w *endpointWatch) func(error) {
	return func(error) {
		if p.polled { // a balancer that does not poll expects no notice
			p.service.loop.Post(func() { p.onPollFailed(w) })
		}
	}
}

// stopWatching ends the pool's watches. Entries that are held stay held.
func (p *pool) stopWatching() {
	if p.heldTimer != nil {
		p.heldTimer.Stop()
	}
	for _, w := range []*endpointWatch{p.watch, p.nextWatch} {
		if w != nil {
			w.stop()
		}
	}
}

// onList handles a list from a watch. A list service that lags behind must not revert what the previous watch has
// received meanwhile; this is checked here, where the lists of both arrive. The error is then discovery.ErrOutdated,
// and the watch polls the full list again.
func (p *pool) onList(w *endpointWatch, list discovery.EndpointList) error {
	if w != p.watch && w != p.nextWatch {
		return nil // a watch that has been replaced
	}
	known := max(p.generation, w.knownGeneration)
	now := p.service.loop.Now()
	if list.Full && list.Generation < known && now-w.startedAt < refuseOlderSeconds {
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
	if list.Full && list.Generation < p.generation && w.followed {
		w.generationsFrom = now
	}
	w.followed = true
	p.sourceSince = w.generationsFrom
	p.generation = list.Generation
	update := balancer.UpdateDelta
	if list.Full {
		update = balancer.UpdateFull
	}
	p.applyList(update, list)
	return nil
}

// applyDrains applies only the drains of a list that seems outdated. If its service has restarted its generation
// numbers, the drains are current and must not be delayed; if the list is outdated, they cost little.
func (p *pool) applyDrains(list discovery.EndpointList) {
	list.Instances = slices.DeleteFunc(list.Instances, func(entry discovery.Instance) bool {
		return entry.State != balancer.Draining
	})
	p.applyList(balancer.UpdateDelta, list)
}

// onPollFailed notifies the balancer that a poll of the list service failed.
func (p *pool) onPollFailed(w *endpointWatch) {
	current := w == p.watch || p.watch == nil && w == p.nextWatch
	if current {
		p.applyList(balancer.UpdateFailed, discovery.EndpointList{})
	}
}
