package upstream

import (
	"math"
	"strconv"

	"bendtrestle/balancer"
	"bendtrestle/internal/meta"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// Wire is the protocol of one connection to a server. It calls its link with what it reads.
type Wire interface {
	Command(op *requestcore.Request, left float64) [][]byte // nil asks whether the server is there
	Read(in *ringbuffer.Buffer) (whole bool, err error)     // hands on the next reply; after an error nothing more can be read
	Begun() bool                                            // a reply has begun and is not whole
	Closed()                                                // the server has ended the connection
	Drop()                                                  // the connection is closed: nothing more is read, what came is let go
}

// Link is what a wire calls.
type Link interface {
	Due() (op *requestcore.Request, due bool)                          // whose reply is due; nil for a probe
	Answered(how balancer.Outcome, with requestcore.Result, more bool) // more: the connection can be used on
	Stray(what string)                                                 // nothing that was asked for; the connection ends
	Passing(length int)                                                // settles with a long value, whose bytes follow
	Part(part []byte) int                                              // some of them, as many as are taken
	Passed()                                                           // that was all
}

// Memcache is the platform's protocol: the meta commands of the memcache text protocol.
func Memcache(l Link) Wire { return &memcache{l: l} }

type memcache struct {
	l      Link
	reader meta.ReplyReader
}

func (m *memcache) Read(in *ringbuffer.Buffer) (bool, error) { return m.reader.Read(in, m) }
func (m *memcache) Begun() bool                              { return m.reader.Begun() }
func (m *memcache) Closed()                                  {}
func (m *memcache) Drop()                                    {}

// Command writes an operation's command, or a probe's.
func (m *memcache) Command(op *requestcore.Request, left float64) [][]byte {
	if op == nil {
		return [][]byte{[]byte("mn\r\n")}
	}
	ms := math.Ceil(max(1e-3, left) * 1e3)
	figures := meta.WithFigure(op.Figures, "d", strconv.Itoa(int(ms)))
	if op.Write {
		return [][]byte{meta.AppendSet(nil, op.Key, op.Flags, figures, len(op.Value)), op.Value, []byte("\r\n")}
	}
	return [][]byte{meta.AppendGet(nil, op.Key, op.Flags, figures)}
}

// due gives the operation whose reply is due, one without an id if there is none.
func (m *memcache) due() *requestcore.Request {
	if op, due := m.l.Due(); due && op != nil {
		return op
	}
	return &requestcore.Request{}
}

// Value takes a read's answer.
func (m *memcache) Value(id string, value []byte) {
	if op := m.due(); id == "" || op.ID != id || op.Write {
		m.l.Stray("VA " + id)
		return
	}
	m.l.Answered(balancer.Succeeded, requestcore.Result{Value: value}, true)
}

// Long takes the beginning of a read's long answer.
func (m *memcache) Long(id string, length int) {
	if op := m.due(); id == "" || op.ID != id || op.Write {
		m.l.Stray("VA " + id)
		return
	}
	m.l.Passing(length)
}

// Part takes the next bytes of a long answer.
func (m *memcache) Part(part []byte) int { return m.l.Part(part) }

// LongEnd takes the end of a long answer.
func (m *memcache) LongEnd() { m.l.Passed() }

// Stored takes a write's answer.
func (m *memcache) Stored(id, receipt string) {
	if op := m.due(); id == "" || op.ID != id || !op.Write {
		m.l.Stray("HD " + id)
		return
	}
	m.l.Answered(balancer.Succeeded, requestcore.Result{Receipt: receipt}, true)
}

// Busy takes that it was turned away.
func (m *memcache) Busy(int) { m.l.Answered(balancer.Overloaded, requestcore.Result{}, true) }

// Failed takes an error.
func (m *memcache) Failed() { m.l.Answered(balancer.ServerError, requestcore.Result{}, true) }

// Ready takes a probe's answer.
func (m *memcache) Ready() {
	if op, due := m.l.Due(); !due || op != nil {
		m.l.Stray("MN")
		return
	}
	m.l.Answered(balancer.Succeeded, requestcore.Result{}, true)
}

// Other takes a line that the protocol does not name. What may follow it would be taken for another's answer.
func (m *memcache) Other(line string) { m.l.Stray(line) }
