package eventloop

import (
	"container/heap"

	"golang.org/x/sys/unix"
)

const (
	notQueued = -1 // Timer.index of one that is not set

	minAlarmDelay = 1e-6 // seconds: a timerfd set to 0 is disarmed
)

// Timer calls back once, on the loop, at a time that can be moved.
type Timer struct {
	loop     *Loop
	callback func()
	at       float64 // when it expires, in the seconds of Loop.Now
	index    int     // in the loop's heap, or notQueued
}

// timerQueue holds a loop's timers and the one alarm that stands for them.
type timerQueue struct {
	alarmFD int       // a timerfd
	heap    timerHeap // the first to expire first
	alarmAt float64   // when the alarm goes off, in the seconds of Loop.Now; 0: not set
}

// Timer makes one that is not set.
func (l *Loop) Timer(f func()) *Timer { return &Timer{loop: l, callback: f, index: notQueued} }

// After calls f after delay seconds; it cannot be taken back.
func (l *Loop) After(delay float64, f func()) { l.Timer(f).Set(l.Now() + delay) }

// Set sets the timer, or moves it, to a time in the seconds of Loop.Now. It is called on the loop, or before the loop
// runs.
func (t *Timer) Set(at float64) {
	t.at = at
	if t.index == notQueued {
		heap.Push(&t.loop.timers.heap, t)
	} else {
		heap.Fix(&t.loop.timers.heap, t.index)
	}
}

// Stop takes it back. It does nothing where the timer is not set.
func (t *Timer) Stop() {
	if t.index != notQueued {
		heap.Remove(&t.loop.timers.heap, t.index)
	}
}

// onAlarm calls back the timers that have expired.
func (l *Loop) onAlarm() {
	var count [8]byte
	unix.Read(l.timers.alarmFD, count[:])
	l.timers.alarmAt = 0
	now := l.Now()
	for len(l.timers.heap) > 0 && l.timers.heap[0].at <= now {
		expired := heap.Pop(&l.timers.heap).(*Timer)
		l.call(expired.callback)
	}
}

// setAlarm sets the one alarm to the first timer. One set earlier stays and goes off for nothing: most timers are
// taken back long before their time, and setting it for each of them would cost more.
func (l *Loop) setAlarm() {
	if len(l.timers.heap) == 0 {
		return
	}
	first := l.timers.heap[0].at
	if l.timers.alarmAt != 0 && l.timers.alarmAt <= first {
		return
	}
	l.timers.alarmAt = first
	delay := max(first-l.Now(), minAlarmDelay)
	nanoseconds := int64(delay * nanosecondsPerSecond)
	unix.TimerfdSettime(l.timers.alarmFD, 0, &unix.ItimerSpec{Value: unix.NsecToTimespec(nanoseconds)}, nil)
}

// timerHeap is a heap by time of expiry, of timers that know their place in it.
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is called by container/heap alone.
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}

// Pop is called by container/heap alone.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	timer.index = notQueued
	return timer
}
