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

// openPoll opens one of netpoll's polls, which this package runs itself. The library exposes its polls only through
// its own Connection, which reads without a bound and blocks in flush and dial (docs/sockets.md).
//
//go:linkname openPoll github.com/cloudwego/netpoll.openPoll
func openPoll() (netpoll.Poll, error)

// Loop runs callbacks. All its methods except Post and Now are called on its goroutine.
type Loop struct {
	poll      netpoll.Poll
	wakeFD    int       // an eventfd
	startedAt time.Time // with the monotonic clock
	startUnix float64   // Unix seconds at startedAt
	stopped   bool
	onPanic   func(value any, stack []byte) // nil: a callback that panics ends the process

	postedLock sync.Mutex
	posted     []func() // by any goroutine, guarded by postedLock

	deferred []func() // to be called after the current callback

	timers      timerQueue
	readChanges []*Conn // connections that pause or resume reading at the next wake
	descriptors descriptorCount
	closing     closingConns
}

// SetLogOutput makes netpoll write its own messages to w. It is called before any loop is made.
func SetLogOutput(w io.Writer) error {
	return netpoll.Configure(netpoll.Config{LoggerOutput: w, LoadBalance: netpoll.RoundRobin})
}

// New returns a loop; Run runs it.
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

// register has the function readable called on the loop whenever fd is readable.
func (l *Loop) register(fd int, readable func()) error {
	op := l.poll.Alloc()
	op.FD = fd
	op.OnRead = func(netpoll.Poll) error {
		l.dispatch(readable)
		return nil
	}
	return l.poll.Control(op, netpoll.PollReadable)
}

// Run runs the loop until Stop. The goroutine that calls it is the loop's goroutine.
func (l *Loop) Run() error {
	l.setAlarm()
	return l.poll.Wait()
}

// Stop ends Run after the current callback.
func (l *Loop) Stop() {
	l.stopped = true
	l.poll.Close()
}

// Now returns the time in Unix seconds: the wall clock's time at the start of the loop, advanced by the monotonic
// clock. Any goroutine may call it.
func (l *Loop) Now() float64 { return l.startUnix + time.Since(l.startedAt).Seconds() }

// OnPanic has the function fault called with the value and the stack of a callback's panic. Otherwise a panic would end
// the process and with it the work of all other callbacks. OnPanic is called before Run.
func (l *Loop) OnPanic(fault func(value any, stack []byte)) { l.onPanic = fault }

// call runs one function and recovers its panic if OnPanic has set a function for that.
func (l *Loop) call(f func()) {
	if l.onPanic != nil {
		defer func() {
			value := recover()
			if value != nil {
				l.onPanic(value, debug.Stack())
			}
		}()
	}
	f()
}

// dispatch runs a callback and then the functions that it has deferred, including those that they defer themselves.
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

// Defer calls f after the current callback, so that a function does not call back into its caller.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// Post calls f on the loop. Any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.postedLock.Lock()
	l.posted = append(l.posted, f)
	l.postedLock.Unlock()
	l.wake()
}

// wake has onWake called on the loop, once for any number of wakes that precede the call.
func (l *Loop) wake() {
	var increment [8]byte
	binary.NativeEndian.PutUint64(increment[:], 1)
	unix.Write(l.wakeFD, increment[:]) // fails only if a wake is already pending
}

// onWake applies the changes that had to wait for the end of a callback, then calls the posted functions.
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

// applyReadChanges applies paused and resumed reading to netpoll. It does not run within a callback of the
// connections' operators: netpoll would wait for that callback to return.
func (l *Loop) applyReadChanges() {
	changed := l.readChanges
	l.readChanges = nil // a handler may pause or resume connections meanwhile, the same ones included
	for _, c := range changed {
		c.applyReadChange()
	}
}
