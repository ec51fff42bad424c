package meta

import (
	"bytes"
	"errors"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// The bounds of a value, in bytes.
const (
	ValueBound = 64 << 10 // a longer value is a long one
	LongBound  = 4 << 20  // of a long value
)

const (
	maxLineBytes = 2048
	maxKeyBytes  = 250

	// initialValueBytes bounds the memory that a stated length alone gets; more is allocated as the bytes come.
	initialValueBytes = 4 << 10

	maxLengthBits = 31 // of a stated length: it fits an int everywhere
	lineEnd       = "\r\n"
)

// A stream that breaks these rules cannot be followed any further.
var (
	errLineTooLong  = errors.New("a line is too long")
	errValueTooLong = errors.New("a value is too long")
	errValueEnd     = errors.New("a value does not end where its length says")
	errLength       = errors.New("a value's length cannot be read")
)

// messageReader cuts a stream into lines and the values behind them. An incomplete message waits in it, so that the
// buffer before it can be smaller than the message.
type messageReader struct {
	line         []byte
	lineComplete bool   // the line is complete, its value is not
	value        []byte // with its line end
}

// readLine gives the next line's verb and all its fields, the verb included, or false while it is not complete. Called
// again before nextMessage, it gives the same line.
func (m *messageReader) readLine(in *ringbuffer.Buffer) (verb string, fields [][]byte, complete bool, err error) {
	for !m.lineComplete {
		var parts [2][]byte
		held := in.Held(parts[:0])
		if len(held) == 0 {
			return "", nil, false, nil
		}
		part := held[0]
		end := bytes.IndexByte(part, '\n')
		if end >= 0 {
			part = part[:end+1]
			m.lineComplete = true
		}
		if len(m.line)+len(part) > maxLineBytes {
			return "", nil, false, errLineTooLong
		}
		m.line = append(m.line, part...)
		in.Drop(len(part))
	}
	fields = bytes.Fields(m.line)
	if len(fields) > 0 {
		verb = string(fields[0])
	}
	return verb, fields, true, nil
}

// readValue gives the value behind a line, of the length that the line states, or false while it is not complete. A
// value of more than maxBytes is an error.
func (m *messageReader) readValue(in *ringbuffer.Buffer, stated []byte, maxBytes uint64) ([]byte, bool, error) {
	length, err := strconv.ParseUint(string(stated), 10, maxLengthBits)
	if err != nil {
		return nil, false, errLength
	}
	if length > maxBytes {
		return nil, false, errValueTooLong
	}
	end := int(length) + len(lineEnd)
	if m.value == nil {
		m.value = make([]byte, 0, min(end, initialValueBytes))
	}
	for len(m.value) < end {
		var parts [2][]byte
		held := in.Held(parts[:0])
		if len(held) == 0 {
			return nil, false, nil
		}
		part := held[0][:min(len(held[0]), end-len(m.value))]
		m.value = append(m.value, part...)
		in.Drop(len(part))
	}
	value, framed := bytes.CutSuffix(m.value, []byte(lineEnd))
	if !framed {
		return nil, false, errValueEnd
	}
	return value, true, nil
}

// nextMessage makes ready for the next message.
func (m *messageReader) nextMessage() {
	m.line = m.line[:0]
	m.lineComplete = false
	m.value = nil
}

// begun tells whether a message has begun and is not complete.
func (m *messageReader) begun() bool { return len(m.line) > 0 || m.lineComplete }

// longValueLength gives a stated length that makes a value a long one, else 0.
func longValueLength(stated []byte) int {
	length, err := strconv.ParseUint(string(stated), 10, maxLengthBits)
	if err != nil || length <= ValueBound || length > LongBound {
		return 0
	}
	return int(length)
}
