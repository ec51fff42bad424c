// Package eventloop serves sockets on netpoll with one loop: whatever happens on a socket, a timer's end and what
// other goroutines post are callbacks on that loop's goroutine, one after another. Nothing on it blocks.
package eventloop

import (
	"container/heap"
	"encoding/binary"
	"io"
	"runtime/debug"
	"sync"
	"time"
	_ "unsafe" // for go:linkname

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// openPoll makes a poll of netpoll's that this package runs itself. The library keeps its polls to its own
// Connection, which reads without a bound, blocks to flush and to dial (docs/sockets.md).
//
//go:linkname openPoll github.com/cloudwego/netpoll.openPoll
func openPoll() (netpoll.Poll, error)

// Loop runs callbacks. All its methods but Post and Now belong to its goroutine.
type Loop struct {
	poll        netpoll.Poll
	wake, alarm int // an eventfd and a timerfd
	started     time.Time
	base        float64
	mu          sync.Mutex
	posted      []func()
	later       []func() // after the present callback
	closing     []*Conn
	detached    []*Conn // closed, watched no more, to be let go of with the next round
	turning     []*Conn // that stop reading or read on
	timers      timers
	armed       float64 // when the alarm goes off; 0: not set
	finishing   int     // connections that wait for the other side's end
	held        int     // descriptors of connections, of closed ones until they are let go of
	bound       int     // of these, beyond which none is made; 0: none
	done        bool
	fault       func(what any, stack []byte) // nil: a callback that fails ends the process
}

// LogTo makes netpoll write its own messages to w. It is called before any loop is made.
func LogTo(w io.Writer) error {
	return netpoll.Configure(netpoll.Config{LoggerOutput: w, LoadBalance: netpoll.RoundRobin})
}

// New makes a loop; Run runs it.
func New() (*Loop, error) {
	l := &Loop{started: time.Now()}
	l.base = float64(l.started.UnixNano()) / 1e9
	var err error
	if l.poll, err = openPoll(); err != nil {
		return nil, err
	}
	if l.wake, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return nil, err
	}
	if l.alarm, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC); err != nil {
		return nil, err
	}
	if err = l.register(l.wake, l.woken); err != nil {
		return nil, err
	}
	return l, l.register(l.alarm, l.rung)
}

// register calls back whenever fd can be read.
func (l *Loop) register(fd int, readable func()) error {
	op := l.poll.Alloc()
	op.FD = fd
	op.OnRead = func(netpoll.Poll) error { l.do(readable); return nil }
	return l.poll.Control(op, netpoll.PollReadable)
}

// Run serves until Stop.
func (l *Loop) Run() error {
	l.setAlarm()
	return l.poll.Wait()
}

// Stop ends Run after the present callback.
func (l *Loop) Stop() {
	l.done = true
	l.poll.Close()
}

// Finishing counts the connections that only wait for the other side to end them.
func (l *Loop) Finishing() int { return l.finishing }

// Closing counts the connections that are closed and still hold their descriptors, for a round or two.
func (l *Loop) Closing() int { return len(l.closing) + len(l.detached) }

// Limit bounds the descriptors of connections, of closed ones, too, until they are let go of: others of the process's are not theirs.
func (l *Loop) Limit(descriptors int) { l.bound = descriptors }

func (l *Loop) full() bool { return l.bound > 0 && l.held >= l.bound }

// Now is the time: Unix seconds at the start, from there on by the monotonic clock.
func (l *Loop) Now() float64 { return l.base + time.Since(l.started).Seconds() }

// Guard has a callback that fails told, instead of ending the process with all that the others owe.
func (l *Loop) Guard(fault func(what any, stack []byte)) { l.fault = fault }

// call runs a callback.
func (l *Loop) call(f func()) {
	if l.fault != nil {
		defer func() {
			if what := recover(); what != nil {
				l.fault(what, debug.Stack())
			}
		}()
	}
	f()
}

// do runs a callback and what it leaves for later.
func (l *Loop) do(f func()) {
	if l.done {
		return
	}
	l.call(f)
	for len(l.later) > 0 {
		next := l.later
		l.later = nil
		for _, f := range next {
			l.call(f)
		}
	}
	l.setAlarm()
}

// Later calls f after the present callback: what a call learns must not call back into its caller.
func (l *Loop) Later(f func()) { l.later = append(l.later, f) }

// Post calls f on the loop, from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	l.rouse()
}

func (l *Loop) rouse() {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	unix.Write(l.wake, one[:]) // fails only where it is set already
}

func (l *Loop) woken() {
	var count [8]byte
	unix.Read(l.wake, count[:])
	l.release()
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range posted {
		l.call(f)
	}
}

// release lets go of closed sockets and turns others. It runs in no callback of theirs: netpoll would wait
// for that to end.
func (l *Loop) release() {
	turning := l.turning
	l.turning = nil // a handler may turn others, or the same again
	for _, c := range turning {
		c.turned()
	}
	for _, c := range l.detached {
		unix.Close(c.fd)
		l.held--
		l.poll.Free(c.op)
	}
	// Events that netpoll has at hand may still name a socket that is closed here: its descriptor and operator
	// must not be another's before the next round.
	l.detached, l.closing = l.closing, l.detached[:0]
	for _, c := range l.detached {
		c.op.Control(netpoll.PollDetach) // does nothing where netpoll has detached it, nor will netpoll after this
	}
	if len(l.detached) > 0 {
		l.rouse()
	}
}

// Timer calls back once at a time that can be moved.
type Timer struct {
	l    *Loop
	f    func()
	at   float64
	slot int // in the heap, -1 if not set
}

// Timer makes one that is not set.
func (l *Loop) Timer(f func()) *Timer { return &Timer{l: l, f: f, slot: -1} }

// After sets one that is not kept.
func (l *Loop) After(delay float64, f func()) { l.Timer(f).Set(l.Now() + delay) }

// Set sets or moves it, on the loop or before it runs.
func (t *Timer) Set(at float64) {
	t.at = at
	if t.slot < 0 {
		heap.Push(&t.l.timers, t)
	} else {
		heap.Fix(&t.l.timers, t.slot)
	}
}

// Stop takes it back.
func (t *Timer) Stop() {
	if t.slot >= 0 {
		heap.Remove(&t.l.timers, t.slot)
	}
}

func (l *Loop) rung() {
	var count [8]byte
	unix.Read(l.alarm, count[:])
	l.armed = 0
	for now := l.Now(); len(l.timers) > 0 && l.timers[0].at <= now; {
		l.call(heap.Pop(&l.timers).(*Timer).f)
	}
}

// setAlarm sets the one alarm to the first timer. One set earlier stays and goes off for nothing: most timers are
// taken back long before their time, and setting it for each of them would cost more.
func (l *Loop) setAlarm() {
	if len(l.timers) == 0 || l.armed != 0 && l.armed <= l.timers[0].at {
		return
	}
	l.armed = l.timers[0].at
	wait := max(l.armed-l.Now(), 1e-6)
	unix.TimerfdSettime(l.alarm, 0, &unix.ItimerSpec{Value: unix.NsecToTimespec(int64(wait * 1e9))}, nil)
}

type timers []*Timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i]; t[i].slot, t[j].slot = i, j }
func (t *timers) Push(x any)        { x.(*Timer).slot = len(*t); *t = append(*t, x.(*Timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last], *t = nil, (*t)[:last]
	x.slot = -1
	return x
}
