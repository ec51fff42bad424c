package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// closeWriteAndWait closeWriteAndWait a client's sending and waits until the other side's kernel knows.
func closeWriteAndWait(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.(*net.TCPConn).CloseWrite()
	raw, _ := conn.(*net.TCPConn).SyscallConn()
	const finWait2, closed = 5, 7 // of the kernel's states; closed: it was even answered by a reset
	for state := uint8(0); state != finWait2 && state != closed; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		})
	}
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

// startLoad asks on ever new connections until it is stopped; then all must have been answered, and many.
func startLoad(t *testing.T, addr string) (stop func()) {
	var done, asked atomic.Int64
	var all sync.WaitGroup
	for range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			for done.Load() == 0 {
				if got := sendCommand(addr, fmt.Sprintf("mg k v Ol%d Pc=t,d=1900", asked.Add(1))); !strings.HasPrefix(got, "VA") {
					t.Errorf("under load it answers %q", got)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	end := func() { done.Store(1); all.Wait() }
	t.Cleanup(end) // also where the test fails before: what it would tell afterwards would end the whole program
	return func() {
		if end(); asked.Load() < 100 {
			t.Errorf("only %d were asked", asked.Load())
		}
	}
}

// startClient asks on one connection, one command after another, and without a pause one ahead; it tells when the connection is closed, and
// if that cut an answer.
func startClient(t *testing.T, addr, name string, pause time.Duration) (ended chan error) {
	ended = make(chan error, 1)
	key := "short"
	if pause == 0 {
		key = "later"
	}
	conn, in := dialAndSend(t, addr, name, key)
	go func() {
		if pause == 0 { // answers and commands cross
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintf(conn, "mg later v O%s- Pc=t,d=1900\r\n", name)
		}
		for i := 0; ; i++ {
			line, err := in.ReadString('\n')
			if err == nil && strings.HasPrefix(line, "VA") {
				_, err = in.ReadString('\n')
			}
			if err != nil && line != "" {
				ended <- fmt.Errorf("cut in %q", line)
			}
			if err != nil {
				ended <- nil
				return
			}
			time.Sleep(pause)
			fmt.Fprintf(conn, "mg %s v O%s%d Pc=t,d=1900\r\n", key, name, i)
		}
	}()
	return ended
}

// dialAndSend gives a connection on which a key was asked for; without one, nothing was.
func dialAndSend(t *testing.T, addr, id, key string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(15 * time.Second))
	if key != "" {
		fmt.Fprintf(conn, "mg %s v O%s Pc=t,d=1900\r\n", key, id)
	}
	return conn, bufio.NewReader(conn)
}

// fleetSizeRecorder is a module that keeps how many routers it was told of.
type fleetSizeRecorder struct {
	requestcore.Balancer
	sizes []int
}

func (c *fleetSizeRecorder) SetFleetSize(now float64, n int) {
	c.sizes = append(c.sizes, n)
	c.Balancer.SetFleetSize(now, n)
}
