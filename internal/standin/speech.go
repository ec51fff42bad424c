package standin

import (
	"hash/crc32"
	"strconv"

	"bendtrestle/internal/meta"
	"bendtrestle/internal/ring"
)

// speech is the protocol of one connection to a server.
type speech interface {
	read(in *ring.Buffer) (whole bool, err error) // hands on the next command
	begun() bool
	value(r *reply) (text string, sum uint32) // an answer, and a checksum of what a client takes from it
	busy() string
	failed() string
	spoiled(text string) string // what a fault makes of an answer
}

// memcacheSpeech is the meta commands of the memcache text protocol.
type memcacheSpeech struct {
	c      *serverConn
	reader meta.CommandReader
}

func (m *memcacheSpeech) read(in *ring.Buffer) (bool, error) { return m.reader.Read(in, m) }
func (m *memcacheSpeech) begun() bool                        { return m.reader.Begun() }
func (m *memcacheSpeech) busy() string                       { return "SERVER_ERROR busy\r\n" }
func (m *memcacheSpeech) failed() string                     { return "SERVER_ERROR failed\r\n" }

// Get takes a read.
func (m *memcacheSpeech) Get(key, id, _, figures string) { m.take(key, id, figures, false) }

// Set takes a write.
func (m *memcacheSpeech) Set(key, id, _, figures string, _ []byte) { m.take(key, id, figures, true) }

// Reserve takes any write.
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
	m.c.take(t, key, id, mark, ms/1e3, nil)
}

func (m *memcacheSpeech) value(r *reply) (string, uint32) {
	v := m.c.s.value(r.x, r.key)
	text := meta.AppendValue(nil, r.x.ID, len(v))
	return string(append(append(text, v...), "\r\n"...)), crc32.ChecksumIEEE(v)
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
