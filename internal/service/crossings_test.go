package service

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// endpointList gives a list that names s-1 and s-2 at an address, the first in a state.
func endpointList(generation uint64, at, state string) discovery.List {
	l, err := discovery.Parse(fmt.Appendf(nil, `{"generation":%d,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"%s","lifecycle":"%s"},{"instanceId":"s-2","hostPort":"%[2]s","lifecycle":"ready"}]}`, generation, at, state))
	if err != nil {
		panic(err)
	}
	return l
}

// SIGHUP moves the watch while the old one's news is on its way: a drain that it tells must not be taken back by the new service's
// first list, which lags behind it.
func TestADrainOnItsWayIsNotTakenBackByAServiceThatLags(t *testing.T) {
	s, _ := startProcess(t, freeAddress(t), startCacheServer(t, 0), "")
	waitServing(t, s)
	avoided := func() bool { return s.pools.platform.core.Avoids(discovery.ID("s-1")) }
	callOnLoop(s, func() bool {
		p := s.pools.platform
		if p.watch == nil { // it has told nothing since the list that was known
			p.watch, p.nextWatch = p.nextWatch, nil
		}
		was := p.watch
		p.follow("127.0.0.1:1")
		moved := p.nextWatch
		if err := p.onList(was, endpointList(42, "127.0.0.1:2", "draining")); err != nil || !avoided() {
			t.Errorf("the drain is not taken: %v", err)
		}
		if err := p.onList(moved, endpointList(41, "127.0.0.1:2", "ready")); err == nil || !avoided() {
			t.Errorf("it is taken back: %v", err)
		}
		lags := endpointList(41, "127.0.0.1:2", "ready")
		lags.Entries[1].State = balancer.Draining
		if err := p.onList(moved, lags); err == nil || !avoided() || !p.core.Avoids(discovery.ID("s-2")) {
			t.Errorf("a drain that it tells is not heeded: %v", err)
		}
		if p.watch != was {
			t.Error("the watch before is left before the new service has told a list that counts")
		}
		moved.startedAt -= catchUpSeconds // it counts anew, then
		if err := p.onList(moved, endpointList(7, "127.0.0.1:2", "ready")); err != nil || avoided() || p.watch != moved {
			t.Errorf("the new service is never followed: %v", err)
		}
		if err := p.onList(was, endpointList(43, "127.0.0.1:2", "draining")); err != nil || avoided() {
			t.Errorf("news of a service that was left still counts: %v", err)
		}
		return true
	})
}

// configWithKnownList is usual with a list that was known at the start, and lists asked for.
var configWithKnownList = strings.Replace(baseConfig, `"settings":{`, `"known":{"generation":42,"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":"127.0.0.1:2","lifecycle":"draining"},
	{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"ready"}]},"settings":{"discovery":"on_request",`, 1)

