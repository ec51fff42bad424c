// Package meta speaks the meta commands of the memcache text protocol: it cuts a stream, as it comes, into
// commands or replies, whose fields go straight into a call, and it writes both.
package meta

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"bendtrestle/internal/ringbuffer"
)

// The bounds of what is taken in. Up to ValueBound a value is held without asking.
const (
	lineBound  = 2048
	keyBound   = 250
	ValueBound = 64 << 10
	LongBound  = 4 << 20 // of a long one: a reply's is passed on as it comes, a command's needs memory set apart
	firstPart  = 4 << 10 // of a value's memory: the rest as its bytes come, for who only says a length gets none
)

// A stream that breaks these cannot be followed any further.
var (
	errLine   = errors.New("a line is too long")
	errValue  = errors.New("a value is too long")
	errFrame  = errors.New("a value does not end where its length says")
	errLength = errors.New("a value's length cannot be read")
)

// cutter cuts a stream into lines and the values behind them. Incomplete ones wait in it, so that the ring
// before it can be smaller than they are.
type cutter struct {
	line  []byte
	whole bool   // the line is complete, its value is not
	value []byte // with its CRLF
}

// readLine gives the next line's verb and all its fields, or false while it is not whole.
func (c *cutter) readLine(in *ringbuffer.Buffer) (verb string, fields [][]byte, whole bool, err error) {
	for !c.whole {
		var parts [2][]byte
		held := in.Held(parts[:0])
		if len(held) == 0 {
			return "", nil, false, nil
		}
		part, end := held[0], bytes.IndexByte(held[0], '\n')
		if end >= 0 {
			part, c.whole = part[:end+1], true
		}
		if len(c.line)+len(part) > lineBound {
			return "", nil, false, errLine
		}
		c.line = append(c.line, part...)
		in.Drop(len(part))
	}
	if fields = bytes.Fields(c.line); len(fields) > 0 {
		verb = string(fields[0])
	}
	return verb, fields, true, nil
}

// readValue gives the value behind a line, of the length that the line states, or false while it is not whole.
func (c *cutter) readValue(in *ringbuffer.Buffer, stated []byte, bound uint64) (value []byte, whole bool, err error) {
	length, err := strconv.ParseUint(string(stated), 10, 31)
	switch {
	case err != nil:
		return nil, false, errLength
	case length > bound:
		return nil, false, errValue
	}
	end := int(length) + len("\r\n")
	if c.value == nil {
		c.value = make([]byte, 0, min(end, firstPart))
	}
	for len(c.value) < end {
		var parts [2][]byte
		held := in.Held(parts[:0])
		if len(held) == 0 {
			return nil, false, nil
		}
		part := held[0][:min(len(held[0]), end-len(c.value))]
		c.value = append(c.value, part...)
		in.Drop(len(part))
	}
	value, framed := bytes.CutSuffix(c.value, []byte("\r\n"))
	if !framed {
		return nil, false, errFrame
	}
	return value, true, nil
}

// next makes ready for the next line.
func (c *cutter) next() {
	c.line, c.whole, c.value = c.line[:0], false, nil
}

// begun tells whether a message has begun and is not whole.
func (c *cutter) begun() bool { return len(c.line) > 0 || c.whole }

// flag gives the value of the flag that begins with a letter.
func flag(fields [][]byte, letter byte) string {
	for _, f := range fields {
		if f[0] == letter {
			return string(f[1:])
		}
	}
	return ""
}

// Figure reads one of a list of names and values, as in "c=read,d=480", and tells whether it is there.
func Figure(figures, name string) (value string, there bool) {
	for f := range strings.SplitSeq(figures, ",") {
		if k, v, ok := strings.Cut(f, "="); ok && k == name {
			return v, true
		}
	}
	return "", false
}

// WithFigure sets one of a list of names and values, and leaves the others as they are.
func WithFigure(figures, name, value string) string {
	var all []string
	for f := range strings.SplitSeq(figures, ",") {
		if k, _, _ := strings.Cut(f, "="); f != "" && k != name {
			all = append(all, f)
		}
	}
	return strings.Join(append(all, name+"="+value), ",")
}
