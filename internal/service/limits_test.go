package service

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// With the fewest descriptors that the configuration allows, all places for clients and at the operators' door filled by who says
// nothing more, and the list service down, what is set apart is there once it returns: its call gets a descriptor and a server is
// dialled, the door answers, and a successor takes over.
func TestReservedDescriptorsAreFreeInACrowd(t *testing.T) {
	const sockets = 64
	dir, addr, list := t.TempDir(), freeAddress(t), freeAddress(t)
	program, conf := filepath.Join(dir, "bendtrestle"), filepath.Join(dir, "config.json")
	if out, err := exec.Command("go", "build", "-o", program, "bendtrestle/cmd/bendtrestle").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	text := strings.Replace(fmt.Sprintf(baseConfig, addr, list), "{", fmt.Sprintf(`{"limits":{"sockets":%d},`, sockets), 1)
	os.WriteFile(conf, []byte(text), 0o600)
	start := func() (p *exec.Cmd, ops string) {
		p, ops = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, program)), freeAddress(t)
		p.Env = append(os.Environ(), "GW_CONFIG="+conf, "TMPDIR="+dir, "GW_OPS="+ops)
		p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.Process.Kill(); p.Wait() })
		return p, ops
	}
	within := func(what string, is func() bool) {
		t.Helper()
		for began := time.Now(); !is(); time.Sleep(20 * time.Millisecond) {
			if time.Since(began) > 20*time.Second {
				t.Fatalf("%s does not come", what)
			}
		}
	}
	ready := func(ops string) func() bool {
		return func() bool {
			answer, err := (&http.Client{Timeout: time.Second}).Get("http://" + ops + "/ready")
			if err == nil {
				answer.Body.Close()
			}
			return err == nil && answer.StatusCode == http.StatusOK
		}
	}
	p, ops := start()
	done := make(chan bool)
	defer close(done)
	var asked, heard, served, answered atomic.Int64
	one := func() string { return fmt.Sprintf("mn\r\nmg k v Oc%d Pc=t,d=1900\r\n", asked.Add(1)) }
	keepConnections(addr, one, 4*sockets, done, func(line string) {
		switch heard.Add(1); {
		case line == "MN\r\n":
			served.Add(1)
		case strings.HasPrefix(line, "VA "):
			answered.Add(1)
		}
	})
	keepConnections(ops, func() string { return "" }, 2*sockets, done, func(string) {})
	within("the crowd", func() bool { return heard.Load() > 4*sockets })
	target, _ := url.Parse("http://" + startCacheServer(t, 0))
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	ln, err := net.Listen("tcp", list)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: proxy}
	go server.Serve(ln)
	defer server.Close()
	within("the list", func() bool { return served.Load() > 0 })
	within("the door's answer", ready(ops))
	within("an answer of a server", func() bool { return answered.Load() > 0 })
	_, later := start()
	within("a successor", ready(later))
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("the old process ends with %v", err)
	}
}
