package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// connectTimeout is for an agent on the same machine.
	connectTimeout = 500 * time.Millisecond
	// maxBodyBytes holds tens of thousands of instances.
	maxBodyBytes = 8 << 20
	listPath     = "/catalog/members"
)

// poll is one poll, and how it ended.
type poll struct {
	number          int
	full            bool   // it asks for the complete list
	sinceGeneration uint64 // else for what is newer than this generation
	list            EndpointList
	err             error
}

// newClient makes the client of one watch. Its connections are those of the standard library, for netpoll's tell a
// reset as an end, and no end as net/http knows it: an answer without a length was never complete. Polls have ends of
// their own, so no connection is kept alive.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
}

// url is what a poll asks for, held by the service for so long until there is news.
func (p *poll) url(addr string, longPollWait time.Duration) string {
	url := "http://" + addr + listPath
	if p.full {
		return url
	}
	return fmt.Sprintf("%s?from=%d&hold_ms=%d", url, p.sinceGeneration, longPollWait.Milliseconds())
}

// check returns why the answer cannot be used; nil: it can.
func (p *poll) check() error {
	if errors.Is(p.err, context.DeadlineExceeded) { // its lifetime is over
		return ErrPollTimeout
	}
	if p.err != nil {
		return p.err
	}
	if !p.full && p.list.Generation < p.sinceGeneration {
		return &GenerationError{Got: p.list.Generation, Requested: p.sinceGeneration}
	}
	return nil
}

// fetch gets a list. It returns when the answer is read, or ctx ends.
func fetch(ctx context.Context, client *http.Client, url string) (EndpointList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return EndpointList{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return EndpointList{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return EndpointList{}, err
	}
	if response.StatusCode != http.StatusOK {
		return EndpointList{}, &StatusError{response.Status}
	}
	return Parse(body)
}
