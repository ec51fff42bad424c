package meta

import (
	"bytes"
	"errors"
	"slices"
	"strconv"

	"bendtrestle/internal/ring"
)

// Replies is called with a cache server's replies, in the order of the commands.
type Replies interface {
	Value(id string, value []byte)
	Stored(id, receipt string)
	Busy(after int) // milliseconds, 0 if it does not say
	Failed()
	Ready()       // the answer to mn
	Other(string) // a line with no meaning here
}

// ReplyReader reads a cache server's replies.
type ReplyReader struct{ cutter }

// Begun tells whether a reply has begun and is not whole.
func (r *ReplyReader) Begun() bool { return r.begun() }

var (
	errReply = errors.New("no reply begins so")
	begins   = []string{"VA ", "HD ", "SERVER_ERROR ", "MN\r\n", "MN\n"}
)

// Read hands on the next reply; false while it is not whole. After an error nothing more can be read. Noise is told
// by its first bytes: whoever waits for the end of a line that never ends waits until its hard stop.
func (r *ReplyReader) Read(in *ring.Buffer, to Replies) (bool, error) {
	verb, fields, whole, err := r.readLine(in)
	may := func(begin string) bool { n := min(len(begin), len(r.line)); return string(r.line[:n]) == begin[:n] }
	if err == nil && !slices.ContainsFunc(begins, may) {
		return false, errReply
	}
	if !whole {
		return false, err
	}
	switch {
	case verb == "VA" && len(fields) >= 2:
		value, whole, err := r.readValue(in, fields[1])
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
