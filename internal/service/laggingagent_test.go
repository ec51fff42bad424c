package service

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"bendtrestle/internal/discovery"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// siteLag is by how much later than another one an agent of the site samabay-booking may get a change.
const siteLag = 3200 * time.Millisecond

// agent is a list service with two servers, s-1 and s-2, of which s-2 is always ready.
type agent struct {
	*httptest.Server
	mu         sync.Mutex
	generation uint64
	state      string        // of s-1; "gone": it is not listed
	changed    chan struct{} // closed at the next change
}

func startAgent(t *testing.T, generation uint64, state string) *agent {
	a := &agent{generation: generation, state: state, changed: make(chan struct{})}
	a.Server = httptest.NewServer(a)
	t.Cleanup(func() {
		a.CloseClientConnections()
		a.Close()
	})
	return a
}

func (a *agent) address() string { return a.Listener.Addr().String() }

// set changes the list.
func (a *agent) set(generation uint64, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation = generation
	a.state = state
	close(a.changed)
	a.changed = make(chan struct{})
}

// ServeHTTP answers with the whole list; a watch from the current generation waits for a change.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	changed := a.changed
	current := r.URL.Query().Get("from") == strconv.FormatUint(a.generation, 10)
	a.mu.Unlock()
	if current {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var first string
	if a.state != "gone" {
		first = fmt.Sprintf(`{"instanceId":"s-1","hostPort":"127.0.0.1:2","lifecycle":"%s"},`, a.state)
	}
	fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[%s
		{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"ready"}]}`, a.generation, first)
}

// moveDiscovery names an agent as the list service in a new configuration, as SIGHUP does.
func moveDiscovery(s *Service, to *agent) {
	setup := Setup{Platform: s.conf}
	setup.Platform.Discovery = to.address()
	runOnLoop(s, func() { s.reconfigure(setup) })
}

func moveOnce(_ *testing.T, s *Service, older *agent) *Service {
	moveDiscovery(s, older)
	return s
}

// moveTwice moves discovery again when the first older list is followed, or about to be.
func moveTwice(t *testing.T, s *Service, older *agent) *Service {
	first := startAgent(t, 41, "ready")
	moveDiscovery(s, first)
	waitUntil(t, "the first older list", s, func() bool { return s.pools.platform.watch.address == first.address() })
	moveDiscovery(s, older)
	return s
}

// upgradeAndMove starts a successor whose configuration names the older agent.
func upgradeAndMove(t *testing.T, s *Service, older *agent) *Service {
	successor, _ := startProcess(t, s.conf.Listen, older.address(), s.conf.SharedFolder)
	waitServing(t, successor)
	waitSuccessorServes(t, s)
	return successor
}

// A router was told by one agent that a server drains or is gone, and then follows a list that does not know of that
// yet: after SIGHUP, after two in a row, in a new process, or since its agent fell back. The withdrawal must be kept
// until the list has caught up, as late as the site's agents may be.
func TestOlderListDoesNotUndoWithdrawal(t *testing.T) {
	follows := map[string]func(*testing.T, *Service, *agent) *Service{
		"SIGHUP":              moveOnce,
		"two SIGHUPs":         moveTwice,
		"upgrade with SIGHUP": upgradeAndMove,
	}
	for name, follow := range follows {
		for _, state := range []string{"draining", "gone"} {
			t.Run(name+", "+state, func(t *testing.T) {
				t.Parallel()
				first := startAgent(t, 41, "ready")
				older := startAgent(t, 41, "ready")
				s, _ := startProcess(t, testaddress.New(), first.address(), shortTempDir(t))
				waitServing(t, s)
				toldAt := tellWithdrawal(t, s, first, state)
				s = follow(t, s, older)
				time.AfterFunc(time.Until(toldAt.Add(siteLag)), func() { older.set(43, state) })
				wantUnused(t, s, toldAt.Add(siteLag))
				waitUntil(t, "the list to catch up", s, func() bool { return s.pools.platform.generation == 43 })
				wantUnused(t, s, time.Now())
			})
		}
	}
}

// A process starts with a list in which a server drains, and its agent has an older one.
func TestOlderListDoesNotUndoDrainOfInitialList(t *testing.T) {
	t.Parallel()
	older := startAgent(t, 41, "ready")
	conf := parseConfig(t, configWithKnownList, testaddress.New(), older.address(), "")
	s := assembleSetup(t, Setup{Platform: conf}, zerolog.Nop())
	startedAt := time.Now()
	s.runLoop(t)
	time.AfterFunc(siteLag, func() { older.set(43, "draining") })
	wantUnused(t, s, startedAt.Add(siteLag))
	waitUntil(t, "the list to catch up", s, func() bool { return s.pools.platform.generation == 43 })
	wantUnused(t, s, time.Now())
}

// The agent of a running watch falls back to an older list, and catches up later.
func TestAgentThatFallsBackDoesNotUndoWithdrawal(t *testing.T) {
	for _, state := range []string{"draining", "gone"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			only := startAgent(t, 41, "ready")
			s, _ := startProcess(t, testaddress.New(), only.address(), t.TempDir())
			waitServing(t, s)
			toldAt := tellWithdrawal(t, s, only, state)
			only.set(41, "ready")
			time.AfterFunc(time.Until(toldAt.Add(siteLag)), func() { only.set(43, state) })
			wantUnused(t, s, toldAt.Add(siteLag))
		})
	}
}

// shortTempDir returns a folder whose path is short enough for a Unix socket, whatever the test's name.
func shortTempDir(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "lag")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	return folder
}

// tellWithdrawal has an agent tell the withdrawal of s-1 in generation 43, and returns when the router knows it.
func tellWithdrawal(t *testing.T, s *Service, by *agent, state string) (toldAt time.Time) {
	t.Helper()
	by.set(43, state)
	waitUntil(t, "the withdrawal", s, func() bool { return !isUsed(s) && s.pools.platform.generation == 43 })
	return time.Now()
}

// isUsed reports whether s-1 gets requests; it is called on the loop.
func isUsed(s *Service) bool { return s.pools.platform.ready[discovery.ID("s-1")] }

// wantUnused checks, until a time, that s-1 gets no requests.
func wantUnused(t *testing.T, s *Service, until time.Time) {
	t.Helper()
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if callOnLoop(s, func() bool { return isUsed(s) }) {
			t.Fatalf("s-1 gets requests again, %.1f s after the first look", time.Since(started).Seconds())
		}
		if !time.Now().Before(until) {
			return
		}
	}
}

// A service that numbers its generations anew is believed: its withdrawals within 4 s of SIGHUP, and its ready servers
// once it had the time to catch up.
func TestServiceThatNumbersAnewIsBelieved(t *testing.T) {
	t.Parallel()
	first := startAgent(t, 41, "ready")
	anew := startAgent(t, 1, "gone")
	s, _, err := assembleConfig(baseConfig, first.address(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runLoop(t)
	waitServing(t, s)
	movedAt := time.Now()
	moveDiscovery(s, anew)
	waitUntil(t, "the removal", s, func() bool { return !isUsed(s) })
	if took := time.Since(movedAt); took > 4*time.Second {
		t.Errorf("a removal was believed %v after SIGHUP, want 4 s at most", took)
	}
	anew.set(2, "ready")
	waitUntil(t, "the server to be used again", s, func() bool { return isUsed(s) })

	tellAgain := startAgent(t, 43, "draining")
	moveDiscovery(s, tellAgain)
	waitUntil(t, "the drain", s, func() bool { return !isUsed(s) })
	anewAgain := startAgent(t, 1, "ready")
	movedAt = time.Now()
	moveDiscovery(s, anewAgain)
	waitFor(t, "the server to be used again", 700, func() bool { return callOnLoop(s, func() bool { return isUsed(s) }) })
	if took := time.Since(movedAt); took > 6500*time.Millisecond {
		t.Errorf("a ready server was believed %v after SIGHUP, want 6 s at most, with half a second of slack", took)
	}
}

// A server was withdrawn long ago, and then the agent of the running watch falls back to an older list. The time to
// catch up starts with that list. A successor is told the generation that withdrew the server, not that of the older
// list.
func TestFallbackLongAfterAWithdrawal(t *testing.T) {
	t.Parallel()
	s, _ := startProcess(t, testaddress.New(), startCacheServer(t, 0), "")
	waitServing(t, s)
	runOnLoop(s, func() {
		p := s.pools.platform
		const longAgo = 100.0 // seconds
		w := &endpointWatch{startedAt: s.loop.Now() - longAgo, generationsFrom: s.loop.Now() - longAgo, stop: func() {}}
		p.stopWatching()
		p.watch = w
		p.nextWatch = nil
		p.withdrawals.Withdraw(discovery.ID("s-1"), false, 43, s.loop.Now()-longAgo)
		if err := p.onList(w, endpointList(43, "127.0.0.1:2", "draining")); err != nil {
			t.Error(err)
		}
		if err := p.onList(w, endpointList(41, "127.0.0.1:2", "ready")); err != nil || isUsed(s) {
			t.Errorf("the older list: got %v and the server used %v, want it followed and the server unused", err, isUsed(s))
		}
		if told := s.restartState().List.Generation; told != 43 || p.generation != 41 {
			t.Errorf("got generation %d for a successor and %d here, want 43 and 41", told, p.generation)
		}
	})
}
