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

	// ReserveValue reserves memory for a value of more than a few KiB, and at most MaxBufferedValueBytes, which is about to
	// be received.
	ReserveValue(length int) Reservation
	ValueRefused(id string) // a value for which ReserveValue returned Refused has been skipped

	LongValueBegin(id string, length int) // a value longer than MaxBufferedValueBytes begins
	LongValuePart(part []byte) int        // the next bytes of it; returns how many of them it had capacity for
	LongValueEnd()                        // the value is complete
	Stored(id, receipt string)
	Busy(after int) // milliseconds until a retry, 0 if the server states none
	Failed()
	Ready()             // the answer to mn
	UnknownLine(string) // any other line
}

// Reservation is what ReplyHandler.ReserveValue returns.
type Reservation int

const (
	Reserved Reservation = iota // there is memory for the value
	Delayed                     // not yet: the value stays unread, and the next Read asks again
	Refused                     // there is none: the value is skipped
)

// ReplyReader reads a cache server's replies. The zero value is ready for use.
type ReplyReader struct {
	messageReader
	remaining int    // bytes that have not been received of a value that is not buffered, and of its line end
	reserved  bool   // memory is reserved for the current value
	refused   bool   // the current value is skipped, because there is no memory for it
	refusedID string // the id of its reply
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
		return r.passUnbuffered(in, to)
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
		return r.passUnbuffered(in, to)
	}
	length := lengthToReserve(fields[1], MaxBufferedValueBytes)
	if length > 0 && !r.reserved {
		switch to.ReserveValue(length) {
		case Reserved:
			r.reserved = true
		case Delayed:
			return false, nil
		case Refused:
			r.refused = true
			r.refusedID = flagValue(fields[2:], idFlag)
			r.remaining = length + len(lineEnd)
			return r.passUnbuffered(in, to)
		}
	}
	value, complete, err := r.readValue(in, fields[1], MaxBufferedValueBytes)
	if !complete {
		return false, err
	}
	r.reserved = false
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

// passUnbuffered handles the received bytes of a value that is not buffered: it passes those of a long value on, as far
// as the handler has capacity, and skips those of a refused one. It returns true when the value is complete.
func (r *ReplyReader) passUnbuffered(in *ringbuffer.Buffer, to ReplyHandler) (bool, error) {
	accept := to.LongValuePart
	if r.refused {
		accept = func(part []byte) int { return len(part) }
	}
	complete, err := r.passParts(in, accept)
	if !complete {
		return false, err
	}
	r.nextMessage()
	if r.refused {
		r.refused = false
		to.ValueRefused(r.refusedID)
	} else {
		to.LongValueEnd()
	}
	return true, nil
}

// passParts passes the received bytes of a value to accept, which returns how many of them it takes, and checks its line
// end. It returns true when the value is complete.
func (r *ReplyReader) passParts(in *ringbuffer.Buffer, accept func(part []byte) int) (bool, error) {
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
		taken := accept(part[:min(len(part), r.remaining-len(lineEnd))])
		if taken == 0 {
			return false, nil
		}
		in.Drop(taken)
		r.remaining -= taken
	}
	return true, nil
}
