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
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// withoutDeadline is baseConfig with a traffic class that has no deadline.
var withoutDeadline = strings.Replace(baseConfig, `"hardStop":2000000000,`, "", 1)

// The router serves, accepts connections for a while after the shutdown has begun, completes the requests in flight,
// and ends by itself.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	// An answer takes longer than connections are accepted in a shutdown.
	s, addr, ended := startServing(t, startCacheServer(t, 700*time.Millisecond))
	if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" {
		t.Errorf("serving: got %q, want VA 2 Oa1", got)
	}
	s.loop.Post(s.beginShutdown)
	if got := sendCommand(addr, secondGet); got != "VA 2 Oa2" {
		t.Errorf("leaving: got %q, want VA 2 Oa2", got)
	}
	select {
	case err := <-ended:
		if err != nil || s.lifecycle.phase != Ended {
			t.Errorf("got the phase %s and %v, want ended and no error", s.lifecycle.phase, err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the router has not ended within 5 s")
	}
	if got := sendCommand(addr, firstGet); got != "no connection" {
		t.Errorf("ended: got %q, want no connection", got)
	}
}

// A client that keeps its connection open and sends nothing must not delay the end of the router.
func TestIdleClientDoesNotDelayShutdown(t *testing.T) {
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
		t.Errorf("the shutdown took %v, want 2 s at most", took)
	}
}

// Without an endpoint list the router accepts connections, rejects requests and fails health checks.
func TestStartingRouterRejectsRequests(t *testing.T) {
	s, addr, err := assembleConfig(baseConfig, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	if got := sendCommand(addr, "mn"); got != "SERVER_ERROR starting" {
		t.Errorf("starting: mn got %q, want SERVER_ERROR starting", got)
	}
	if got := sendCommand(addr, firstGet); got != "SERVER_ERROR busy" {
		t.Errorf("starting: got %q, want SERVER_ERROR busy", got)
	}
	s.loop.Post(s.end)
}

// Every cache server hangs, and a traffic class has no deadline. The requests that are still open when the process must
// end get an answer first, and clients can read all answers.
func TestOpenRequestsAreAnsweredAtTheShutdownDeadline(t *testing.T) {
	list := startScriptedServer(t, func(net.Conn, string, string) {})
	s, addr, err := assembleConfig(withoutDeadline, list, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	waitServing(t, s)
	conn, in := dialAndSend(t, addr, "a", "")
	fmt.Fprintf(conn, "mg k1 v Oa Pc=t,d=60000\r\nmg k2 v Ob Pc=t,d=60000\r\n")
	waitUntil(t, "both requests", s, func() bool { return s.clients.frontend.OpenRequests() == 2 })
	s.loop.Post(s.beginShutdown)
	waitUntil(t, "the phase finishing", s, func() bool { return s.lifecycle.phase == Finishing })
	// Half a command must not delay the end either.
	fmt.Fprintf(conn, "mg k3 v Oc Pc=t,d=60000\r\nmg and then nothing")
	all, err := io.ReadAll(in)
	lines := strings.Split(string(all), "\r\n")
	if err != nil || len(lines) != 4 || strings.Count(string(all), "SERVER_ERROR ") != 3 {
		t.Errorf("three requests: got %q, %v, want three error lines and the end", all, err)
	}
	<-ended
}

// The router is shut down before it is ready, and twice. It must end by itself, even if an endpoint list arrives in
// between.
func TestShutdownWhileStarting(t *testing.T) {
	s, addr, err := assembleConfig(baseConfig, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	runOnLoop(s, func() {
		platform := s.pools.platform
		s.beginShutdown()
		s.beginShutdown()
		platform.nextWatch = &endpointWatch{stop: func() {}}
		platform.onList(platform.nextWatch, endpointList(1, "127.0.0.1:2", "ready"))
	})
	if got := sendCommand(addr, "mn"); got == "MN" {
		t.Error("the health check succeeds during the shutdown")
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the router has not ended within 10 s")
	}
}

// Clients that have sent their commands are still in the listener's backlog when the listener is closed. They must be
// accepted and answered.
func TestListenBacklogIsServedWhenTheListenerCloses(t *testing.T) {
	s, addr, _ := startServing(t, startCacheServer(t, 0))
	var in *bufio.Reader
	runOnLoop(s, func() {
		for range 20 {
			_, in = dialAndSend(t, addr, "a", "short")
		}
		s.lifecycle.phase = Leaving
		s.finish()
	})
	line, err := in.ReadString('\n')
	if line != "VA 2 Oa\r\n" && !strings.HasPrefix(line, "CLIENT_ERROR the id") {
		t.Errorf("last client: got %q, %v, want an answer", line, err)
	}
}

// timeLeftRecorder is a balancer that records how long each request may take, in seconds.
type timeLeftRecorder struct {
	requestcore.Balancer
	left chan float64
}

func (r timeLeftRecorder) OnRequest(now float64, id uint64, class, tenant, key string, left float64) {
	r.left <- left
	r.Balancer.OnRequest(now, id, class, tenant, key, left)
}

// A request that arrives during the shutdown must not get a deadline after the end of the process, even if its client
// would wait longer.
func TestRequestsDuringShutdownEndByItsDeadline(t *testing.T) {
	left := make(chan float64, 10)
	addr := testaddress.New()
	conf := parseConfig(t, withoutDeadline, addr, startCacheServer(t, 0), "")
	newBalancer := func(now float64, settings balancer.Settings, host balancer.Host) requestcore.Balancer {
		return timeLeftRecorder{requestcore.DefaultBalancer(now, settings, host), left}
	}
	s, err := assemble(Setup{Platform: conf}, newBalancer, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runLoop(t)
	runOnLoop(s, s.beginShutdown)
	sendCommand(addr, "mg k v Oa Pc=t,d=60000")
	if got := <-left; got > defaultClientWaitSeconds+killMarginSeconds {
		t.Errorf("got a time of %v s, want no more than the process has", got)
	}
}

// panickingLog is a log that panics once, at a line that is logged on the loop.
type panickingLog struct{ panicked atomic.Bool }

func (l *panickingLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), `"message":"list"`) && l.panicked.CompareAndSwap(false, true) {
		panic("no such line")
	}
	return len(line), nil
}

// A callback on the loop panics. The process must keep serving, and shut down as usual at SIGTERM.
func TestProcessServesAfterPanicInCallback(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	addr := testaddress.New()
	log := &panickingLog{}
	conf := parseConfig(t, baseConfig, addr, startCacheServer(t, 0), "")
	signals := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- Run(Setup{Platform: conf}, signals, requestcore.DefaultBalancer, nil, zerolog.New(log))
	}()
	for i := 0; sendCommand(addr, firstGet) != "VA 2 Oa1" && i < 500; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	if got := sendCommand(addr, secondGet); got != "VA 2 Oa2" || !log.panicked.Load() {
		t.Errorf("got %q with a panic %v, want VA 2 Oa2 and true", got, log.panicked.Load())
	}
	signals <- syscall.SIGTERM
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the router has not ended within 10 s")
	}
}
