package emulator

// OverloadDetector detects that the offered load has exceeded Multiple times the capacity for a duration of Seconds.
// Load is seconds of work, counted in windows of a tenth of that duration. The detector reports an overload when each of
// ten windows in a row exceeded the limit. A load of exactly the multiple does not exceed it.
type OverloadDetector struct {
	Multiple, Seconds       float64
	windowStart, windowLoad float64 // start of the current window and its load
	overloadedWindows       int     // windows in a row that exceeded the limit
	windowCapacity          float64 // seconds of work per second in the current window
}

// Add counts work that arrives at a time when the capacity is this many seconds of work per second. It reports whether
// an overload was detected.
func (t *OverloadDetector) Add(now, work, capacity float64) bool {
	if t.Multiple <= 0 || t.Seconds <= 0 {
		return false
	}
	if t.windowStart == 0 {
		t.windowStart, t.windowCapacity = now, capacity
	}
	window := t.Seconds / 10
	for ; now-t.windowStart >= window; t.windowStart += window {
		const roundingSlack = 1 + 1e-9 // a sum that should equal the multiple may be slightly above it
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
		if now-t.windowStart > 2*t.Seconds { // a long time without load
			t.windowStart, t.overloadedWindows = now-window, 0
		}
	}
	t.windowLoad += work
	return false
}

// Reset clears the load and the windows counted so far.
func (t *OverloadDetector) Reset() { t.windowStart, t.windowLoad, t.overloadedWindows = 0, 0, 0 }
