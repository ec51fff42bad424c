package ringbuffer

import (
	"bytes"
	"testing"
)

// A bounded buffer must return the bytes that were put in, in order, however it wraps and grows.
func TestBytesKeepTheirOrder(t *testing.T) {
	b := New(2000)
	var given, got []byte
	for i := range 5000 {
		p := bytes.Repeat([]byte{byte(i)}, i*7%601)
		if i%2 == 0 {
			given = append(given, p[:b.Write(p)]...)
		} else {
			for _, part := range b.Free(nil) {
				n := copy(part, p)
				b.Fill(n)
				given, p = append(given, p[:n]...), p[n:]
			}
		}
		want := i * 11 % 503
		for _, part := range b.Held(nil) {
			n := min(want, len(part))
			got = append(got, part[:n]...)
			want -= n
		}
		b.Drop(len(got) - (len(given) - b.Len()))
	}
	for _, part := range b.Held(nil) {
		got = append(got, part...)
	}
	if !bytes.Equal(given, got) {
		t.Error("the bytes read differ from the bytes written")
	}
}

// A buffer accepts no more than its bound, and an empty one that had grown releases its memory.
func TestBound(t *testing.T) {
	b := New(1000)
	if n := b.Write(make([]byte, 3000)); n != 1000 || b.Room() != 0 || len(b.Free(nil)) != 0 {
		t.Errorf("got %d bytes written, room for %d, %d free slices, want 1000, 0, 0", n, b.Room(), len(b.Free(nil)))
	}
	b.Drop(1000)
	if b.Len() != 0 || b.memory != nil {
		t.Error("an empty buffer that had grown keeps its memory")
	}
}

// A buffer that each read fills offers more memory to the next read, up to its bound, even though it is emptied in
// between. After a small read it releases the memory.
func TestFilledBufferOffersMore(t *testing.T) {
	b := New(5000)
	read := func(most int) (n int) {
		for _, part := range b.Free(nil) {
			n += len(part)
		}
		n = min(n, most)
		b.Fill(n)
		b.Drop(n)
		return n
	}
	for _, want := range []int{512, 1024, 2048, 4096, 5000, 5000} {
		if n := read(1 << 20); n != want {
			t.Errorf("the read is offered %d bytes, want %d", n, want)
		}
	}
	read(100)
	if b.memory != nil {
		t.Errorf("after a small read the buffer keeps %d bytes of memory, want none", len(b.memory))
	}
	if n := read(1 << 20); n != initialBytes {
		t.Errorf("the read after the small one is offered %d bytes, want initialBytes", n)
	}
}
