package meta

import (
	"bytes"
	"errors"
	"slices"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// Replies is called with a cache server's replies, in the order of the commands.
type Replies interface {
	Value(id string, value []byte)
	Long(id string, length int) // a value of more than ValueBound begins
	Part(part []byte) int       // takes the next bytes of it, as many as it has room for
	LongEnd()                   // all of it has come
	Stored(id, receipt string)
	Busy(after int) // milliseconds, 0 if it does not say
	Failed()
	Ready()       // the answer to mn
	Other(string) // a line with no meaning here
}

// ReplyReader reads a cache server's replies.
type ReplyReader struct {
	cutter
	left int // bytes of a long value, with its CRLF, that have not come
}

// Begun tells whether a reply has begun and is not whole.
func (r *ReplyReader) Begun() bool { return r.begun() }

var (
	errReply = errors.New("no reply begins so")
	begins   = []string{"VA ", "HD ", "SERVER_ERROR ", "MN\r\n", "MN\n"}
)

// Read hands on the next reply; false while it is not whole. After an error nothing more can be read. Noise is told
// by its first bytes: whoever waits for the end of a line that never ends waits until its hard stop.
func (r *ReplyReader) Read(in *ringbuffer.Buffer, to Replies) (bool, error) {
	if r.left > 0 {
		return r.pass(in, to)
	}
	verb, fields, whole, err := r.readLine(in)
	may := func(begin string) bool { n := min(len(begin), len(r.line)); return string(r.line[:n]) == begin[:n] }
	if err == nil && !slices.ContainsFunc(begins, may) {
		return false, errReply
	}
	if !whole {
		return false, err
	}
	switch {
	case verb == "VA" && len(fields) >= 2 && long(fields[1]) > 0:
		if in.Len() == 0 { // a head alone is no beginning: another try is still possible
			return false, nil
		}
		r.left = long(fields[1]) + len("\r\n")
		to.Long(flag(fields[2:], 'O'), long(fields[1]))
		return r.pass(in, to)
	case verb == "VA" && len(fields) >= 2:
		value, whole, err := r.readValue(in, fields[1], ValueBound)
		if !whole {
			return false, err
		}
		to.Value(flag(fields[2:], 'O'), value)
	case verb == "HD":
		to.Stored(flag(fields[1:], 'O'), flag(fields[1:], 'c'))
	case verb == "SERVER_ERROR" && len(fields) >= 2 && string(fields[1]) == "busy":
		after := 0
		if len(fields) > 2 {
			after, _ = strconv.Atoi(string(fields[2]))
		}
		to.Busy(max(0, after))
	case verb == "SERVER_ERROR" && len(fields) == 2 && string(fields[1]) == "failed":
		to.Failed()
	case verb == "MN":
		to.Ready()
	default:
		to.Other(string(bytes.TrimSpace(r.line)))
	}
	r.next()
	return true, nil
}

// long gives a length that makes a value long, else 0.
func long(stated []byte) int {
	if n, err := strconv.ParseUint(string(stated), 10, 31); err == nil && n > ValueBound && n <= LongBound {
		return int(n)
	}
	return 0
}

// pass hands on what has come of a long value, as far as it is taken.
func (r *ReplyReader) pass(in *ringbuffer.Buffer, to Replies) (bool, error) {
	const framing = "\r\n"
	for r.left > 0 {
		var parts [2][]byte
		held := in.Held(parts[:0])
		if len(held) == 0 {
			return false, nil
		}
		if part := held[0]; r.left > len(framing) {
			n := to.Part(part[:min(len(part), r.left-len(framing))])
			if n == 0 {
				return false, nil
			}
			in.Drop(n)
			r.left -= n
		} else if part[0] != framing[len(framing)-r.left] {
			return false, errFrame
		} else {
			in.Drop(1)
			r.left--
		}
	}
	r.next()
	to.LongEnd()
	return true, nil
}

// AppendValue writes the line before a value.
func AppendValue(to []byte, id string, length int) []byte {
	to = strconv.AppendInt(append(to, "VA "...), int64(length), 10)
	return append(append(append(to, " O"...), id...), "\r\n"...)
}

// AppendStored writes the answer to a write.
func AppendStored(to []byte, id, receipt string) []byte {
	to = append(append(append(to, "HD O"...), id...), " c"...)
	return append(append(to, receipt...), "\r\n"...)
}

// AppendBusy writes that trying again is harmless, after so many milliseconds if that is not 0.
func AppendBusy(to []byte, after int) []byte {
	to = append(to, "SERVER_ERROR busy"...)
	if after > 0 {
		to = strconv.AppendInt(append(to, ' '), int64(after), 10)
	}
	return append(to, "\r\n"...)
}
