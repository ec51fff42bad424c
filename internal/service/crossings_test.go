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

// members gives a list that names s-1 and s-2 at an address, the first in a state.
func members(generation uint64, at, state string) discovery.EndpointList {
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
	s, _ := next(t, freeAddress(t), fleet(t, 0), "")
	serving(t, s)
	avoided := func() bool { return s.platform.router.Avoids(discovery.ID("s-1")) }
	on(s, func() bool {
		p := s.platform
		if p.watch == nil { // it has told nothing since the list that was known
			p.watch, p.next = p.next, nil
		}
		was := p.watch
		p.follow("127.0.0.1:1")
		moved := p.next
		if err := p.news(was, members(42, "127.0.0.1:2", "draining")); err != nil || !avoided() {
			t.Errorf("the drain is not taken: %v", err)
		}
		if err := p.news(moved, members(41, "127.0.0.1:2", "ready")); err == nil || !avoided() {
			t.Errorf("it is taken back: %v", err)
		}
		lags := members(41, "127.0.0.1:2", "ready")
		lags.Instances[1].State = balancer.Draining
		if err := p.news(moved, lags); err == nil || !avoided() || !p.router.Avoids(discovery.ID("s-2")) {
			t.Errorf("a drain that it tells is not heeded: %v", err)
		}
		if p.watch != was {
			t.Error("the watch before is left before the new service has told a list that counts")
		}
		moved.since -= catchUp // it counts anew, then
		if err := p.news(moved, members(7, "127.0.0.1:2", "ready")); err != nil || avoided() || p.watch != moved {
			t.Errorf("the new service is never followed: %v", err)
		}
		if err := p.news(was, members(43, "127.0.0.1:2", "draining")); err != nil || avoided() {
			t.Errorf("news of a service that was left still counts: %v", err)
		}
		return true
	})
}

// listed is usual with a list that was known at the start, and lists asked for.
var listed = strings.Replace(usual, `"settings":{`, `"known":{"generation":42,"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":"127.0.0.1:2","lifecycle":"draining"},
	{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"ready"}]},"settings":{"discovery":"on_request",`, 1)

