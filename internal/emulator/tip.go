package emulator

// Tip tells when what comes has been more than a multiple of what can be done, for a stated time. Load is seconds of
// work, counted in tenths of that time; it tips when each of ten in a row was over. Exactly the multiple is not over.
type Tip struct {
	Multiple, Time float64
	from, load     float64 // the present tenth and its load
	over           int     // tenths in a row that were over
	capacity       float64 // in the present tenth
}

// Comes takes work at a time when so much can be done a second; it tells whether that tips it over.
func (t *Tip) Comes(now, work, capacity float64) bool {
	if t.Multiple <= 0 || t.Time <= 0 {
		return false
	}
	if t.from == 0 {
		t.from, t.capacity = now, capacity
	}
	tenth := t.Time / 10
	for ; now-t.from >= tenth; t.from += tenth {
		const doubt = 1 + 1e-9 // sums of parts that make exactly the multiple may lie a little above
		if t.load > t.Multiple*t.capacity*tenth*doubt {
			t.over++
		} else {
			t.over = 0
		}
		if t.load, t.capacity = 0, capacity; t.over >= 10 {
			t.over = 0
			t.from = now
			return true
		}
		if now-t.from > 2*t.Time { // nothing came for long
			t.from, t.over = now-tenth, 0
		}
	}
	t.load += work
	return false
}

// Forget starts anew.
func (t *Tip) Forget() { t.from, t.load, t.over = 0, 0, 0 }
