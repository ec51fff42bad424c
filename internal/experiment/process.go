package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Program is a router's command line. The program reads the file at GW_CONFIG.
type Program struct {
	Name  string   // name in reports
	Plain bool     // without zone failover and recovery, whatever the scenario sets
	Args  []string // program and arguments
}

// Reasons for the end of a router's process.
const (
	endNone        = ""
	endAsked       = "asked to end"
	endKilled      = "killed by the scenario"
	endMemoryLimit = "killed, for it held more memory than it may"
	endCrashed     = "ended by itself"
)

// RouterProcess describes one process of a router, from its start to its end.
type RouterProcess struct {
	Router           int
	From, Ready, To  float64 // Unix seconds; 0 before the event
	How              string
	Exit             int
	Told             float64 // Unix seconds of SIGTERM; 0 without
	CPU, MaxMemoryMB float64
	endReason        string // reason for which the lab ended it
}

// StopInterval is an interval in which the lab had stopped a router's process by SIGSTOP. To is 0 if the process was
// not continued.
type StopInterval struct {
	Router   int
	From, To float64
}

// routerNode is one router: its address, its configuration, and its current process if one runs.
type routerNode struct {
	number   int
	addr     string
	program  Program
	dir      string
	memoryMB int
	sockets  int
	now      func() float64

	mu        sync.Mutex
	config    map[string]any
	operators string // text of its operators' file; empty if it has none
	cmd       *exec.Cmd
	ended     chan struct{}
	processes []*RouterProcess
	stops     []StopInterval
	folder    string // folder that outlives its processes; empty if they have none
}

func (r *routerNode) file(name string) string {
	return filepath.Join(r.dir, fmt.Sprintf("router-%d.%s", r.number, name))
}

// write writes the configuration files, each atomically.
func (r *routerNode) write() error {
	text, err := json.MarshalIndent(r.config, "", " ")
	if err != nil {
		return err
	}
	if err = writeAtomically(r.file("json"), text); err != nil || r.operators == "" {
		return err
	}
	return writeAtomically(r.file("toml"), []byte(r.operators))
}

// writeAtomically writes a file atomically: a reader finds the old or the new text.
func writeAtomically(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts a process with the scenario's limit of file descriptors.
func (r *routerNode) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.write(); err != nil {
		return err
	}
	log, err := os.OpenFile(r.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.program.Args[0], r.program.Args[1:]...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+r.file("json"))
	if r.operators != "" {
		cmd.Env = append(cmd.Env, "GW_OPERATORS="+r.file("toml"))
	}
	if r.folder != "" {
		cmd.Env = append(cmd.Env, "TMPDIR="+r.folder)
	}
	cmd.Stdout, cmd.Stderr = log, log
	// In its own process group, the router gets no interrupt from the terminal: the lab decides when it ends. The
	// kernel kills it when the lab dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	process := &RouterProcess{Router: r.number, From: r.now()}
	if err = cmd.Start(); err != nil {
		return fmt.Errorf("router %d: %w", r.number, err)
	}
	limit := unix.Rlimit{Cur: uint64(r.sockets), Max: uint64(r.sockets)}
	unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
	r.cmd, r.ended = cmd, make(chan struct{})
	r.processes = append(r.processes, process)
	go r.wait(cmd, process, r.ended)
	return nil
}

// wait waits for the end of a process and records how it ended.
func (r *routerNode) wait(cmd *exec.Cmd, process *RouterProcess, ended chan struct{}) {
	done := make(chan struct{})
	go r.watchMemory(cmd.Process.Pid, process, done)
	cmd.Wait()
	close(done)
	r.mu.Lock()
	process.To, process.How, process.Exit = r.now(), process.endReason, cmd.ProcessState.ExitCode()
	if process.How == endNone || process.How == endAsked && process.Exit != 0 {
		process.How = endCrashed
	}
	process.CPU = (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
	r.mu.Unlock()
	close(ended)
}

// watchMemory kills a process that uses more memory than allowed, as the platform does.
func (r *routerNode) watchMemory(pid int, process *RouterProcess, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		var size, resident int
		if err != nil {
			continue
		}
		if _, err = fmt.Sscan(string(text), &size, &resident); err != nil {
			continue
		}
		mb := float64(resident) * float64(os.Getpagesize()) / (1 << 20)
		r.mu.Lock()
		process.MaxMemoryMB = max(process.MaxMemoryMB, mb)
		r.mu.Unlock()
		if mb > float64(r.memoryMB) {
			r.signalEnd(syscall.SIGKILL, endMemoryLimit)
		}
	}
}

