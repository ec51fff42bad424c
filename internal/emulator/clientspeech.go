package emulator

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"math"
	"strconv"

	"bendtrestle/internal/http1"
	"bendtrestle/internal/meta"
	"bendtrestle/internal/ringbuffer"
	"bendtrestle/internal/tiles"
)

// clientSpeech is the protocol of one connection of a client.
type clientSpeech interface {
	command(t *Try, left float64) [][]byte
	read(in *ringbuffer.Buffer) (whole bool, err error)
	closed() bool // the connection has ended; true if that ended an answer as it should
}

// memcacheClient is the meta commands of the memcache text protocol.
type memcacheClient struct {
	c      *clientConn
	reader meta.ReplyReader
	long   string // the id of a long value that is on its way
	check  Check  // of it
}

func (m *memcacheClient) read(in *ringbuffer.Buffer) (bool, error) { return m.reader.Read(in, m) }
func (m *memcacheClient) closed() bool                             { return false }

func (m *memcacheClient) command(t *Try, left float64) [][]byte {
	o := t.Op
	figures := fmt.Sprintf("c=%s,d=%d", o.Type.Name, int(math.Ceil(left*1e3)))
	if o.Type.Tenant != "" {
		figures += ",tenant=" + o.Type.Tenant
	}
	if o.Mark != "" {
		figures += ",k=" + o.Mark
	}
	if len(o.Tries) > 1 {
		figures += ",r=1"
	}
	if !o.Type.Write {
		return [][]byte{meta.AppendGet(nil, o.Key, "v O"+t.ID, figures)}
	}
	text, end := meta.AppendSet(nil, o.Key, "O"+t.ID, figures, o.Type.Size), []byte("\r\n")
	if o.Type.Size > meta.ValueBound {
		v := NewValue(o.Key, t.ID, "its client", uint64(len(o.Tries)), o.Type.Size)
		return append(append([][]byte{text}, v.Pieces()...), end)
	}
	return [][]byte{append(append(text, bytes.Repeat([]byte{'w'}, o.Type.Size)...), end...)}
}

// Value takes a read's answer.
func (m *memcacheClient) Value(id string, value []byte) {
	if m.c.due(id) {
		m.c.try.Got = crc32.ChecksumIEEE(value)
		m.c.answered(Finished)
	}
}

// Long takes the beginning of a long value.
func (m *memcacheClient) Long(id string, length int) {
	m.long, m.check = id, Check{Length: length}
	if t := m.c.try; t != nil && id == t.ID {
		t.Length = length
	}
}

// Part takes some of a long value.
func (m *memcacheClient) Part(part []byte) int {
	m.check.Take(part)
	if t := m.c.try; t != nil && m.long == t.ID {
		t.Came, t.Begun, m.c.moved = m.check.Came, m.check.Sum(), m.c.d.c.loop.Now()
		if m.c.leaves > 0 && t.Came >= m.c.leaves {
			m.c.finish(Left)
			m.c.close()
		}
	}
	return len(part)
}

// LongEnd takes a read's long answer. One that is not what its head says has no sum, for nobody made it.
func (m *memcacheClient) LongEnd() {
	if m.c.closed || !m.c.due(m.long) {
		return
	}
	if t := m.c.try; m.check.End() == "" {
		t.Got = m.check.Sum()
	} else {
		t.Garble(m.check.Wrong())
	}
	m.c.answered(Finished)
}

// Stored takes a write's answer.
func (m *memcacheClient) Stored(id, receipt string) {
	if m.c.due(id) {
		m.c.try.Got = crc32.ChecksumIEEE([]byte(receipt))
		m.c.answered(Finished)
	}
}

// Busy takes that trying again is harmless.
func (m *memcacheClient) Busy(after int) {
	if m.c.due("") {
		m.c.try.After = after
		m.c.answered(Declined)
	}
}

// Failed takes that nothing is promised.
func (m *memcacheClient) Failed() {
	if m.c.due("") {
		m.c.answered(Terminated)
	}
}

// Ready is for probes.
func (m *memcacheClient) Ready() {}

// Other takes any other line.
func (m *memcacheClient) Other(line string) {
	if m.c.due("") {
		m.c.strange(line)
	}
}

// WaitHeader is by which clients of tiles say how many milliseconds they wait.
const WaitHeader = "X-Wait-Ms"

// tileClient is HTTP, by one of the schemes.
type tileClient struct {
	c      *clientConn
	reader http1.ResponseReader
	status int
	after  int
	body   []byte
}

func (k *tileClient) read(in *ringbuffer.Buffer) (bool, error) { return k.reader.Read(in, k) }
func (k *tileClient) closed() bool                             { return k.reader.Closed(k) }

// TileAt gives the n-th most popular tile of a layer: views of a region lie side by side.
func TileAt(n int) tiles.Tile {
	return tiles.Tile{Layer: "roads", Style: "default", Set: tiles.Google, Matrix: "12", Col: 3050 + n%64, Row: 1750 + n/64, Format: "png"}
}

func (k *tileClient) command(t *Try, left float64) [][]byte {
	n, _ := strconv.Atoi(t.Op.Key[len("clinic-"):])
	return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: router\r\nX-Request-Id: %s\r\n%s: %d\r\n\r\n", t.Op.Type.Scheme.Address(TileAt(n)),
		t.ID, WaitHeader, int(math.Ceil(left*1e3)))}
}

// Status begins an answer.
func (k *tileClient) Status(code int) { k.status, k.after, k.body = code, 0, nil }

// Header takes a header.
func (k *tileClient) Header(name, value string) {
	if name == "retry-after" {
		seconds, _ := strconv.Atoi(value)
		k.after = seconds * 1000
	}
}

// Length takes any length.
func (k *tileClient) Length(int64) error { return nil }

// Body takes a part of a tile.
func (k *tileClient) Body(part []byte) error {
	k.body = append(k.body, part...)
	return nil
}

// End takes the end of an answer.
func (k *tileClient) End(keep bool) {
	if !k.c.due("") {
		return
	}
	switch k.status {
	case 200:
		k.c.try.Got = crc32.ChecksumIEEE(k.body)
		k.c.answered(Finished)
	case 503:
		k.c.try.After = k.after
		k.c.answered(Declined)
	case 502, 504:
		k.c.answered(Terminated)
	default:
		k.c.strange("the status " + strconv.Itoa(k.status))
		return
	}
	if !keep {
		k.c.close()
	}
}
