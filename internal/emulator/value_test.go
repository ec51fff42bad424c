package emulator

import (
	"bytes"
	"runtime"
	"strings"
	"testing"

	"bendtrestle/internal/meta"
)

// A value reads the same however it is cut, and whatever is left out, doubled, swapped or changed of it is seen.
func TestCheckDetectsDamagedLongValue(t *testing.T) {
	value := NewValue("clinic-7", "id", "s-001", 5, 1<<20)
	whole := bytes.Join(value.Pieces(), nil)
	if len(whole) != 1<<20 || value.Len() != len(whole) {
		t.Fatalf("it has %d bytes and says %d", len(whole), value.Len())
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
			return "another sum"
		}
		return ""
	}
	for _, piece := range []int{1, 7, 4096, 16384, fillerPeriod, 1 << 20} {
		if wrong := mismatch(whole, piece); wrong != "" {
			t.Errorf("in pieces of %d: %s", piece, wrong)
		}
	}
	changed := func(change func(b []byte) []byte) []byte { return change(bytes.Clone(whole)) }
	for name, text := range map[string][]byte{
		"one bit":          changed(func(b []byte) []byte { b[700000] ^= 4; return b }),
		"the last byte":    changed(func(b []byte) []byte { b[len(b)-1]++; return b }),
		"a block left out": changed(func(b []byte) []byte { return append(b[:32768], b[32768+16384:]...) }),
		"a block twice":    changed(func(b []byte) []byte { copy(b[65536:], b[49152:65536]); return b }),
		"a round left out": changed(func(b []byte) []byte { return append(b[:200000], b[200000+fillerPeriod:]...) }),
		"the end left out": whole[:len(whole)-1],
		"one byte more":    append(bytes.Clone(whole), 0),
		"another's head":   changed(func(b []byte) []byte { b[0] = 'C'; return b }),
		"no head":          bytes.Repeat([]byte{'.'}, len(whole)),
	} {
		for _, piece := range []int{16384, 1 << 20} {
			if mismatch(text, piece) == "" {
				t.Errorf("%s was not seen", name)
			}
		}
	}
	if wrong := mismatch(changed(func(b []byte) []byte { b[700000] ^= 4; return b }), 5000); !strings.Contains(wrong, "byte 700000 of 1048576") {
		t.Errorf("a changed byte is told as %q", wrong)
	}
}

// Short values are known by all of their bytes, as those are that come whole.
func TestCheckAcceptsShortValues(t *testing.T) {
	for _, size := range []int{0, 100, meta.ValueBound} {
		value := NewValue("k", "id", "s", 1, size)
		check := Check{Length: value.Len()}
		check.Take(bytes.Join(value.Pieces(), nil))
		if wrong := check.End(); wrong != "" || value.Len() < size {
			t.Errorf("of %d bytes: %d, %s", size, value.Len(), wrong)
		}
	}
}

// However many long values there are, what is held of each is some hundred bytes and a list of slices.
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
		t.Errorf("64 values of 4 MiB hold %d bytes", grown)
	}
	runtime.KeepAlive(held)
}
