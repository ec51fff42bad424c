package simadapter

import (
	"bufio"
	"encoding/json"
	"math"
	"strconv"
)

// replyWriter writes JSON lines, one at a time: line starts a line, end finishes it. Fields are written in the order
// of the calls.
type replyWriter struct {
	out    *bufio.Writer
	buffer []byte // the line so far
}

func (w *replyWriter) line(name string) *replyWriter {
	w.buffer = append(w.buffer[:0], `{"m":"`...)
	w.buffer = append(w.buffer, name...)
	w.buffer = append(w.buffer, '"')
	return w
}

func (w *replyWriter) field(name string) {
	w.buffer = append(w.buffer, `,"`...)
	w.buffer = append(w.buffer, name...)
	w.buffer = append(w.buffer, `":`...)
}

func (w *replyWriter) uint(name string, value uint64) *replyWriter {
	w.field(name)
	w.buffer = strconv.AppendUint(w.buffer, value, 10)
	return w
}

// time writes seconds as nanoseconds.
func (w *replyWriter) time(name string, seconds float64) *replyWriter {
	w.field(name)
	w.buffer = strconv.AppendInt(w.buffer, int64(math.Round(seconds*1e9)), 10)
	return w
}

func (w *replyWriter) flag(name string, value bool) *replyWriter {
	w.field(name)
	w.buffer = strconv.AppendBool(w.buffer, value)
	return w
}

func (w *replyWriter) text(name, value string) *replyWriter {
	w.field(name)
	quoted, _ := json.Marshal(value) // a string always marshals
	w.buffer = append(w.buffer, quoted...)
	return w
}

// end writes the line. bufio.Writer keeps a write error and returns it from Flush.
func (w *replyWriter) end() {
	w.buffer = append(w.buffer, '}', '\n')
	w.out.Write(w.buffer)
}
