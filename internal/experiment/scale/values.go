package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/emulator"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/experiment"
	"bendtrestle/internal/meta"

	"golang.org/x/sys/unix"
)

// ValueOptions are the settings of a measurement of long values.
type ValueOptions struct {
	Router      experiment.Program
	Sizes       []int // bytes of a value
	Transfers   []int // numbers of concurrent transfers to clients that do not read
	Bytes       int   // transferred for one point, at least one value
	Clients     int   // concurrent clients; each requests one value after another
	Runs        int
	Settle      time.Duration // from the start of the transfers until the memory is measured
	LoopbackNet int           // the second byte of the loopback addresses
	Dir         string
	Progress    io.Writer // nil: no progress is printed
}

// DefaultValueOptions returns options with the sizes that operators expect and some below and above: the router buffers
// a value of up to 64 KiB whole, and streams a longer one.
func DefaultValueOptions() ValueOptions {
	return ValueOptions{Sizes: []int{60_000, 200_000, 1_000_000, 4_000_000}, Transfers: []int{1, 16, 64, 256}, Bytes: 400_000_000, Clients: 8, Runs: 3,
		// far below the 10 s after which a router disconnects a client that reads nothing
		Settle: 800 * time.Millisecond}
}

const (
	minValueBytes  = 1000    // bytes: an emulated value has a header of its own
	maxTransfers   = 256     // concurrent transfers that the router's limits allow
	maxPointBytes  = 1 << 40 // a point with more bytes takes hours
	maxValueRuns   = 20
	minValuePoints = 3 // points of a line: any two points lie on a line

	valueServerCount    = 8
	valueDescriptors    = 4096
	valueMemoryMB       = 256              // high enough that 256 transfers do not reach it
	valueTimeout        = 20 * time.Second // for one value, on a busy machine
	clientReceiveBuffer = 4096             // bytes; small, so that unread values stay in the router
)

// Check returns every fault of the options, each with its flag, its value and the accepted values.
func (o ValueOptions) Check() error {
	var faults []error
	fault := func(flag string, value any, want string, args ...any) {
		faults = append(faults, fmt.Errorf("--%s %v: %s", flag, value, fmt.Sprintf(want, args...)))
	}
	checkRising := func(flag string, all []int, least, most int, example string) {
		text := strings.Trim(strings.ReplaceAll(fmt.Sprint(all), " ", ","), "[]")
		sorted := slices.IsSorted(all) && len(slices.Compact(slices.Clone(all))) == len(all)
		if len(all) < minValuePoints || !sorted || all[0] < least || all[len(all)-1] > most {
			fault(flag, text, "want three or more rising numbers from %d to %d, such as %s", least, most, example)
		}
	}
	checkRising("sizes", o.Sizes, minValueBytes, meta.MaxLongValueBytes, "60000,200000,1000000,4000000")
	checkRising("transfers", o.Transfers, 1, maxTransfers, "1,16,64,256")
	if o.Bytes < minValueBytes || o.Bytes > maxPointBytes {
		fault("bytes", o.Bytes, "want a number from %d to %d", minValueBytes, maxPointBytes)
	}
	if o.Clients < 1 || o.Clients > maxTransfers {
		fault("at-once", o.Clients, "want a number from 1 to %d", maxTransfers)
	}
	if o.Runs < 1 || o.Runs > maxValueRuns {
		fault("runs", o.Runs, "want a number from 1 to %d", maxValueRuns)
	}
	return errors.Join(faults...)
}

var valueQuantities = []Quantity{
	{"value.core.byte", coreTime, "byte",
		"reads of one value after another by several concurrent clients, by the size of the value"},
	{"value.core.byte.alone", coreTime, "byte", "the same with one client, so that concurrent values share no work"},
	{"value.wakeups.byte", "wake-ups", "byte",
		"voluntary context switches of the router's threads in the runs of value.core.byte"},
}

// measureValues measures long values at the usual sizes in a single run, because the bench repeats it.
func measureValues(b *bench) error {
	o := DefaultValueOptions()
	o.Router, o.Runs, o.LoopbackNet, o.Dir, o.Progress = b.program, 1, b.net, b.dir, nil
	if b.plan.Small {
		o.Transfers, o.Bytes, o.Clients, o.Settle = []int{1, 2, 4}, 1_000_000, 2, b.plan.Settle
	}
	b.progressf("long values")
	lines, err := MeasureValues(b.ctx, o)
	for _, l := range lines {
		for _, p := range l.Points {
			loop := 0.0 // CPU seconds of the plain loop next to it
			if len(p.Loops) > 0 && p.Loops[0] > 0 {
				loop = p.Runs[0] / p.Loops[0] / 1e6
			}
			b.add(l.Name, p.X, p.Runs[0], loop)
		}
	}
	return err
}

