package emulator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"bendtrestle/internal/meta"
)

// round is after how many bytes what fills values comes again: a prime, so that no buffer, page or block fits into it, and a part
// that is left out, comes twice or comes in another place is seen. What is held of all values together is this much.
const fillerPeriod = 65521

// noise is what fills them: letters and digits, so that a person can look at a value.
var filler = func() []byte {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	b, x := make([]byte, fillerPeriod), uint64(0x9e3779b97f4a7c15) // xorshift, from any number but 0
	for i := range b {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		b[i] = letters[x>>58] // 6 bits: one of 64
	}
	return b
}()

// headBound is what the text at a value's beginning has at most: a key, an id and a name with some words.
const maxHeadBytes = 512

// A head ends so, for the first time.
var headEnd = []byte(". ")

// Value is what one answer or one write carries: a head that tells who made it for whom, and behind that a rule's bytes. Nothing of
// the latter is copied, however long it is.
type Value struct {
	head   []byte
	length int
}

// NewValue makes a value of so many bytes; one whose head is longer is its head alone.
func NewValue(key, id, maker string, number uint64, size int) Value {
	value := Value{head: fmt.Appendf(nil, "%s for %s by %s, number %d. ", key, id, maker, number)}
	value.length = max(size, len(value.head))
	return value
}

// Len is how many bytes it has.
func (v Value) Len() int { return v.length }

// Pieces gives its bytes in slices that nobody may change.
func (v Value) Pieces() [][]byte {
	pieces := [][]byte{v.head}
	for offset, remaining := fillerOffset(v.head), v.length-len(v.head); remaining > 0; offset = 0 {
		piece := filler[offset:min(fillerPeriod, offset+remaining)]
		pieces = append(pieces, piece)
		remaining -= len(piece)
	}
	return pieces
}

// Sum is by which it is known: a checksum of all of a short one; of a long one of its head and its length, for the rest follows
// from these and is checked as it comes.
func (v Value) Sum() uint32 {
	if v.length > meta.ValueBound {
		return longSum(v.head, v.length)
	}
	sum := uint32(0)
	for _, p := range v.Pieces() {
		sum = crc32.Update(sum, crc32.IEEETable, p)
	}
	return sum
}

// start is where in the noise a value with this head begins.
func fillerOffset(head []byte) int { return int(crc32.ChecksumIEEE(head) % fillerPeriod) }

func longSum(head []byte, length int) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(head), crc32.IEEETable, binary.LittleEndian.AppendUint64(nil, uint64(length)))
}

// Check reads a long value as it comes and holds nothing of it but its head. It begins with the length that was stated.
type Check struct {
	Length    int
	Came      int // bytes so far
	head      []byte
	fillerPos int // where the noise goes on; of use once the head is whole
	headRead  bool
	mismatch  string
}

// Take looks at the next bytes.
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
		c.Came += n
		piece = piece[n:]
	}
	c.Came += len(piece)
}

// compare tells the first byte that is not the rule's.
func (c *Check) compare(piece []byte) {
	if bytes.Equal(piece, filler[c.fillerPos:c.fillerPos+len(piece)]) {
		return
	}
	for i, b := range piece {
		if want := filler[c.fillerPos+i]; b != want {
			c.mismatch = fmt.Sprintf("byte %d of %d is %#02x and ought to be %#02x", c.Came+i, c.Length, b, want)
			return
		}
	}
}

// takeHead takes bytes up to the head's end.
func (c *Check) readHead(piece []byte) int {
	before := len(c.head)
	c.head = append(c.head, piece[:min(len(piece), maxHeadBytes-before)]...)
	if end := bytes.Index(c.head, headEnd); end >= 0 {
		c.head, c.headRead = c.head[:end+len(headEnd)], true
	} else if len(c.head) == maxHeadBytes {
		c.mismatch = "no value begins so"
	}
	return len(c.head) - before
}

// Sum is by which the value is known, once its head has come; before that 0.
func (c *Check) Sum() uint32 {
	if !c.headRead {
		return 0
	}
	return longSum(c.head, c.Length)
}

// Head is who made it for whom, as far as it has come.
func (c *Check) Head() string { return string(c.head) }

// Wrong tells what is wrong with what has come; empty: nothing.
func (c *Check) Mismatch() string { return c.mismatch }

// End takes the end, and tells what is wrong with the whole; empty: nothing.
func (c *Check) End() string {
	if c.mismatch == "" && c.Came != c.Length {
		c.mismatch = fmt.Sprintf("%d bytes came of %d", c.Came, c.Length)
	}
	return c.mismatch
}
