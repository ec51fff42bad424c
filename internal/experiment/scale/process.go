package scale

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is a program that was started here. It is in a group of its own and ends with this process, whatever ends that.
type process struct {
	cmd   *exec.Cmd
	log   string // path
	addr  string // of a router: where it takes clients
	conf  string // path of its configuration
	ended chan struct{}
}

const (
	readying = 30 * time.Second // for a router to become ready: some tenths of a second, and more on a busy machine
	ending   = 5 * time.Second  // for hollow routers to end with their input, before they are killed
)

// launch starts a program whose log goes to a file.
func launch(dir, name string, args, env []string) (*process, error) {
	p := &process{log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err = p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() { p.cmd.Wait(); close(p.ended) }()
	return p, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// kill ends it at once: a router that was measured owes nobody anything.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// ready waits until the router says that it serves.
func (p *process) ready(ctx context.Context) error {
	for until := time.Now().Add(readying); time.Now().Before(until); {
		if serves(p.addr) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ended:
			return fmt.Errorf("the router ended before it was ready, with exit status %d; its log ends with\n%s", p.cmd.ProcessState.ExitCode(), p.tail())
		case <-time.After(2 * time.Millisecond):
		}
	}
	return fmt.Errorf("the router was not ready within %v; its log ends with\n%s", readying, p.tail())
}

func serves(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	return answers(conn)
}

// answers tells whether a router says on a connection that it serves.
func answers(conn net.Conn) bool {
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "mn\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == "MN"
}

func (p *process) tail() string {
	text, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// said counts the lines of its log that hold a text.
func (p *process) said(text string) (n int) {
	all, _ := os.ReadFile(p.log)
	for line := range bytes.Lines(all) {
		if bytes.Contains(line, []byte(text)) {
			n++
		}
	}
	return n
}

// until waits until something is so. The error tells that the process ended, or that it was not so in time.
func (p *process) until(ctx context.Context, what string, holds func() bool) error {
	for until := time.Now().Add(readying); !holds(); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ended:
			return fmt.Errorf("%s: the process has ended; its log ends with\n%s", what, p.tail())
		case <-time.After(time.Millisecond):
		}
		if time.Now().After(until) {
			return fmt.Errorf("%s: not within %v; its log ends with\n%s", what, readying, p.tail())
		}
	}
	return nil
}

// processorOf is the processor time that a process has used, all its threads, in seconds. The kernel's clock of another process
// counts nanoseconds, where /proc counts hundredths of a second.
func processorOf(pid int) (float64, error) {
	const scheduled = 2 // CPUCLOCK_SCHED of the kernel's posix-timers.h: user and system time together
	var at unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|scheduled), &at); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(at.Nano()).Seconds(), nil
}

// memoryOf is what a process holds resident now and what it held at most, in KiB.
func memoryOf(pid int) (now, most float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	of := func(key string) float64 {
		for line := range strings.Lines(string(text)) {
			if rest, is := strings.CutPrefix(line, key+":"); is {
				x, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
				return x
			}
		}
		return 0
	}
	return of("VmRSS"), of("VmHWM"), nil
}

// wakeupsOf counts how often the threads of a process went to sleep by themselves so far.
func wakeupsOf(pid int) (n float64) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	for _, task := range tasks {
		text, _ := os.ReadFile(task) // a thread may end meanwhile
		for line := range strings.Lines(string(text)) {
			if rest, is := strings.CutPrefix(line, "voluntary_ctxt_switches:"); is {
				x, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
				n += x
			}
		}
	}
	return n
}

// spent is what a process took in a window.
type spent struct {
	seconds   float64 // by the clock
	processor float64 // seconds
	wakeups   float64
	resident  float64 // KiB, at its end
	most      float64 // KiB, since the process began
	loop      float64 // seconds of processor of the plain loop meanwhile
}

// rate is the processor time in microseconds a second.
func (s spent) rate() float64 { return s.processor * 1e6 / s.seconds }

// watch looks at a process for a window.
func (p *process) watch(ctx context.Context, window time.Duration) (s spent, err error) {
	before, err := processorOf(p.pid())
	if err != nil {
		return s, err
	}
	began, woken := time.Now(), wakeupsOf(p.pid())
	if err = sleep(ctx, window, p); err != nil {
		return s, err
	}
	after, err := processorOf(p.pid())
	if err != nil {
		return s, err
	}
	s.seconds, s.processor, s.wakeups = time.Since(began).Seconds(), after-before, wakeupsOf(p.pid())-woken
	s.resident, s.most, err = memoryOf(p.pid())
	s.loop = plainLoop()
	return s, err
}

// sleep waits; the error tells that a process has ended meanwhile, or all is to end.
func sleep(ctx context.Context, long time.Duration, p *process) error {
	var ended chan struct{}
	if p != nil {
		ended = p.ended
	}
	select {
	case <-time.After(long):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-ended:
		return errors.New("the process has ended; its log ends with\n" + p.tail())
	}
}

const loops = 15 // their median is steady where other work takes turns with them

var megabyte = make([]byte, 1<<20)

// plainLoop is the processor time of the crc32 of a megabyte, in seconds: the median of some.
func plainLoop() float64 {
	runtime.LockOSThread() // a thread's own clock is read
	defer runtime.UnlockOSThread()
	var times []float64
	for range loops {
		var from, to unix.Timespec
		unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &from)
		crc32.ChecksumIEEE(megabyte)
		unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &to)
		times = append(times, float64(to.Nano()-from.Nano())/1e9)
	}
	slices.Sort(times)
	return times[len(times)/2]
}
