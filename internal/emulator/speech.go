package emulator

import (
	"strconv"

	"bendtrestle/internal/meta"
	"bendtrestle/internal/ringbuffer"
)

// speech is the protocol of one connection to a server.
type serverProtocol interface {
	read(in *ringbuffer.Buffer) (whole bool, err error) // hands on the next command
	begun() bool
	encodeValue(r *reply) (text [][]byte, sum uint32) // an answer, and a checksum of what a client takes from it
	busyReply() string
	failedReply() string
	corrupt(text string) string // what a fault makes of an answer
}

// memcacheSpeech is the meta commands of the memcache text protocol.
type memcacheServer struct {
	conn      *serverConn
	reader    meta.CommandReader
	longWrite longWrite
	damage    string // of the long write at hand; empty: none
}

func (m *memcacheServer) read(in *ringbuffer.Buffer) (bool, error) {
	if !m.reader.Begun() && (m.longWrite.begun() || m.longWrite.startsLongWrite(in)) {
		return m.longWrite.read(in, m)
	}
	return m.reader.Read(in, m)
}

func (m *memcacheServer) begun() bool         { return m.reader.Begun() || m.longWrite.begun() }
func (m *memcacheServer) busyReply() string   { return "SERVER_ERROR busy\r\n" }
func (m *memcacheServer) failedReply() string { return "SERVER_ERROR failed\r\n" }

// Get takes a read.
func (m *memcacheServer) Get(key, id, _, parameters string) {
	m.startCommand(key, id, parameters, false)
}

// Set takes a write.
func (m *memcacheServer) Set(key, id, _, parameters string, _ []byte) {
	m.startCommand(key, id, parameters, true)
}

// Reserve never comes: long writes are read apart.
func (m *memcacheServer) Reserve(int) bool { return true }

// Refused never comes, for none is.
func (m *memcacheServer) Refused() {}

// Noop answers a probe.
func (m *memcacheServer) Noop() {
	m.conn.server.fleet.records.Probes++
	m.conn.replyText("MN\r\n")
}

// Bad answers what it does not know.
func (m *memcacheServer) Bad(answer string) { m.conn.replyText(answer + "\r\n") }

func (m *memcacheServer) startCommand(key, id, parameters string, write bool) {
	className, _ := meta.Figure(parameters, "c")
	trafficType := m.conn.server.fleet.types[className]
	if trafficType == nil || trafficType.Write != write {
		m.conn.replyText("CLIENT_ERROR the type c is unknown\r\n")
		return
	}
	idempotencyKey, _ := meta.Figure(parameters, "k")
	deadline, _ := meta.Figure(parameters, "d")
	ms, _ := strconv.ParseFloat(deadline, 64) // 0 where it is not said
	m.conn.startExecution(trafficType, key, id, idempotencyKey, ms/1e3, nil, m.damage)
}

func (m *memcacheServer) encodeValue(r *reply) ([][]byte, uint32) {
	v := m.conn.server.newValue(r.execution, r.key)
	if v.Len() > meta.ValueBound {
		r.execution.Length = v.Len()
	}
	text := append([][]byte{meta.AppendValue(nil, r.execution.ID, v.Len())}, v.Pieces()...)
	return append(text, []byte("\r\n")), v.Sum()
}

// spoiled makes noise of an answer: no line at all, another's id, a length that does not fit, one far too long, a part.
func (m *memcacheServer) corrupt(text string) string {
	switch m.conn.server.rng.IntN(5) {
	case 0:
		return "\x00\xff~~ noise"
	case 1:
		return "VA 2 Oanother\r\nhi\r\n"
	case 2:
		return "VA 7 Oanother\r\nhi\r\n"
	case 3:
		return "VA 3000000000 Oanother\r\n" + text
	}
	return text[:len(text)/2]
}
