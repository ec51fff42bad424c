package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bendtrestle/internal/policy/pollschedule"

	"github.com/rs/zerolog"
)

const (
	connected = 500 * time.Millisecond // to an agent on the same machine
	bodyBound = 8 << 20                // tens of thousands of entries
)

// WatchStart is what a watch begins with.
type WatchStart struct {
	Generation  uint64 // the generation of the last list
	SameService bool   // the list service is the one that told it: changes since then will do
	Schedule    pollschedule.Schedule
}

// ErrOutdated tells that a list is older than what is known: it is not taken, and the whole list is asked for again.
var ErrOutdated = errors.New("the list is older than the one that is known")

var errLate = errors.New("no answer in time")

// call is one that is out, or how it ended.
type call struct {
	number int
	whole  bool   // it asks for the whole list
	from   uint64 // else for what is newer
	list   EndpointList
	err    error
}

// watch is what Watch knows; when to call is decided by calls.
type watch struct {
	ctx    context.Context
	client *http.Client
	addr   string
	calls  pollschedule.Calls
	began  time.Time
	stop   map[int]context.CancelFunc // of the calls that are out
	whole  bool                       // the whole list is to be asked for
	from   uint64
	ended  chan *call
	next   *time.Timer
	last   string
	news   func(EndpointList) error
	failed func(error)
	log    zerolog.Logger
}

// Watch calls the list service over and over, until ctx ends. Each list goes to news, which tells if it is not taken, each
// failure to failed; both are called on Watch's own goroutine. A service that lags behind the one before it must not take back
// what that one told of drains. A service that turns calls away has to do with all routers together: each waits longer and
// longer, for as long as all call it again at once it stays full and no router ever has the list.
func Watch(ctx context.Context, addr string, start WatchStart, news func(EndpointList) error, failed func(error), log zerolog.Logger) {
	// The standard library's connections, for netpoll's tell a reset as an end, and no end as net/http knows it: an answer without a
	// length was never whole. Calls have ends of their own, so none is kept alive.
	dialer := &net.Dialer{Timeout: connected, KeepAlive: -1}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
	defer client.CloseIdleConnections()
	w := &watch{ctx: ctx, client: client, addr: addr, calls: pollschedule.Calls{Schedule: start.Schedule}, began: time.Now(), stop: map[int]context.CancelFunc{},
		whole: !start.SameService, from: start.Generation, ended: make(chan *call), next: time.NewTimer(0), news: news, failed: failed, log: log}
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-w.ended:
			w.answered(c)
		case <-w.next.C:
			w.overdue()
		}
	}
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// now is how long it has gone on, in seconds.
func (w *watch) now() float64 { return time.Since(w.began).Seconds() }

// call begins a call.
func (w *watch) call() {
	number, hold, late, life := w.calls.Begin(w.now())
	ctx, stop := context.WithTimeout(w.ctx, seconds(life))
	w.stop[number] = stop
	c := &call{number: number, whole: w.whole, from: w.from}
	url := "http://" + w.addr + "/catalog/members"
	if !c.whole {
		url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, c.from, seconds(hold).Milliseconds())
	}
	go func() {
		defer stop()
		c.list, c.err = get(ctx, w.client, url)
		select {
		case w.ended <- c:
		case <-w.ctx.Done():
		}
	}()
	w.next.Reset(seconds(late))
}

// overdue takes that the time for the last call's answer is over, or that for a pause.
func (w *watch) overdue() {
	drop, wait, late := w.calls.Overdue(w.now())
	if late {
		w.tell(errLate)
	}
	if w.drop(drop); wait > 0 {
		w.next.Reset(seconds(wait))
		return
	}
	w.call()
}

// drop gives a call up.
func (w *watch) drop(number int) {
	if stop := w.stop[number]; stop != nil {
		stop()
		delete(w.stop, number)
	}
}

// tell tells of a failure, once as long as it stays the same. The next call goes on a connection of its own: one that has stood idle
// since a call on it failed may be silent by then, and would hide a service that can be reached for as long as one that hangs.
func (w *watch) tell(err error) {
	w.client.CloseIdleConnections()
	if text := err.Error(); text != w.last && w.ctx.Err() == nil {
		w.log.Warn().Err(err).Msg("the list service fails; the last list stays")
		w.last = text
		w.failed(err)
	}
}

// answered takes the end of a call.
func (w *watch) answered(c *call) {
	w.drop(c.number)
	if !w.calls.Ended(c.number) {
		return
	}
	if err := w.take(c); err != nil {
		w.tell(err)
		w.next.Reset(seconds(w.calls.Failed(w.now(), errors.Is(err, ErrOutdated))))
		return
	}
	if w.last != "" {
		w.log.Info().Msg("the list service answers again")
	}
	w.last = ""
	for _, number := range w.calls.Told() {
		w.drop(number)
	}
	w.call()
}

// take takes a list, or tells why not.
func (w *watch) take(c *call) error {
	if errors.Is(c.err, context.DeadlineExceeded) { // its life is over
		return errLate
	}
	if c.err != nil {
		return c.err
	}
	if !c.whole && c.list.Generation < c.from {
		w.whole = true
		return fmt.Errorf("generation %d is older than what was asked for, %d", c.list.Generation, c.from)
	}
	if c.list.FirstFault != "" {
		w.log.Warn().Str("fault", c.list.FirstFault).Msg("entries of the list cannot be used; these servers get nothing new")
	}
	if err := w.news(c.list); err != nil {
		w.whole = true
		return err
	}
	w.whole, w.from = false, c.list.Generation
	return nil
}

func get(ctx context.Context, client *http.Client, url string) (EndpointList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return EndpointList{}, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return EndpointList{}, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, bodyBound))
	if err != nil {
		return EndpointList{}, err
	}
	if answer.StatusCode != http.StatusOK {
		return EndpointList{}, fmt.Errorf("the list service answers %s", answer.Status)
	}
	return Parse(body)
}
