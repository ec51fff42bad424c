// Package ringbuffer is a bounded buffer of bytes between a socket and what reads or writes it.
package ringbuffer

// Buffer holds bytes in their order. It starts without memory and doubles up to its bound as it fills.
type Buffer struct {
	buf      []byte
	first, n int
	bound    int
	wants    int // what the next read is offered at the least
}

const small = 512 // a connection's first buffer: a command without a value, or several answers without one

// New makes a buffer of at most bound bytes.
func New(bound int) *Buffer { return &Buffer{bound: bound} }

// Len is how many bytes it holds.
func (b *Buffer) Len() int { return b.n }

// Room is how many more it would take.
func (b *Buffer) Room() int { return b.bound - b.n }

// segment gives n bytes from offset at on, in one slice or two.
func (b *Buffer) segment(to [][]byte, at, n int) [][]byte {
	if n == 0 {
		return to
	}
	at = (b.first + at) % len(b.buf)
	if end := at + n; end <= len(b.buf) {
		return append(to, b.buf[at:end])
	}
	return append(to, b.buf[at:], b.buf[:at+n-len(b.buf)])
}

// Held appends to a list the slices that it holds.
func (b *Buffer) Held(to [][]byte) [][]byte { return b.segment(to, 0, b.n) }

// Free appends to a list the slices that may be filled; a full buffer grows first. Fill tells how far it was.
func (b *Buffer) Free(to [][]byte) [][]byte {
	b.reserve(max(1, b.wants-b.n))
	return b.segment(to, b.n, len(b.buf)-b.n)
}

// Fill takes n bytes that were laid into Free's slices. Where they fill the buffer more is to come: the next are offered twice as much,
// also if these are taken at once. Else a megabyte would be read 512 bytes at a time.
func (b *Buffer) Fill(n int) {
	if b.n += n; b.n == len(b.buf) {
		b.wants = min(2*len(b.buf), b.bound)
	} else if n < len(b.buf)/4 {
		b.wants = 0
	}
}

// Drop lets go of the first n bytes. An empty buffer that had grown gives its memory back, unless the last read filled it.
func (b *Buffer) Drop(n int) {
	if n == 0 {
		return
	}
	b.first, b.n = (b.first+n)%len(b.buf), b.n-n
	if b.n == 0 {
		b.first = 0
		if len(b.buf) > max(small, b.wants) {
			b.buf = nil
		}
	}
}

// Write takes as much of p as there is room for, and tells how much that was.
func (b *Buffer) Write(p []byte) int {
	p = p[:min(len(p), b.Room())]
	if len(p) == 0 {
		return 0
	}
	b.reserve(len(p))
	at := (b.first + b.n) % len(b.buf)
	copy(b.buf, p[copy(b.buf[at:], p):])
	b.n += len(p)
	return len(p)
}

// reserve makes room for n more bytes, as far as the bound allows.
func (b *Buffer) reserve(n int) {
	size := max(len(b.buf), min(small, b.bound))
	for size < b.n+n && size < b.bound {
		size = min(2*size, b.bound)
	}
	if size > len(b.buf) {
		grown := make([]byte, size)
		at := 0
		for _, part := range b.Held(nil) {
			at += copy(grown[at:], part)
		}
		b.buf, b.first = grown, 0
	}
}
