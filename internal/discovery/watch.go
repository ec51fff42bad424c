package discovery

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bendtrestle/internal/policy/pollschedule"

	"github.com/rs/zerolog"
)

// WatchStart is what a watch begins with.
type WatchStart struct {
	Generation  uint64 // of the last list
	SameService bool   // the list service is the one that told it: changes since then will do
	Schedule    pollschedule.Schedule
}

// watcher is what Watch knows. All of it belongs to Watch's goroutine.
type watcher struct {
	ctx    context.Context
	client *http.Client
	addr   string
	log    zerolog.Logger

	poller     *pollschedule.Poller
	startedAt  time.Time
	timer      *time.Timer                // for the last poll's answer, or for a wait
	endedPolls chan *poll                 // from the polls' goroutines
	cancels    map[int]context.CancelFunc // of the polls in flight

	needsFull   bool   // the complete list is to be asked for
	generation  uint64 // else what is newer than this one
	lastFailure string // "": the last poll that counted brought a list

	onList    func(EndpointList) error
	onFailure func(error)
}

// Watch polls the list service at addr until ctx ends. Each list goes to onList, which gives an error if it does not
// take it, ErrOutdated if it is older than what is known; then the complete list is asked for again. Each failure
// goes to onFailure, once as long as it stays the same. Both are called on Watch's own goroutine; while they run
// nothing is polled anew.
//
// A service that lags behind the one before it must not take back what that one told of drains. A service that
// rejects polls has to do with all routers together: their waits grow, for as long as all poll again at once it stays
// full and no router ever has the list.
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

// now is how long the watch has gone on, in seconds.
func (w *watcher) now() float64 { return time.Since(w.startedAt).Seconds() }

// startPoll sends a poll from a goroutine of its own.
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

// onTimeout handles the end of the time for the last poll's answer, or of a wait.
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

// abandon ends a poll. A number that is not in flight, 0 among them, is ignored.
func (w *watcher) abandon(number int) {
	cancel, inFlight := w.cancels[number]
	if !inFlight {
		return
	}
	cancel()
	delete(w.cancels, number)
}

// reportFailure reports a failure, once as long as it stays the same. The next poll goes on a connection of its own: one that
// has stood idle since a poll on it failed may be silent by then, and would hide a service that can be reached for as
// long as a poll that hangs.
func (w *watcher) reportFailure(err error) {
	w.client.CloseIdleConnections()
	text := err.Error()
	if text == w.lastFailure || w.ctx.Err() != nil {
		return
	}
	w.log.Warn().Err(err).Msg("the list service fails; the last list stays")
	w.lastFailure = text
	w.onFailure(err)
}

// onPollEnd takes how a poll ended, if it still counts.
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

// deliver hands a poll's list on, or reports why not.
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
		w.log.Warn().Str("fault", p.list.FirstFault).Msg("entries of the list cannot be used; these servers get nothing new")
	}
	if err := w.onList(p.list); err != nil {
		w.needsFull = true
		return err
	}
	w.needsFull = false
	w.generation = p.list.Generation
	return nil
}
