package tileclient

import (
	"fmt"
	"math"
	"net/http"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/http1"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
	"bendtrestle/internal/tiles"
	"bendtrestle/internal/upstream"
)

// minSecondsLeft is the minimum time left that a request carries. The request carries it in whole milliseconds, and at
// least one.
const minSecondsLeft = 1e-3

// codec is the upstream.Codec of one connection. It implements http1.ResponseHandler for its reader.
type codec struct {
	client  *Client
	replies upstream.ReplyHandler
	reader  http1.ResponseReader
	status  int             // of the current reply
	head    strings.Builder // header lines of the current reply that are forwarded
	body    []byte          // received part of the current body
}

// Encode returns the HTTP request for an attempt, or for a probe.
func (c *codec) Encode(request *requestcore.Request, secondsLeft float64) [][]byte {
	if request == nil {
		return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.client.ProbePath, c.client.Host)}
	}
	tile, _ := tiles.ParseKey(request.Key) // the key is valid: the tile frontend generated it
	milliseconds := int(math.Ceil(max(minSecondsLeft, secondsLeft) * 1e3))
	return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n%sX-Wait-Ms: %d\r\n\r\n",
		c.client.Scheme.Address(tile), c.client.Host, request.Flags, milliseconds)}
}

// Decode reads the next reply. After an error the received part of its body is released.
func (c *codec) Decode(in *ringbuffer.Buffer) (bool, error) {
	complete, err := c.reader.Read(in, c)
	if err != nil {
		c.releaseBody()
	}
	return complete, err
}

// ReplyBegun reports whether a reply has begun and is not complete.
func (c *codec) ReplyBegun() bool { return c.reader.Begun() }

// OnServerClose handles the close of the connection, which may be the end of a body without a length.
func (c *codec) OnServerClose() {
	complete := c.reader.Closed(c)
	if !complete {
		c.releaseBody()
	}
}

// Release releases the received part of a body: the body of an abandoned attempt must not count as buffered forever.
func (c *codec) Release() { c.releaseBody() }

func (c *codec) releaseBody() {
	c.client.Memory.Release(len(c.body))
	c.body = nil
}

// Status handles the status of a reply, which is the beginning of the reply.
func (c *codec) Status(code int) {
	c.status = code
	c.head.Reset()
	c.releaseBody()
}

// Header handles a header, whose name is in lower case.
func (c *codec) Header(name, value string) {
	canonical, forwarded := ForwardedHeaders[name]
	if forwarded {
		fmt.Fprintf(&c.head, "%s: %s\r\n", canonical, value)
	}
}

// Length returns an error for a body that is too large, before any of it is buffered.
func (c *codec) Length(bytes int64) error {
	if bytes > int64(c.client.MaxBodyBytes) {
		return fmt.Errorf("a body of %d bytes, more than %d", bytes, c.client.MaxBodyBytes)
	}
	return nil
}

// Body buffers a part of a body.
func (c *codec) Body(part []byte) error {
	if len(c.body)+len(part) > c.client.MaxBodyBytes {
		return fmt.Errorf("a body of more than %d bytes", c.client.MaxBodyBytes)
	}
	if !c.client.Memory.Reserve(len(part)) {
		return fmt.Errorf("no memory for %d bytes of a body: %d bytes of others are on their way", len(part), c.client.Memory.Used())
	}
	c.body = append(c.body, part...)
	return nil
}

// End handles the end of a reply. If reusable is true the connection can carry another request.
func (c *codec) End(reusable bool) {
	request, due := c.replies.PendingRequest()
	result := requestcore.Result{Status: c.status, HeaderLines: c.head.String(), Value: c.body}
	c.releaseBody()
	if !due {
		c.replies.OnUnexpectedReply("an answer that nobody asked for")
		return
	}
	outcome := outcomeOf(c.status, request)
	if request == nil || outcome != balancer.Succeeded {
		result = requestcore.Result{}
	}
	c.replies.OnReply(outcome, result, reusable)
}

// outcomeOf returns the outcome of an attempt for the status of its reply, by the table in docs/operators/tiles.md. A
// nil request is a probe.
func outcomeOf(status int, request *requestcore.Request) balancer.Outcome {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return balancer.Overloaded
	}
	succeeded := status/100 == 2
	if request != nil {
		succeeded = isTileAnswer(status, request)
	}
	if succeeded {
		return balancer.Succeeded
	}
	return balancer.ServerError
}

// isTileAnswer reports whether a status is a valid answer to a request for a tile. An answer that there is no such tile
// is valid.
func isTileAnswer(status int, request *requestcore.Request) bool {
	switch status {
	case http.StatusOK, http.StatusNonAuthoritativeInfo, http.StatusNoContent, http.StatusNotFound, http.StatusGone:
		return true
	case http.StatusNotModified:
		return strings.Contains(request.Flags, "If-")
	default:
		return false
	}
}
