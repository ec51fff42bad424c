// Package tileclient speaks HTTP to tile servers, by the scheme that their pool wants; all else of the connections is shared.
package tileclient

import (
	"fmt"
	"math"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/http1"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
	"bendtrestle/internal/tiles"
	"bendtrestle/internal/upstream"
)

// Client are a pool's tile servers.
type Client struct {
	Scheme           tiles.Scheme
	Host             string // that requests name
	ProbePath        string // a path that answers when a server is there
	MaxBodyBytes     int    // bytes of a body: a larger one is refused at its header
	MaxBufferedBytes int    // bytes of bodies that are on their way, over all connections
	bufferedBytes    int
}

// NewCodec makes the protocol of a connection.
func (s *Client) NewCodec(l upstream.ReplyHandler) upstream.Codec {
	return &codec{client: s, replies: l}
}

// BufferedBytes is how many bytes of bodies are on their way.
func (s *Client) BufferedBytes() int { return s.bufferedBytes }

type codec struct {
	client  *Client
	replies upstream.ReplyHandler
	reader  http1.ResponseReader
	status  int
	head    strings.Builder
	body    []byte
}

// ForwardedHeaders are the headers of an answer that clients get as they are.
var ForwardedHeaders = map[string]string{"content-type": "Content-Type", "content-encoding": "Content-Encoding", "etag": "ETag",
	"last-modified": "Last-Modified", "cache-control": "Cache-Control", "expires": "Expires", "date": "Date", "age": "Age"}

func (w *codec) ReplyBegun() bool { return w.reader.Begun() }

// Decode hands on the next answer; after an error the connection ends, and what came of a body is let go.
func (w *codec) Decode(in *ringbuffer.Buffer) (bool, error) {
	whole, err := w.reader.Read(in, w)
	if err != nil {
		w.releaseBody()
	}
	return whole, err
}

// OnServerClose takes the connection's end, which may be the end of a body without a length.
func (w *codec) OnServerClose() {
	if !w.reader.Closed(w) {
		w.releaseBody()
	}
}

// Release lets go of what came of a body: one that is given up midway must not count as held for ever.
func (w *codec) Release() { w.releaseBody() }

func (w *codec) releaseBody() {
	w.client.bufferedBytes -= len(w.body)
	w.body = nil
}

// Encode writes a request.
func (w *codec) Encode(op *requestcore.Request, left float64) [][]byte {
	if op == nil {
		return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", w.client.ProbePath, w.client.Host)}
	}
	t, _ := tiles.Named(op.Key) // it was made by a front of this kind
	ms := int(math.Ceil(max(1e-3, left) * 1e3))
	return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n%sX-Wait-Ms: %d\r\n\r\n", w.client.Scheme.Address(t), w.client.Host, op.Flags, ms)}
}

// Status begins an answer.
func (w *codec) Status(code int) {
	w.status = code
	w.head.Reset()
	w.releaseBody()
}

// Header takes a header.
func (w *codec) Header(name, value string) {
	if proper, kept := ForwardedHeaders[name]; kept {
		fmt.Fprintf(&w.head, "%s: %s\r\n", proper, value)
	}
}

// Length refuses a body that is too large before any of it is taken in.
func (w *codec) Length(n int64) error {
	if n > int64(w.client.MaxBodyBytes) {
		return fmt.Errorf("a body of %d bytes, more than %d", n, w.client.MaxBodyBytes)
	}
	return nil
}

// Body takes a part of a body.
func (w *codec) Body(part []byte) error {
	if len(w.body)+len(part) > w.client.MaxBodyBytes {
		return fmt.Errorf("a body of more than %d bytes", w.client.MaxBodyBytes)
	}
	if w.client.bufferedBytes+len(part) > w.client.MaxBufferedBytes {
		return fmt.Errorf("more than %d bytes of bodies are on their way", w.client.MaxBufferedBytes)
	}
	w.client.bufferedBytes += len(part)
	w.body = append(w.body, part...)
	return nil
}

// End takes the end of an answer. What it says of the request's fate is the table in docs/operators/tiles.md.
func (w *codec) End(more bool) {
	op, due := w.replies.PendingRequest()
	with := requestcore.Result{Status: w.status, Head: w.head.String(), Value: w.body}
	w.releaseBody()
	switch conditional := op != nil && strings.Contains(op.Flags, "If-"); {
	case !due:
		w.replies.OnUnexpectedReply("an answer that nobody asked for")
	case op == nil && w.status/100 == 2:
		w.replies.OnReply(balancer.Succeeded, requestcore.Result{}, more)
	case w.status == 429 || w.status == 503:
		w.replies.OnReply(balancer.Overloaded, requestcore.Result{}, more)
	case op == nil:
		w.replies.OnReply(balancer.ServerError, requestcore.Result{}, more)
	case w.status == 200 || w.status == 203 || w.status == 204 || w.status == 404 || w.status == 410 || w.status == 304 && conditional:
		w.replies.OnReply(balancer.Succeeded, with, more)
	default:
		w.replies.OnReply(balancer.ServerError, requestcore.Result{}, more)
	}
}
