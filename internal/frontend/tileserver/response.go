package tileserver

import (
	"errors"
	"fmt"
	"math"
	"net/http"

	"bendtrestle/internal/http1"
	"bendtrestle/internal/requestcore"
)

// noStoreHeaders are the headers of an answer that caches must not store.
const noStoreHeaders = "Content-Type: text/plain\r\nCache-Control: no-store\r\n"

// formatResponse returns a response. Each of the headers ends in CRLF. The body is left out if head is set, for the
// method HEAD.
func formatResponse(status int, headers string, body []byte, head, closing bool) []byte {
	text := formatHead(status, headers, len(body), closing)
	if !head {
		text = append(text, body...)
	}
	return text
}

// formatHead returns the status line and headers of a response with a body of length bytes.
func formatHead(status int, headers string, length int, closing bool) []byte {
	text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), headers)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		text = fmt.Appendf(text, "Content-Length: %d\r\n", length)
	}
	if closing {
		text = append(text, "Connection: close\r\n"...)
	}
	return append(text, "\r\n"...)
}

// ProtocolError returns the answer to a stream that cannot be parsed; the connection is closed after it.
func (k *codec) ProtocolError(err error) []byte {
	status := http.StatusBadRequest
	var fault *http1.Fault
	if errors.As(err, &fault) {
		status = fault.Status
	}
	headers := "Content-Type: text/plain\r\n"
	if status == http.StatusMethodNotAllowed {
		headers += "Allow: GET, HEAD\r\n"
	}
	return formatResponse(status, headers, []byte(err.Error()+"\n"), false, true)
}

// CommandTimeout returns the answer to a request that did not become complete in time; the connection is closed after
// it.
func (k *codec) CommandTimeout() []byte {
	body := []byte("the request does not go on\n")
	return formatResponse(http.StatusRequestTimeout, "Content-Type: text/plain\r\n", body, false, true)
}

// Succeeded returns the answer with a tile server's result.
func (k *codec) Succeeded(request *requestcore.Request, result requestcore.Result) [][]byte {
	head := formatHead(result.Status, result.HeaderLines, len(result.Value), closesConnection(request))
	if isHead(request) || len(result.Value) == 0 {
		return [][]byte{head}
	}
	return [][]byte{head, result.Value}
}

// Rejected returns the answer to a rejected request, with the time until a retry in whole seconds, as HTTP requires.
func (k *codec) Rejected(request *requestcore.Request, retryAfter float64) []byte {
	seconds := max(1, int(math.Ceil(retryAfter)))
	headers := fmt.Sprintf(noStoreHeaders+"Retry-After: %d\r\n", seconds)
	return formatResponse(
		http.StatusServiceUnavailable, headers, []byte("busy\n"), isHead(request), closesConnection(request))
}

// Failed returns the answer to a request whose outcome is unknown.
func (k *codec) Failed(request *requestcore.Request) []byte {
	return formatResponse(
		http.StatusBadGateway, noStoreHeaders, []byte("failed\n"), isHead(request), closesConnection(request))
}
