package discovery

import (
	"context"
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
	hold      = 2 * time.Second        // a call waits for news: short, so that a connection that hangs is soon found
	patience  = 500 * time.Millisecond // beyond that an answer from the same machine is not coming
	connected = 500 * time.Millisecond // to an agent on the same machine
	catchUp   = 2 * time.Second        // a service that was moved to has the last list by then, or counts its own way
	bodyBound = 8 << 20                // tens of thousands of entries
)

// Start is what a watch begins with.
type Start struct {
	Known uint64    // the generation of the last list; a list older than that is taken only if none as new comes for a while
	Same  bool      // the list service is the one that told it: changes since then will do
	Pace  pace.Pace // between a call that failed and the next
}

// Watch calls the list service over and over, until ctx ends. Each list goes to news, each failure to failed;
// both are called on Watch's own goroutine. A service that lags behind the one before it must not take back what that
// one told of drains. A service that turns calls away has to do with all routers together: each waits longer and
// longer, for as long as all call it again at once it stays full and no router ever has the list.
func Watch(ctx context.Context, addr string, start Start, news func(List), failed func(error), log zerolog.Logger) {
	dialer := netpoll.NewDialer()
	client := http.Client{Transport: &http.Transport{
		DialContext: func(_ context.Context, network, addr string) (net.Conn, error) {
			return dialer.DialTimeout(network, addr, connected)
		},
		DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	known, waits, since := start.Known, start.Pace, time.Now()
	whole, from := !start.Same, known // until a whole list has come, it is asked for
	for last := ""; ctx.Err() == nil; {
		url := "http://" + addr + "/catalog/members"
		if !whole {
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, from, hold.Milliseconds())
		}
		l, err := call(ctx, &client, url)
		if whole && err == nil && l.Generation < known && time.Since(since) < catchUp {
			err = fmt.Errorf("generation %d is older than the last list, %d", l.Generation, known)
		} else if !whole && err == nil && l.Generation < from {
			whole, err = true, fmt.Errorf("generation %d is older than what was asked for, %d", l.Generation, from)
		}
		if err == nil {
			waits.Answered()
			if last != "" {
				log.Info().Msg("the list service answers again")
			}
			last, whole, from = "", false, l.Generation
			news(l)
			continue
		}
		if text := err.Error(); text != last && ctx.Err() == nil {
			log.Warn().Err(err).Msg("the list service fails; the last list stays")
			last = text
			failed(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(waits.Failed() * float64(time.Second))):
		}
	}
}

func call(ctx context.Context, client *http.Client, url string) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+patience)
	defer cancel()
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
