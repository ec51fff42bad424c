package tileserver

import (
	"fmt"
	"net/http"
	"strings"

	"bendtrestle/internal/frontend"
	"bendtrestle/internal/http1"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
	"bendtrestle/internal/tiles"
)

// healthPath is the path of health checks.
const healthPath = "/health"

// codec is the frontend.Codec of one connection, and its reader's http1.RequestHandler.
type codec struct {
	server *Server
	conn   *frontend.ClientConn
	reader http1.RequestReader

	// The current request.
	head      bool // its method is HEAD
	target    string
	host      string
	wait      string          // the wait header's value; empty: not stated
	forwarded strings.Builder // headers that are forwarded to the tile server unchanged
}

// forwardedHeaders are the request headers that are forwarded to tile servers unchanged: conditions, content
// negotiation, and the id by which a request can be traced. The keys are in lower case, the values as they are sent.
var forwardedHeaders = map[string]string{
	"if-none-match":     "If-None-Match",
	"if-modified-since": "If-Modified-Since",
	"accept-encoding":   "Accept-Encoding",
	"accept":            "Accept",
	"x-request-id":      "X-Request-Id",
}

func (k *codec) Read(in *ringbuffer.Buffer) (bool, error) { return k.reader.Read(in, k) }

func (k *codec) InCommand() bool { return k.reader.Begun() }

// Begin handles a request line.
func (k *codec) Begin(method, target string) {
	k.head = method == http.MethodHead
	k.target = target
	k.host = ""
	k.wait = ""
	k.forwarded.Reset()
}

// Header handles a header, whose name is in lower case.
func (k *codec) Header(name, value string) {
	properName, forwarded := forwardedHeaders[name]
	if forwarded {
		fmt.Fprintf(&k.forwarded, "%s: %s\r\n", properName, value)
	}
	switch {
	case name == "host":
		k.host = value
	case name == k.server.waitHeader && name != "":
		k.wait = value
	}
}

// Request handles the end of a request. keep: the connection stays open for another one; otherwise it is closed after
// the answer.
func (k *codec) Request(keep bool) {
	if !keep {
		k.conn.CloseAfterAnswers()
	}
	if k.target == healthPath {
		k.answerHealth(keep)
		return
	}
	parsed, fault := k.server.service.Parse(k.target)
	if fault != nil {
		k.answerFault(fault, keep)
		return
	}
	if parsed.Capabilities {
		k.answerCapabilities(keep)
		return
	}
	fault = k.submit(parsed.Tile, keep)
	if fault != nil {
		k.answerFault(fault, keep)
	}
}

// submit submits the request for a tile, or returns the fault for which it cannot.
func (k *codec) submit(tile tiles.Tile, keep bool) *tiles.Fault {
	timeLeft, err := parseWait(k.wait)
	if err != nil {
		return &tiles.Fault{
			Status:  http.StatusBadRequest,
			Code:    tiles.InvalidParameter,
			Locator: k.server.waitHeader,
			Text:    "the time to wait is not a number above 0",
		}
	}
	request := &requestcore.Request{
		Class:      k.server.class,
		Key:        tile.Key(),
		Flags:      k.forwarded.String(),
		TimeLeft:   timeLeft,
		Parameters: answerParameters(k.head, keep),
	}
	route := k.conn.Route("", request.Key)
	if route == nil {
		return notFound("no contract holds for this traffic")
	}
	maxDeadline, known := route.MaxDeadline(request.Class)
	if !known {
		return notFound("no contract holds for this traffic type")
	}
	k.conn.Submit(route, request, maxDeadline) // never false: without an id it cannot repeat one
	return nil
}

func notFound(text string) *tiles.Fault {
	return &tiles.Fault{Status: http.StatusNotFound, Code: tiles.NoApplicableCode, Text: text}
}

func (k *codec) answerHealth(keep bool) {
	reason := k.conn.NotServingReason()
	if reason != "" {
		k.answer(http.StatusServiceUnavailable, "text/plain", "Retry-After: 1\r\n", []byte(reason+"\n"), keep)
		return
	}
	k.answer(http.StatusOK, "text/plain", "", []byte("serving\n"), keep)
}

func (k *codec) answerCapabilities(keep bool) {
	k.conn.MarkEstablished()
	description := k.server.service.Capabilities("http://" + safeHost(k.host))
	k.answer(http.StatusOK, "application/xml", "", description, keep)
}

// answerFault answers an invalid request, by an exception report if the standard requires one, otherwise in plain text.
func (k *codec) answerFault(fault *tiles.Fault, keep bool) {
	k.conn.MarkEstablished()
	if fault.Report {
		k.answer(fault.Status, "application/xml", "", fault.XML(), keep)
		return
	}
	k.answer(fault.Status, "text/plain; charset=utf-8", "", []byte(fault.Text+"\n"), keep)
}

// answer answers the request without a tile server. Each of the headers, which follow the content type, ends in CRLF.
func (k *codec) answer(status int, contentType, headers string, body []byte, keep bool) {
	k.conn.Answer(formatResponse(status, "Content-Type: "+contentType+"\r\n"+headers, body, k.head, !keep))
}