// MeasureValues measures what long values cost: CPU time by their size, and peak memory by the number of transfers to clients
// that do not read, with a line for each size. All processes that it started have ended when it returns.
func MeasureValues(ctx context.Context, o ValueOptions) ([]Line, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	points := map[string]map[float64]*Point{}
	add := func(name string, x, value, loop float64) {
		if points[name] == nil {
			points[name] = map[float64]*Point{}
		}
		if points[name][x] == nil {
			points[name][x] = &Point{X: x}
		}
		points[name][x].record(value, loop)
	}
	heldName := func(size int) string { return fmt.Sprintf("value.memory.transfer.%d", size) }
	for run := range o.Runs {
		progressf := func(format string, args ...any) {
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "%s run %d of %d: %s\n", time.Now().Format(time.TimeOnly), run+1, o.Runs,
					fmt.Sprintf(format, args...))
			}
		}
		for _, size := range o.Sizes {
			err := o.withTestbed(ctx, func(t *valueTestbed) error {
				for name, clients := range map[string]int{"value.core.byte": o.Clients, "value.core.byte.alone": 1} {
					n := max(1, o.Bytes/size/clients)
					cpu, wakeups, loop, err := t.measureReads(ctx, size, clients, n)
					if err != nil {
						return err
					}
					values := float64(n * clients)
					add(name, float64(size), cpu*1e6/values, loop)
					if clients == o.Clients && name == "value.core.byte" {
						add("value.wakeups.byte", float64(size), wakeups/values, 0)
					}
					progressf("%s, %d bytes, %.0f values: %.0f MB a second of a core, %.2f of the plain loop's time a megabyte", name, size, values,
						float64(size)*values/cpu/1e6, cpu/values/float64(size)*(1<<20)/loop)
				}
				return nil
			})
			if err != nil {
				return nil, err
			}
			for _, n := range o.Transfers {
				err := o.withTestbed(ctx, func(t *valueTestbed) error {
					peak, err := t.measureHeldTransfers(ctx, size, n, o.Settle)
					add(heldName(size), float64(n), peak, 0)
					progressf("%s: %d held, %.0f KiB at most", heldName(size), n, peak)
					return err
				})
				if err != nil {
					return nil, err
				}
			}
		}
	}
	quantities := slices.Clone(valueQuantities)
	for _, size := range o.Sizes {
		quantities = append(quantities, Quantity{heldName(size), "KiB", "transfer",
			"peak resident memory, by the number of transfers held open by clients that do not read"})
	}
	var lines []Line
	for _, q := range quantities {
		var all []Point
		for _, p := range points[q.Name] {
			all = append(all, *p)
		}
		slices.SortFunc(all, func(a, b Point) int { return int(a.X - b.X) })
		lines = append(lines, newLine(q, all))
	}
	return lines, nil
}

// valueTestbed is a set of servers, a list service for them and a router.
type valueTestbed struct {
	loop        *eventloop.Loop
	fleet       *emulator.Fleet
	listService *emulator.Agent
	ended       chan error
	listeners   []net.Listener
	cmd         *exec.Cmd
	exited      chan struct{}
	addr        string
	logPath     string
	lastID      atomic.Uint64
}

// withTestbed calls do with a new testbed and closes it afterwards. Each measurement needs a router of its own, because
// the kernel reports peak memory since the start of a process.
func (o ValueOptions) withTestbed(ctx context.Context, do func(t *valueTestbed) error) error {
	t, err := o.openTestbed(ctx)
	if err == nil {
		err = do(t)
	}
	if t != nil {
		t.close()
	}
	return err
}

