package discovery

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bendtrestle/internal/policy/pollschedule"

	"github.com/rs/zerolog"
)

// WatchStart is the initial state of a watch.
type WatchStart struct {
	Generation  uint64 // of the last known list
	SameService bool   // the last list is from the watched service, so that a delta to it is sufficient
	Schedule    pollschedule.Schedule
}

// watcher is the state of a watch. It is used only on Watch's goroutine.
type watcher struct {
	ctx    context.Context
	client *http.Client
	addr   string
	log    zerolog.Logger

	poller     *pollschedule.Poller
	startedAt  time.Time
	timer      *time.Timer                // for the answer to the last poll, or for a wait
	endedPolls chan *poll                 // sent by the goroutines of the polls
	cancels    map[int]context.CancelFunc // of the polls in flight

	needsFull   bool   // the next poll is for the full list
	generation  uint64 // otherwise for changes since this generation
	lastFailure string // "": the last poll that was not abandoned succeeded

	onList    func(EndpointList) error
	onFailure func(error)
}

// Watch polls the list service at addr until ctx ends. Each list is passed to onList, which returns an error to refuse
// it, ErrOutdated if it is older than the known list; then the full list is polled for. Each failure is passed to
// onFailure, once as long as its text stays the same. Both callbacks run on Watch's goroutine, and no poll starts while
// they run.
//
// ErrOutdated is for a service that lags behind the one used before it, whose list must not undo the drains known from
// that one. After rejected polls the backoff grows, because all routers share the service: if all of them repeated
// their polls at once, the service would stay overloaded and no router would get the list.
func Watch(ctx context.Context, addr string, start WatchStart, onList func(EndpointList) error, onFailure func(error),
	log zerolog.Logger) {
	client := newClient()
	defer client.CloseIdleConnections()
	w := &watcher{
		ctx:        ctx,
		client:     client,
		addr:       addr,
		log:        log,
		poller:     pollschedule.NewPoller(start.Schedule),
		startedAt:  time.Now(),
		timer:      time.NewTimer(0),
		endedPolls: make(chan *poll),
		cancels:    map[int]context.CancelFunc{},
		needsFull:  !start.SameService,
		generation: start.Generation,
		onList:     onList,
		onFailure:  onFailure,
	}
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-w.endedPolls:
			w.onPollEnd(p)
		case <-w.timer.C:
			w.onTimeout()
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// now returns the seconds since the watch started.
func (w *watcher) now() float64 { return time.Since(w.startedAt).Seconds() }

// startPoll starts a poll on a goroutine of its own.
func (w *watcher) startPoll() {
	next := w.poller.Start(w.now())
	ctx, cancel := context.WithTimeout(w.ctx, seconds(next.Lifetime))
	w.cancels[next.Number] = cancel
	p := &poll{number: next.Number, full: w.needsFull, sinceGeneration: w.generation}
	url := p.url(w.addr, seconds(next.LongPollWait))
	go func() {
		defer cancel()
		p.list, p.err = fetch(ctx, w.client, url)
		select {
		case w.endedPolls <- p:
		case <-w.ctx.Done():
		}
	}()
	w.timer.Reset(seconds(next.Timeout))
}

// onTimeout handles the end of the time for the answer to the last poll, or the end of a wait.
func (w *watcher) onTimeout() {
	verdict := w.poller.OnTimeout(w.now())
	if verdict.Late {
		w.reportFailure(ErrPollTimeout)
	}
	w.abandon(verdict.Abandon)
	if verdict.Wait > 0 {
		w.timer.Reset(seconds(verdict.Wait))
		return
	}
	w.startPoll()
}

// abandon ends a poll. Numbers that are not in flight, such as 0, are ignored.
func (w *watcher) abandon(number int) {
	cancel, inFlight := w.cancels[number]
	if !inFlight {
		return
	}
	cancel()
	delete(w.cancels, number)
}

// reportFailure reports a failure, once as long as its text stays the same. The next poll uses a new connection: one
// that has been idle since a failed poll may be dead, and a poll that hangs there would hide for its whole lifetime
// that the service can be reached.
func (w *watcher) reportFailure(err error) {
	w.client.CloseIdleConnections()
	text := err.Error()
	if text == w.lastFailure || w.ctx.Err() != nil {
		return
	}
	w.log.Warn().Err(err).Msg("polling the list service failed; the last endpoint list stays in use")
	w.lastFailure = text
	w.onFailure(err)
}

// onPollEnd handles the end of a poll. It ignores polls that were abandoned.
func (w *watcher) onPollEnd(p *poll) {
	w.abandon(p.number)
	if !w.poller.OnEnd(p.number) {
		return
	}
	err := w.deliver(p)
	if err != nil {
		w.reportFailure(err)
		wait := w.poller.OnFailure(w.now(), errors.Is(err, ErrOutdated))
		w.timer.Reset(seconds(wait))
		return
	}
	if w.lastFailure != "" {
		w.log.Info().Msg("the list service answers again")
	}
	w.lastFailure = ""
	for _, number := range w.poller.OnList() {
		w.abandon(number)
	}
	w.startPoll()
}

// deliver passes the list of a poll to onList. It returns an error if the list cannot be used or is refused.
func (w *watcher) deliver(p *poll) error {
	err := p.check()
	var older *GenerationError
	if errors.As(err, &older) {
		w.needsFull = true
	}
	if err != nil {
		return err
	}
	if p.list.FirstFault != "" {
		w.log.Warn().Str("fault", p.list.FirstFault).
			Msg("malformed entries in the endpoint list; their servers get no new requests")
	}
	if err := w.onList(p.list); err != nil {
		w.needsFull = true
		return err
	}
	w.needsFull = false
	w.generation = p.list.Generation
	return nil
}
