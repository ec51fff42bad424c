// Package http1 reads HTTP/1.1 as it comes, requests and answers, whose fields go straight into a call. What could be read
// in two ways is refused: two lengths, a length beside chunks, lines that end in a bare line feed, folded headers.
package http1

import (
	"bytes"
	"errors"

	"bendtrestle/internal/ringbuffer"
)

// The bounds of what is taken in.
const (
	lineBound    = 4096 // a request line: several times the longest tile addresses
	headerBound  = 4096 // a header line
	headersBound = 16 << 10
	headerCount  = 64
)

// Fault is what cannot be read, and the status that tells its sender.
type Fault struct {
	Status int
	Why    string
}

func (f *Fault) Error() string { return f.Why }

var (
	errBare    = &Fault{400, "a line does not end in CR LF"}
	errControl = &Fault{400, "a line holds a control character"}
	errLine    = &Fault{414, "the request line is too long"}
	errHeaders = &Fault{431, "the headers are too long"}
	errName    = &Fault{400, "a header has no proper name"}
	errFolded  = &Fault{400, "a header is folded"}
	errLength  = &Fault{400, "the length cannot be read, or there are two"}
	errCoding  = &Fault{501, "this transfer coding is not taken"}
)

// liner cuts a stream into lines. One that is not whole waits in it, so that the ring before it can be smaller.
type liner struct{ line []byte }

// read gives the next line without its end, or false while it is not whole.
func (l *liner) read(in *ringbuffer.Buffer, bound int, long *Fault) (line []byte, whole bool, err *Fault) {
	for {
		var parts [2][]byte
		held := in.Held(parts[:0])
		if len(held) == 0 {
			return nil, false, nil
		}
		part, end := held[0], bytes.IndexByte(held[0], '\n')
		if end >= 0 {
			part = part[:end+1]
		}
		if len(l.line)+len(part) > bound+2 {
			return nil, false, long
		}
		l.line = append(l.line, part...)
		in.Drop(len(part))
		if end < 0 {
			continue
		}
		line, framed := bytes.CutSuffix(l.line, []byte("\r\n"))
		if !framed {
			return nil, false, errBare
		}
		for _, b := range line {
			if b < ' ' && b != '\t' || b == 0x7f {
				return nil, false, errControl
			}
		}
		return line, true, nil
	}
}

func (l *liner) next() { l.line = l.line[:0] }

// header splits a header line. Its name is lowered in place.
func header(line []byte) (name, value []byte, err *Fault) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFolded
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return nil, nil, errName
	}
	for i, b := range name {
		if !token(b) {
			return nil, nil, errName
		}
		if 'A' <= b && b <= 'Z' {
			name[i] = b + 'a' - 'A'
		}
	}
	return name, bytes.Trim(value, " \t"), nil
}

// token tells whether a byte may stand in a name.
func token(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
}

// digits reads a whole number of so many digits at most.
func digits(text []byte, most int) (n int64, err error) {
	if len(text) == 0 || len(text) > most {
		return 0, errors.New("not a length")
	}
	for _, b := range text {
		if b < '0' || b > '9' {
			return 0, errors.New("not a length")
		}
		n = n*10 + int64(b-'0')
	}
	return n, nil
}

// listed tells whether a comma-separated list holds a word, in any case.
func listed(list []byte, word string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if bytes.EqualFold(bytes.TrimSpace(part), []byte(word)) {
			return true
		}
	}
	return false
}
