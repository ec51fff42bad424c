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
	// connectTimeout suits an agent on the same machine.
	connectTimeout = 500 * time.Millisecond
	// maxBodyBytes is enough for tens of thousands of instances.
	maxBodyBytes = 8 << 20
	listPath     = "/catalog/members"
)

// poll is one poll and its result.
type poll struct {
	number          int
	full            bool   // polls for the full list
	sinceGeneration uint64 // otherwise polls for changes since this generation
	list            EndpointList
	err             error
}

// newClient returns the HTTP client of one watch. It uses connections of the standard library, because those of netpoll
// report a reset as a close, and report a close in a way that net/http does not recognise, so that a response without a
// length was never complete. TCP keep-alive is off, because each poll has a timeout of its own.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
}

// url returns the URL of a poll. A poll for changes asks the service to hold it for longPollWait until there are any.
func (p *poll) url(addr string, longPollWait time.Duration) string {
	url := "http://" + addr + listPath
	if p.full {
		return url
	}
	return fmt.Sprintf("%s?from=%d&hold_ms=%d", url, p.sinceGeneration, longPollWait.Milliseconds())
}

// check returns an error if the answer cannot be used.
func (p *poll) check() error {
	if errors.Is(p.err, context.DeadlineExceeded) { // the poll's lifetime is over
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

// fetch requests a list. It returns when the answer has been read or ctx ends.
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
