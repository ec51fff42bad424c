package meta

import (
	"bytes"
	"errors"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// ReplyHandler handles a cache server's replies, in the order of the commands.
type ReplyHandler interface {
	Value(id string, value []byte)
	LongValueBegin(id string, length int) // a value longer than MaxBufferedValueBytes begins
	LongValuePart(part []byte) int        // the next bytes of it; returns how many of them it had capacity for
	LongValueEnd()                        // the value is complete
	Stored(id, receipt string)
	Busy(after int) // milliseconds until a retry, 0 if the server states none
	Failed()
	Ready()             // the answer to mn
	UnknownLine(string) // any other line
}

// ReplyReader reads a cache server's replies. The zero value is ready for use.
type ReplyReader struct {
	messageReader
	remaining int // bytes of a long value and its line end that have not been received
}

// Begun reports whether a reply has begun and is not complete.
func (r *ReplyReader) Begun() bool { return r.begun() }

var (
	errUnknownReply = errors.New("no reply begins so")
	replyPrefixes   = []string{"VA ", "HD ", "SERVER_ERROR ", "MN\r\n", "MN\n"}
)

// mayBeReply reports whether an incomplete line may be the beginning of a reply.
func mayBeReply(line []byte) bool {
	for _, prefix := range replyPrefixes {
		length := min(len(prefix), len(line))
		if string(line[:length]) == prefix[:length] {
			return true
		}
	}
	return false
}

// Read passes the next reply to a handler, and returns false while it is incomplete. After an error the stream cannot
// be read any further. A line that cannot be a reply is rejected by its first bytes: if its end never arrived, the
// caller would wait for it until its deadline.
func (r *ReplyReader) Read(in *ringbuffer.Buffer, to ReplyHandler) (bool, error) {
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

// readValueReply handles a value: VA <length> <flags>.
func (r *ReplyReader) readValueReply(in *ringbuffer.Buffer, fields [][]byte, to ReplyHandler) (bool, error) {
	longLength := longValueLength(fields[1])
	if longLength > 0 {
		if in.Len() == 0 { // the value begins with its first byte: until then a retry is still possible
			return false, nil
		}
		r.remaining = longLength + len(lineEnd)
		to.LongValueBegin(flagValue(fields[2:], idFlag), longLength)
		return r.passLongValue(in, to)
	}
	value, complete, err := r.readValue(in, fields[1], MaxBufferedValueBytes)
	if !complete {
		return false, err
	}
	to.Value(flagValue(fields[2:], idFlag), value)
	r.nextMessage()
	return true, nil
}

// handleLine handles a reply without a value.
func (r *ReplyReader) handleLine(verb string, fields [][]byte, to ReplyHandler) {
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
		to.UnknownLine(string(bytes.TrimSpace(r.line)))
	}
}

// parseBusyDelay returns the delay that a busy server states, in milliseconds, or 0 if it states no valid one.
func parseBusyDelay(fields [][]byte) int {
	if len(fields) == 0 {
		return 0
	}
	milliseconds, _ := strconv.Atoi(string(fields[0])) // the nearest int if out of range
	return max(0, milliseconds)
}

// passLongValue passes the received bytes of a long value on, as far as the handler has capacity. It returns true when
// the value is complete.
func (r *ReplyReader) passLongValue(in *ringbuffer.Buffer, to ReplyHandler) (bool, error) {
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
		taken := to.LongValuePart(part[:min(len(part), r.remaining-len(lineEnd))])
		if taken == 0 {
			return false, nil
		}
		in.Drop(taken)
		r.remaining -= taken
	}
	r.nextMessage()
	to.LongValueEnd()
	return true, nil
}
