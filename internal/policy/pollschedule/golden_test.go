package pollschedule

import "testing"

// The waits equal those of commit 15122f5 to the last bit, because routers of different builds have to spread their
// polls in the same way.
func TestGoldenWaits(t *testing.T) {
	for _, c := range []struct {
		seed uint32
		want [8]float64
	}{
		{0, [8]float64{0.12772379873786122, 0.1495042784139514, 0.15173427257686856, 0.416247573401779,
			0.12871643640100955, 0, 0.5974067354109138, 0.08747378122061492}},
		{1, [8]float64{0.09233122472651303, 0.18508789953775706, 0.2848904311656952, 0.28448144551366567,
			0.27501935479231177, 0, 0.5775058590807021, 0.06294684726744891}},
		{7, [8]float64{0.0891800492303446, 0.27551655648276213, 0.17910640868358316, 0.33829527925699954,
			0.13965808749198913, 0, 1.1074920459650457, 0.09995021836366505}},
		{0xffffffff, [8]float64{0.1232902710326016, 0.22626556982286275, 0.1268419104628265, 0.305056175775826,
			0.11287407944910227, 0, 1.0350545644760132, 0.09626974847633392}},
	} {
		backoff := Backoff{Initial: 0.1, Max: 1, Seed: c.seed}
		got := [8]float64{
			backoff.AfterFailure(10),
			backoff.AfterFailure(10),
			backoff.AfterTimeout(10),
			backoff.AfterFailure(10),
			backoff.AfterFailure(0.3),
			backoff.AfterFailure(-1),
			backoff.AfterFailure(10),
		}
		backoff.Reset()
		got[7] = backoff.AfterTimeout(10)
		if got != c.want {
			t.Errorf("seed %d: %#v, want %#v", c.seed, got, c.want)
		}
	}
}
