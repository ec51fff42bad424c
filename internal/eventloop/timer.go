package eventloop

import (
	"container/heap"

	"golang.org/x/sys/unix"
)

const (
	notQueued = -1 // Timer.index of a timer that is not set

	minAlarmDelay = 1e-6 // seconds: a timerfd set to 0 is disarmed
)

// Timer calls a function once, on the loop, at a time that can be changed until then.
type Timer struct {
	loop     *Loop
	callback func()
	at       float64 // when it expires, in the seconds of Loop.Now
	index    int     // in the loop's heap, or notQueued
}

// timerQueue holds a loop's timers and the timerfd alarm that they share.
type timerQueue struct {
	alarmFD int       // a timerfd
	heap    timerHeap // the first to expire first
	alarmAt float64   // when the alarm goes off, in the seconds of Loop.Now; 0: not set
}

// Timer returns a timer that is not set.
func (l *Loop) Timer(f func()) *Timer { return &Timer{loop: l, callback: f, index: notQueued} }

// After calls f after delay seconds; this cannot be cancelled.
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

// Stop cancels the timer. It does nothing if the timer is not set.
func (t *Timer) Stop() {
	if t.index != notQueued {
		heap.Remove(&t.loop.timers.heap, t.index)
	}
}

// onAlarm calls the functions of the timers that have expired.
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

// setAlarm sets the alarm to the first timer's time. An alarm that is set to an earlier time stays, even if it then
// finds no expired timer: most timers are cancelled long before they expire, and resetting the alarm for each of them
// would cost more.
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

// timerHeap is a heap of timers, ordered by time of expiry. Each timer holds its index in the heap.
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is called by container/heap only.
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}

// Pop is called by container/heap only.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	timer.index = notQueued
	return timer
}
