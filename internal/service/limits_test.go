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

	"bendtrestle/internal/testaddress"
)

// startListProxy listens at an address and forwards polls to a list service.
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

// isReady reports whether an admin server reports its router as ready.
func isReady(ops string) bool {
	answer, err := (&http.Client{Timeout: time.Second}).Get("http://" + ops + "/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// The process has the fewest descriptors that the configuration allows, clients that stay connected use up all
// connections of the frontend and of the admin server, and the list service is down. The reserved descriptors must
// still be free when the list service returns: it is polled, a server is dialled, the admin server answers, and a
// successor takes over.
func TestReservedDescriptorsStayFreeUnderConnectionFlood(t *testing.T) {
	const sockets = 64
	dir := t.TempDir()
	addr := testaddress.New()
	list := testaddress.New()
	program := buildRouter(t, dir)
	limits := fmt.Sprintf(`{"limits":{"sockets":%d},`, sockets)
	text := strings.Replace(fmt.Sprintf(baseConfig, addr, list), "{", limits, 1)
	os.WriteFile(filepath.Join(dir, "config.json"), []byte(text), 0o600)
	limited := fmt.Sprintf("ulimit -n %d && exec %s", sockets, program)
	waitAtMost20s := func(what string, condition func() bool) {
		t.Helper()
		for began := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
			if time.Since(began) > 20*time.Second {
				t.Fatalf("timed out waiting for %s", what)
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
	waitAtMost20s("answers to all client connections", func() bool { return lines.Load() > 4*sockets })
	startListProxy(t, list, startCacheServer(t, 0))
	waitAtMost20s("the endpoint list", func() bool { return served.Load() > 0 })
	waitAtMost20s("the admin server", func() bool { return isReady(ops) })
	waitAtMost20s("an answer of a server", func() bool { return answered.Load() > 0 })
	successor, successorOps := startProgram(t, dir, "sh", "-c", limited)
	t.Cleanup(func() {
		successor.Process.Kill()
		successor.Wait()
	})
	waitAtMost20s("a successor", func() bool { return isReady(successorOps) })
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		t.Errorf("predecessor: got %v, want exit status 0", err)
	}
}
