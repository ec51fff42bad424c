package emulator

import (
	"strconv"

	"bendtrestle/internal/meta"
	"bendtrestle/internal/ringbuffer"
)

// speech is the protocol of one connection to a server.
type speech interface {
	read(in *ringbuffer.Buffer) (whole bool, err error) // hands on the next command
	begun() bool
	value(r *reply) (text [][]byte, sum uint32) // an answer, and a checksum of what a client takes from it
	busy() string
	failed() string
	spoiled(text string) string // what a fault makes of an answer
}

// memcacheSpeech is the meta commands of the memcache text protocol.
type memcacheSpeech struct {
	c      *serverConn
	reader meta.CommandReader
	long   longSet
	damage string // of the long write at hand; empty: none
}

func (m *memcacheSpeech) read(in *ringbuffer.Buffer) (bool, error) {
	if !m.reader.Begun() && (m.long.begun() || m.long.begins(in)) {
		return m.long.read(in, m)
	}
	return m.reader.Read(in, m)
}

func (m *memcacheSpeech) begun() bool    { return m.reader.Begun() || m.long.begun() }
func (m *memcacheSpeech) busy() string   { return "SERVER_ERROR busy\r\n" }
func (m *memcacheSpeech) failed() string { return "SERVER_ERROR failed\r\n" }

// Get takes a read.
func (m *memcacheSpeech) Get(key, id, _, figures string) { m.take(key, id, figures, false) }

// Set takes a write.
func (m *memcacheSpeech) Set(key, id, _, figures string, _ []byte) { m.take(key, id, figures, true) }

// Reserve never comes: long writes are read apart.
func (m *memcacheSpeech) Reserve(int) bool { return true }

// Refused never comes, for none is.
func (m *memcacheSpeech) Refused() {}

// Noop answers a probe.
func (m *memcacheSpeech) Noop() {
	m.c.s.f.book.Probes++
	m.c.say("MN\r\n")
}

// Bad answers what it does not know.
func (m *memcacheSpeech) Bad(answer string) { m.c.say(answer + "\r\n") }

func (m *memcacheSpeech) take(key, id, figures string, write bool) {
	kind, _ := meta.Figure(figures, "c")
	t := m.c.s.f.types[kind]
	if t == nil || t.Write != write {
		m.c.say("CLIENT_ERROR the type c is unknown\r\n")
		return
	}
	mark, _ := meta.Figure(figures, "k")
	d, _ := meta.Figure(figures, "d")
	ms, _ := strconv.ParseFloat(d, 64) // 0 where it is not said
	m.c.take(t, key, id, mark, ms/1e3, nil, m.damage)
}

func (m *memcacheSpeech) value(r *reply) ([][]byte, uint32) {
	v := m.c.s.value(r.x, r.key)
	if v.Len() > meta.ValueBound {
		r.x.Length = v.Len()
	}
	text := append([][]byte{meta.AppendValue(nil, r.x.ID, v.Len())}, v.Pieces()...)
	return append(text, []byte("\r\n")), v.Sum()
}

// spoiled makes noise of an answer: no line at all, another's id, a length that does not fit, one far too long, a part.
func (m *memcacheSpeech) spoiled(text string) string {
	switch m.c.s.chance.IntN(5) {
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
