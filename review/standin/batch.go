package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a cache server in a process of its own.
type process struct {
	name, address string
	command       *exec.Cmd
	done          chan struct{}
}

// runsAt is the cache server, a *process, that began a request last, by the request's id.
var runsAt sync.Map

// startProcess starts a cache server; its record goes into that of the case.
func startProcess(name string, rec *record) (*process, error) {
	p := &process{name: name, address: freeAddress(), done: make(chan struct{})}
	p.command = exec.Command(os.Args[0], "server", name, p.address)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			line := lines.Text()
			if len(line) > 10 {
				rec.add("%s", strings.TrimSpace(line[10:]))
			}
			_, id, began := strings.Cut(line, " began: ")
			if began {
				_, id, _ = strings.Cut(id, " id ")
				id, _, _ = strings.Cut(id, " ")
				runsAt.Store(id, p)
			}
		}
		p.command.Wait()
		close(p.done)
	}()
	for range 100 {
		conn, err := net.Dial("tcp", p.address)
		if err == nil {
			conn.Close()
			return p, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("cache server %s does not start", name)
}

func (p *process) kill() {
	p.command.Process.Signal(syscall.SIGKILL)
	<-p.done
}

const (
	batchServers = 25 // one of them crashes: 4%, the site states up to 22%
	batchCrash   = 200 * time.Millisecond
)

// findKey returns a key with a prefix that a server other than the given ones answers for, and that server's name.
func findKey(r *router, prefix string, not ...string) (key, server string) {
	for n := range 100 {
		key = fmt.Sprintf("%s-%d", prefix, n)
		got := ask(r.listen, getCommand(key, newID(), "view-ad", 6000), 7*time.Second)
		server, _, _ = strings.Cut(string(got.value), " ")
		if got.whole && server != "" && !slices.Contains(not, server) {
			return key, server
		}
	}
	return "", ""
}

// case2: a client sends a batch of commands at once. The first is a miss, which its cache server fetches from the
// origin; the second has a long value, whose cache server crashes meanwhile.
func case2(folder string, rec *record, trouble bool) int {
	known := list{Generation: 1, Reset: true}
	for n := range batchServers {
		p, err := startProcess(fmt.Sprintf("s-%d", n+1), rec)
		if err != nil {
			rec.add("cannot run: %v", err)
			return notRun
		}
		defer p.kill()
		known.Instances = append(known.Instances, instance{InstanceID: p.name, HostPort: p.address, Zone: "lima-1",
			MachineType: "fast-single", Lifecycle: "ready", Weight: 1})
	}
	discovery, err := startAgent("d", rec, 1, known.Instances)
	if err != nil {
		rec.add("cannot run: %v", err)
		return notRun
	}
	r, err := startRouter(folder, discovery.address(), known, 512, limaSettings())
	if err != nil {
		rec.add("cannot run: %v", err)
		return notRun
	}
	defer r.stop()

	long, crashing := findKey(r, "long")
	miss, slow := findKey(r, "miss", crashing)
	first, other := findKey(r, "ad", crashing, slow)
	second, _ := findKey(r, "lot", crashing, slow, other)
	if long == "" || miss == "" || first == "" || second == "" {
		rec.add("cannot run: no keys at different servers: %q %q %q %q", long, miss, first, second)
		return notRun
	}
	type sent struct{ what, id, command string }
	read := func(key string) sent {
		id := newID()
		return sent{"view-ad " + key, id, getCommand(key, id, "view-ad", 6000)}
	}
	write := func(class, key string) sent {
		id := newID()
		return sent{class + " " + key, id, setCommand(key, id, class, "sold", 5000)}
	}
	batch := []sent{read(miss), read(long), read(first), write("mark-sold", first), write("mark-sold", second)}

	conn, err := net.Dial("tcp", r.listen)
	if err != nil {
		rec.add("cannot run: %v", err)
		return notRun
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	for _, s := range batch {
		rec.add("client: sends %s id %s", s.what, s.id)
		io.WriteString(conn, s.command)
	}
	if trouble {
		time.AfterFunc(batchCrash, func() {
			p, began := runsAt.Load(batch[1].id)
			if began {
				rec.add("trouble: cache server %s, which answers %s, crashes (SIGKILL)", p.(*process).name, batch[1].what)
				p.(*process).kill()
			}
		})
	}
	verdict := held
	in := bufio.NewReader(conn)
	for i, s := range batch {
		got, err := readAnswer(in)
		rec.add("client: %s id %s got: %s %v", s.what, s.id, got, errorText(err))
		begunLongValue := i == 1 && strings.HasPrefix(got.line, "VA ")
		if got.whole || begunLongValue && trouble {
			continue // a value that was begun and cannot be finished has failed and is not lost
		}
		rec.add("BROKEN: request %s (%s) got no answer: it is lost", s.id, s.what)
		verdict = broken
	}
	time.Sleep(300 * time.Millisecond)
	return verdict
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}
