// Package tileserver speaks HTTP to clients that ask for map tiles, by XYZ paths or by WMTS; all else of a front is shared.
package tileserver

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"bendtrestle/internal/frontend"
	"bendtrestle/internal/http1"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
	"bendtrestle/internal/tiles"
)

// Server is one tile service. It belongs to the loop.
type Server struct {
	service *tiles.Service
	kind    string // the traffic type of its tiles
	wait    string // the header by which a client says how many milliseconds it waits, in lower case; empty: none
}

// New makes one.
func New(service *tiles.Service, kind, wait string) *Server {
	s := &Server{}
	s.Configure(service, kind, wait)
	return s
}

// Configure takes another description. What is open goes on.
func (s *Server) Configure(service *tiles.Service, kind, wait string) {
	s.service, s.kind, s.wait = service, kind, strings.ToLower(wait)
}

// Protocol makes the codec of a connection.
func (s *Server) Protocol(c *frontend.ClientConn) frontend.Codec { return &codec{s: s, c: c} }

// codec is one connection.
type codec struct {
	s      *Server
	c      *frontend.ClientConn
	reader http1.RequestReader

	// The request at hand.
	head   bool
	target string
	host   string
	wait   string
	passed strings.Builder // headers that go on to the tile server as they are
}

// Passed are the headers of a request that tile servers get as they are: conditions, coding, and the name by which a
// request can be followed.
var Passed = map[string]string{"if-none-match": "If-None-Match", "if-modified-since": "If-Modified-Since",
	"accept-encoding": "Accept-Encoding", "accept": "Accept", "x-request-id": "X-Request-Id"}

func (k *codec) Read(in *ringbuffer.Buffer) (bool, error) { return k.reader.Read(in, k) }
func (k *codec) InCommand() bool                          { return k.reader.Begun() }

// Begin takes a request line.
func (k *codec) Begin(method, target string) {
	k.head, k.target, k.host, k.wait = method == "HEAD", target, "", ""
	k.passed.Reset()
}

// Header takes a header.
func (k *codec) Header(name, value string) {
	if proper, passed := Passed[name]; passed {
		fmt.Fprintf(&k.passed, "%s: %s\r\n", proper, value)
	}
	switch {
	case name == "host":
		k.host = value
	case name == k.s.wait && name != "":
		k.wait = value
	}
}

const healthPath = "/health"

// Request takes the end of a request.
func (k *codec) Request(keep bool) {
	if !keep {
		k.c.CloseAfterAnswers()
	}
	if k.target == healthPath {
		if not := k.c.NotServingReason(); not != "" {
			k.say(503, "text/plain", "Retry-After: 1\r\n", []byte(not+"\n"), keep)
		} else {
			k.say(200, "text/plain", "", []byte("serving\n"), keep)
		}
		return
	}
	asked, fault := k.s.service.Parse(k.target)
	switch {
	case fault != nil:
		k.fault(fault, keep)
		return
	case asked.Capabilities:
		k.c.NotServingReason()
		k.say(200, "application/xml", "", k.s.service.Capabilities("http://"+safeHost(k.host)), keep)
		return
	}
	left, err := waits(k.wait)
	if err != nil {
		k.fault(&tiles.Fault{Status: 400, Code: tiles.Invalid, Locator: k.s.wait, Text: "the time to wait is not a number above 0"}, keep)
		return
	}
	op := &requestcore.Request{Class: k.s.kind, Key: asked.Tile.Key(), Flags: k.passed.String(), TimeLeft: left, Figures: marks(k.head, keep)}
	route := k.c.Route("", op.Key)
	if route == nil {
		k.fault(&tiles.Fault{Status: 404, Code: tiles.NotApplied, Text: "no contract holds for this traffic"}, keep)
		return
	}
	most, known := route.MaxDeadline(op.Class)
	if !known {
		k.fault(&tiles.Fault{Status: 404, Code: tiles.NotApplied, Text: "no contract holds for this traffic type"}, keep)
		return
	}
	k.c.Submit(route, op, most)
}

// marks note what an answer needs to know of its request.
func marks(head, keep bool) string {
	text := ""
	if head {
		text = "head"
	}
	if !keep {
		text += " close"
	}
	return text
}

func isHead(op *requestcore.Request) bool { return strings.HasPrefix(op.Figures, "head") }
func isLast(op *requestcore.Request) bool { return strings.HasSuffix(op.Figures, "close") }

// waits reads how long a client waits, in seconds; 0 if it does not say.
func waits(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(ms > 0) {
		return 0, errors.New("not a number above 0")
	}
	return ms / 1e3, nil
}

// safeHost gives a host that may stand in a description; one that holds anything strange is not repeated.
func safeHost(host string) string {
	for _, b := range []byte(host) {
		if !('a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte(".-:[]", b) >= 0) {
			return "localhost"
		}
	}
	return host
}

// say answers from here.
func (k *codec) say(status int, media, more string, body []byte, keep bool) {
	k.c.Answer(whole(status, "Content-Type: "+media+"\r\n"+more, body, k.head, !keep))
}

// fault answers what cannot be meant: by a report where the standard wants one, else in plain text.
func (k *codec) fault(f *tiles.Fault, keep bool) {
	k.c.NotServingReason()
	if f.Report {
		k.say(f.Status, "application/xml", "", f.XML(), keep)
	} else {
		k.say(f.Status, "text/plain; charset=utf-8", "", []byte(f.Text+"\n"), keep)
	}
}

// whole writes an answer.
func whole(status int, headers string, body []byte, head, last bool) []byte {
	text := top(status, headers, len(body), last)
	if !head {
		text = append(text, body...)
	}
	return text
}

func top(status int, headers string, length int, last bool) []byte {
	text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), headers)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		text = fmt.Appendf(text, "Content-Length: %d\r\n", length)
	}
	if last {
		text = append(text, "Connection: close\r\n"...)
	}
	return append(text, "\r\n"...)
}

// ProtocolError answers what cannot be read.
func (k *codec) ProtocolError(err error) []byte {
	status, more := 400, ""
	var f *http1.Fault
	if errors.As(err, &f) {
		status = f.Status
	}
	if status == 405 {
		more = "Allow: GET, HEAD\r\n"
	}
	return whole(status, "Content-Type: text/plain\r\n"+more, []byte(err.Error()+"\n"), false, true)
}

// CommandTimeout answers a request that does not go on.
func (k *codec) CommandTimeout() []byte {
	return whole(408, "Content-Type: text/plain\r\n", []byte("the request does not go on\n"), false, true)
}

// Succeeded passes on what a tile server made.
func (k *codec) Succeeded(op *requestcore.Request, with requestcore.Result) [][]byte {
	text := top(with.Status, with.Head, len(with.Value), isLast(op))
	if isHead(op) || len(with.Value) == 0 {
		return [][]byte{text}
	}
	return [][]byte{text, with.Value}
}

// Rejected tells when to come back, in whole seconds, as HTTP has it.
func (k *codec) Rejected(op *requestcore.Request, after float64) []byte {
	return whole(503, fmt.Sprintf("Content-Type: text/plain\r\nCache-Control: no-store\r\nRetry-After: %d\r\n", max(1, int(math.Ceil(after)))),
		[]byte("busy\n"), isHead(op), isLast(op))
}

// Failed promises nothing.
func (k *codec) Failed(op *requestcore.Request) []byte {
	return whole(502, "Content-Type: text/plain\r\nCache-Control: no-store\r\n", []byte("failed\n"), isHead(op), isLast(op))
}