// SIGHUP names another list service before the start's own has told anything: a drain that was known must not be taken back by one that
// lags behind the list that the process started with.
func TestAKnownDrainIsNotTakenBackByAServiceNamedBeforeTheFirstList(t *testing.T) {
	s, _, err := assembleConfig(configWithKnownList, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
	callOnLoop(s, func() bool {
		p := s.pools.platform
		p.follow("127.0.0.1:2")
		moved := p.nextWatch
		if err := p.onList(moved, endpointList(41, "127.0.0.1:2", "ready")); err == nil || !p.core.Avoids(discovery.ID("s-1")) {
			t.Errorf("the drain is taken back: %v", err)
		}
		if err := p.onList(moved, endpointList(43, "127.0.0.1:2", "ready")); err != nil || p.core.Avoids(discovery.ID("s-1")) {
			t.Errorf("a newer list is not taken: %v", err)
		}
		return true
	})
}

// SIGHUP moves the router to a list service that hangs, then turns calls away: what the one before tells counts all the while, and the
// new one is followed once it answers, both ways of asking.
func TestAMoveToAServiceThatHangs(t *testing.T) {
	for _, settings := range []string{`"settings":{`, `"settings":{"discovery":"on_request",`} {
		s, _, err := assembleConfig(strings.Replace(baseConfig, `"settings":{`, settings, 1), startCacheServer(t, 0), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go s.loop.Run()
		t.Cleanup(func() { s.loop.Post(s.end) })
		waitServing(t, s)
		var answered atomic.Int64
		calls, back := make(chan bool, 1000), make(chan bool)
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case calls <- true:
			default:
			}
			if r.URL.RawQuery != "" { // it goes on, without news
				<-r.Context().Done()
			}
			select {
			case <-back:
			case <-r.Context().Done():
				return
			}
			if answered.Add(1) == 1 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, `{"generation":51,"reset":true,"instances":[{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"draining"}]}`)
		}))
		t.Cleanup(func() { other.CloseClientConnections(); other.Close() })
		p, at := s.pools.platform, other.Listener.Addr().String()
		avoided := func() bool { return p.core.Avoids(discovery.ID("s-1")) }
		callOnLoop(s, func() bool { p.follow(at); return true })
		<-calls
		<-calls // the first hangs
		callOnLoop(s, func() bool {
			if err := p.onList(p.watch, endpointList(50, "127.0.0.1:2", "draining")); err != nil || !avoided() || p.watch.address == at {
				t.Errorf("the drain that the service before tells is not taken: %v", err)
			}
			return true
		})
		close(back)
		waitUntil(t, "the other service's list", s, func() bool { return p.watch.address == at && p.nextWatch == nil && p.core.Avoids(discovery.ID("s-2")) })
	}
}

// A disk that hangs while SIGHUP's file is read must not hide SIGTERM, however many SIGHUPs came before it.
func TestSIGTERMIsHeardWhileAFileIsRead(t *testing.T) {
	s, _, ended := startServing(t, startCacheServer(t, 0))
	signals, read := make(chan os.Signal), make(chan bool)
	defer close(read)
	go s.handleSignals(signals, func() (Setup, error) { <-read; return Setup{}, errors.New("never") })
	for range 20 {
		signals <- syscall.SIGHUP
	}
	signals <- syscall.SIGTERM
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
	close(signals)
}

