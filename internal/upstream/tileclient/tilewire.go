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

// Servers are a pool's tile servers.
type Servers struct {
	Scheme  tiles.Scheme
	Host    string // that requests name
	Probe   string // a path that answers when a server is there
	Largest int    // bytes of a body: a larger one is refused at its header
	Most    int    // bytes of bodies that are on their way, over all connections
	held    int
}

// Wire makes the protocol of a connection.
func (s *Servers) Wire(l upstream.Link) upstream.Wire { return &wire{s: s, l: l} }

// Held is how many bytes of bodies are on their way.
func (s *Servers) Held() int { return s.held }

type wire struct {
	s      *Servers
	l      upstream.Link
	reader http1.ResponseReader
	status int
	head   strings.Builder
	body   []byte
}

// Kept are the headers of an answer that clients get as they are.
var Kept = map[string]string{"content-type": "Content-Type", "content-encoding": "Content-Encoding", "etag": "ETag",
	"last-modified": "Last-Modified", "cache-control": "Cache-Control", "expires": "Expires", "date": "Date", "age": "Age"}

func (w *wire) Begun() bool { return w.reader.Begun() }

// Read hands on the next answer; after an error the connection ends, and what came of a body is let go.
func (w *wire) Read(in *ringbuffer.Buffer) (bool, error) {
	whole, err := w.reader.Read(in, w)
	if err != nil {
		w.drop()
	}
	return whole, err
}

// Closed takes the connection's end, which may be the end of a body without a length.
func (w *wire) Closed() {
	if !w.reader.Closed(w) {
		w.drop()
	}
}

// Drop lets go of what came of a body: one that is given up midway must not count as held for ever.
func (w *wire) Drop() { w.drop() }

func (w *wire) drop() {
	w.s.held -= len(w.body)
	w.body = nil
}

// Command writes a request.
func (w *wire) Command(op *requestcore.Request, left float64) [][]byte {
	if op == nil {
		return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", w.s.Probe, w.s.Host)}
	}
	t, _ := tiles.Named(op.Key) // it was made by a front of this kind
	ms := int(math.Ceil(max(1e-3, left) * 1e3))
	return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n%sX-Wait-Ms: %d\r\n\r\n", w.s.Scheme.Address(t), w.s.Host, op.Flags, ms)}
}

// Status begins an answer.
func (w *wire) Status(code int) {
	w.status = code
	w.head.Reset()
	w.drop()
}

// Header takes a header.
func (w *wire) Header(name, value string) {
	if proper, kept := Kept[name]; kept {
		fmt.Fprintf(&w.head, "%s: %s\r\n", proper, value)
	}
}

// Length refuses a body that is too large before any of it is taken in.
func (w *wire) Length(n int64) error {
	if n > int64(w.s.Largest) {
		return fmt.Errorf("a body of %d bytes, more than %d", n, w.s.Largest)
	}
	return nil
}

// Body takes a part of a body.
func (w *wire) Body(part []byte) error {
	if len(w.body)+len(part) > w.s.Largest {
		return fmt.Errorf("a body of more than %d bytes", w.s.Largest)
	}
	if w.s.held+len(part) > w.s.Most {
		return fmt.Errorf("more than %d bytes of bodies are on their way", w.s.Most)
	}
	w.s.held += len(part)
	w.body = append(w.body, part...)
	return nil
}

// End takes the end of an answer. What it says of the request's fate is the table in docs/operators/tiles.md.
func (w *wire) End(more bool) {
	op, due := w.l.Due()
	with := requestcore.Result{Status: w.status, Head: w.head.String(), Value: w.body}
	w.drop()
	switch conditional := op != nil && strings.Contains(op.Flags, "If-"); {
	case !due:
		w.l.Stray("an answer that nobody asked for")
	case op == nil && w.status/100 == 2:
		w.l.Answered(balancer.Succeeded, requestcore.Result{}, more)
	case w.status == 429 || w.status == 503:
		w.l.Answered(balancer.Overloaded, requestcore.Result{}, more)
	case op == nil:
		w.l.Answered(balancer.ServerError, requestcore.Result{}, more)
	case w.status == 200 || w.status == 203 || w.status == 204 || w.status == 404 || w.status == 410 || w.status == 304 && conditional:
		w.l.Answered(balancer.Succeeded, with, more)
	default:
		w.l.Answered(balancer.ServerError, requestcore.Result{}, more)
	}
}
