package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case: its folder, its record and the processes that it started.
type play struct {
	trouble bool   // false with TROUBLE=0
	root    string // of the repository
	temp    string
	begun   time.Time

	mu      sync.Mutex
	record  *os.File
	routers []*router
}

func newPlay(folder string) (*play, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now()}
	p.root = filepath.Dir(filepath.Dir(folder)) // FOLDER is review/N
	p.record, err = os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	p.temp, err = os.MkdirTemp("", "standin2-")
	return p, err
}

// run plays a case, ends all processes, and returns its status.
func (p *play) run(play func(*play) int) int {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		p.end()
		os.Exit(couldNotRun)
	}()
	go func() {
		time.Sleep(110 * time.Second)
		p.log("the case took too long")
		p.end()
		os.Exit(couldNotRun)
	}()
	defer p.end()
	p.log("trouble: %v", p.trouble)
	return play(p)
}

func (p *play) end() {
	p.mu.Lock()
	routers := p.routers
	p.routers = nil
	p.mu.Unlock()
	for _, r := range routers {
		r.kill()
	}
	os.RemoveAll(p.temp)
}

// log writes a line to the record, with the time since the start.
func (p *play) log(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.4f %s\n", time.Since(p.begun).Seconds(), fmt.Sprintf(format, values...))
}

// fail ends the play as one that could not run.
func (p *play) fail(why string) {
	p.log("could not run: %s", why)
	fmt.Println("could not run:", why)
	p.end()
	os.Exit(couldNotRun)
}

// must fails if there is an error.
func (p *play) must(err error, doing string) {
	if err != nil {
		p.fail(fmt.Sprint(doing, ": ", err))
	}
}

// freeAddress returns a loopback address that nobody listens at now.
func (p *play) freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	p.must(err, "a free port")
	defer l.Close()
	return l.Addr().String()
}

// listen listens at a free loopback address.
func (p *play) listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	p.must(err, "listen")
	return l
}

// command returns a command of the deploy file.
func (p *play) command(key string) string {
	text, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	p.must(err, "the deploy file")
	for line := range strings.Lines(string(text)) {
		rest, found := strings.CutPrefix(line, key+" = \"")
		if found {
			command, _, _ := strings.Cut(rest, "\"")
			return command
		}
	}
	p.fail("the deploy file has no " + key)
	return ""
}

// router is a process of the router.
type router struct {
	play *play
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// config is the platform's file for a router.
type config map[string]any

func (p *play) write(name string, content any) string {
	path := filepath.Join(p.temp, name)
	text, isText := content.(string)
	if !isText {
		encoded, err := json.MarshalIndent(content, "", " ")
		p.must(err, "encode")
		text = string(encoded)
	}
	p.must(os.WriteFile(path+".new", []byte(text), 0o600), "write")
	p.must(os.Rename(path+".new", path), "rename")
	return path
}

// startRouter starts the router by the deploy file's run. TMPDIR is a fresh folder.
func (p *play) startRouter(name string, conf config, operators string) *router {
	environment := []string{"PATH=" + os.Getenv("PATH"), "GW_CONFIG=" + p.write(name+".json", conf)}
	if operators != "" {
		environment = append(environment, "GW_OPERATORS="+p.write(name+".toml", operators))
	}
	tmp := filepath.Join(p.temp, name+"-tmp")
	p.must(os.MkdirAll(tmp, 0o700), "TMPDIR")
	environment = append(environment, "TMPDIR="+tmp)
	for _, key := range []string{"name", "listen", "discovery"} {
		environment = append(environment, "GW_"+strings.ToUpper(key)+"="+fmt.Sprint(conf[key]))
	}
	r := &router{play: p, name: name, done: make(chan struct{})}
	r.cmd = exec.Command("/bin/sh", "-c", p.command("run"))
	r.cmd.Dir = p.root
	r.cmd.Env = environment
	logs, err := r.cmd.StderrPipe()
	p.must(err, "pipe")
	p.must(r.cmd.Start(), "start the router")
	p.log("router %s started, process %d", name, r.cmd.Process.Pid)
	p.mu.Lock()
	p.routers = append(p.routers, r)
	p.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(logs)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.log("router %s says %s", name, lines.Text())
		}
		err := r.cmd.Wait()
		p.log("router %s ended: %v", name, err)
		close(r.done)
	}()
	return r
}

func (r *router) kill() {
	r.cmd.Process.Kill()
	<-r.done
}

func (r *router) signal(s syscall.Signal) {
	r.play.log("%v to router %s", s, r.name)
	r.cmd.Process.Signal(s)
}

// alive reports whether the process has not ended.
func (r *router) alive() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until mn is answered MN at an address.
func (r *router) awaitReady(address string) {
	for range 300 {
		if !r.alive() {
			r.play.fail("the router ended before it was ready")
		}
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err == nil {
			conn.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(conn, "mn\r\n")
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if line == "MN\r\n" {
				r.play.log("router %s is ready", r.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.play.fail("the router was not ready after 15 s")
}

// freshIDs makes ids that were never used before.
type freshIDs struct {
	mu sync.Mutex
	n  uint64
}

func (f *freshIDs) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, f.n)
}
