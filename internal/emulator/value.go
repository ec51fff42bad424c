package emulator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"bendtrestle/internal/meta"
)

// fillerPeriod is the number of bytes after which the filler of values repeats. It is a prime, so that no buffer, page
// or block size divides it, and a piece that is missing, duplicated or misplaced is detected. All values together share
// one filler of this size.
const fillerPeriod = 65521

// filler is the bytes that fill values: letters and digits, so that a value is readable.
var filler = func() []byte {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	b, x := make([]byte, fillerPeriod), uint64(0x9e3779b97f4a7c15) // xorshift; the seed may be any number but 0
	for i := range b {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		b[i] = letters[x>>58] // 6 bits: one of 64
	}
	return b
}()

// maxHeadBytes is the maximum length of a value's head: a key, an ID and a name with some text.
const maxHeadBytes = 512

// headEnd ends a head at its first occurrence.
var headEnd = []byte(". ")

// Value is the value of one answer or one write: a head that names its maker and its attempt, followed by filler. The
// filler is never copied, however long the value is.
type Value struct {
	head   []byte
	length int
}

// NewValue returns a value of size bytes. If its head is longer than that, the value is the head only.
func NewValue(key, id, maker string, number uint64, size int) Value {
	value := Value{head: fmt.Appendf(nil, "%s for %s by %s, number %d. ", key, id, maker, number)}
	value.length = max(size, len(value.head))
	return value
}

// Len returns the value's length in bytes.
func (v Value) Len() int { return v.length }

// Pieces returns the value's bytes in slices that must not be modified.
func (v Value) Pieces() [][]byte {
	pieces := [][]byte{v.head}
	for offset, remaining := fillerOffset(v.head), v.length-len(v.head); remaining > 0; offset = 0 {
		piece := filler[offset:min(fillerPeriod, offset+remaining)]
		pieces = append(pieces, piece)
		remaining -= len(piece)
	}
	return pieces
}

// Sum returns the checksum that identifies the value. For a short value it covers all bytes. For a long value it covers
// the head and the length, since the rest follows from these and is checked as it is received.
func (v Value) Sum() uint32 {
	if v.length > meta.MaxBufferedValueBytes {
		return longSum(v.head, v.length)
	}
	sum := uint32(0)
	for _, p := range v.Pieces() {
		sum = crc32.Update(sum, crc32.IEEETable, p)
	}
	return sum
}

// fillerOffset returns where in the filler a value with this head starts.
func fillerOffset(head []byte) int { return int(crc32.ChecksumIEEE(head) % fillerPeriod) }

func longSum(head []byte, length int) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(head), crc32.IEEETable, binary.LittleEndian.AppendUint64(nil, uint64(length)))
}

// Check verifies a long value as it is received. It stores only the head. Length is the length stated by the sender.
type Check struct {
	Length    int
	Received  int // bytes received so far
	head      []byte
	fillerPos int // offset of the next byte in the filler; valid once the head is complete
	headRead  bool
	mismatch  string
}

// Take checks the next bytes.
func (c *Check) Take(piece []byte) {
	for len(piece) > 0 && c.mismatch == "" {
		n := 0
		if !c.headRead {
			if n = c.readHead(piece); c.headRead {
				c.fillerPos = fillerOffset(c.head)
			}
		} else {
			n = min(len(piece), fillerPeriod-c.fillerPos)
			c.compare(piece[:n])
			c.fillerPos = (c.fillerPos + n) % fillerPeriod
		}
		c.Received += n
		piece = piece[n:]
	}
	c.Received += len(piece)
}

// compare records the first byte that differs from the filler.
func (c *Check) compare(piece []byte) {
	if bytes.Equal(piece, filler[c.fillerPos:c.fillerPos+len(piece)]) {
		return
	}
	for i, b := range piece {
		if want := filler[c.fillerPos+i]; b != want {
			c.mismatch = fmt.Sprintf("byte %d of %d is %#02x, want %#02x", c.Received+i, c.Length, b, want)
			return
		}
	}
}

// readHead consumes bytes up to the head's end.
func (c *Check) readHead(piece []byte) int {
	before := len(c.head)
	c.head = append(c.head, piece[:min(len(piece), maxHeadBytes-before)]...)
	if end := bytes.Index(c.head, headEnd); end >= 0 {
		c.head, c.headRead = c.head[:end+len(headEnd)], true
	} else if len(c.head) == maxHeadBytes {
		c.mismatch = "value has no valid head"
	}
	return len(c.head) - before
}

// Sum returns the checksum that identifies the value, or 0 until its head is complete.
func (c *Check) Sum() uint32 {
	if !c.headRead {
		return 0
	}
	return longSum(c.head, c.Length)
}

// Head returns the value's head as far as it was received.
func (c *Check) Head() string { return string(c.head) }

// Mismatch returns what is wrong with the bytes received so far; empty: nothing.
func (c *Check) Mismatch() string { return c.mismatch }

// End ends the check and returns what is wrong with the complete value; empty: nothing.
func (c *Check) End() string {
	if c.mismatch == "" && c.Received != c.Length {
		c.mismatch = fmt.Sprintf("received %d of %d bytes", c.Received, c.Length)
	}
	return c.mismatch
}
