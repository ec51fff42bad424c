package meta

import (
	"bytes"
	"errors"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// Replies is called with a cache server's replies, in the order of the commands.
type Replies interface {
	Value(id string, value []byte)
	Long(id string, length int) // a value of more than ValueBound begins
	Part(part []byte) int       // takes the next bytes of it, as many as it has capacity for
	LongEnd()                   // all of it has come
	Stored(id, receipt string)
	Busy(after int) // milliseconds, 0 if it does not say
	Failed()
	Ready()       // the answer to mn
	Other(string) // a line with no meaning here
}

// ReplyReader reads a cache server's replies. The zero value is ready for use.
type ReplyReader struct {
	messageReader
	remaining int // bytes of a long value, with its line end, that have not come
}

// Begun tells whether a reply has begun and is not complete.
func (r *ReplyReader) Begun() bool { return r.begun() }

var (
	errUnknownReply = errors.New("no reply begins so")
	replyPrefixes   = []string{"VA ", "HD ", "SERVER_ERROR ", "MN\r\n", "MN\n"}
)

// mayBeReply tells whether the beginning of a line can be that of a reply.
func mayBeReply(line []byte) bool {
	for _, prefix := range replyPrefixes {
		length := min(len(prefix), len(line))
		if string(line[:length]) == prefix[:length] {
			return true
		}
	}
	return false
}

// Read hands on the next reply; false while it is not complete. After an error nothing more can be read. Noise is
// told by its first bytes: a caller that waits for the end of a line that never ends would wait until its deadline.
func (r *ReplyReader) Read(in *ringbuffer.Buffer, to Replies) (bool, error) {
	if r.remaining > 0 {
		return r.passLongValue(in, to)
	}
	verb, fields, complete, err := r.readLine(in)
	if err == nil && !mayBeReply(r.line) {
		return false, errUnknownReply
	}
	if !complete {
		return false, err
	}
	if verb == "VA" && len(fields) >= 2 {
		return r.readValueReply(in, fields, to)
	}
	r.handleLine(verb, fields, to)
	r.nextMessage()
	return true, nil
}

// readValueReply hands on a value: VA <length> <flags>.
func (r *ReplyReader) readValueReply(in *ringbuffer.Buffer, fields [][]byte, to Replies) (bool, error) {
	longLength := longValueLength(fields[1])
	if longLength > 0 {
		if in.Len() == 0 { // a line without a byte of its value begins nothing yet: a retry is still possible
			return false, nil
		}
		r.remaining = longLength + len(lineEnd)
		to.Long(flagValue(fields[2:], idFlag), longLength)
		return r.passLongValue(in, to)
	}
	value, complete, err := r.readValue(in, fields[1], ValueBound)
	if !complete {
		return false, err
	}
	to.Value(flagValue(fields[2:], idFlag), value)
	r.nextMessage()
	return true, nil
}

// handleLine hands on a reply that has no value.
func (r *ReplyReader) handleLine(verb string, fields [][]byte, to Replies) {
	switch {
	case verb == "HD":
		to.Stored(flagValue(fields[1:], idFlag), flagValue(fields[1:], receiptFlag))
	case verb == "SERVER_ERROR" && len(fields) >= 2 && string(fields[1]) == "busy":
		to.Busy(parseBusyDelay(fields[2:]))
	case verb == "SERVER_ERROR" && len(fields) == 2 && string(fields[1]) == "failed":
		to.Failed()
	case verb == "MN":
		to.Ready()
	default:
		to.Other(string(bytes.TrimSpace(r.line)))
	}
}

// parseBusyDelay gives the milliseconds that a busy server tells, 0 if it tells none that are usable.
func parseBusyDelay(fields [][]byte) int {
	if len(fields) == 0 {
		return 0
	}
	milliseconds, _ := strconv.Atoi(string(fields[0])) // out of range: the nearest int
	return max(0, milliseconds)
}

// passLongValue hands on what has come of a long value, as far as it is taken; true once all of it is.
func (r *ReplyReader) passLongValue(in *ringbuffer.Buffer, to Replies) (bool, error) {
	for r.remaining > 0 {
		var parts [2][]byte
		held := in.Held(parts[:0])
		if len(held) == 0 {
			return false, nil
		}
		part := held[0]
		if r.remaining <= len(lineEnd) {
			if part[0] != lineEnd[len(lineEnd)-r.remaining] {
				return false, errValueEnd
			}
			in.Drop(1)
			r.remaining--
			continue
		}
		taken := to.Part(part[:min(len(part), r.remaining-len(lineEnd))])
		if taken == 0 {
			return false, nil
		}
		in.Drop(taken)
		r.remaining -= taken
	}
	r.nextMessage()
	to.LongEnd()
	return true, nil
}
