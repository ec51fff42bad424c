package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// built is a program of this tree, with a configuration and a folder for its processes.
type built struct {
	t                     *testing.T
	program, conf, shared string
	listen                string
}

// process is one of its processes.
type process struct {
	*exec.Cmd
	ops string
}

func (b built) start() process {
	p := process{exec.Command(b.program), free(b.t)}
	p.Env = append(os.Environ(), "GW_CONFIG="+b.conf, "GW_OPS="+p.ops, "TMPDIR="+b.shared)
	if err := p.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { p.Process.Kill() })
	for i := 0; ; i++ {
		if status, _ := p.call("GET", "/ready", ""); status == http.StatusOK {
			return p
		}
		if i > 300 {
			b.t.Fatal("it does not come to serve")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (p process) call(method, path, body string) (status int, text string) {
	q, _ := http.NewRequest(method, "http://"+p.ops+path, strings.NewReader(body))
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Do(q)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	all, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(all)
}

func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// cache answers every read, and a list service names it s-1.
func cache(t *testing.T) (discovery string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			go func() {
				for in := bufio.NewScanner(conn); in.Scan(); {
					if f := strings.Fields(in.Text()); len(f) > 3 {
						fmt.Fprintf(conn, "VA 2 %s h1\r\nhi\r\n", f[3])
					}
				}
			}()
		}
	}()
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"%s","lifecycle":"ready","weight":1}]}`, ln.Addr())
	}))
	t.Cleanup(func() { list.CloseClientConnections(); list.Close() })
	return list.Listener.Addr().String()
}

// once asks on a connection of its own.
func once(addr, id string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "mg k v O%s Pc=t,d=1900\r\n", id)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.HasPrefix(line, "VA")
}

// Two versions follow each other as real processes under load: every operation is answered, each old process ends by itself with 0,
// and what was taken out by hand at the first is out at the last, which takes it back.
func TestUpgrade(t *testing.T) {
	b := built{t, filepath.Join(t.TempDir(), "bendtrestle"), filepath.Join(t.TempDir(), "config.json"), t.TempDir(), free(t)}
	if out, err := exec.Command("go", "build", "-o", b.program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	os.WriteFile(b.conf, fmt.Appendf(nil, `{"listen":"%s","discovery":"%s","settings":{"limits":{"mostExecutions":3},
		"trafficTypes":[{"name":"t","effect":"retryable","promisedTime":1000000000,"hardStop":2000000000,"benefit":1}]}}`, b.listen, cache(t)), 0o600)
	p := b.start()
	var done atomic.Bool
	failed := make(chan int)
	for g := range 3 {
		go func() {
			n := 0
			for i := 0; !done.Load(); i++ {
				if !once(b.listen, fmt.Sprint("a", g, "-", i)) {
					n++
				}
				time.Sleep(2 * time.Millisecond)
			}
			failed <- n
		}()
	}
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		after := b.start()
		p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Errorf("the old process ends with %v", err)
		}
		p = after
	}
	done.Store(true)
	for range 3 {
		if n := <-failed; n > 0 {
			t.Errorf("%d operations were not answered", n)
		}
	}
	if status, text := p.call("POST", "/cache-servers/disable", "s-1"); status != http.StatusOK {
		t.Errorf("disable: %d %s", status, text)
	}
	after := b.start()
	if _, text := after.call("GET", "/metrics", ""); !strings.Contains(text, "gw.cluster_unhealthy=1\n") || once(b.listen, "b1") {
		t.Errorf("what is out is in use at the next process: %s", text)
	}
	if status, text := after.call("POST", "/cache-servers/enable", "s-1"); status != http.StatusOK || !once(b.listen, "b2") {
		t.Errorf("enable: %d %s, or it is not in use", status, text)
	}
	if _, text := after.call("GET", "/metrics", ""); !strings.Contains(text, "gw.transactions.t.answered=") {
		t.Errorf("figures: %s", text)
	}
}
