package tileserver

import (
	"errors"
	"strconv"
	"strings"

	"bendtrestle/internal/requestcore"
)

// What an answer needs to know of its request, as the request's Figures.
const (
	figuresHead  = "head"   // first, if only the head is asked for
	figuresClose = " close" // last, if the connection is closed after the answer
)

// answerFigures returns a request's Figures.
func answerFigures(head, keep bool) string {
	figures := ""
	if head {
		figures = figuresHead
	}
	if !keep {
		figures += figuresClose
	}
	return figures
}

// isHead reports whether only the head of the answer is asked for.
func isHead(request *requestcore.Request) bool {
	return strings.HasPrefix(request.Figures, figuresHead)
}

// closesConnection reports whether the connection is closed after the answer.
func closesConnection(request *requestcore.Request) bool {
	return strings.HasSuffix(request.Figures, figuresClose)
}

var errBadWait = errors.New("not a number above 0")

// parseWait returns how long a client waits, in seconds, from the milliseconds that it states; 0 if it states none.
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

// safeHost returns a host that may stand in a description. One with any unusual character is not repeated.
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
