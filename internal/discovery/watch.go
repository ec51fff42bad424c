package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bendtrestle/internal/decide/pace"

	"github.com/cloudwego/netpoll"
	"github.com/rs/zerolog"
)

const (
	connected = 500 * time.Millisecond // to an agent on the same machine
	lagging   = time.Second            // to a service that has not caught up: half of what it is given for that
	bodyBound = 8 << 20                // tens of thousands of entries
)

// Rhythm is when a watch calls.
type Rhythm struct {
	Hold  time.Duration // a call waits so long for news: short, so that one that hangs is soon found
	Late  time.Duration // beyond that its answer is in doubt
	Again time.Duration // between calls while there is doubt: these do not wait for news
	Most  int           // calls out at once; with one more the oldest is given up
	Pace  pace.Pace     // between a call that failed and the next
}

// Pushed is the rhythm towards an agent on the router's own machine, which answers at once and at no cost. What it has counts as
// told, whether or not a call of ours hangs: so no call may hide it for as long as nothing new may be sent to a server that
// drains. A call is doubted 0.9 of that time after it began, in doubt another begins every half of it, and each has five more
// beside it before it is given up: one that is only slow still counts.
func Pushed(grace float64, seed uint32) Rhythm {
	grace = min(max(grace, 0.1), 1) // below it calls would be all that the agent does
	part := func(x float64) time.Duration { return time.Duration(x * grace * float64(time.Second)) }
	return Rhythm{Hold: part(0.6), Late: part(0.3), Again: part(0.5), Most: 6, Pace: pace.Pace{First: 0.2 * grace, Most: 0.2 * grace, Seed: seed}}
}

// OnRequest is the rhythm towards a service that answers all routers and wants each to ask within a time, in seconds. A call
// that it turns away costs it too, so there is one at a time. What a silent call misses counts as told 6 s after it fell
// silent, at the earliest as it began: it is given up after 2.5 s, the next begins at once, and if that one is turned away two
// more fit in, at the longest waits. Where a call was turned away waits from a sixteenth of the time within which it wants to
// be asked left it full for longer than from a quarter.
func OnRequest(within float64, seed uint32) Rhythm {
	return Rhythm{Hold: 2 * time.Second, Late: 500 * time.Millisecond, Most: 1,
		Pace: pace.Pace{First: min(max(0.1, within/4), 1), Most: min(max(within/2, 1), 2), Seed: seed}}
}

// Start is what a watch begins with.
type Start struct {
	Known  uint64 // the generation of the last list
	Same   bool   // the list service is the one that told it: changes since then will do
	Rhythm Rhythm
}

// ErrOld tells that a list is older than what is known: it is not taken, and the whole list is asked for again.
var ErrOld = errors.New("the list is older than the one that is known")

// call is one that is out, or how it ended.
type call struct {
	number int
	whole  bool   // it asks for the whole list
	from   uint64 // else for what is newer
	stop   context.CancelFunc
	list   List
	err    error
}

// watch is what Watch knows.
type watch struct {
	Start
	ctx     context.Context
	client  *http.Client
	addr    string
	whole   bool // the whole list is to be asked for
	from    uint64
	out     []*call // the oldest first
	begun   int     // calls so far
	taken   int     // the last call when a list was taken: what comes of it and of those before it is of no use
	ended   chan *call
	next    *time.Timer
	doubted bool // the last call had no answer in time
	again   bool // and the one before it
	last    string
	news    func(List) error
	failed  func(error)
	log     zerolog.Logger
}

// Watch calls the list service over and over, until ctx ends. Each list goes to news, which tells if it is not taken, each
// failure to failed; both are called on Watch's own goroutine. A service that lags behind the one before it must not take back
// what that one told of drains. A service that turns calls away has to do with all routers together: each waits longer and
// longer, for as long as all call it again at once it stays full and no router ever has the list.
func Watch(ctx context.Context, addr string, start Start, news func(List) error, failed func(error), log zerolog.Logger) {
	dialer := netpoll.NewDialer()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(_ context.Context, network, addr string) (net.Conn, error) {
			return dialer.DialTimeout(network, addr, connected)
		},
		DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	w := &watch{Start: start, ctx: ctx, client: client, addr: addr, whole: !start.Same, from: start.Known, ended: make(chan *call),
		next: time.NewTimer(0), news: news, failed: failed, log: log}
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-w.ended:
			w.answered(c)
		case <-w.next.C:
			if w.overdue() {
				w.call()
			}
		}
	}
}

