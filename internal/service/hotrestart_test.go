package service

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
)

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

// waitHandedOver waits until a process has been followed by another.
func waitHandedOver(t *testing.T, s *Service) {
	t.Helper()
	waitUntil(t, "the old one's halt", s, func() bool { return s.restart.servingSuccessors == 1 && !s.acceptsClients() })
}

// Under load, all in a row: one that follows dies before its yes, by SIGTERM; one after it; two follow at once and one of them goes; the
// last follows a process in a drain, and takes clients. Nothing is refused, reset or left unread, and limits are shared.
func TestHotRestartsUnderLoad(t *testing.T) {
	list, shared, addr := startCacheServer(t, time.Millisecond), t.TempDir(), freeAddress(t)
	s, ended := startProcess(t, addr, list, shared)
	waitServing(t, s)
	stop := startLoad(t, addr)
	early, earlyEnded := startProcess(t, addr, "127.0.0.1:1", shared) // it never has a list
	waitUntil(t, "the old one's notice", s, func() bool { return s.restart.processesBeside == 1 && s.processLimits().Clients < s.conf.Clients })
	shutDown(t, early, earlyEnded)
	late, lateEnded := startProcess(t, addr, list, shared)
	waitHandedOver(t, s)
	waitUntil(t, "half of the limits", late, func() bool { return late.processLimits().Clients < late.conf.Clients })
	shutDown(t, late, lateEnded)
	waitUntil(t, "the old one's return", s, func() bool { return s.acceptsClients() && s.processLimits().Clients == s.conf.Clients })
	one, oneEnded := startProcess(t, addr, list, shared)
	waitHandedOver(t, s)
	two, twoEnded := startProcess(t, addr, list, shared)
	waitHandedOver(t, one)
	shutDown(t, one, oneEnded)
	shutDown(t, s, ended)
	waitUntil(t, "the whole limits", two, func() bool { return two.processLimits().Clients == two.conf.Clients && two.acceptsClients() })
	stop()
	callOnLoop(two, func() error { return two.setDraining(true) })
	last, _ := startProcess(t, addr, list, shared)
	waitHandedOver(t, two)
	for range 20 { // the one in a drain accepts no more
		if got := sendCommand(addr, "mn"); got != "MN" || !callOnLoop(last, last.acceptsClients) {
			t.Fatalf("after one in a drain mn is answered %q", got)
		}
	}
	shutDown(t, two, twoEnded)
}

// One that cannot serve yet takes no client from the process before it, by sockets handed over or, without a folder, a shared address;
// it takes them as soon as it can, whether that one has ended, been killed before, or goes on.
func TestSuccessorAcceptsOnlyOnceItServes(t *testing.T) {
	for _, c := range []struct{ folder, killed bool }{{true, true}, {true, false}, {false, false}} {
		list, shared, addr := startCacheServer(t, 0), "", freeAddress(t)
		if c.folder {
			shared = t.TempDir()
		}
		s, ended := startProcess(t, addr, list, shared)
		waitServing(t, s)
		after, _ := startProcess(t, addr, "127.0.0.1:1", shared)
		want := "MN"
		if c.killed {
			want = "SERVER_ERROR starting"
			s.loop.Post(s.end)
			waitUntil(t, "the notice of its end", after, func() bool { return after.restart.processesBeside == 0 })
		}
		for range 20 {
			if got := sendCommand(addr, "mn"); got != want {
				t.Fatalf("%v: before the next serves it answers %q", c, got)
			}
		}
		after.loop.Post(func() { after.pools.platform.follow(list) })
		waitServing(t, after)
		if !c.killed {
			shutDown(t, s, ended)
		}
		if got := sendCommand(addr, "mn"); got != "MN" {
			t.Errorf("%v: the next one answers %q", c, got)
		}
	}
}

// What the process before was told last is known from the start: the list service may be silent, and a drain must be kept. What cannot
// be read, is of another list service, or older, is refused whole.
func TestSuccessorGetsTheEndpointList(t *testing.T) {
	list, shared, addr := startCacheServer(t, 0), t.TempDir(), freeAddress(t)
	s, _ := startProcess(t, addr, list, shared)
	waitServing(t, s)
	id := discovery.ID("s-1")
	callOnLoop(s, func() bool {
		drains := s.pools.platform.endpoints[id]
		other := drains
		drains.State, other.ID, other.Zone = balancer.Draining, 7, "b"
		s.pools.platform.applyList(balancer.UpdateDelta, discovery.List{Entries: []discovery.Entry{drains, other}})
		s.pools.platform.generation = 5
		return true
	})
	after, _ := startProcess(t, addr, list, shared) // whose own start says that it is ready, generation 1
	callOnLoop(after, func() bool {
		p := after.pools.platform
		if e := p.endpoints[7]; len(p.endpoints) != 2 || p.endpoints[id].State != balancer.Draining || e.Zone != "b" || !e.Addr.IsValid() || p.ready[id] {
			t.Errorf("it knows %+v", p.endpoints)
		}
		for _, state := range []string{"", "{", `{"List":{"Entries":"x"}}`, `{"Discovery":"127.0.0.1:1","List":{"Generation":9,"Entries":[{}]}}`,
			fmt.Sprintf(`{"Discovery":%q,"List":{"Generation":4,"Entries":[{}]}}`, list)} {
			if after.loadRestartState([]byte(state)); after.conf.Known.Generation != 5 {
				t.Errorf("%s is taken", state)
			}
		}
		return true
	})
}

// Two versions follow each other as real processes under load: every operation is answered, each old process ends by itself with 0,
// and what was taken out by hand at one is out at the next, which takes it back.
func TestHotRestartOfRealProcesses(t *testing.T) {
	dir, addr := t.TempDir(), freeAddress(t)
	program, conf := filepath.Join(dir, "bendtrestle"), filepath.Join(dir, "config.json")
	if out, err := exec.Command("go", "build", "-o", program, "bendtrestle/cmd/bendtrestle").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	os.WriteFile(conf, fmt.Appendf(nil, baseConfig, addr, startCacheServer(t, time.Millisecond)), 0o600)
	start := func() (p *exec.Cmd, ops string) {
		p, ops = exec.Command(program), freeAddress(t)
		p.Env = append(os.Environ(), "GW_CONFIG="+conf, "TMPDIR="+dir, "GW_OPS="+ops)
		p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also where the tests end without their cleanup
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.Process.Kill() })
		for i := 0; i < 300; i++ {
			if answer, err := http.Get("http://" + ops + "/ready"); err == nil && answer.StatusCode == http.StatusOK {
				return p, ops
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatal("it does not come to serve")
		return nil, ""
	}
	p, ops := start()
	stop := startLoad(t, addr)
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		old := p
		p, ops = start()
		old.Process.Signal(syscall.SIGTERM)
		if err := old.Wait(); err != nil {
			t.Errorf("the old process ends with %v", err)
		}
	}
	stop()
	for i, call := range []string{"disable", "enable"} {
		answer, err := http.Post("http://"+ops+"/cache-servers/"+call, "", strings.NewReader("s-1"))
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Errorf("%s: %v", call, err)
		}
		_, ops = start()
		if got := sendCommand(addr, fmt.Sprintf("mg k v Oz%d Pc=t,d=1900", i)); strings.HasPrefix(got, "VA") != (call == "enable") {
			t.Errorf("after %s and another version it answers %q", call, got)
		}
	}
}