// A configuration that comes after SIGTERM, or in one round with it, moves the list service and opens nothing.
func TestAConfigurationAfterTheEndBegan(t *testing.T) {
	s, _, _ := startServing(t, startCacheServer(t, 0))
	set := Setup{Platform: s.conf, Operators: operatorconfig.File{Teams: []operatorconfig.Team{{Name: "late", Listen: freeAddress(t), Budget: 1}}}}
	set.Platform.Discovery = "127.0.0.1:1"
	callOnLoop(s, func() bool {
		s.beginShutdown()
		s.reconfigure(set)
		if len(s.clients.teamListeners) > 0 || s.broker.Revision() > 0 || s.pools.platform.nextWatch == nil || s.pools.platform.nextWatch.address != "127.0.0.1:1" {
			t.Errorf("%d listeners, revision %d, it goes on to %+v", len(s.clients.teamListeners), s.broker.Revision(), s.pools.platform.nextWatch)
		}
		return true
	})
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

// The new process is told to end before the old one: the old one accepts again at once, not once the new one has finished what it has.
func TestSuccessorIsToldToEndFirst(t *testing.T) {
	held := make(chan bool)
	list := startScriptedServer(t, func(conn net.Conn, id, key string) {
		if key == "later" {
			<-held
		}
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
	addr, shared := freeAddress(t), t.TempDir()
	old, _ := startProcess(t, addr, list, shared)
	waitServing(t, old)
	heir, _ := startProcess(t, addr, list, shared)
	waitServing(t, heir)
	waitUntil(t, "the hand-over", old, func() bool { return old.restart.servingSuccessors == 1 })
	_, in := dialAndSend(t, addr, "a", "later")
	waitUntil(t, "the operation", heir, func() bool { return heir.clients.frontend.Open() == 1 })
	heir.loop.Post(heir.beginShutdown)
	waitUntil(t, "the end's second part", heir, func() bool { return heir.lifecycle.phase == Finishing })
	if got := sendCommand(addr, "mg k v Ob Pc=t,d=1900"); got != "VA 2 Ob" || callOnLoop(heir, func() Phase { return heir.lifecycle.phase }) != Finishing {
		t.Errorf("while the new process finishes it answers %q", got)
	}
	callOnLoop(old, func() bool {
		if old.restart.processesBeside != 1 {
			t.Error("the old process takes all places while the new one still has connections")
		}
		return true
	})
	close(held)
	if line, _ := in.ReadString('\n'); line != "VA 2 Oa h1\r\n" && line != "VA 2 Oa\r\n" {
		t.Errorf("what the new process had taken is answered %q", line)
	}
}

// The old process is told to end before the new one is ready: the new one answers at once, if only that it starts, not once the old one has
// finished what it has.
func TestPredecessorIsToldToEndBeforeTheSuccessorIsReady(t *testing.T) {
	held := make(chan bool)
	defer close(held)
	list := startScriptedServer(t, func(conn net.Conn, id, key string) {
		<-held
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
	addr, shared := freeAddress(t), t.TempDir()
	old, _ := startProcess(t, addr, list, shared)
	waitServing(t, old)
	heir, _ := startProcess(t, addr, "127.0.0.1:1", shared) // its list service does not answer
	waitUntil(t, "the new process's question", old, func() bool { return old.restart.processesBeside == 1 })
	dialAndSend(t, addr, "a", "later")
	waitUntil(t, "the operation", old, func() bool { return old.clients.frontend.Open() == 1 })
	old.loop.Post(old.beginShutdown)
	waitUntil(t, "the end's second part", old, func() bool { return old.lifecycle.phase == Finishing })
	if got := sendCommand(addr, "mn"); got != "SERVER_ERROR starting" || callOnLoop(old, func() Phase { return old.lifecycle.phase }) != Finishing {
		t.Errorf("while the old process finishes it answers %q", got)
	}
	if callOnLoop(heir, func() int { return heir.restart.processesBeside }) != 1 {
		t.Error("the new process takes all places while the old one still has connections")
	}
}

// A generation that is told again with other entries counts; one that starts again at 0 counts once the service has had time to catch up.
func TestGenerationsThatRepeatAndStartAgain(t *testing.T) {
	s, _, _ := startServing(t, startCacheServer(t, 0))
	callOnLoop(s, func() bool {
		p := s.pools.platform
		for i, c := range []struct {
			generation uint64
			state      string
			avoided    bool
		}{{42, "ready", false}, {42, "draining", true}, {42, "ready", false}, {0, "draining", true}} {
			p.watch.startedAt -= catchUpSeconds
			if err := p.onList(p.watch, endpointList(c.generation, "127.0.0.1:2", c.state)); err != nil || p.core.Avoids(discovery.ID("s-1")) != c.avoided {
				t.Errorf("list %d: %v, avoided %v", i, err, !c.avoided)
			}
		}
		return true
	})
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

// The new process dies after it took the sockets and before it is ready: the old one never stopped, and has all places again.
func TestSuccessorDiesBeforeItIsReady(t *testing.T) {
	addr, shared := freeAddress(t), t.TempDir()
	old, _ := startProcess(t, addr, startCacheServer(t, 0), shared)
	waitServing(t, old)
	heir, gone := startProcess(t, addr, "127.0.0.1:1", shared)
	waitUntil(t, "the new process's question", old, func() bool { return old.restart.processesBeside == 1 })
	callOnLoop(heir, func() bool { heir.disconnectOtherProcesses(); heir.loop.Stop(); return true }) // as its kernel does for it
	<-gone
	waitUntil(t, "its end", old, func() bool { return old.restart.processesBeside == 0 })
	if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" || old.restart.servingSuccessors != 0 {
		t.Errorf("then the old one answers %q", got)
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
