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
	cmd        *exec.Cmd
	logPath    string // path
	addr       string // of a router: where it takes clients
	configPath string // path of its configuration
	ended      chan struct{}
}

const (
	readyTimeout = 30 * time.Second // for a router to become ready: some tenths of a second, and more on a busy machine
	exitTimeout  = 5 * time.Second  // for hollow routers to end with their input, before they are killed
)

// startProcess starts a program whose log goes to a file.
func startProcess(dir, name string, args, env []string) (*process, error) {
	p := &process{logPath: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
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

// waitReady waits until the router says that it serves.
func (p *process) waitReady(ctx context.Context) error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); {
		if isServing(p.addr) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ended:
			return fmt.Errorf("the router ended before it was ready, with exit status %d; its log ends with\n%s", p.cmd.ProcessState.ExitCode(), p.logTail())
		case <-time.After(2 * time.Millisecond):
		}
	}
	return fmt.Errorf("the router was not ready within %v; its log ends with\n%s", readyTimeout, p.logTail())
}

func isServing(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	return repliesToNoOp(conn)
}

// repliesToNoOp tells whether a router says on a connection that it serves.
func repliesToNoOp(conn net.Conn) bool {
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "mn\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == "MN"
}

func (p *process) logTail() string {
	text, _ := os.ReadFile(p.logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// countLogLines counts the lines of its log that hold a text.
func (p *process) countLogLines(text string) (n int) {
	all, _ := os.ReadFile(p.logPath)
	for line := range bytes.Lines(all) {
		if bytes.Contains(line, []byte(text)) {
			n++
		}
	}
	return n
}

// until waits until something is so. The error tells that the process ended, or that it was not so in time.
func (p *process) deadline(ctx context.Context, event string, condition func() bool) error {
	for deadline := time.Now().Add(readyTimeout); !condition(); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ended:
			return fmt.Errorf("%s: the process has ended; its log ends with\n%s", event, p.logTail())
		case <-time.After(time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %v; its log ends with\n%s", event, readyTimeout, p.logTail())
		}
	}
	return nil
}

// cpuSeconds is the processor time that a process has used, all its threads, in seconds. The kernel's clock of another process
// counts nanoseconds, where /proc counts hundredths of a second.
func cpuSeconds(pid int) (float64, error) {
	const scheduled = 2 // CPUCLOCK_SCHED of the kernel's posix-timers.h: user and system time together
	var at unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|scheduled), &at); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(at.Nano()).Seconds(), nil
}

// residentKiB is what a process holds resident now and what it held at most, in KiB.
func residentKiB(pid int) (now, peak float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	field := func(key string) float64 {
		for line := range strings.Lines(string(text)) {
			if rest, is := strings.CutPrefix(line, key+":"); is {
				x, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
				return x
			}
		}
		return 0
	}
	return field("VmRSS"), field("VmHWM"), nil
}

// countWakeups counts how often the threads of a process went to sleep by themselves so far.
func countWakeups(pid int) (n float64) {
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

// usage is what a process took in a window.
type usage struct {
	seconds  float64 // by the clock
	cpu      float64 // seconds
	wakeups  float64
	resident float64 // KiB, at its end
	peak     float64 // KiB, since the process began
	loop     float64 // seconds of processor of the plain loop meanwhile
}

// cpuRate is the processor time in microseconds a second.
func (s usage) cpuRate() float64 { return s.cpu * 1e6 / s.seconds }

// measureWindow looks at a process for a window.
func (p *process) measureWindow(ctx context.Context, window time.Duration) (s usage, err error) {
	before, err := cpuSeconds(p.pid())
	if err != nil {
		return s, err
	}
	began, woken := time.Now(), countWakeups(p.pid())
	if err = sleep(ctx, window, p); err != nil {
		return s, err
	}
	after, err := cpuSeconds(p.pid())
	if err != nil {
		return s, err
	}
	s.seconds, s.cpu, s.wakeups = time.Since(began).Seconds(), after-before, countWakeups(p.pid())-woken
	s.resident, s.peak, err = residentKiB(p.pid())
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
		return errors.New("the process has ended; its log ends with\n" + p.logTail())
	}
}

const loopRuns = 15 // their median is steady where other work takes turns with them

var megabyte = make([]byte, 1<<20)

// plainLoop is the processor time of the crc32 of a megabyte, in seconds: the median of some.
func plainLoop() float64 {
	runtime.LockOSThread() // a thread's own clock is read
	defer runtime.UnlockOSThread()
	var times []float64
	for range loopRuns {
		var from, to unix.Timespec
		unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &from)
		crc32.ChecksumIEEE(megabyte)
		unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &to)
		times = append(times, float64(to.Nano()-from.Nano())/1e9)
	}
	slices.Sort(times)
	return times[len(times)/2]
}