// SIGHUP names another list service before the start's own has told anything: a drain that was known must not be taken back by one that
// lags behind the list that the process started with.
func TestAKnownDrainIsNotTakenBackByAServiceNamedBeforeTheFirstList(t *testing.T) {
	s, _, err := assembled(listed, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
	on(s, func() bool {
		p := s.platform
		p.follow("127.0.0.1:2")
		moved := p.next
		if err := p.news(moved, members(41, "127.0.0.1:2", "ready")); err == nil || !p.router.Avoids(discovery.ID("s-1")) {
			t.Errorf("the drain is taken back: %v", err)
		}
		if err := p.news(moved, members(43, "127.0.0.1:2", "ready")); err != nil || p.router.Avoids(discovery.ID("s-1")) {
			t.Errorf("a newer list is not taken: %v", err)
		}
		return true
	})
}

// SIGHUP moves the router to a list service that hangs, then turns calls away: what the one before tells counts all the while, and the
// new one is followed once it answers, both ways of asking.
func TestAMoveToAServiceThatHangs(t *testing.T) {
	for _, settings := range []string{`"settings":{`, `"settings":{"discovery":"on_request",`} {
		s, _, err := assembled(strings.Replace(usual, `"settings":{`, settings, 1), fleet(t, 0), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go s.loop.Run()
		t.Cleanup(func() { s.loop.Post(s.end) })
		serving(t, s)
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
		p, at := s.platform, other.Listener.Addr().String()
		avoided := func() bool { return p.router.Avoids(discovery.ID("s-1")) }
		on(s, func() bool { p.follow(at); return true })
		<-calls
		<-calls // the first hangs
		on(s, func() bool {
			if err := p.news(p.watch, members(50, "127.0.0.1:2", "draining")); err != nil || !avoided() || p.watch.addr == at {
				t.Errorf("the drain that the service before tells is not taken: %v", err)
			}
			return true
		})
		close(back)
		until(t, "the other service's list", s, func() bool { return p.watch.addr == at && p.next == nil && p.router.Avoids(discovery.ID("s-2")) })
	}
}

// A disk that hangs while SIGHUP's file is read must not hide SIGTERM, however many SIGHUPs came before it.
func TestSIGTERMIsHeardWhileAFileIsRead(t *testing.T) {
	s, _, ended := running(t, fleet(t, 0))
	signals, read := make(chan os.Signal), make(chan bool)
	defer close(read)
	go s.obey(signals, func() (Setup, error) { <-read; return Setup{}, errors.New("never") })
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
	s, _, _ := running(t, fleet(t, 0))
	set := Setup{Platform: s.conf, Operators: operatorconfig.File{Teams: []operatorconfig.Team{{Name: "late", Listen: freeAddress(t), Budget: 1}}}}
	set.Platform.Discovery = "127.0.0.1:1"
	on(s, func() bool {
		s.leave()
		s.reconfigure(set)
		if len(s.listeners) > 0 || s.broker.Revision() > 0 || s.platform.next == nil || s.platform.next.addr != "127.0.0.1:1" {
			t.Errorf("%d listeners, revision %d, it goes on to %+v", len(s.listeners), s.broker.Revision(), s.platform.next)
		}
		return true
	})
}

// Every cache server hangs, and a traffic type has no hard stop: what is still open when the process must end has its answer first, and
// all of that can be read.
func TestAllThatIsOpenAtTheEndIsAnswered(t *testing.T) {
	list := giving(t, func(net.Conn, string, string) {})
	s, addr, err := assembled(strings.Replace(usual, `"hardStop":2000000000,`, "", 1), list, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	serving(t, s)
	conn, in := asking(t, addr, "a", "")
	fmt.Fprintf(conn, "mg k1 v Oa Pc=t,d=60000\r\nmg k2 v Ob Pc=t,d=60000\r\n")
	until(t, "both operations", s, func() bool { return s.front.Open() == 2 })
	s.loop.Post(s.leave)
	until(t, "the end's second part", s, func() bool { return s.phase == Finishing })
	fmt.Fprintf(conn, "mg k3 v Oc Pc=t,d=60000\r\nmg and then nothing") // half a command does not hold up the end either
	all, err := io.ReadAll(in)
	if lines := strings.Split(string(all), "\r\n"); err != nil || len(lines) != 4 || strings.Count(string(all), "SERVER_ERROR ") != 3 {
		t.Errorf("three operations were answered by %q, %v", all, err)
	}
	<-ended
}

// The new process is told to end before the old one: the old one accepts again at once, not once the new one has finished what it has.
func TestTheNewProcessIsToldToEndFirst(t *testing.T) {
	held := make(chan bool)
	list := giving(t, func(conn net.Conn, id, key string) {
		if key == "later" {
			<-held
		}
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
	addr, shared := freeAddress(t), t.TempDir()
	old, _ := next(t, addr, list, shared)
	serving(t, old)
	heir, _ := next(t, addr, list, shared)
	serving(t, heir)
	until(t, "the hand-over", old, func() bool { return old.heirs == 1 })
	_, in := asking(t, addr, "a", "later")
	until(t, "the operation", heir, func() bool { return heir.front.Open() == 1 })
	heir.loop.Post(heir.leave)
	until(t, "the end's second part", heir, func() bool { return heir.phase == Finishing })
	if got := ask(addr, "mg k v Ob Pc=t,d=1900"); got != "VA 2 Ob" || on(heir, func() Phase { return heir.phase }) != Finishing {
		t.Errorf("while the new process finishes it answers %q", got)
	}
	on(old, func() bool {
		if old.beside != 1 {
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
func TestTheOldProcessIsToldToEndBeforeTheNewOneIsReady(t *testing.T) {
	held := make(chan bool)
	defer close(held)
	list := giving(t, func(conn net.Conn, id, key string) {
		<-held
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
	addr, shared := freeAddress(t), t.TempDir()
	old, _ := next(t, addr, list, shared)
	serving(t, old)
	heir, _ := next(t, addr, "127.0.0.1:1", shared) // its list service does not answer
	until(t, "the new process's question", old, func() bool { return old.beside == 1 })
	asking(t, addr, "a", "later")
	until(t, "the operation", old, func() bool { return old.front.Open() == 1 })
	old.loop.Post(old.leave)
	until(t, "the end's second part", old, func() bool { return old.phase == Finishing })
	if got := ask(addr, "mn"); got != "SERVER_ERROR starting" || on(old, func() Phase { return old.phase }) != Finishing {
		t.Errorf("while the old process finishes it answers %q", got)
	}
	if on(heir, func() int { return heir.beside }) != 1 {
		t.Error("the new process takes all places while the old one still has connections")
	}
}

// A generation that is told again with other entries counts; one that starts again at 0 counts once the service has had time to catch up.
func TestGenerationsThatRepeatAndStartAgain(t *testing.T) {
	s, _, _ := running(t, fleet(t, 0))
	on(s, func() bool {
		p := s.platform
		for i, c := range []struct {
			generation uint64
			state      string
			avoided    bool
		}{{42, "ready", false}, {42, "draining", true}, {42, "ready", false}, {0, "draining", true}} {
			p.watch.since -= catchUp
			if err := p.news(p.watch, members(c.generation, "127.0.0.1:2", c.state)); err != nil || p.router.Avoids(discovery.ID("s-1")) != c.avoided {
				t.Errorf("list %d: %v, avoided %v", i, err, !c.avoided)
			}
		}
		return true
	})
}

// Told to end before it is ready, and twice, it ends by itself.
func TestToldToEndBeforeItIsReady(t *testing.T) {
	s, addr, err := assembled(usual, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	on(s, func() bool {
		s.leave()
		s.leave()
		s.platform.next = &watch{stop: func() {}}
		return s.platform.news(s.platform.next, members(1, "127.0.0.1:2", "ready")) == nil // the list comes after all
	})
	if got := ask(addr, "mn"); got == "MN" {
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
	s, addr, _ := running(t, fleet(t, 0))
	var in *bufio.Reader
	on(s, func() bool {
		for range 20 {
			_, in = asking(t, addr, "a", "short")
		}
		s.phase = Leaving
		s.finish()
		return true
	})
	if line, err := in.ReadString('\n'); line != "VA 2 Oa\r\n" && !strings.HasPrefix(line, "CLIENT_ERROR the id") {
		t.Errorf("the last of them reads %q, %v", line, err)
	}
}

// The new process dies after it took the sockets and before it is ready: the old one never stopped, and has all places again.
func TestTheNewProcessDiesBeforeItIsReady(t *testing.T) {
	addr, shared := freeAddress(t), t.TempDir()
	old, _ := next(t, addr, fleet(t, 0), shared)
	serving(t, old)
	heir, gone := next(t, addr, "127.0.0.1:1", shared)
	until(t, "the new process's question", old, func() bool { return old.beside == 1 })
	on(heir, func() bool { heir.part(); heir.loop.Stop(); return true }) // as its kernel does for it
	<-gone
	until(t, "its end", old, func() bool { return old.beside == 0 })
	if got := ask(addr, read); got != "VA 2 Oa1" || old.heirs != 0 {
		t.Errorf("then the old one answers %q", got)
	}
}

// spy notes how long operations may take.
type spy struct {
	requestcore.Balancer
	left chan float64
}

func (s spy) OnRequest(now float64, id uint64, kind, realm, key string, left float64) {
	s.left <- left
	s.Balancer.OnRequest(now, id, kind, realm, key, left)
}

// What is taken once the process is told to end is given no more time than the process has.
func TestWhatIsTakenOnceToldToEndMayTakeNoLongerThanThat(t *testing.T) {
	left := make(chan float64, 10)
	addr := freeAddress(t)
	conf, err := config.Parse(fmt.Appendf(nil, strings.Replace(usual, `"hardStop":2000000000,`, "", 1), addr, fleet(t, 0)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, err := assemble(Setup{Platform: conf}, func(now float64, set balancer.Settings, host balancer.Host) requestcore.Balancer {
		return spy{requestcore.DefaultBalancer(now, set, host), left}
	}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
	on(s, func() bool { s.leave(); return true })
	ask(addr, "mg k v Oa Pc=t,d=60000")
	if got := <-left; got > unstated+margin {
		t.Errorf("it may take %v s", got)
	}
}

// failing is a log that fails once, at a line of the loop's own.
type failing struct{ failed atomic.Bool }

func (f *failing) Write(line []byte) (int, error) {
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
	addr, log := freeAddress(t), &failing{}
	conf, err := config.Parse(fmt.Appendf(nil, usual, addr, fleet(t, 0)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		ended <- Run(Setup{Platform: conf}, signals, requestcore.DefaultBalancer, nil, zerolog.New(log))
	}()
	for i := 0; ask(addr, read) != "VA 2 Oa1" && i < 500; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	if got := ask(addr, again); got != "VA 2 Oa2" || !log.failed.Load() {
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
