package upstream

import (
	"math"
	"strconv"

	"bendtrestle/balancer"
	"bendtrestle/internal/meta"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// Codec is the protocol of one connection to a server. It calls its link with what it reads.
type Codec interface {
	Encode(op *requestcore.Request, left float64) [][]byte // nil asks whether the server is there
	Decode(in *ringbuffer.Buffer) (whole bool, err error)  // hands on the next reply; after an error nothing more can be read
	ReplyBegun() bool                                      // a reply has begun and is not whole
	OnServerClose()                                        // the server has ended the connection
	Release()                                              // the connection is closed: nothing more is read, what came is let go
}

// ReplyHandler is what a wire calls.
type ReplyHandler interface {
	PendingRequest() (op *requestcore.Request, due bool)              // whose reply is due; nil for a probe
	OnReply(how balancer.Outcome, with requestcore.Result, more bool) // more: the connection can be used on
	OnUnexpectedReply(what string)                                    // nothing that was asked for; the connection ends
	OnBodyStart(length int)                                           // settles with a long value, whose bytes follow
	OnBodyPart(part []byte) int                                       // some of them, as many as are taken
	OnBodyEnd()                                                       // that was all
}

// NewMemcacheCodec is the platform's protocol: the meta commands of the memcache text protocol.
func NewMemcacheCodec(l ReplyHandler) Codec { return &memcacheCodec{replies: l} }

type memcacheCodec struct {
	replies ReplyHandler
	reader  meta.ReplyReader
}

func (m *memcacheCodec) Decode(in *ringbuffer.Buffer) (bool, error) { return m.reader.Read(in, m) }
func (m *memcacheCodec) ReplyBegun() bool                           { return m.reader.Begun() }
func (m *memcacheCodec) OnServerClose()                             {}
func (m *memcacheCodec) Release()                                   {}

// Encode writes an operation's command, or a probe's.
func (m *memcacheCodec) Encode(op *requestcore.Request, left float64) [][]byte {
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

// pendingRequest gives the operation whose reply is pendingRequest, one without an id if there is none.
func (m *memcacheCodec) pendingRequest() *requestcore.Request {
	if op, due := m.replies.PendingRequest(); due && op != nil {
		return op
	}
	return &requestcore.Request{}
}

// Value takes a read's answer.
func (m *memcacheCodec) Value(id string, value []byte) {
	if op := m.pendingRequest(); id == "" || op.ID != id || op.Write {
		m.replies.OnUnexpectedReply("VA " + id)
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{Value: value}, true)
}

// Long takes the beginning of a read's long answer.
func (m *memcacheCodec) Long(id string, length int) {
	if op := m.pendingRequest(); id == "" || op.ID != id || op.Write {
		m.replies.OnUnexpectedReply("VA " + id)
		return
	}
	m.replies.OnBodyStart(length)
}

// Part takes the next bytes of a long answer.
func (m *memcacheCodec) Part(part []byte) int { return m.replies.OnBodyPart(part) }

// LongEnd takes the end of a long answer.
func (m *memcacheCodec) LongEnd() { m.replies.OnBodyEnd() }

// Stored takes a write's answer.
func (m *memcacheCodec) Stored(id, receipt string) {
	if op := m.pendingRequest(); id == "" || op.ID != id || !op.Write {
		m.replies.OnUnexpectedReply("HD " + id)
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{Receipt: receipt}, true)
}

// Busy takes that it was turned away.
func (m *memcacheCodec) Busy(int) { m.replies.OnReply(balancer.Overloaded, requestcore.Result{}, true) }

// Failed takes an error.
func (m *memcacheCodec) Failed() { m.replies.OnReply(balancer.ServerError, requestcore.Result{}, true) }

// Ready takes a probe's answer.
func (m *memcacheCodec) Ready() {
	if op, due := m.replies.PendingRequest(); !due || op != nil {
		m.replies.OnUnexpectedReply("MN")
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{}, true)
}

// Other takes a line that the protocol does not name. What may follow it would be taken for another's answer.
func (m *memcacheCodec) Other(line string) { m.replies.OnUnexpectedReply(line) }
