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

// waitHandedOver waits until a successor of a process serves.
func waitHandedOver(t *testing.T, s *Service) {
	t.Helper()
	waitUntil(t, "a successor that serves", s, func() bool {
		return s.restart.servingSuccessors == 1 && !s.acceptsClients()
	})
}

// waitProcessesBeside waits until a process counts so many others of its router.
func waitProcessesBeside(t *testing.T, s *Service, processes int) {
	t.Helper()
	waitUntil(t, fmt.Sprint(processes, " processes beside"), s, func() bool {
		return s.restart.otherProcesses == processes
	})
}

// waitOneRequest waits until a process has one request open.
func waitOneRequest(t *testing.T, s *Service) {
	t.Helper()
	waitUntil(t, "the request", s, func() bool { return s.clients.frontend.OpenRequests() == 1 })
}

// phaseOf returns the phase of a process that runs.
func phaseOf(s *Service) Phase { return callOnLoop(s, func() Phase { return s.lifecycle.phase }) }

// The successor is told to end before the predecessor: the latter accepts again at once, not once the successor has
// completed its requests.
func TestSuccessorIsToldToEndFirst(t *testing.T) {
	held := make(chan bool)
	list := startScriptedServer(t, func(conn net.Conn, id, key string) {
		if key == "later" {
			<-held
		}
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
	addr := freeAddress(t)
	shared := t.TempDir()
	predecessor, _ := startProcess(t, addr, list, shared)
	waitServing(t, predecessor)
	successor, _ := startProcess(t, addr, list, shared)
	waitServing(t, successor)
	waitUntil(t, "the hot restart", predecessor, func() bool { return predecessor.restart.servingSuccessors == 1 })
	_, in := dialAndSend(t, addr, "a", "later")
	waitOneRequest(t, successor)
	successor.loop.Post(successor.beginShutdown)
	waitUntil(t, "the phase finishing", successor, func() bool { return successor.lifecycle.phase == Finishing })
	if got := sendCommand(addr, "mg k v Ob Pc=t,d=1900"); got != "VA 2 Ob" || phaseOf(successor) != Finishing {
		t.Errorf("while the successor finishes it answers %q", got)
	}
	if callOnLoop(predecessor, func() int { return predecessor.restart.otherProcesses }) != 1 {
		t.Error("the predecessor takes all capacity while the successor still has connections")
	}
	close(held)
	if line, _ := in.ReadString('\n'); line != "VA 2 Oa h1\r\n" && line != "VA 2 Oa\r\n" {
		t.Errorf("the successor's request is answered %q", line)
	}
}

// The predecessor is told to end before the successor is ready: the latter answers at once, if only that it starts,
// not once the predecessor has completed its requests.
func TestPredecessorIsToldToEndBeforeTheSuccessorIsReady(t *testing.T) {
	held := make(chan bool)
	defer close(held)
	list := startScriptedServer(t, func(conn net.Conn, id, key string) {
		<-held
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
	addr := freeAddress(t)
	shared := t.TempDir()
	predecessor, _ := startProcess(t, addr, list, shared)
	waitServing(t, predecessor)
	successor, _ := startProcess(t, addr, "127.0.0.1:1", shared) // its list service does not answer
	waitProcessesBeside(t, predecessor, 1)
	dialAndSend(t, addr, "a", "later")
	waitOneRequest(t, predecessor)
	predecessor.loop.Post(predecessor.beginShutdown)
	waitUntil(t, "the phase finishing", predecessor, func() bool { return predecessor.lifecycle.phase == Finishing })
	if got := sendCommand(addr, "mn"); got != "SERVER_ERROR starting" || phaseOf(predecessor) != Finishing {
		t.Errorf("while the predecessor finishes it answers %q", got)
	}
	if callOnLoop(successor, func() int { return successor.restart.otherProcesses }) != 1 {
		t.Error("the successor takes all capacity while the predecessor still has connections")
	}
}

// The successor dies after it took the sockets and before it is ready: the predecessor never stopped, and has all
// capacity again.
func TestSuccessorDiesBeforeItIsReady(t *testing.T) {
	addr := freeAddress(t)
	shared := t.TempDir()
	predecessor, _ := startProcess(t, addr, startCacheServer(t, 0), shared)
	waitServing(t, predecessor)
	successor, died := startProcess(t, addr, "127.0.0.1:1", shared)
	waitProcessesBeside(t, predecessor, 1)
	runOnLoop(successor, func() { // as its kernel does for it
		successor.disconnectOtherProcesses()
		successor.loop.Stop()
	})
	<-died
	waitProcessesBeside(t, predecessor, 0)
	if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" || predecessor.restart.servingSuccessors != 0 {
		t.Errorf("then the predecessor answers %q", got)
	}
}

// Under load, all in a row: a successor ends by SIGTERM before it is ready, then one that serves; two follow at
// once and one of them ends; the last follows a process in a drain, and accepts clients. Nothing is refused, reset
// or left unread, and limits are shared.
func TestHotRestartsUnderLoad(t *testing.T) {
	list := startCacheServer(t, time.Millisecond)
	shared := t.TempDir()
	addr := freeAddress(t)
	hasHalfOfTheLimits := func(s *Service) bool { return s.processLimits().ClientConnections < s.conf.ClientConnections }
	hasAllLimits := func(s *Service) bool { return s.processLimits().ClientConnections == s.conf.ClientConnections }
	s, ended := startProcess(t, addr, list, shared)
	waitServing(t, s)
	stop := startLoad(t, addr)
	early, earlyEnded := startProcess(t, addr, "127.0.0.1:1", shared) // it never has a list
	waitUntil(t, "a successor that starts", s, func() bool {
		return s.restart.otherProcesses == 1 && hasHalfOfTheLimits(s)
	})
	shutDown(t, early, earlyEnded)
	late, lateEnded := startProcess(t, addr, list, shared)
	waitHandedOver(t, s)
	waitUntil(t, "half of the limits", late, func() bool { return hasHalfOfTheLimits(late) })
	shutDown(t, late, lateEnded)
	waitUntil(t, "the predecessor's return", s, func() bool { return s.acceptsClients() && hasAllLimits(s) })
	one, oneEnded := startProcess(t, addr, list, shared)
	waitHandedOver(t, s)
	two, twoEnded := startProcess(t, addr, list, shared)
	waitHandedOver(t, one)
	shutDown(t, one, oneEnded)
	shutDown(t, s, ended)
	waitUntil(t, "all limits", two, func() bool { return hasAllLimits(two) && two.acceptsClients() })
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

// A successor that cannot serve yet takes no client from its predecessor, by inherited sockets or, without a
// folder, a shared address. It takes them as soon as it can, whether the predecessor has ended, was killed before,
// or goes on.
func TestSuccessorAcceptsOnlyOnceItServes(t *testing.T) {
	for _, restart := range []struct {
		name              string
		folder, killFirst bool
	}{
		{"inherited sockets, killed", true, true},
		{"inherited sockets", true, false},
		{"a shared address", false, false},
	} {
		list := startCacheServer(t, 0)
		shared := ""
		addr := freeAddress(t)
		if restart.folder {
			shared = t.TempDir()
		}
		predecessor, ended := startProcess(t, addr, list, shared)
		waitServing(t, predecessor)
		successor, _ := startProcess(t, addr, "127.0.0.1:1", shared)
		want := "MN"
		if restart.killFirst {
			want = "SERVER_ERROR starting"
			predecessor.loop.Post(predecessor.end)
			waitProcessesBeside(t, successor, 0)
		}
		for range 20 {
			if got := sendCommand(addr, "mn"); got != want {
				t.Fatalf("%s: before the successor serves it answers %q", restart.name, got)
			}
		}
		successor.loop.Post(func() { successor.pools.platform.watchListService(list) })
		waitServing(t, successor)
		if !restart.killFirst {
			shutDown(t, predecessor, ended)
		}
		if got := sendCommand(addr, "mn"); got != "MN" {
			t.Errorf("%s: the successor answers %q", restart.name, got)
		}
	}
}

// What the predecessor was told last is known from the start: the list service may be silent, and a drain must be
// kept. A list that cannot be read, is of another list service, or older, is refused as a whole.
func TestSuccessorGetsTheEndpointList(t *testing.T) {
	list := startCacheServer(t, 0)
	shared := t.TempDir()
	addr := freeAddress(t)
	predecessor, _ := startProcess(t, addr, list, shared)
	waitServing(t, predecessor)
	id := discovery.ID("s-1")
	runOnLoop(predecessor, func() {
		platform := predecessor.pools.platform
		draining := platform.endpoints[id]
		draining.State = balancer.Draining
		other := platform.endpoints[id]
		other.ID = 7
		other.Zone = "b"
		platform.applyList(balancer.UpdateDelta, discovery.EndpointList{Instances: []discovery.Instance{draining, other}})
		platform.generation = 5
	})
	successor, _ := startProcess(t, addr, list, shared) // whose own start says that s-1 is ready, generation 1
	runOnLoop(successor, func() {
		platform := successor.pools.platform
		other := platform.endpoints[7]
		keptDrain := platform.endpoints[id].State == balancer.Draining && !platform.ready[id]
		if len(platform.endpoints) != 2 || !keptDrain || other.Zone != "b" || !other.Addr.IsValid() {
			t.Errorf("it knows %+v", platform.endpoints)
		}
		for name, state := range map[string]string{
			"nothing":              "",
			"half":                 "{",
			"another form":         `{"List":{"Entries":"x"}}`,
			"another list service": `{"Discovery":"127.0.0.1:1","List":{"Generation":9,"Entries":[{}]}}`,
			"an older list":        fmt.Sprintf(`{"Discovery":%q,"List":{"Generation":4,"Entries":[{}]}}`, list),
		} {
			successor.loadRestartState([]byte(state))
			if successor.conf.Known.Generation != 5 {
				t.Errorf("%s is taken: %s", name, state)
			}
		}
	})
}

// buildRouter builds the router's program in a folder.
func buildRouter(t *testing.T, dir string) (program string) {
	t.Helper()
	program = filepath.Join(dir, "bendtrestle")
	out, err := exec.Command("go", "build", "-o", program, "bendtrestle/cmd/bendtrestle").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// startProgram starts a router as a process of its own, and gives the address of its admin server. dir has its
// configuration and is its folder for what outlives it.
func startProgram(t *testing.T, dir string, command ...string) (process *exec.Cmd, ops string) {
	t.Helper()
	process = exec.Command(command[0], command[1:]...)
	ops = freeAddress(t)
	process.Env = append(os.Environ(), "GW_CONFIG="+filepath.Join(dir, "config.json"), "TMPDIR="+dir, "GW_OPS="+ops)
	// It ends with the tests, also where they end without their cleanup.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Process.Kill() })
	return process, ops
}

// Two versions follow each other as real processes under load: every request is answered, each predecessor ends by
// itself with 0, and a server that is disabled at one is disabled at the next, which enables it.
func TestHotRestartOfRealProcesses(t *testing.T) {
	dir := t.TempDir()
	addr := freeAddress(t)
	program := buildRouter(t, dir)
	text := fmt.Appendf(nil, baseConfig, addr, startCacheServer(t, time.Millisecond))
	os.WriteFile(filepath.Join(dir, "config.json"), text, 0o600)
	start := func() (process *exec.Cmd, ops string) {
		process, ops = startProgram(t, dir, program)
		for range 300 {
			answer, err := http.Get("http://" + ops + "/ready")
			if err == nil && answer.StatusCode == http.StatusOK {
				return process, ops
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatal("it does not come to serve")
		return nil, ""
	}
	process, ops := start()
	stop := startLoad(t, addr)
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		predecessor := process
		process, ops = start()
		predecessor.Process.Signal(syscall.SIGTERM)
		if err := predecessor.Wait(); err != nil {
			t.Errorf("the predecessor ends with %v", err)
		}
	}
	stop()
	for i, call := range []string{"disable", "enable"} {
		answer, err := http.Post("http://"+ops+"/cache-servers/"+call, "", strings.NewReader("s-1"))
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Errorf("%s: %v", call, err)
		}
		_, ops = start()
		got := sendCommand(addr, fmt.Sprintf("mg k v Oz%d Pc=t,d=1900", i))
		if served := strings.HasPrefix(got, "VA"); served != (call == "enable") {
			t.Errorf("after %s and another version it answers %q", call, got)
		}
	}
}
