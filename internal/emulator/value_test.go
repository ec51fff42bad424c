package emulator

import (
	"bytes"
	"runtime"
	"strings"
	"testing"

	"bendtrestle/internal/meta"
)

// Check accepts a value in pieces of any size, and detects missing, duplicated, misplaced and changed bytes. A router
// that damages a long value would go unnoticed otherwise.
func TestCheckDetectsDamagedLongValue(t *testing.T) {
	value := NewValue("clinic-7", "id", "s-001", 5, 1<<20)
	whole := bytes.Join(value.Pieces(), nil)
	if len(whole) != 1<<20 || value.Len() != len(whole) {
		t.Fatalf("the value has %d bytes and Len returns %d, want 1048576", len(whole), value.Len())
	}
	mismatch := func(text []byte, piece int) string {
		check := Check{Length: value.Len()}
		for len(text) > 0 {
			n := min(piece, len(text))
			check.Take(text[:n])
			text = text[n:]
		}
		if wrong := check.End(); wrong != "" {
			return wrong
		}
		if check.Sum() != value.Sum() {
			return "wrong checksum"
		}
		return ""
	}
	for _, piece := range []int{1, 7, 4096, 16384, fillerPeriod, 1 << 20} {
		if wrong := mismatch(whole, piece); wrong != "" {
			t.Errorf("a correct value in pieces of %d bytes: got %q, want no mismatch", piece, wrong)
		}
	}
	changed := func(change func(b []byte) []byte) []byte { return change(bytes.Clone(whole)) }
	for name, text := range map[string][]byte{
		"one bit":                  changed(func(b []byte) []byte { b[700000] ^= 4; return b }),
		"the last byte":            changed(func(b []byte) []byte { b[len(b)-1]++; return b }),
		"a block left out":         changed(func(b []byte) []byte { return append(b[:32768], b[32768+16384:]...) }),
		"a block twice":            changed(func(b []byte) []byte { copy(b[65536:], b[49152:65536]); return b }),
		"a filler period left out": changed(func(b []byte) []byte { return append(b[:200000], b[200000+fillerPeriod:]...) }),
		"the end left out":         whole[:len(whole)-1],
		"one byte more":            append(bytes.Clone(whole), 0),
		"a different head":         changed(func(b []byte) []byte { b[0] = 'C'; return b }),
		"no head":                  bytes.Repeat([]byte{'.'}, len(whole)),
	} {
		for _, piece := range []int{16384, 1 << 20} {
			if mismatch(text, piece) == "" {
				t.Errorf("%s was not detected", name)
			}
		}
	}
	if wrong := mismatch(changed(func(b []byte) []byte { b[700000] ^= 4; return b }), 5000); !strings.Contains(wrong,
		"byte 700000 of 1048576") {
		t.Errorf("a changed byte: got %q, want its offset 700000", wrong)
	}
}

// Check accepts short values, which are as long as requested or longer if their head needs it.
func TestCheckAcceptsShortValues(t *testing.T) {
	for _, size := range []int{0, 100, meta.MaxBufferedValueBytes} {
		value := NewValue("k", "id", "s", 1, size)
		check := Check{Length: value.Len()}
		check.Take(bytes.Join(value.Pieces(), nil))
		if wrong := check.End(); wrong != "" || value.Len() < size {
			t.Errorf("a value of %d bytes: got %d bytes, mismatch %q, want none", size, value.Len(), wrong)
		}
	}
}

// All long values share the filler's memory. Each needs only some hundred bytes and a list of slices of its own.
func TestLongValuesShareFillerMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var held [][][]byte
	for i := range 64 {
		held = append(held, NewValue("k", "id", "s", uint64(i), 4<<20).Pieces())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 1<<20 {
		t.Errorf("64 values of 4 MiB use %d bytes of heap, want at most 1 MiB", grown)
	}
	runtime.KeepAlive(held)
}
