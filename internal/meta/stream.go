package meta

import (
	"bytes"
	"errors"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// The maximum sizes of values, in bytes.
const (
	MaxBufferedValueBytes = 64 << 10 // of a value that is buffered; a longer value is a long value
	MaxLongValueBytes     = 4 << 20  // of a long value
)

const (
	maxLineBytes = 2048
	maxKeyBytes  = 250

	// smallValueBytes is the length up to which a value needs no memory that is reserved for it.
	smallValueBytes = 4 << 10

	maxLengthBits = 31 // of a stated length, so that it fits an int on every platform
	lineEnd       = "\r\n"
)

// Errors of the stream's format. After one of them the stream cannot be read any further.
var (
	errLineTooLong  = errors.New("a line is too long")
	errValueTooLong = errors.New("a value is too long")
	errValueEnd     = errors.New("a value does not end where its length says")
	errLength       = errors.New("a value's length cannot be read")
)

// messageReader splits a stream into lines and the values that follow them. It stores an incomplete message, so that
// the input buffer can be smaller than the message.
type messageReader struct {
	line         []byte
	lineComplete bool   // the line is complete, its value is not
	value        []byte // with its line end
}

// readLine returns the verb and all fields, including the verb, of the next line, or false while the line is
// incomplete. Called again before nextMessage, it returns the same line.
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

// readValue returns the value that follows a line and has the length stated in it, or false while the value is
// incomplete. A value of more than maxBytes is an error. The caller has reserved memory for a value that needs it.
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
		m.value = make([]byte, 0, end)
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

// nextMessage resets the reader for the next message.
func (m *messageReader) nextMessage() {
	m.line = m.line[:0]
	m.lineComplete = false
	m.value = nil
}

// begun reports whether a message has begun and is not complete.
func (m *messageReader) begun() bool { return len(m.line) > 0 || m.lineComplete }

// lengthToReserve returns a stated length if memory must be reserved for a value of that length, and 0 otherwise. For a
// length of more than maxBytes it returns 0, too.
func lengthToReserve(stated []byte, maxBytes uint64) int {
	length, err := strconv.ParseUint(string(stated), 10, maxLengthBits)
	if err != nil || length <= smallValueBytes || length > maxBytes {
		return 0
	}
	return int(length)
}

// longValueLength returns a stated length if it is that of a long value, and 0 otherwise.
func longValueLength(stated []byte) int {
	length, err := strconv.ParseUint(string(stated), 10, maxLengthBits)
	if err != nil || length <= MaxBufferedValueBytes || length > MaxLongValueBytes {
		return 0
	}
	return int(length)
}
