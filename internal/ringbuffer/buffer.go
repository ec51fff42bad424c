package ringbuffer

const (
	// initialBytes is the size of the first allocation: a command without a value, or several answers without one.
	initialBytes = 512

	// sparseReadDivisor tells a small read: one of less than the allocation divided by it ends the offer of larger reads.
	sparseReadDivisor = 4
)

// Buffer holds bytes in their order. It starts without memory and doubles up to its bound as it fills.
type Buffer struct {
	memory   []byte
	start    int // offset in memory of the first byte held
	length   int // bytes held
	bound    int // bytes, most that memory grows to
	nextRead int // bytes, least that the next read is offered; 0: no such wish
}

// New makes a buffer of at most bound bytes.
func New(bound int) *Buffer { return &Buffer{bound: bound} }

// Len is how many bytes it holds.
func (b *Buffer) Len() int { return b.length }

// Room is how many more bytes it would take.
func (b *Buffer) Room() int { return b.bound - b.length }

// segment appends to slices the n bytes that begin offset bytes after the first one held: one slice, or two where
// they wrap.
func (b *Buffer) segment(slices [][]byte, offset, n int) [][]byte {
	if n == 0 {
		return slices
	}
	from := (b.start + offset) % len(b.memory)
	end := from + n
	if end <= len(b.memory) {
		return append(slices, b.memory[from:end])
	}
	wrapped := end - len(b.memory)
	return append(slices, b.memory[from:], b.memory[:wrapped])
}

// Held appends to slices the bytes that it holds, in order, and returns the result. They are valid until the buffer
// is next changed.
func (b *Buffer) Held(slices [][]byte) [][]byte { return b.segment(slices, 0, b.length) }

// Free appends to slices the memory that may be filled, in order, and returns the result; full memory grows first, as
// far as the bound allows. Fill then tells how many bytes were laid there.
func (b *Buffer) Free(slices [][]byte) [][]byte {
	b.reserve(max(1, b.nextRead-b.length))
	return b.segment(slices, b.length, len(b.memory)-b.length)
}

// Fill takes n bytes that were laid into Free's slices. Where they fill the memory more is to come: the next read
// is offered twice as much, also if these are dropped at once. Otherwise a megabyte would be read initialBytes at a
// time.
func (b *Buffer) Fill(n int) {
	b.length += n
	switch {
	case b.length == len(b.memory):
		b.nextRead = min(2*len(b.memory), b.bound)
	case n < len(b.memory)/sparseReadDivisor:
		b.nextRead = 0
	}
}

// Drop lets go of the first n bytes; n is at most Len. An empty buffer that had grown gives its memory back, unless
// the last read filled it.
func (b *Buffer) Drop(n int) {
	if n == 0 {
		return
	}
	b.start = (b.start + n) % len(b.memory)
	b.length -= n
	if b.length != 0 {
		return
	}
	b.start = 0
	if len(b.memory) > max(initialBytes, b.nextRead) {
		b.memory = nil
	}
}

// Write copies as much of p as there is room for, and returns how many bytes that was.
func (b *Buffer) Write(p []byte) int {
	p = p[:min(len(p), b.Room())]
	if len(p) == 0 {
		return 0
	}
	b.reserve(len(p))
	end := (b.start + b.length) % len(b.memory)
	copied := copy(b.memory[end:], p)
	copy(b.memory, p[copied:])
	b.length += len(p)
	return len(p)
}

// reserve grows the memory for n more bytes, as far as the bound allows.
func (b *Buffer) reserve(n int) {
	size := max(len(b.memory), min(initialBytes, b.bound))
	for size < b.length+n && size < b.bound {
		size = min(2*size, b.bound)
	}
	if size == len(b.memory) {
		return
	}
	grown := make([]byte, size)
	copied := 0
	for _, slice := range b.Held(nil) {
		copied += copy(grown[copied:], slice)
	}
	b.memory = grown
	b.start = 0
}