// signalEnd sends a signal to the running process and records why.
func (r *routerNode) signalEnd(sig syscall.Signal, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil || len(r.processes) == 0 {
		return
	}
	process := r.processes[len(r.processes)-1]
	if process.To > 0 {
		return
	}
	if process.endReason = why; why == endAsked {
		process.Told = r.now()
	}
	r.cmd.Process.Signal(sig)
}

// stop sends SIGTERM, and kills the process if it has not exited after patience seconds.
func (r *routerNode) stop(patience float64) {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	if ended == nil {
		return
	}
	r.resume()
	r.signalEnd(syscall.SIGTERM, endAsked)
	select {
	case <-ended:
	case <-time.After(time.Duration(patience * float64(time.Second))):
		r.signalEnd(syscall.SIGKILL, endKilled)
		<-ended
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (r *routerNode) kill() {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	if ended != nil {
		r.signalEnd(syscall.SIGKILL, endKilled)
		<-ended
	}
}

// pause stops the process by SIGSTOP, which the process cannot observe; resume continues it.
func (r *routerNode) pause() { r.signal(syscall.SIGSTOP) }

func (r *routerNode) resume() { r.signal(syscall.SIGCONT) }

func (r *routerNode) signal(sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil && len(r.processes) > 0 && r.processes[len(r.processes)-1].To == 0 {
		last := len(r.stops) - 1
		if open := last >= 0 && r.stops[last].To == 0; sig == syscall.SIGSTOP && !open {
			r.stops = append(r.stops, StopInterval{Router: r.number, From: r.now()})
		} else if sig == syscall.SIGCONT && open {
			r.stops[last].To = r.now()
		}
		r.cmd.Process.Signal(sig)
	}
}

// reload changes the configuration, writes it and sends SIGHUP to the process.
func (r *routerNode) reload(change func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	if err := r.write(); err != nil {
		return err
	}
	if r.cmd != nil {
		r.cmd.Process.Signal(syscall.SIGHUP)
	}
	return nil
}

// ready waits until the router reports that it serves requests.
func (r *routerNode) ready(within float64) error {
	r.mu.Lock()
	ended, process := r.ended, r.processes[len(r.processes)-1]
	r.mu.Unlock()
	for until := r.now() + within; r.now() < until; {
		if isServing(r.addr) {
			r.mu.Lock()
			process.Ready = r.now()
			r.mu.Unlock()
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("router %d ended before it was ready, with exit status %d%s", r.number, process.Exit, r.logTail())
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("router %d was not ready within %v s%s", r.number, within, r.logTail())
}

// isServing reports whether a router answers the command mn, by which it confirms that it serves requests.
func isServing(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
	fmt.Fprint(conn, "mn\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == "MN"
}

// logTail returns the last lines of the router's log for an error text.
func (r *routerNode) logTail() string {
	text, err := os.ReadFile(r.file("log"))
	if err != nil || len(text) == 0 {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return "; its log ends with\n" + strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// processHistory returns the router's processes so far.
func (r *routerNode) processHistory() (all []RouterProcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.processes {
		all = append(all, *l)
	}
	return all
}

// checkAddressFree returns an error that names the address if the lab cannot listen at it.
func checkAddressFree(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		var of *net.OpError
		if errors.As(err, &of) {
			err = of.Err
		}
		return fmt.Errorf("cannot listen at %s: %w (another --net may be free)", addr, err)
	}
	return ln.Close()
}
