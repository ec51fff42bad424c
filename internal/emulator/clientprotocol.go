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

// clientProtocol is the client side of the protocol of one connection.
type clientProtocol interface {
	encodeRequest(attempt *Attempt, left float64) [][]byte
	read(in *ringbuffer.Buffer) (whole bool, err error)
	closed() bool // handles the connection's end; true if that completed an answer
}

// memcacheClient is the client side of the meta commands of the memcache text protocol.
type memcacheClient struct {
	conn   *clientConn
	reader meta.ReplyReader
	longID string // ID of the long value that is being received
	check  Check  // of that value
}

func (m *memcacheClient) read(in *ringbuffer.Buffer) (bool, error) { return m.reader.Read(in, m) }
func (m *memcacheClient) closed() bool                             { return false }

func (m *memcacheClient) encodeRequest(attempt *Attempt, remaining float64) [][]byte {
	request := attempt.Request
	parameters := fmt.Sprintf("c=%s,d=%d", request.Type.Name, int(math.Ceil(remaining*1e3)))
	if request.Type.Tenant != "" {
		parameters += ",tenant=" + request.Type.Tenant
	}
	if request.IdempotencyKey != "" {
		parameters += ",k=" + request.IdempotencyKey
	}
	if len(request.Attempts) > 1 {
		parameters += ",r=1"
	}
	if !request.Type.Write {
		return [][]byte{meta.AppendGet(nil, request.Key, "v O"+attempt.ID, parameters)}
	}
	text, end := meta.AppendSet(nil, request.Key, "O"+attempt.ID, parameters, request.Type.Size), []byte("\r\n")
	if request.Type.Size > meta.MaxBufferedValueBytes {
		v := NewValue(request.Key, attempt.ID, "its client", uint64(len(request.Attempts)), request.Type.Size)
		return append(append([][]byte{text}, v.Pieces()...), end)
	}
	return [][]byte{append(append(text, bytes.Repeat([]byte{'w'}, request.Type.Size)...), end...)}
}

// Value handles a read's answer.
func (m *memcacheClient) Value(id string, value []byte) {
	if m.conn.expectsAnswer(id) {
		m.conn.attempt.AnswerSum = crc32.ChecksumIEEE(value)
		m.conn.attemptAnswered(Finished)
	}
}

// ReserveValue refuses nothing: clients have ample memory.
func (m *memcacheClient) ReserveValue(int) meta.Reservation { return meta.Reserved }

// ValueRefused is never called, because ReserveValue refuses nothing.
func (m *memcacheClient) ValueRefused(string) {}

// LongValueBegin handles the beginning of a long value.
func (m *memcacheClient) LongValueBegin(id string, length int) {
	m.longID, m.check = id, Check{Length: length}
	if attempt := m.conn.attempt; attempt != nil && id == attempt.ID {
		attempt.Length = length
	}
}

// LongValuePart handles a piece of a long value.
func (m *memcacheClient) LongValuePart(part []byte) int {
	m.check.Take(part)
	if attempt := m.conn.attempt; attempt != nil && m.longID == attempt.ID {
		attempt.Received, attempt.ValueSum, m.conn.lastByteAt = m.check.Received, m.check.Sum(), m.conn.target.clients.loop.Now()
		if m.conn.leaveAfterBytes > 0 && attempt.Received >= m.conn.leaveAfterBytes {
			m.conn.finishAttempt(ClientDisconnected)
			m.conn.close()
		}
	}
	return len(part)
}

// LongValueEnd handles the end of a read's long value. A value that does not match its head is recorded as malformed
// and gets no checksum, because no server made it.
func (m *memcacheClient) LongValueEnd() {
	if m.conn.closed || !m.conn.expectsAnswer(m.longID) {
		return
	}
	if attempt := m.conn.attempt; m.check.End() == "" {
		attempt.AnswerSum = m.check.Sum()
	} else {
		attempt.SetMalformed(m.check.Mismatch())
	}
	m.conn.attemptAnswered(Finished)
}

// Stored handles a write's answer.
func (m *memcacheClient) Stored(id, receipt string) {
	if m.conn.expectsAnswer(id) {
		m.conn.attempt.AnswerSum = crc32.ChecksumIEEE([]byte(receipt))
		m.conn.attemptAnswered(Finished)
	}
}

// Busy handles a rejection. A retry is safe.
func (m *memcacheClient) Busy(after int) {
	if m.conn.expectsAnswer("") {
		m.conn.attempt.After = after
		m.conn.attemptAnswered(Rejected)
	}
}

// Failed handles a failure. The outcome is unknown.
func (m *memcacheClient) Failed() {
	if m.conn.expectsAnswer("") {
		m.conn.attemptAnswered(FailedAttempt)
	}
}

// Ready is the answer to a probe, which clients don't send.
func (m *memcacheClient) Ready() {}

// UnknownLine rejects any other line.
func (m *memcacheClient) UnknownLine(line string) {
	if m.conn.expectsAnswer("") {
		m.conn.rejectAnswer(line)
	}
}

// WaitHeader is the header in which tile clients state their timeout in milliseconds.
const WaitHeader = "X-Wait-Ms"

// tileClient is the client side of HTTP requests for tiles, in any of the address schemes.
type tileClient struct {
	conn   *clientConn
	reader http1.ResponseReader
	status int
	after  int
	body   []byte
}

func (k *tileClient) read(in *ringbuffer.Buffer) (bool, error) { return k.reader.Read(in, k) }
func (k *tileClient) closed() bool                             { return k.reader.Closed(k) }

// TileAt returns the n-th most popular tile of a layer. Popular tiles are adjacent, as in views of one region.
func TileAt(n int) tiles.Tile {
	return tiles.Tile{Layer: "roads", Style: "default", Set: tiles.Google, Matrix: "12", Col: 3050 + n%64,
		Row: 1750 + n/64, Format: "png"}
}

func (k *tileClient) encodeRequest(attempt *Attempt, remaining float64) [][]byte {
	n, _ := strconv.Atoi(attempt.Request.Key[len("clinic-"):])
	return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: router\r\nX-Request-Id: %s\r\n%s: %d\r\n\r\n",
		attempt.Request.Type.Scheme.Address(TileAt(n)),
		attempt.ID, WaitHeader, int(math.Ceil(remaining*1e3)))}
}

// Status handles an answer's status line.
func (k *tileClient) Status(code int) { k.status, k.after, k.body = code, 0, nil }

// Header handles a header.
func (k *tileClient) Header(name, value string) {
	if name == "retry-after" {
		seconds, _ := strconv.Atoi(value)
		k.after = seconds * 1000
	}
}

// Length accepts any length.
func (k *tileClient) Length(int64) error { return nil }

// Body handles a piece of a tile.
func (k *tileClient) Body(part []byte) error {
	k.body = append(k.body, part...)
	return nil
}

// End handles the end of an answer.
func (k *tileClient) End(keep bool) {
	if !k.conn.expectsAnswer("") {
		return
	}
	switch k.status {
	case 200:
		k.conn.attempt.AnswerSum = crc32.ChecksumIEEE(k.body)
		k.conn.attemptAnswered(Finished)
	case 503:
		k.conn.attempt.After = k.after
		k.conn.attemptAnswered(Rejected)
	case 502, 504:
		k.conn.attemptAnswered(FailedAttempt)
	default:
		k.conn.rejectAnswer("unexpected HTTP status " + strconv.Itoa(k.status))
		return
	}
	if !keep {
		k.conn.close()
	}
}
