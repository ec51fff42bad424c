package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/config"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// From start to exit: it serves, goes on accepting for a while once told to end, finishes what it has taken,
// and ends by itself.
func TestFromStartToExit(t *testing.T) {
	s, addr, ended := startServing(t, startCacheServer(t, 700*time.Millisecond)) // longer than new connections are taken
	if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" {
		t.Errorf("serving, it answers %q", got)
	}
	s.loop.Post(s.beginShutdown)
	if got := sendCommand(addr, secondGet); got != "VA 2 Oa2" {
		t.Errorf("leaving, it answers %q", got)
	}
	select {
	case err := <-ended:
		if err != nil || s.lifecycle.phase != Ended {
			t.Errorf("it ended %s, %v", s.lifecycle.phase, err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it does not end")
	}
	if got := sendCommand(addr, firstGet); got != "no connection" {
		t.Errorf("ended, it answers %q", got)
	}
}

// A client that keeps its connection and sends nothing does not keep the router from ending.
func TestIdleClientDoesNotHoldTheEnd(t *testing.T) {
	s, addr, ended := startServing(t, startCacheServer(t, 0))
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	start := time.Now()
	s.loop.Post(s.beginShutdown)
	<-ended
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("it took %v to end", took)
	}
}

// Without a list it takes what comes, declines it and is not yet said to serve; the list's silence later
// changes nothing.
func TestStarting(t *testing.T) {
	s, addr, err := assembleConfig(baseConfig, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	if got := sendCommand(addr, "mn"); got != "SERVER_ERROR starting" {
		t.Errorf("starting, mn is answered %q", got)
	}
	if got := sendCommand(addr, firstGet); got != "SERVER_ERROR busy" {
		t.Errorf("starting, it answers %q", got)
	}
	s.loop.Post(s.end)
}

// Every cache server hangs, and a traffic type has no hard stop: what is still open when the process must end has its answer first, and
// all of that can be read.
func TestAllThatIsOpenAtTheEndIsAnswered(t *testing.T) {
	list := startScriptedServer(t, func(net.Conn, string, string) {})
	s, addr, err := assembleConfig(strings.Replace(baseConfig, `"hardStop":2000000000,`, "", 1), list, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	waitServing(t, s)
	conn, in := dialAndSend(t, addr, "a", "")
	fmt.Fprintf(conn, "mg k1 v Oa Pc=t,d=60000\r\nmg k2 v Ob Pc=t,d=60000\r\n")
	waitUntil(t, "both operations", s, func() bool { return s.clients.frontend.Open() == 2 })
	s.loop.Post(s.beginShutdown)
	waitUntil(t, "the end's second part", s, func() bool { return s.lifecycle.phase == Finishing })
	fmt.Fprintf(conn, "mg k3 v Oc Pc=t,d=60000\r\nmg and then nothing") // half a command does not hold up the end either
	all, err := io.ReadAll(in)
	if lines := strings.Split(string(all), "\r\n"); err != nil || len(lines) != 4 || strings.Count(string(all), "SERVER_ERROR ") != 3 {
		t.Errorf("three operations were answered by %q, %v", all, err)
	}
	<-ended
}

// Told to end before it is ready, and twice, it ends by itself.
func TestToldToEndBeforeItIsReady(t *testing.T) {
	s, addr, err := assembleConfig(baseConfig, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	callOnLoop(s, func() bool {
		s.beginShutdown()
		s.beginShutdown()
		s.pools.platform.nextWatch = &endpointWatch{stop: func() {}}
		return s.pools.platform.onList(s.pools.platform.nextWatch, endpointList(1, "127.0.0.1:2", "ready")) == nil // the list comes after all
	})
	if got := sendCommand(addr, "mn"); got == "MN" {
		t.Error("a process that ends says that it serves")
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
}

// A client stands in the backlog, with its command, as the listener is closed: it is accepted and answered.
func TestABacklogAsTheListenerCloses(t *testing.T) {
	s, addr, _ := startServing(t, startCacheServer(t, 0))
	var in *bufio.Reader
	callOnLoop(s, func() bool {
		for range 20 {
			_, in = dialAndSend(t, addr, "a", "short")
		}
		s.lifecycle.phase = Leaving
		s.finish()
		return true
	})
	if line, err := in.ReadString('\n'); line != "VA 2 Oa\r\n" && !strings.HasPrefix(line, "CLIENT_ERROR the id") {
		t.Errorf("the last of them reads %q, %v", line, err)
	}
}

// timeLeftRecorder notes how long operations may take.
type timeLeftRecorder struct {
	requestcore.Balancer
	left chan float64
}

func (s timeLeftRecorder) OnRequest(now float64, id uint64, kind, realm, key string, left float64) {
	s.left <- left
	s.Balancer.OnRequest(now, id, kind, realm, key, left)
}

// What is taken once the process is told to end is given no more time than the process has.
func TestRequestsDuringShutdownGetNoMoreTimeThanIsLeft(t *testing.T) {
	left := make(chan float64, 10)
	addr := freeAddress(t)
	conf, err := config.Parse(fmt.Appendf(nil, strings.Replace(baseConfig, `"hardStop":2000000000,`, "", 1), addr, startCacheServer(t, 0)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, err := assemble(Setup{Platform: conf}, func(now float64, set balancer.Settings, host balancer.Host) requestcore.Balancer {
		return timeLeftRecorder{requestcore.DefaultBalancer(now, set, host), left}
	}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
	callOnLoop(s, func() bool { s.beginShutdown(); return true })
	sendCommand(addr, "mg k v Oa Pc=t,d=60000")
	if got := <-left; got > defaultClientWaitSeconds+killMarginSeconds {
		t.Errorf("it may take %v s", got)
	}
}

// panickingLog is a log that fails once, at a line of the loop's own.
type panickingLog struct{ failed atomic.Bool }

func (f *panickingLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), `"message":"list"`) && f.failed.CompareAndSwap(false, true) {
		panic("no such line")
	}
	return len(line), nil
}

// A callback that fails does not end the process: it serves, and ends when it is told to.
func TestACallbackFailsAndTheProcessServes(t *testing.T) {
	procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	defer runtime.GOMAXPROCS(procs)
	defer debug.SetMemoryLimit(memory)
	addr, log := freeAddress(t), &panickingLog{}
	conf, err := config.Parse(fmt.Appendf(nil, baseConfig, addr, startCacheServer(t, 0)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		ended <- Run(Setup{Platform: conf}, signals, requestcore.DefaultBalancer, nil, zerolog.New(log))
	}()
	for i := 0; sendCommand(addr, firstGet) != "VA 2 Oa1" && i < 500; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	if got := sendCommand(addr, secondGet); got != "VA 2 Oa2" || !log.failed.Load() {
		t.Errorf("it answers %q, a callback has failed: %v", got, log.failed.Load())
	}
	signals <- syscall.SIGTERM
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
}
