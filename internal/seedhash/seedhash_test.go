package seedhash

import "testing"

// The values are those of commit 15122f5. If one bit changed, keys would move, and routers of different builds
// would draw different numbers.
func TestMixValuesAreStable(t *testing.T) {
	for _, c := range []struct {
		name  string
		seed  uint32
		value uint64
		want  uint32
	}{
		{"zero seed and value", 0x0, 0x0, 0x6a56db1b},
		{"table seed, first draw", 0x8d3a, 0x1, 0x835aa97d},
		{"table seed, late draw", 0x8d3a, 0x1e240, 0x75aee0ac},
		{"largest", 0xffffffff, 0xffffffffffffffff, 0xfeec2cc6},
		{"endpoint's virtual node", 0xf, 0x9d2f1a77, 0xba737a6b},
	} {
		if got := Mix(c.seed, c.value); got != c.want {
			t.Errorf("%s: Mix(%#x, %#x) = %#x, want %#x", c.name, c.seed, c.value, got, c.want)
		}
	}
}

func TestSequenceDependsOnSeedAndDrawNumber(t *testing.T) {
	sequence := NewSequence(7)
	for n := uint64(1); n <= 5; n++ {
		want := float64(Mix(7, n)) / (1 << 32)
		if got := sequence.Float64(); got != want {
			t.Errorf("draw %d: got %v, want %v", n, got, want)
		}
	}
	if got, want := sequence.Intn(10), int(uint64(Mix(7, 6))*10>>32); got != want {
		t.Errorf("draw 6, from 0 to 9: got %d, want %d", got, want)
	}
}
