package http1

import (
	"bytes"
	"errors"

	"bendtrestle/internal/ringbuffer"
)

// The maximum sizes of messages.
const (
	maxRequestLine  = 4096     // bytes: several times the length of the longest tile addresses
	maxHeaderLine   = 4096     // bytes
	maxHeaderBytes  = 16 << 10 // of one message
	maxHeaderCount  = 64       // of one message
	maxLengthDigits = 18       // of a Content-Length, so that it fits an int64
)

var errNotNumber = errors.New("not a whole number within the digit limit")

// lineReader splits a stream into lines. It stores an incomplete line, so that the input buffer can be smaller than a
// line.
type lineReader struct{ line []byte }

// readLine returns the next line without its end, or false while it is incomplete. For a line of more than maxBytes it
// returns the fault tooLong.
func (l *lineReader) readLine(in *ringbuffer.Buffer, maxBytes int, tooLong *Fault) ([]byte, bool, *Fault) {
	for {
		var parts [2][]byte
		held := in.Held(parts[:0])
		if len(held) == 0 {
			return nil, false, nil
		}
		part := held[0]
		end := bytes.IndexByte(part, '\n')
		if end >= 0 {
			part = part[:end+1]
		}
		if len(l.line)+len(part) > maxBytes+len("\r\n") {
			return nil, false, tooLong
		}
		l.line = append(l.line, part...)
		in.Drop(len(part))
		if end >= 0 {
			return l.completeLine()
		}
	}
}

// completeLine checks a complete line and removes its line end.
func (l *lineReader) completeLine() ([]byte, bool, *Fault) {
	line, framed := bytes.CutSuffix(l.line, []byte("\r\n"))
	if !framed {
		return nil, false, errBareLineFeed
	}
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return nil, false, errControlCharacter
		}
	}
	return line, true, nil
}

// resetLine prepares for the next line, which overwrites the current one.
func (l *lineReader) resetLine() { l.line = l.line[:0] }

// isToken reports whether a byte is allowed in a method or in a header's name.
func isToken(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
}

// parseDigits parses a whole number of at most maxDigits digits; maxDigits is at most maxLengthDigits.
func parseDigits(text []byte, maxDigits int) (int64, error) {
	if len(text) == 0 || len(text) > maxDigits {
		return 0, errNotNumber
	}
	var number int64
	for _, b := range text {
		if b < '0' || b > '9' {
			return 0, errNotNumber
		}
		number = number*10 + int64(b-'0')
	}
	return number, nil
}
