package upstream

import (
	"math"
	"strconv"

	"bendtrestle/balancer"
	"bendtrestle/internal/meta"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// minSecondsLeft is the minimum time left that a command carries. The command carries it in whole milliseconds, and at
// least one.
const minSecondsLeft = 1e-3

// memcacheCodec is a Codec for the meta commands of the memcache text protocol, which the platform's cache servers use.
// It implements meta.ReplyHandler for its reader.
type memcacheCodec struct {
	replies      ReplyHandler
	reader       meta.ReplyReader
	memory       *ValueQueue
	reserved     int // bytes of memory that are reserved for the value that is being received
	delayedBytes int // length of the value that waits for memory; 0: none does
}

// MemcacheCodecs returns a function that creates the codec of a connection to a cache server. All codecs share the
// memory for values.
func MemcacheCodecs(memory *ValueQueue) func(ReplyHandler) Codec {
	return func(replies ReplyHandler) Codec { return &memcacheCodec{replies: replies, memory: memory} }
}

// Encode returns the command for a request, or for a probe.
func (m *memcacheCodec) Encode(request *requestcore.Request, secondsLeft float64) [][]byte {
	if request == nil {
		return [][]byte{[]byte("mn\r\n")}
	}
	milliseconds := math.Ceil(max(minSecondsLeft, secondsLeft) * 1e3)
	parameters := meta.WithParameter(request.Parameters, "d", strconv.Itoa(int(milliseconds)))
	if request.Write {
		command := meta.AppendSet(nil, request.Key, request.Flags, parameters, len(request.Value))
		return [][]byte{command, request.Value, []byte("\r\n")}
	}
	return [][]byte{meta.AppendGet(nil, request.Key, request.Flags, parameters)}
}

// Decode reads the next reply, or a part of a long reply.
func (m *memcacheCodec) Decode(in *ringbuffer.Buffer) (bool, error) { return m.reader.Read(in, m) }

// ReplyBegun reports whether a reply has begun and is not complete.
func (m *memcacheCodec) ReplyBegun() bool { return m.reader.Begun() }

// OnServerClose does nothing: in this protocol the end of a connection does not complete a reply.
func (m *memcacheCodec) OnServerClose() {}

// Release releases the memory of a value that is not complete.
func (m *memcacheCodec) Release() {
	m.stopWaiting()
	m.releaseValue()
}

func (m *memcacheCodec) releaseValue() {
	m.memory.budget.Release(m.reserved)
	m.reserved = 0
}

// ReserveValue reserves memory for a value that begins. While there is none, the value waits in the server's socket, if
// the connection may wait.
func (m *memcacheCodec) ReserveValue(length int) meta.Reservation {
	budget := m.memory.budget
	if budget.Reserve(length, m.replies.AnswerIsNext()) {
		m.stopWaiting()
		m.reserved = length
		return meta.Reserved
	}
	if !budget.MayFitLater(length) || !m.replies.AwaitMemory() {
		m.stopWaiting()
		budget.Counts.Refused++
		return meta.Refused
	}
	if m.delayedBytes == 0 {
		m.delayedBytes = length
		m.memory.add(m)
	}
	return meta.Delayed
}

func (m *memcacheCodec) stopWaiting() {
	if m.delayedBytes > 0 {
		m.delayedBytes = 0
		m.memory.remove(m)
	}
}

// ValueRefused handles the reply to a read for whose value there was no memory.
func (m *memcacheCodec) ValueRefused(id string) {
	if !m.isDue(id, false) {
		m.replies.OnUnexpectedReply("VA " + id)
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{ValueRefused: true}, true)
}

// isDue reports whether the reply that is due is to a request with this id, and to a write if write is true or else to
// a read.
func (m *memcacheCodec) isDue(id string, write bool) bool {
	request, due := m.replies.PendingRequest()
	if !due || request == nil || id == "" {
		return false
	}
	return request.ID == id && request.Write == write
}

// Value handles the reply to a read.
func (m *memcacheCodec) Value(id string, value []byte) {
	m.releaseValue()
	m.memory.budget.Observe(len(value))
	if !m.isDue(id, false) {
		m.replies.OnUnexpectedReply("VA " + id)
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{Value: value}, true)
}

// LongValueBegin handles the beginning of a long reply to a read.
func (m *memcacheCodec) LongValueBegin(id string, length int) {
	if !m.isDue(id, false) {
		m.replies.OnUnexpectedReply("VA " + id)
		return
	}
	m.memory.budget.Observe(0) // it is forwarded while it is received, and needs no memory
	m.replies.OnBodyStart(length)
}

// LongValuePart handles the next bytes of a long reply and returns how many were accepted.
func (m *memcacheCodec) LongValuePart(part []byte) int { return m.replies.OnBodyPart(part) }

// LongValueEnd handles the end of a long reply.
func (m *memcacheCodec) LongValueEnd() { m.replies.OnBodyEnd() }

// Stored handles the reply to a write.
func (m *memcacheCodec) Stored(id, receipt string) {
	if !m.isDue(id, true) {
		m.replies.OnUnexpectedReply("HD " + id)
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{Receipt: receipt}, true)
}

// Busy handles a rejection: the server is overloaded and did not execute the request.
func (m *memcacheCodec) Busy(int) {
	m.replies.OnReply(balancer.Overloaded, requestcore.Result{}, true)
}

// Failed handles an error reply.
func (m *memcacheCodec) Failed() {
	m.replies.OnReply(balancer.ServerError, requestcore.Result{}, true)
}

// Ready handles the reply to a probe.
func (m *memcacheCodec) Ready() {
	request, due := m.replies.PendingRequest()
	if !due || request != nil {
		m.replies.OnUnexpectedReply("MN")
		return
	}
	m.replies.OnReply(balancer.Succeeded, requestcore.Result{}, true)
}

// UnknownLine handles a line that the protocol does not define. The connection is closed, because bytes that follow the
// line could be mistaken for the reply to another request.
func (m *memcacheCodec) UnknownLine(line string) { m.replies.OnUnexpectedReply(line) }
