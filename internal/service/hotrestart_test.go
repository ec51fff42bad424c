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
	"bendtrestle/internal/testaddress"
)

// waitSuccessorServes waits until a successor serves instead of a process.
func waitSuccessorServes(t *testing.T, s *Service) {
	t.Helper()
	waitUntil(t, "a successor that serves", s, func() bool {
		return s.restart.servingSuccessors == 1 && !s.acceptsClients()
	})
}

// waitOtherProcesses waits until a process counts a number of other processes of its router.
func waitOtherProcesses(t *testing.T, s *Service, processes int) {
	t.Helper()
	waitUntil(t, fmt.Sprint(processes, " other processes"), s, func() bool {
		return s.restart.otherProcesses == processes
	})
}

// waitOneRequest waits until a process has one open request.
func waitOneRequest(t *testing.T, s *Service) {
	t.Helper()
	waitUntil(t, "the request", s, func() bool { return s.clients.frontend.OpenRequests() == 1 })
}

// phaseOf returns the phase of a running process.
func phaseOf(s *Service) Phase { return callOnLoop(s, func() Phase { return s.lifecycle.phase }) }

// The successor is shut down before the predecessor. The predecessor must accept clients again immediately, and not
// only after the successor has completed its requests.
func TestPredecessorAcceptsWhileSuccessorShutsDown(t *testing.T) {
	release := make(chan bool)
	list := startScriptedServer(t, func(conn net.Conn, id, key string) {
		if key == "later" {
			<-release
		}
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
	addr := testaddress.New()
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
		t.Errorf("while the successor is finishing: got %q, want a value", got)
	}
	if callOnLoop(predecessor, func() int { return predecessor.restart.otherProcesses }) != 1 {
		t.Error("the predecessor uses all of the limits while the successor still has connections")
	}
	close(release)
	if line, _ := in.ReadString('\n'); line != "VA 2 Oa h1\r\n" && line != "VA 2 Oa\r\n" {
		t.Errorf("request at the successor: got %q, want a value", line)
	}
}

// The predecessor is shut down before the successor is ready. The successor must answer clients immediately, with an
// error that it is starting, and not only after the predecessor has completed its requests.
func TestStartingSuccessorAnswersWhilePredecessorShutsDown(t *testing.T) {
	release := make(chan bool)
	defer close(release)
	list := startScriptedServer(t, func(conn net.Conn, id, key string) {
		<-release
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
	addr := testaddress.New()
	shared := t.TempDir()
	predecessor, _ := startProcess(t, addr, list, shared)
	waitServing(t, predecessor)
	successor, _ := startProcess(t, addr, "127.0.0.1:1", shared) // its list service does not answer
	waitOtherProcesses(t, predecessor, 1)
	dialAndSend(t, addr, "a", "later")
	waitOneRequest(t, predecessor)
	predecessor.loop.Post(predecessor.beginShutdown)
	waitUntil(t, "the phase finishing", predecessor, func() bool { return predecessor.lifecycle.phase == Finishing })
	if got := sendCommand(addr, "mn"); got != "SERVER_ERROR starting" || phaseOf(predecessor) != Finishing {
		t.Errorf("while the predecessor is finishing: got %q, want SERVER_ERROR starting", got)
	}
	if callOnLoop(successor, func() int { return successor.restart.otherProcesses }) != 1 {
		t.Error("the successor uses all of the limits while the predecessor still has connections")
	}
}

// The successor dies after it has received the sockets and before it is ready. The predecessor must serve throughout,
// and have all of the limits again.
func TestSuccessorDiesWhileStarting(t *testing.T) {
	addr := testaddress.New()
	shared := t.TempDir()
	predecessor, _ := startProcess(t, addr, startCacheServer(t, 0), shared)
	waitServing(t, predecessor)
	successor, died := startProcess(t, addr, "127.0.0.1:1", shared)
	waitOtherProcesses(t, predecessor, 1)
	runOnLoop(successor, func() { // as the kernel does when a process dies
		successor.disconnectOtherProcesses()
		successor.loop.Stop()
	})
	<-died
	waitOtherProcesses(t, predecessor, 0)
	if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" || predecessor.restart.servingSuccessors != 0 {
		t.Errorf("after the successor's death: got %q, want a value from the predecessor", got)
	}
}

// A sequence of hot restarts under load. One successor is shut down before it is ready, the next while it serves. Then
// two successors follow in short order, and the first of them is shut down. The last successor follows a draining
// process and must accept clients. No connection may be refused, reset or closed with a request unread, and processes
// share the limits.
func TestHotRestartsUnderLoad(t *testing.T) {
	list := startCacheServer(t, time.Millisecond)
	shared := t.TempDir()
	addr := testaddress.New()
	hasHalfOfTheLimits := func(s *Service) bool { return s.processLimits().ClientConnections < s.conf.ClientConnections }
	hasAllLimits := func(s *Service) bool { return s.processLimits().ClientConnections == s.conf.ClientConnections }
	s, ended := startProcess(t, addr, list, shared)
	waitServing(t, s)
	stop := startLoad(t, addr)
	early, earlyEnded := startProcess(t, addr, "127.0.0.1:1", shared) // it never receives a list
	waitUntil(t, "a successor that starts", s, func() bool {
		return s.restart.otherProcesses == 1 && hasHalfOfTheLimits(s)
	})
	shutDown(t, early, earlyEnded)
	late, lateEnded := startProcess(t, addr, list, shared)
	waitSuccessorServes(t, s)
	waitUntil(t, "half of the limits", late, func() bool { return hasHalfOfTheLimits(late) })
	shutDown(t, late, lateEnded)
	waitUntil(t, "the predecessor to accept again", s, func() bool { return s.acceptsClients() && hasAllLimits(s) })
	one, oneEnded := startProcess(t, addr, list, shared)
	waitSuccessorServes(t, s)
	two, twoEnded := startProcess(t, addr, list, shared)
	waitSuccessorServes(t, one)
	shutDown(t, one, oneEnded)
	shutDown(t, s, ended)
	waitUntil(t, "all limits", two, func() bool { return hasAllLimits(two) && two.acceptsClients() })
	stop()
	callOnLoop(two, func() error { return two.setDraining(true) })
	last, _ := startProcess(t, addr, list, shared)
	waitSuccessorServes(t, two)
	for range 20 { // the draining process accepts no clients
		if got := sendCommand(addr, "mn"); got != "MN" || !callOnLoop(last, last.acceptsClients) {
			t.Fatalf("successor of a draining process: mn got %q, want MN", got)
		}
	}
	shutDown(t, two, twoEnded)
}

// A successor that is not ready must accept no clients in place of its predecessor, whether it inherits the sockets or,
// without a folder for hot restarts, shares the address. It accepts them as soon as it serves, whether the predecessor
// still runs, has shut down or was killed before.
func TestSuccessorAcceptsClientsOnlyWhenServing(t *testing.T) {
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
		addr := testaddress.New()
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
			waitOtherProcesses(t, successor, 0)
		}
		for range 20 {
			if got := sendCommand(addr, "mn"); got != want {
				t.Fatalf("%s: before the successor serves: got %q, want %q", restart.name, got, want)
			}
		}
		successor.loop.Post(func() { successor.pools.platform.watchListService(list) })
		waitServing(t, successor)
		if !restart.killFirst {
			shutDown(t, predecessor, ended)
		}
		if got := sendCommand(addr, "mn"); got != "MN" {
			t.Errorf("%s: successor: got %q, want MN", restart.name, got)
		}
	}
}