func (o ValueOptions) openTestbed(ctx context.Context) (*valueTestbed, error) {
	t := &valueTestbed{ended: make(chan error, 1), exited: make(chan struct{}), addr: fmt.Sprintf("127.%d.1.1:11211",
		o.LoopbackNet), logPath: filepath.Join(o.Dir, "values.log")}
	var err error
	if t.loop, err = eventloop.New(); err != nil {
		return nil, err
	}
	trafficType := &emulator.TrafficType{Name: "bulk", Idempotency: balancer.Idempotent, Benefit: 1}
	t.fleet = emulator.NewFleet(t.loop, 1, []*emulator.TrafficType{trafficType}, emulator.OriginSpec{Concurrency: 1,
		MeanSeconds: 1, Multiple: 1, OverloadSeconds: 1, HaltSeconds: 1}, emulator.Delay{})
	via := map[string]string{}
	for n := range valueServerCount {
		spec := emulator.Spec{Name: t.fleet.NextName(), Addr: fmt.Sprintf("127.%d.41.%d:11300", o.LoopbackNet, n+1), Zone: "z", Machine: "m", Cores: 8, Speed: 1, Weight: 8}
		if _, err = t.fleet.Add(spec, false); err != nil {
			return t, fmt.Errorf("%w (another --net may be free)", err)
		}
		var ln net.Listener
		listen := func() (err error) {
			ln, err = net.Listen("tcp", fmt.Sprintf("127.%d.42.%d:11300", o.LoopbackNet, n+1))
			return err
		}
		if err = retryWhileAddressInUse(ctx, listen); err != nil {
			return t, err
		}
		t.listeners = append(t.listeners, ln)
		via[spec.Name] = ln.Addr().String()
		go serveConnections(ln, spec.Name)
	}
	if t.listService, err = t.fleet.List().Agent(fmt.Sprintf("127.%d.2.1:8500", o.LoopbackNet)); err != nil {
		return t, fmt.Errorf("%w (another --net may be free)", err)
	}
	// The emulated servers are only listed; requests go to the listeners.
	t.listService.SetAddresses(func(s *emulator.Server) string { return via[s.Name] })
	go func() { t.ended <- t.loop.Run() }()
	return t, t.startRouter(ctx, o)
}

// serveConnections accepts the connections of a server that sends values as fast as they are read, with one system call
// per value.
func serveConnections(ln net.Listener, name string) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go serveValues(conn, name)
	}
}

func serveValues(conn net.Conn, name string) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 4096)
	for n := uint64(0); ; n++ {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		if len(fields) == 1 && fields[0] == "mn" {
			io.WriteString(conn, "MN\r\n")
			continue
		}
		var size int
		i := slices.IndexFunc(fields, func(f string) bool { return f[0] == 'O' })
		if i < 0 || len(fields) < 2 {
			return
		}
		if _, err = fmt.Sscanf(fields[1], "v-%d-", &size); err != nil {
			return
		}
		value := emulator.NewValue(fields[1], fields[i][1:], name, n, size)
		text := append(net.Buffers{meta.AppendValue(nil, fields[i][1:], value.Len())}, value.Pieces()...)
		text = append(text, []byte("\r\n"))
		if _, err = text.WriteTo(conn); err != nil {
			return
		}
	}
}

func (t *valueTestbed) startRouter(ctx context.Context, o ValueOptions) error {
	ns := func(d time.Duration) int64 { return d.Nanoseconds() }
	conf := map[string]any{"name": "n0", "listen": t.addr, "discovery": t.listService.Addr(), "seed": "0badcafe",
		"known":  t.listService.LastList(),
		"limits": map[string]any{"cores": 1, "memory_mb": valueMemoryMB, "sockets": valueDescriptors},
		"settings": map[string]any{"me": 0, "fleetSize": 1, "step": 2000000, "discovery": "pushed", "weights": "nominal",
			"familyInfo": map[string]any{"mode": "through"},
			"limits": map[string]any{"cancelling": true, "secondCopies": false, "mostExecutions": 5, "probes": false, "peers": false, "retryAfter": true,
				"maxRetryAfter": ns(1200 * time.Millisecond), "connIdle": ns(time.Minute), "connectTimeout": ns(time.Second), "streamsPerConn": 100},
			"rules": map[string]any{"drainGrace": ns(500 * time.Millisecond), "fall": ns(3 * time.Second), "startCapacity": 0.3, "tipMultiple": 4,
				"warmWithin": ns(9 * time.Second)},
			"penalties": map[string]any{"probe": 0.01, "peer": 0.01},
			"trafficTypes": []any{map[string]any{"name": "bulk", "effect": "retryable", "keyScope": "all", "dedupWindow": 0,
				"promisedTime": ns(10 * time.Second), "hardStop": ns(valueTimeout), "benefit": 1, "runsIn": nil,
				"allowedOn": nil}},
			"tenants": []any{}}}
	text, err := json.Marshal(conf)
	if err != nil {
		return err
	}
	path := filepath.Join(o.Dir, "values.json")
	if err = os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(t.logPath)
	if err != nil {
		return err
	}
	defer log.Close()
	t.cmd = exec.Command(o.Router.Args[0], o.Router.Args[1:]...)
	t.cmd.Env = append(os.Environ(), "GW_CONFIG="+path)
	t.cmd.Stdout, t.cmd.Stderr = log, log
	t.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err = t.cmd.Start(); err != nil {
		t.cmd = nil
		return fmt.Errorf("router: %w", err)
	}
	go func() { t.cmd.Wait(); close(t.exited) }()
	limit := unix.Rlimit{Cur: valueDescriptors, Max: valueDescriptors}
	unix.Prlimit(t.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
	for until := time.Now().Add(valueTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.exited:
			return fmt.Errorf("the router ended before it was ready%s", t.logTail())
		default:
		}
		if c, err := net.DialTimeout("tcp", t.addr, time.Second); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(c, "mn\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if line == "MN\r\n" {
				return nil
			}
		}
	}
	return fmt.Errorf("the router was not ready within %v%s", valueTimeout, t.logTail())
}

