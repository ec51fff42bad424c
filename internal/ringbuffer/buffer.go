package ringbuffer

const (
	// initialBytes is the size of the first allocation. It fits a command without a value, or several replies without
	// one.
	initialBytes = 512

	// sparseReadDivisor defines a small read: one of fewer bytes than the allocation divided by it. After a small read,
	// larger reads are not offered any more.
	sparseReadDivisor = 4
)

// Buffer is a queue of bytes. It starts without memory and doubles its memory, up to its bound, as it fills.
type Buffer struct {
	memory   []byte
	start    int // offset in memory of the first byte held
	length   int // bytes held
	bound    int // bytes, maximum size of memory
	nextRead int // bytes, minimum that the next read is offered; 0: no minimum
}

// New returns a buffer of at most bound bytes.
func New(bound int) *Buffer { return &Buffer{bound: bound} }

// Len returns how many bytes the buffer holds.
func (b *Buffer) Len() int { return b.length }

// Room returns how many more bytes the buffer accepts.
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

// Held appends to slices the bytes that the buffer holds, in order, and returns the result. They are valid until the
// next change of the buffer.
func (b *Buffer) Held(slices [][]byte) [][]byte { return b.segment(slices, 0, b.length) }

// Free appends to slices the memory that may be filled, in order, and returns the result. Memory that is full, or
// smaller than the next read is offered, grows first, as far as the bound allows. Fill then adds the bytes that were
// put there.
func (b *Buffer) Free(slices [][]byte) [][]byte {
	b.reserve(max(1, b.nextRead-b.length))
	return b.segment(slices, b.length, len(b.memory)-b.length)
}

// Fill adds n bytes that were put into Free's slices. If they fill the memory, more bytes are expected: the next read
// is offered twice as much memory, even if these bytes are dropped before it. Otherwise a megabyte would be read
// initialBytes at a time.
func (b *Buffer) Fill(n int) {
	b.length += n
	switch {
	case b.length == len(b.memory):
		b.nextRead = min(2*len(b.memory), b.bound)
	case n < len(b.memory)/sparseReadDivisor:
		b.nextRead = 0
	}
}

// Drop discards the first n bytes; n is at most Len. A buffer that is empty then and had grown releases its memory,
// unless the next read is to be offered that much (see Fill).
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

// Write appends as much of p as there is room for, and returns that number of bytes.
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
