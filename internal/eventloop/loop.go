package eventloop

import (
	"encoding/binary"
	"io"
	"runtime/debug"
	"sync"
	"time"
	_ "unsafe" // for go:linkname

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

const nanosecondsPerSecond = 1e9

// openPoll makes a poll of netpoll's that this package runs itself. The library keeps its polls to its own
// Connection, which reads without a bound, blocks to flush and to dial (docs/sockets.md).
//
//go:linkname openPoll github.com/cloudwego/netpoll.openPoll
func openPoll() (netpoll.Poll, error)

// Loop runs callbacks. All its methods but Post and Now belong to its goroutine.
type Loop struct {
	poll      netpoll.Poll
	wakeFD    int       // an eventfd
	startedAt time.Time // with the monotonic clock
	startUnix float64   // Unix seconds at startedAt
	stopped   bool
	onPanic   func(what any, stack []byte) // nil: a callback that panics ends the process

	postedLock sync.Mutex
	posted     []func() // by any goroutine, guarded by postedLock

	deferred []func() // to be called after the present callback

	timers      timerQueue
	readChanges []*Conn // connections that stop reading or read on, with the next wake
	descriptors descriptorCount
	closing     closingConns
}

// LogTo makes netpoll write its own messages to w. It is called before any loop is made.
func LogTo(w io.Writer) error {
	return netpoll.Configure(netpoll.Config{LoggerOutput: w, LoadBalance: netpoll.RoundRobin})
}

// New makes a loop; Run runs it.
func New() (*Loop, error) {
	l := &Loop{startedAt: time.Now()}
	l.startUnix = float64(l.startedAt.UnixNano()) / nanosecondsPerSecond
	var err error
	l.poll, err = openPoll()
	if err != nil {
		return nil, err
	}
	l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	l.timers.alarmFD, err = unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	err = l.register(l.wakeFD, l.onWake)
	if err != nil {
		return nil, err
	}
	return l, l.register(l.timers.alarmFD, l.onAlarm)
}

// register has readable called on the loop whenever fd can be read.
func (l *Loop) register(fd int, readable func()) error {
	op := l.poll.Alloc()
	op.FD = fd
	op.OnRead = func(netpoll.Poll) error {
		l.dispatch(readable)
		return nil
	}
	return l.poll.Control(op, netpoll.PollReadable)
}

// Run serves until Stop. The goroutine that calls it is the loop's.
func (l *Loop) Run() error {
	l.setAlarm()
	return l.poll.Wait()
}

// Stop ends Run after the present callback.
func (l *Loop) Stop() {
	l.stopped = true
	l.poll.Close()
}

// Now is the time in Unix seconds: the wall clock's at the start, from there on by the monotonic clock. Any goroutine
// may call it.
func (l *Loop) Now() float64 { return l.startUnix + time.Since(l.startedAt).Seconds() }

// Guard has fault called with what a callback panicked with and its stack, instead of ending the process and with it
// the work of all other callbacks. It is called before Run.
func (l *Loop) Guard(fault func(what any, stack []byte)) { l.onPanic = fault }

// call runs one function under the guard.
func (l *Loop) call(f func()) {
	if l.onPanic != nil {
		defer func() {
			what := recover()
			if what != nil {
				l.onPanic(what, debug.Stack())
			}
		}()
	}
	f()
}

// dispatch runs a callback and then what it, and what follows from it, has deferred.
func (l *Loop) dispatch(callback func()) {
	if l.stopped {
		return
	}
	l.call(callback)
	for len(l.deferred) > 0 {
		deferred := l.deferred
		l.deferred = nil
		for _, f := range deferred {
			l.call(f)
		}
	}
	l.setAlarm()
}

// Later calls f after the present callback: what a call learns must not call back into its caller.
func (l *Loop) Later(f func()) { l.deferred = append(l.deferred, f) }

// Post calls f on the loop. Any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.postedLock.Lock()
	l.posted = append(l.posted, f)
	l.postedLock.Unlock()
	l.wake()
}

// wake has onWake called on the loop, once for any number of wakes before it.
func (l *Loop) wake() {
	var increment [8]byte
	binary.NativeEndian.PutUint64(increment[:], 1)
	unix.Write(l.wakeFD, increment[:]) // fails only where it is set already
}

// onWake applies what had to wait for the end of a callback, then calls what was posted.
func (l *Loop) onWake() {
	var count [8]byte
	unix.Read(l.wakeFD, count[:])
	l.applyReadChanges()
	l.releaseClosed()
	l.postedLock.Lock()
	posted := l.posted
	l.posted = nil
	l.postedLock.Unlock()
	for _, f := range posted {
		l.call(f)
	}
}

// applyReadChanges brings netpoll in line with pauses and their ends. It runs in no callback of the connections'
// operators: netpoll would wait for that to end.
func (l *Loop) applyReadChanges() {
	changed := l.readChanges
	l.readChanges = nil // a handler may change others, or the same again
	for _, c := range changed {
		c.applyReadChange()
	}
}
