package experiment

import (
	"testing"

	"bendtrestle/internal/emulator"
)

// A server closes its connection right after a long value, while most of the value is still in socket buffers. The
// value arrives whole, even if the client reads slowly or pauses.
func TestLongValueIsWholeWhenServerClosesAfterIt(t *testing.T) {
	for name, reading := range map[string]string{
		"as it comes": "",
		"slowly":      faultTable("read-slow", "part = 1.0\nrate = 2e6"),
		"with pauses": faultTable("read-pause", "part = 1.0\ndelay = 1.0"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec, found := playLongValues(t, longValueScenario(4<<20, faultTable("close-behind", "part = 1.0\ntarget = \"servers\"")+reading), routerProgram(t, "logic"))
			checkLongValues(t, rec, found, emulator.Finished)
		})
	}
}
