package eventloop

import (
	"slices"
	"testing"
)

// Timers expire in the order of their times, not before them; a moved timer expires at its new time, a stopped one not.
func TestTimers(t *testing.T) {
	l := startLoop(t)
	var order []int
	done := make(chan string)
	l.Post(func() {
		start := l.Now()
		l.After(0.03, func() {
			order = append(order, 3)
			if took := l.Now() - start; took < 0.03 || took > 1 {
				t.Errorf("a timer of 0.03 s expired after %f s, want 0.03 s to 1 s", took)
			}
			done <- "ended"
		})
		l.After(0.01, func() { order = append(order, 1) })
		stopped := l.Timer(func() { order = append(order, 9) })
		stopped.Set(start + 0.015)
		moved := l.Timer(func() { order = append(order, 2) })
		moved.Set(start + 0.005)
		moved.Set(start + 0.02)
		stopped.Stop()
	})
	await(t, done, "ended")
	if !slices.Equal(order, []int{1, 2, 3}) {
		t.Errorf("the timers expired in the order %v, want [1 2 3]", order)
	}
}