// The successor starts with the predecessor's last endpoint list: the list service may not answer, and drains must not
// be lost. A list that cannot be decoded, a list of another list service and an older list are ignored.
func TestSuccessorReceivesEndpointList(t *testing.T) {
	list := startCacheServer(t, 0)
	shared := t.TempDir()
	addr := testaddress.New()
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
	successor, _ := startProcess(t, addr, list, shared) // whose configuration has s-1 as ready, in generation 1
	runOnLoop(successor, func() {
		platform := successor.pools.platform
		other := platform.endpoints[7]
		keptDrain := platform.endpoints[id].State == balancer.Draining && !platform.ready[id]
		if len(platform.endpoints) != 2 || !keptDrain || other.Zone != "b" || !other.Addr.IsValid() {
			t.Errorf("got the endpoints %+v, want s-1 draining and server 7 in zone b", platform.endpoints)
		}
		for name, state := range map[string]string{
			"nothing":              "",
			"half":                 "{",
			"another form":         `{"List":{"Entries":"x"}}`,
			"another list service": `{"Discovery":"127.0.0.1:1","List":{"Generation":9,"Entries":[{}]}}`,
			"an older list":        fmt.Sprintf(`{"Discovery":%q,"List":{"Generation":4,"Entries":[{}]}}`, list),
		} {
			successor.loadRestartState([]byte(state))
			if successor.conf.InitialEndpoints.Generation != 5 {
				t.Errorf("%s is not ignored: %s", name, state)
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

// startProgram starts a router as a process of its own, and returns the address of its admin server. dir contains its
// configuration and the files that outlive it.
func startProgram(t *testing.T, dir string, command ...string) (process *exec.Cmd, ops string) {
	t.Helper()
	process = exec.Command(command[0], command[1:]...)
	ops = testaddress.New()
	process.Env = append(os.Environ(), "GW_CONFIG="+filepath.Join(dir, "config.json"), "TMPDIR="+dir, "GW_OPS="+ops)
	// The process is killed with the tests, even if they end without their cleanup.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Process.Kill() })
	return process, ops
}

// Hot restarts of real processes under load: every request is answered, and each predecessor ends by itself with exit
// status 0. A server that is disabled at one process is disabled at the next one, where it is enabled again.
func TestHotRestartOfRealProcesses(t *testing.T) {
	dir := t.TempDir()
	addr := testaddress.New()
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
		t.Fatal("timed out waiting for the process to be ready")
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
			t.Errorf("predecessor: got %v, want exit status 0", err)
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
			t.Errorf("after %s and another hot restart: got %q, want a value only after enable", call, got)
		}
	}
}