// call begins a call. In doubt it does not wait for news, where others may be out beside it.
func (w *watch) call() {
	w.begun++
	hold, late := w.Rhythm.Hold, w.Rhythm.Late
	// As long as it has others beside it, and as much again: where these are refused at once nothing else would end it.
	ctx, stop := context.WithTimeout(w.ctx, 2*(hold+late)+time.Duration(w.Rhythm.Most)*w.Rhythm.Again)
	c := &call{number: w.begun, whole: w.whole, from: w.from, stop: stop}
	w.out = append(w.out, c)
	if w.doubted && w.Rhythm.Most > 1 {
		hold, late = 0, w.Rhythm.Again
	}
	url := "http://" + w.addr + "/catalog/members"
	if !c.whole {
		url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, c.from, hold.Milliseconds())
	}
	go func() {
		defer stop()
		c.list, c.err = get(ctx, w.client, url)
		select {
		case w.ended <- c:
		case <-w.ctx.Done():
		}
	}()
	w.next.Reset(hold + late)
}

// overdue takes that the time for the last call's answer is over, or that for a pause, and tells whether to call now.
func (w *watch) overdue() bool {
	if len(w.out) == 0 {
		return true
	}
	w.again, w.doubted = w.doubted, true
	w.tell(errors.New("no answer in time"))
	if len(w.out) < w.Rhythm.Most {
		return true
	}
	w.drop(w.out[0])
	if w.Rhythm.Most == 1 && w.again { // silent once, it is called anew at once; silent again, it has too much to do
		w.pause()
		return false
	}
	return true
}

// pause waits before the next call.
func (w *watch) pause() {
	w.next.Reset(time.Duration(w.Rhythm.Pace.Failed() * float64(time.Second)))
}

// drop gives a call up.
func (w *watch) drop(c *call) {
	c.stop()
	for i, x := range w.out {
		if x == c {
			w.out = append(w.out[:i], w.out[i+1:]...)
			return
		}
	}
}

// tell tells of a failure, once as long as it stays the same.
func (w *watch) tell(err error) {
	if text := err.Error(); text != w.last && w.ctx.Err() == nil {
		w.log.Warn().Err(err).Msg("the list service fails; the last list stays")
		w.last = text
		w.failed(err)
	}
}

// answered takes the end of a call.
func (w *watch) answered(c *call) {
	was := len(w.out)
	if w.drop(c); len(w.out) == was || c.number <= w.taken {
		return // it was given up, or what it tells is told
	}
	if err := w.take(c); errors.Is(err, ErrOld) {
		w.tell(err)
		w.next.Reset(lagging)
		return
	} else if err != nil {
		w.tell(err)
		w.pause()
		return
	}
	w.Rhythm.Pace.Answered()
	if w.last != "" {
		w.log.Info().Msg("the list service answers again")
	}
	w.last, w.doubted, w.again, w.taken = "", false, false, w.begun
	for len(w.out) > 0 {
		w.drop(w.out[0])
	}
	w.call()
}

// take takes a list, or tells why not.
func (w *watch) take(c *call) error {
	if c.err != nil {
		return c.err
	}
	if !c.whole && c.list.Generation < c.from {
		w.whole = true
		return fmt.Errorf("generation %d is older than what was asked for, %d", c.list.Generation, c.from)
	}
	if c.list.Faulty != "" {
		w.log.Warn().Str("fault", c.list.Faulty).Msg("entries of the list cannot be used; these servers get nothing new")
	}
	if err := w.news(c.list); err != nil {
		w.whole = true
		return err
	}
	w.whole, w.from = false, c.list.Generation
	return nil
}

func get(ctx context.Context, client *http.Client, url string) (List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return List{}, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, bodyBound))
	if err != nil {
		return List{}, err
	}
	if answer.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("the list service answers %s", answer.Status)
	}
	return Parse(body)
}
