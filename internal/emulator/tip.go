package emulator

// Tip tells when what comes has been more than a multiple of what can be done, for a stated time. Load is seconds of
// work, counted in tenths of that time; it tips when each of ten in a row was over. Exactly the multiple is not over.
type OverloadDetector struct {
	Multiple, Time          float64
	windowStart, windowLoad float64 // the present tenth and its load
	overloadedWindows       int     // tenths in a row that were over
	windowCapacity          float64 // in the present tenth
}

// Comes takes work at a time when so much can be done a second; it tells whether that tips it over.
func (t *OverloadDetector) Add(now, work, capacity float64) bool {
	if t.Multiple <= 0 || t.Time <= 0 {
		return false
	}
	if t.windowStart == 0 {
		t.windowStart, t.windowCapacity = now, capacity
	}
	window := t.Time / 10
	for ; now-t.windowStart >= window; t.windowStart += window {
		const roundingSlack = 1 + 1e-9 // sums of parts that make exactly the multiple may lie a little above
		if t.windowLoad > t.Multiple*t.windowCapacity*window*roundingSlack {
			t.overloadedWindows++
		} else {
			t.overloadedWindows = 0
		}
		if t.windowLoad, t.windowCapacity = 0, capacity; t.overloadedWindows >= 10 {
			t.overloadedWindows = 0
			t.windowStart = now
			return true
		}
		if now-t.windowStart > 2*t.Time { // nothing came for long
			t.windowStart, t.overloadedWindows = now-window, 0
		}
	}
	t.windowLoad += work
	return false
}

// Forget starts anew.
func (t *OverloadDetector) Reset() { t.windowStart, t.windowLoad, t.overloadedWindows = 0, 0, 0 }
