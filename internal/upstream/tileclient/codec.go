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

// minSecondsLeft is the least time that a server is told a request has: it is told whole milliseconds, and at least
// one.
const minSecondsLeft = 1e-3

// codec is the upstream.Codec of one connection, and its reader's http1.Replies.
type codec struct {
	client  *Client
	replies upstream.ReplyHandler
	reader  http1.ResponseReader
	status  int             // of the reply at hand
	head    strings.Builder // its forwarded headers
	body    []byte          // as far as it has come
}

// Encode writes a request, or a probe.
func (c *codec) Encode(request *requestcore.Request, secondsLeft float64) [][]byte {
	if request == nil {
		return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.client.ProbePath, c.client.Host)}
	}
	tile, _ := tiles.Named(request.Key) // the tile frontend made the key
	milliseconds := int(math.Ceil(max(minSecondsLeft, secondsLeft) * 1e3))
	return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n%sX-Wait-Ms: %d\r\n\r\n",
		c.client.Scheme.Address(tile), c.client.Host, request.Flags, milliseconds)}
}

// Decode reads the next reply; after an error what came of its body is released.
func (c *codec) Decode(in *ringbuffer.Buffer) (bool, error) {
	complete, err := c.reader.Read(in, c)
	if err != nil {
		c.releaseBody()
	}
	return complete, err
}

// ReplyBegun tells that a reply has begun and is not complete.
func (c *codec) ReplyBegun() bool { return c.reader.Begun() }

// OnServerClose takes the connection's end, which may be the end of a body without a length.
func (c *codec) OnServerClose() {
	complete := c.reader.Closed(c)
	if !complete {
		c.releaseBody()
	}
}

// Release lets go of what came of a body: one that is given up midway must not count as buffered for ever.
func (c *codec) Release() { c.releaseBody() }

func (c *codec) releaseBody() {
	c.client.bufferedBytes -= len(c.body)
	c.body = nil
}

// Status begins a reply.
func (c *codec) Status(code int) {
	c.status = code
	c.head.Reset()
	c.releaseBody()
}

// Header takes a header, its name in lower case.
func (c *codec) Header(name, value string) {
	written, forwarded := ForwardedHeaders[name]
	if forwarded {
		fmt.Fprintf(&c.head, "%s: %s\r\n", written, value)
	}
}

// Length refuses a body that is too large before any of it is taken in.
func (c *codec) Length(bytes int64) error {
	if bytes > int64(c.client.MaxBodyBytes) {
		return fmt.Errorf("a body of %d bytes, more than %d", bytes, c.client.MaxBodyBytes)
	}
	return nil
}

// Body takes a part of a body.
func (c *codec) Body(part []byte) error {
	if len(c.body)+len(part) > c.client.MaxBodyBytes {
		return fmt.Errorf("a body of more than %d bytes", c.client.MaxBodyBytes)
	}
	if c.client.bufferedBytes+len(part) > c.client.MaxBufferedBytes {
		return fmt.Errorf("more than %d bytes of bodies are on their way", c.client.MaxBufferedBytes)
	}
	c.client.bufferedBytes += len(part)
	c.body = append(c.body, part...)
	return nil
}

// End takes the end of a reply. The connection can be used on if it is reusable.
func (c *codec) End(reusable bool) {
	request, due := c.replies.PendingRequest()
	reply := requestcore.Result{Status: c.status, Head: c.head.String(), Value: c.body}
	c.releaseBody()
	if !due {
		c.replies.OnUnexpectedReply("an answer that nobody asked for")
		return
	}
	outcome := outcomeOf(c.status, request)
	if request == nil || outcome != balancer.Succeeded {
		reply = requestcore.Result{}
	}
	c.replies.OnReply(outcome, reply, reusable)
}

// outcomeOf tells what a status says of the request's fate, by the table in docs/operators/tiles.md. A nil request is
// a probe.
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

// isTileAnswer tells whether a status answers a request for a tile, be it that there is none.
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
