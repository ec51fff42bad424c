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
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startListProxy listens at an address and passes polls on to a list service.
func startListProxy(t *testing.T, addr, discovery string) {
	t.Helper()
	target, _ := url.Parse("http://" + discovery)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: proxy}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
}

// answersReady reports whether an admin server says that its router is ready.
func answersReady(ops string) bool {
	answer, err := (&http.Client{Timeout: time.Second}).Get("http://" + ops + "/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// With the fewest descriptors that the configuration allows, all connections of clients and of the admin server
// taken by callers that say nothing more, and the list service down, what is reserved is there once the list
// service returns: its poll gets a descriptor and a server is dialled, the admin server answers, and a successor
// takes over.
func TestReservedDescriptorsAreFreeInACrowd(t *testing.T) {
	const sockets = 64
	dir := t.TempDir()
	addr := freeAddress(t)
	list := freeAddress(t)
	program := buildRouter(t, dir)
	limits := fmt.Sprintf(`{"limits":{"sockets":%d},`, sockets)
	text := strings.Replace(fmt.Sprintf(baseConfig, addr, list), "{", limits, 1)
	os.WriteFile(filepath.Join(dir, "config.json"), []byte(text), 0o600)
	limited := fmt.Sprintf("ulimit -n %d && exec %s", sockets, program)
	within := func(what string, is func() bool) {
		t.Helper()
		for began := time.Now(); !is(); time.Sleep(20 * time.Millisecond) {
			if time.Since(began) > 20*time.Second {
				t.Fatalf("%s does not come", what)
			}
		}
	}
	process, ops := startProgram(t, dir, "sh", "-c", limited)
	t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	done := make(chan bool)
	defer close(done)
	var sent, lines, served, answered atomic.Int64
	commands := func() string { return fmt.Sprintf("mn\r\nmg k v Oc%d Pc=t,d=1900\r\n", sent.Add(1)) }
	keepConnections(addr, commands, 4*sockets, done, func(line string) {
		lines.Add(1)
		switch {
		case line == "MN\r\n":
			served.Add(1)
		case strings.HasPrefix(line, "VA "):
			answered.Add(1)
		}
	})
	keepConnections(ops, func() string { return "" }, 2*sockets, done, func(string) {})
	within("the crowd", func() bool { return lines.Load() > 4*sockets })
	startListProxy(t, list, startCacheServer(t, 0))
	within("the list", func() bool { return served.Load() > 0 })
	within("the admin server's answer", func() bool { return answersReady(ops) })
	within("an answer of a server", func() bool { return answered.Load() > 0 })
	successor, successorOps := startProgram(t, dir, "sh", "-c", limited)
	t.Cleanup(func() {
		successor.Process.Kill()
		successor.Wait()
	})
	within("a successor", func() bool { return answersReady(successorOps) })
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		t.Errorf("the predecessor ends with %v", err)
	}
}