func (t *valueTestbed) logTail() string {
	text, _ := os.ReadFile(t.logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return "; its log ends with\n" + strings.Join(lines[max(0, len(lines)-5):], "\n")
}

func (t *valueTestbed) close() {
	if t.cmd != nil {
		t.cmd.Process.Kill() // no graceful shutdown: nothing depends on a measured router any more
		<-t.exited
	}
	for _, ln := range t.listeners {
		ln.Close()
	}
	if t.loop != nil && t.listService != nil {
		done := make(chan struct{})
		t.loop.Post(func() { t.fleet.Close(); close(done) })
		<-done
		t.loop.Post(t.loop.Stop)
		<-t.ended
	}
}

// startRead sends a request for a value and reads the header of the reply. It repeats a rejected request.
func (t *valueTestbed) startRead(conn net.Conn, in *bufio.Reader, size int) error {
	conn.SetDeadline(time.Now().Add(valueTimeout))
	for range 100 {
		n := t.lastID.Add(1)
		id := fmt.Sprintf("%08x%08x", os.Getpid(), n)
		fmt.Fprintf(conn, "mg v-%d-%d v O%s Pc=bulk,d=%d\r\n", size, n%1000, id, valueTimeout.Milliseconds())
		line, err := in.ReadString('\n')
		switch {
		case err != nil:
			return fmt.Errorf("a value of %d bytes: %w%s", size, err, t.logTail())
		case line == fmt.Sprintf("VA %d O%s\r\n", size, id):
			return nil
		case !strings.HasPrefix(line, "SERVER_ERROR"):
			return fmt.Errorf("the reply for a value of %d bytes starts with %q, not with its header", size, line)
		}
		time.Sleep(50 * time.Millisecond) // the request was rejected
	}
	return fmt.Errorf("a request for a value of %d bytes was rejected a hundred times%s", size, t.logTail())
}

// readValue reads a value's bytes and checks them as they arrive.
func readValue(in *bufio.Reader, buf []byte, size int) error {
	check := emulator.Check{Length: size}
	for check.Received < size {
		n, err := in.Read(buf[:min(len(buf), size-check.Received)])
		if err != nil {
			return fmt.Errorf("received %d of %d bytes of a value: %w", check.Received, size, err)
		}
		check.Take(buf[:n])
	}
	if wrong := check.End(); wrong != "" {
		return errors.New(wrong)
	}
	if end, err := in.ReadString('\n'); end != "\r\n" {
		return fmt.Errorf("a value of %d bytes is followed by %q, not by a line end: %v", size, end, err)
	}
	return nil
}

// readValues reads n values one after another on one connection.
func (t *valueTestbed) readValues(ctx context.Context, size, n int) error {
	conn, err := net.DialTimeout("tcp", t.addr, valueTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	in, buf := bufio.NewReaderSize(conn, 4096), make([]byte, 256<<10)
	for range n {
		if err = ctx.Err(); err == nil {
			if err = t.startRead(conn, in, size); err == nil {
				err = readValue(in, buf, size)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// measureReads lets each client read n values. It returns the router's CPU seconds, the voluntary context switches of
// its threads, and the CPU seconds of the plain loop. The first value of each client is not counted, because it opens
// connections to the servers.
func (t *valueTestbed) measureReads(ctx context.Context, size, clients, n int) (cpu, wakeups, loop float64, err error) {
	all := func(n int) error {
		errs := make([]error, clients)
		var done sync.WaitGroup
		for i := range clients {
			done.Add(1)
			go func() { defer done.Done(); errs[i] = t.readValues(ctx, size, n) }()
		}
		done.Wait()
		return errors.Join(errs...)
	}
	if err = all(1); err != nil {
		return 0, 0, 0, err
	}
	pid := t.cmd.Process.Pid
	before, err := cpuSeconds(pid)
	if err != nil {
		return 0, 0, 0, err
	}
	wakeupsBefore := countWakeups(pid)
	if err = all(n); err != nil {
		return 0, 0, 0, err
	}
	after, err := cpuSeconds(pid)
	return after - before, countWakeups(pid) - wakeupsBefore, plainLoop(), err
}

// measureHeldTransfers lets n clients request a value and read nothing of it. It returns the router's peak resident
// memory in KiB.
func (t *valueTestbed) measureHeldTransfers(ctx context.Context, size, n int, settle time.Duration) (peak float64,
	err error) {
	dialer := net.Dialer{Timeout: valueTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientReceiveBuffer)
		})
	}}
	errs := make([]error, n)
	conns := make([]net.Conn, n)
	var done sync.WaitGroup
	for i := range n {
		done.Add(1)
		go func() {
			defer done.Done()
			if conns[i], errs[i] = dialer.DialContext(ctx, "tcp", t.addr); errs[i] == nil {
				errs[i] = t.startRead(conns[i], bufio.NewReaderSize(conns[i], 64), size)
			}
		}()
	}
	done.Wait()
	defer func() {
		for _, c := range conns {
			if c != nil {
				c.Close()
			}
		}
	}()
	if err = errors.Join(errs...); err != nil {
		return 0, err
	}
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(settle):
	}
	_, peak, err = residentKiB(t.cmd.Process.Pid)
	return peak, err
}

// Copy is how often the router copies each byte of a value. It is counted from the code, because no measurement shows
// it.
type Copy struct {
	Name  string  `json:"name"`
	Count float64 `json:"copies"` // within the memory of the process
	About string  `json:"about"`
}

// Copies returns the number of copies for a streamed and for a buffered value. The kernel makes two more, from a socket
// and to a socket.
func Copies() []Copy {
	return []Copy{
		{"value.copies.passed", 1,
			"above 64 KiB: server's ring buffer to client's (upstream.memcacheCodec.Part, eventloop.Conn.Write)"},
		{"value.copies.held", 2,
			"up to 64 KiB: ring buffer to value (meta.readValue), value to the client's ring buffer"},
	}
}

// PrintLines writes a table of the lines, followed by their points and the copies.
func PrintLines(out io.Writer, lines []Line) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "name\tunit\tfor one more\tslope\tleast\tmost\twith none\tresidual\tr squared\tin plain loops\t")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.3f\t%.4f\t%.4g\t\n", l.Name, l.Unit, l.Per, l.Slope, l.Least, l.Most, l.Base, l.Residual,
			l.R2, l.Loops)
	}
	fmt.Fprintln(w, "\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(w, "name\tat\tmean\tleast\tmost\tin plain loops\tMB a second of a core\t")
	for _, l := range lines {
		for _, p := range l.Points {
			sum, inLoops, rate := 0.0, 0.0, ""
			for _, y := range p.Runs {
				sum += y / float64(len(p.Runs))
			}
			for _, y := range p.Loops {
				inLoops += y / float64(len(p.Loops))
			}
			if l.Per == "byte" && l.Unit == coreTime {
				rate = fmt.Sprintf("%.0f", p.X/sum)
			}
			fmt.Fprintf(w, "%s\t%.0f\t%.4g\t%.4g\t%.4g\t%.4g\t%s\t\n", l.Name, p.X, sum, slices.Min(p.Runs), slices.Max(p.Runs), inLoops, rate)
		}
	}
	fmt.Fprintln(w, "\t\t\t\t\t\t\t")
	w.Flush()
	for _, c := range Copies() {
		fmt.Fprintf(out, "%s  %.1f  counted from the code: %s\n", c.Name, c.Count, c.About)
	}
}
