package eventloop

import "testing"

// After a callback has panicked (a posted function, a timer's or a deferred one), all other callbacks are still called.
func TestGuardedLoopContinuesAfterPanic(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	faults := make(chan any, 10)
	events := make(chan string, 10)
	l.OnPanic(func(what any, _ []byte) { faults <- what })
	go l.Run()
	defer l.Post(l.Stop)
	l.Post(func() {
		now := l.Now()
		l.Timer(func() { panic("timer") }).Set(now)
		l.Timer(func() { events <- "timer" }).Set(now)
		l.Defer(func() { panic("later") })
		l.Defer(func() { events <- "later" })
		panic("posted")
	})
	l.Post(func() { events <- "posted" })
	got := map[string]int{}
	for range 3 {
		got[<-events]++
		got[(<-faults).(string)]++
	}
	if got["timer"] != 2 || got["later"] != 2 || got["posted"] != 2 {
		t.Errorf("got the events and panics %v, want 2 each of timer, later and posted", got)
	}
}
