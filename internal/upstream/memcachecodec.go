package upstream

import (
	"math"
	"strconv"

	"bendtrestle/balancer"
	"bendtrestle/internal/meta"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// minSecondsLeft is the least time that a server is told a request has: it is told whole milliseconds, and at least
// one.
const minSecondsLeft = 1e-3

// memcacheCodec is a Codec for the meta commands of the memcache text protocol, which the platform's cache servers
// speak. It is its reader's meta.Replies.
type memcacheCodec struct {
	replies ReplyHandler
	reader  meta.ReplyReader
}

// NewMemcacheCodec makes the codec of a connection to a cache server.
func NewMemcacheCodec(replies ReplyHandler) Codec { return &memcacheCodec{replies: replies} }

// Encode writes a request's command, or a probe's.
func (m *memcacheCodec) Encode(request *requestcore.Request, secondsLeft float64) [][]byte {
	if request == nil {
		return [][]byte{[]byte("mn\r\n")}
	}
	milliseconds := math.Ceil(max(minSecondsLeft, secondsLeft) * 1e3)
	figures := meta.WithFigure(request.Figures, "d", strconv.Itoa(int(milliseconds)))
	if request.Write {
		command := meta.AppendSet(nil, request.Key, request.Flags, figures, len(request.Value))
		return [][]byte{command, request.Value, []byte("\r\n")}
	}
	return [][]byte{meta.AppendGet(nil, request.Key, request.Flags, figures)}
}

// Decode reads the next reply, or a part of a long one.
func (m *memcacheCodec) Decode(in *ringbuffer.Buffer) (bool, error) { return m.reader.Read(in, m) }

// ReplyBegun tells that a reply has begun and is not complete.
func (m *memcacheCodec) ReplyBegun() bool { return m.reader.Begun() }

// OnServerClose does nothing: no reply of this protocol ends with the connection.
func (m *memcacheCodec) OnServerClose() {}

// Release does nothing: the codec holds nothing beyond its connection.
func (m *memcacheCodec) Release() {}

// isDue tells whether the reply that is due is that to a read, or a write, of this id.
func (m *memcacheCodec) isDue(id string, write bool) bool {
	request, due := m.replies.PendingRequest()
	if !due || request == nil || id == "" {
		return false
	}
	return request.ID == id && request.Write == write
}

// Value takes a read's reply.
func (m *memcacheCodec) Value(id string, value []byte) {
	if !m.isDue(id, false) {
		m.replies.OnUnexpectedReply("VA " + id)
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{Value: value}, true)
}

// Long takes the beginning of a read's long reply.
func (m *memcacheCodec) Long(id string, length int) {
	if !m.isDue(id, false) {
		m.replies.OnUnexpectedReply("VA " + id)
		return
	}
	m.replies.OnBodyStart(length)
}

// Part takes the next bytes of a long reply and returns how many were taken.
func (m *memcacheCodec) Part(part []byte) int { return m.replies.OnBodyPart(part) }

// LongEnd takes the end of a long reply.
func (m *memcacheCodec) LongEnd() { m.replies.OnBodyEnd() }

// Stored takes a write's reply.
func (m *memcacheCodec) Stored(id, receipt string) {
	if !m.isDue(id, true) {
		m.replies.OnUnexpectedReply("HD " + id)
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{Receipt: receipt}, true)
}

// Busy takes a rejection: the server is overloaded, and nothing ran.
func (m *memcacheCodec) Busy(int) {
	m.replies.OnReply(balancer.Overloaded, requestcore.Result{}, true)
}

// Failed takes an error.
func (m *memcacheCodec) Failed() {
	m.replies.OnReply(balancer.ServerError, requestcore.Result{}, true)
}

// Ready takes a probe's reply.
func (m *memcacheCodec) Ready() {
	request, due := m.replies.PendingRequest()
	if !due || request != nil {
		m.replies.OnUnexpectedReply("MN")
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{}, true)
}

// Other takes a line that the protocol does not name. What may follow it would be taken for another request's reply.
func (m *memcacheCodec) Other(line string) { m.replies.OnUnexpectedReply(line) }
