package tileserver

import (
	"errors"
	"strconv"
	"strings"

	"bendtrestle/internal/requestcore"
)

// The properties of a request that its answer depends on. They are stored in the request's Parameters.
const (
	parametersHead  = "head"   // first, if the method is HEAD
	parametersClose = " close" // last, if the connection is closed after the answer
)

// answerParameters returns a request's Parameters.
func answerParameters(head, keep bool) string {
	parameters := ""
	if head {
		parameters = parametersHead
	}
	if !keep {
		parameters += parametersClose
	}
	return parameters
}

// isHead reports whether the request's method is HEAD, so that the answer has no body.
func isHead(request *requestcore.Request) bool {
	return strings.HasPrefix(request.Parameters, parametersHead)
}

// closesConnection reports whether the connection is closed after the answer.
func closesConnection(request *requestcore.Request) bool {
	return strings.HasSuffix(request.Parameters, parametersClose)
}

var errBadWait = errors.New("not a number above 0")

// parseWait parses the wait header's value in milliseconds and returns it in seconds, 0 if the value is empty.
func parseWait(text string) (seconds float64, err error) {
	if text == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(milliseconds > 0) {
		return 0, errBadWait
	}
	return milliseconds / 1e3, nil
}

// safeHost returns the host for addresses in the capabilities document. A host with any character other than those of
// host names and ports is replaced by localhost.
func safeHost(host string) string {
	for i := range len(host) {
		if !isHostByte(host[i]) {
			return "localhost"
		}
	}
	return host
}

func isHostByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte(".-:[]", b) >= 0
}
