package emulator

import (
	"strconv"

	"bendtrestle/internal/meta"
	"bendtrestle/internal/ringbuffer"
)

// serverProtocol is the server side of the protocol of one connection.
type serverProtocol interface {
	read(in *ringbuffer.Buffer) (whole bool, err error) // starts the next command once it is complete
	begun() bool
	encodeValue(reply *reply) (text [][]byte, sum uint32) // an answer, and the checksum that a client computes of it
	busyReply() string
	failedReply() string
	corrupt(text string) string // a malformed form of an answer
}

// memcacheServer is the server side of the meta commands of the memcache text protocol.
type memcacheServer struct {
	conn      *serverConn
	reader    meta.CommandReader
	longWrite longWrite
	damage    string // what is wrong with the current long write's value; empty: nothing
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

// Get handles a read.
func (m *memcacheServer) Get(key, id, _, parameters string) {
	m.startCommand(key, id, parameters, false)
}

// Set handles a write.
func (m *memcacheServer) Set(key, id, _, parameters string, _ []byte) {
	m.startCommand(key, id, parameters, true)
}

// Reserve refuses nothing: an emulated server has ample memory, and longWrite reads long writes.
func (m *memcacheServer) Reserve(int) bool { return true }

// ValueSkipped is never called, because Reserve refuses nothing.
func (m *memcacheServer) ValueSkipped() {}

// Noop answers a probe.
func (m *memcacheServer) Noop() {
	m.conn.server.fleet.records.Probes++
	m.conn.replyText("MN\r\n")
}

// BadCommand answers a malformed or unknown command.
func (m *memcacheServer) BadCommand(answer string) { m.conn.replyText(answer + "\r\n") }

func (m *memcacheServer) startCommand(key, id, parameters string, write bool) {
	className, _ := meta.Parameter(parameters, "c")
	trafficType := m.conn.server.fleet.types[className]
	if trafficType == nil || trafficType.Write != write {
		m.conn.replyText("CLIENT_ERROR the type c is unknown\r\n")
		return
	}
	idempotencyKey, _ := meta.Parameter(parameters, "k")
	deadline, _ := meta.Parameter(parameters, "d")
	ms, _ := strconv.ParseFloat(deadline, 64) // 0 if it is not stated
	m.conn.startExecution(trafficType, key, id, idempotencyKey, ms/1e3, nil, m.damage)
}

func (m *memcacheServer) encodeValue(reply *reply) ([][]byte, uint32) {
	v := m.conn.server.newValue(reply.execution, reply.key)
	if v.Len() > meta.MaxBufferedValueBytes {
		reply.execution.Length = v.Len()
	}
	text := append([][]byte{meta.AppendValue(nil, reply.execution.ID, v.Len())}, v.Pieces()...)
	return append(text, []byte("\r\n")), v.Sum()
}

// corrupt returns a malformed form of an answer: no valid line, an unknown ID, a wrong length, a length far too long,
// or half of the answer.
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
