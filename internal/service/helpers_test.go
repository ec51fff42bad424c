package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

const baseConfig = `{"listen":"%s","discovery":"%s","settings":{"limits":{"mostExecutions":3},
	"trafficTypes":[{"name":"t","effect":"retryable","promisedTime":1000000000,"hardStop":2000000000,"benefit":1}]}}`

// assembleConfig gives a service of a configuration with places for its own address, which is free, and the list service's.
func assembleConfig(text, discovery string, log zerolog.Logger) (s *Service, addr string, err error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	addr = free.Addr().String()
	free.Close()
	conf, err := config.Parse(fmt.Appendf(nil, text, addr, discovery), func(string) string { return "" })
	if err == nil {
		s, err = assemble(Setup{Platform: conf}, requestcore.DefaultBalancer, log)
	}
	return s, addr, err
}

// startServing gives a service that serves, its address, and where its end is told.
func startServing(t *testing.T, discovery string) (_ *Service, addr string, ended chan error) {
	s, addr, err := assembleConfig(baseConfig, discovery, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	t.Cleanup(func() { s.loop.Post(s.end) }) // before the list service's, which waits for the calls that are out
	for i := 0; sendCommand(addr, "mn") != "MN"; i++ {
		if i > 500 {
			t.Fatal("it does not come to serve")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return s, addr, ended
}

// startProcess starts a process of a router at an address, which knows its list service's list from the start, if there is one; shared
// is the processes' folder.
func startProcess(t *testing.T, addr, list, shared string) (s *Service, ended chan error) {
	t.Helper()
	conf, err := config.Parse(fmt.Appendf(nil, baseConfig, addr, list), func(name string) string { return map[string]string{"TMPDIR": shared}[name] })
	if answer, other := http.Get("http://" + list + "/catalog/members"); other == nil {
		text, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		conf.Known, _ = discovery.Parse(text)
	}
	if err == nil {
		s, err = assemble(Setup{Platform: conf}, requestcore.DefaultBalancer, zerolog.Nop())
	}
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	t.Cleanup(func() { s.loop.Post(s.end) })
	return s, ended
}

// callOnLoop calls callOnLoop a service's loop and waits for it.
func callOnLoop[T any](s *Service, call func() T) T {
	got := make(chan T, 1)
	s.loop.Post(func() { got <- call() })
	return <-got
}

// waitUntil waits for a state of a service.
func waitUntil(t *testing.T, what string, s *Service, is func() bool) {
	t.Helper()
	for i := 0; !callOnLoop(s, is); i++ {
		if i > 500 {
			t.Fatalf("%s does not come", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitServing waits until it is.
func waitServing(t *testing.T, s *Service) {
	t.Helper()
	waitUntil(t, "serving", s, func() bool { return s.lifecycle.phase == Serving })
}

// startWithAdmin gives what the door calls of a service.
func startWithAdmin(t *testing.T, list string) (d *adminHandler, addr string, ended chan error) {
	addr = freeAddress(t)
	s, ended := startProcess(t, addr, list, "")
	return callOnLoop(s, func() *adminHandler { s.admin.handler = &adminHandler{service: s}; s.publish(); return s.admin.handler }), addr, ended
}

// parseOperators reads an operators' file.
func parseOperators(t *testing.T, text string) operatorconfig.File {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operators.toml")
	os.WriteFile(path, []byte(text), 0o600)
	f, err := operatorconfig.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (s *Service) runLoop(t *testing.T) {
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
}

// logBuffer is a log that is read while others write.
type logBuffer struct {
	lock sync.Mutex
	all  []byte
}

func (k *logBuffer) Write(b []byte) (int, error) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.all = append(k.all, b...)
	return len(b), nil
}

func (k *logBuffer) text() string {
	k.lock.Lock()
	defer k.lock.Unlock()
	return string(k.all)
}

// freeUDPAddress gives an address that nothing listens at.
func freeUDPAddress(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// shutDown ends a service as SIGTERM does, and waits for it.
func shutDown(t *testing.T, s *Service, ended chan error) {
	t.Helper()
	s.loop.Post(s.beginShutdown)
	select {
	case <-ended:
	case <-time.After(4 * time.Second):
		t.Fatal("it does not end")
	}
}
