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

// process is a child process. It has its own process group, and the kernel kills it when this process ends for any
// reason.
type process struct {
	cmd        *exec.Cmd
	logPath    string // of the standard error, and of a router's standard output
	addr       string // of a router: its address for clients
	configPath string // of a router
	ended      chan struct{}
}

const (
	readyTimeout = 30 * time.Second // a router is ready after some tenths of a second, and later on a busy machine
	exitTimeout  = 5 * time.Second  // for simulated routers to exit once their input is closed, before they are killed
)

// startProcess starts a program and redirects its output to a log file.
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

// kill kills the process without a graceful shutdown, because nothing depends on a measured router any more.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// waitReady waits until the router replies to a no-op command.
func (p *process) waitReady(ctx context.Context) error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); {
		if isServing(p.addr) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ended:
			return fmt.Errorf("the router ended before it was ready, with exit status %d; its log ends with\n%s",
				p.cmd.ProcessState.ExitCode(), p.logTail())
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

// repliesToNoOp reports whether the router replies to a no-op command on the connection.
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

// countLogLines returns the number of lines of the process's log that contain text.
func (p *process) countLogLines(text string) (n int) {
	all, _ := os.ReadFile(p.logPath)
	for line := range bytes.Lines(all) {
		if bytes.Contains(line, []byte(text)) {
			n++
		}
	}
	return n
}

// waitFor waits until condition is true. It returns an error if the process ends or the time runs out before that.
func (p *process) waitFor(ctx context.Context, event string, condition func() bool) error {
	for deadline := time.Now().Add(readyTimeout); !condition(); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ended:
			return fmt.Errorf("%s: the process ended; its log ends with\n%s", event, p.logTail())
		case <-time.After(time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: timed out after %v; the log ends with\n%s", event, readyTimeout, p.logTail())
		}
	}
	return nil
}

// cpuSeconds returns the CPU time that all threads of a process have used, in seconds. It reads the kernel's CPU clock
// of the process, which counts nanoseconds; /proc counts only hundredths of a second.
func cpuSeconds(pid int) (float64, error) {
	const scheduled = 2 // CPUCLOCK_SCHED of the kernel's posix-timers.h: user and system time together
	var at unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|scheduled), &at); err != nil {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, err)
	}
	return time.Duration(at.Nano()).Seconds(), nil
}

// residentKiB returns the current and the peak resident memory of a process, in KiB.
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

// countWakeups returns the number of voluntary context switches of all threads of a process so far.
func countWakeups(pid int) (n float64) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	for _, task := range tasks {
		text, _ := os.ReadFile(task) // the thread may have ended since the directory was read
		for line := range strings.Lines(string(text)) {
			if rest, is := strings.CutPrefix(line, "voluntary_ctxt_switches:"); is {
				x, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
				n += x
			}
		}
	}
	return n
}

// usage is the resources that a process used in a window.
type usage struct {
	seconds  float64 // wall-clock time
	cpu      float64 // seconds
	wakeups  float64
	resident float64 // KiB, at the end of the window
	peak     float64 // KiB, since the process started
	loop     float64 // CPU seconds of the plain loop at the end of the window
}

// cpuRate returns the CPU time in microseconds per second.
func (s usage) cpuRate() float64 { return s.cpu * 1e6 / s.seconds }

// measureWindow returns what the process uses during the window.
func (p *process) measureWindow(ctx context.Context, window time.Duration) (used usage, err error) {
	before, err := cpuSeconds(p.pid())
	if err != nil {
		return used, err
	}
	began, woken := time.Now(), countWakeups(p.pid())
	if err = sleep(ctx, window, p); err != nil {
		return used, err
	}
	after, err := cpuSeconds(p.pid())
	if err != nil {
		return used, err
	}
	used.seconds, used.cpu, used.wakeups = time.Since(began).Seconds(), after-before, countWakeups(p.pid())-woken
	used.resident, used.peak, err = residentKiB(p.pid())
	used.loop = plainLoop()
	return used, err
}

// sleep waits for the duration. It returns an error if ctx or the process ends before that; p may be nil.
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
		return errors.New("the process ended; its log ends with\n" + p.logTail())
	}
}

const loopRuns = 15 // their median is stable when other processes run in between

var megabyte = make([]byte, 1<<20)

// plainLoop returns the CPU seconds of the crc32 of a megabyte: the median of loopRuns runs.
func plainLoop() float64 {
	runtime.LockOSThread() // the CPU clock of the thread is read
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
