package ringbuffer

import (
	"bytes"
	"testing"
)

// A bounded buffer must give back what it was given, in order, however it wraps and grows.
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
		t.Error("the bytes came out changed")
	}
}

func TestBound(t *testing.T) {
	b := New(1000)
	if n := b.Write(make([]byte, 3000)); n != 1000 || b.Room() != 0 || len(b.Free(nil)) != 0 {
		t.Errorf("took %d, room for %d, %d free slices", n, b.Room(), len(b.Free(nil)))
	}
	b.Drop(1000)
	if b.Len() != 0 || b.memory != nil {
		t.Error("an empty buffer that had grown keeps its memory")
	}
}

// A buffer that each read fills offers more to the next, though it is emptied at once, up to its bound; once less comes
// it gives the memory back.
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
			t.Errorf("it is offered %d bytes, want %d", n, want)
		}
	}
	read(100)
	if b.memory != nil {
		t.Errorf("with little to read it holds %d bytes", len(b.memory))
	}
	if n := read(1 << 20); n != initialBytes {
		t.Errorf("after that it is offered %d bytes", n)
	}
}
