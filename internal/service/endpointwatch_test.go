package service

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/policy/membership"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// configWithKnownList is baseConfig with a list that is known at the start, in which s-1 is draining, and with a
// balancer that polls the list service.
var configWithKnownList = strings.Replace(baseConfig, `"settings":{`, `"known":{
	"generation":42,"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":"127.0.0.1:2","lifecycle":"draining"},
	{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"ready"}]},"settings":{"discovery":"on_request",`, 1)

// endpointList returns a full list that names s-1 in the given state and s-2 as ready, both at the same address.
func endpointList(generation uint64, at, state string) discovery.EndpointList {
	list, err := discovery.Parse(fmt.Appendf(nil, `{"generation":%d,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"%s","lifecycle":"%s"},
		{"instanceId":"s-2","hostPort":"%[2]s","lifecycle":"ready"}]}`, generation, at, state))
	if err != nil {
		panic(err)
	}
	return list
}

// A process that starts with a known list first polls for the changes since then, but only at the list service that the
// list is from. If that service rejects a poll because it is overloaded, the next poll must wait: all routers poll the
// service, and a poll of each every 0.1 s would keep it overloaded.
func TestFirstPollsWithKnownListAndOverloadedListService(t *testing.T) {
	polls := make(chan string, 1000)
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls <- r.URL.RawQuery
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer full.Close()
	at := full.Listener.Addr().String()
	text := strings.Replace(baseConfig, `"settings":{`, `"known":{"generation":7,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"ready"}]},
		"settings":{"discovery":"on_request","rules":{"askWithin":4000000000},`, 1)
	s, _, err := assembleConfig(text, at, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	defer s.loop.Post(s.end)
	if first := <-polls; first != "from=7&hold_ms=2000" {
		t.Errorf("first poll: got the query %q, want from=7&hold_ms=2000", first)
	}
	time.Sleep(400 * time.Millisecond) // the first wait is at least half a second
	if len(polls) > 0 {
		t.Errorf("%d more polls within 0.4 s of the rejected one, want 0", len(polls))
	}
	s.loop.Post(func() {
		s.pools.platform.stopWatching()
		s.pools.platform.watchListService("localhost" + at[strings.IndexByte(at, ':'):])
	})
	if next := <-polls; next != "" {
		t.Errorf("first poll of another list service: got the query %q, want none", next)
	}
}

// A reload names another list service while a list of the old one is in flight. A drain in that list must not be
// reverted by the first list of the new service, which lags behind.
func TestLaggingListServiceDoesNotRevertDrain(t *testing.T) {
	t.Parallel()
	s, _ := startProcess(t, testaddress.New(), startCacheServer(t, 0), "")
	waitServing(t, s)
	p := s.pools.platform
	avoided := func() bool { return p.core.Avoids(discovery.ID("s-1")) }
	runOnLoop(s, func() {
		if p.watch == nil { // it has received no list yet, only the known list is in use
			p.watch = p.nextWatch
			p.nextWatch = nil
		}
		previous := p.watch
		p.watchListService("127.0.0.1:1")
		next := p.nextWatch
		if err := p.onList(previous, endpointList(42, "127.0.0.1:2", "draining")); err != nil || !avoided() {
			t.Errorf("drain in the old service's list: got %v, want it applied", err)
		}
		if err := p.onList(next, endpointList(41, "127.0.0.1:2", "ready")); err == nil || !avoided() {
			t.Errorf("lagging list without the drain: got %v, want it refused", err)
		}
		lagging := endpointList(41, "127.0.0.1:2", "ready")
		lagging.Instances[1].State = balancer.Draining
		if err := p.onList(next, lagging); err == nil || !avoided() || !p.core.Avoids(discovery.ID("s-2")) {
			t.Errorf("lagging list with another drain: got %v, want it refused and the drain applied", err)
		}
		if p.watch != previous {
			t.Error("the old watch was replaced before the new service sent an accepted list")
		}
		next.startedAt -= refuseOlderSeconds // from then on it may number its generations independently
		if err := p.onList(next, endpointList(7, "127.0.0.1:2", "ready")); err != nil || !avoided() || p.watch != next {
			t.Errorf("lower generation after refuseOlderSeconds: got %v, want the list applied and the drain kept", err)
		}
		err := p.onList(previous, endpointList(44, "127.0.0.1:2", "ready"))
		if err != nil || !avoided() || p.generation != 7 {
			t.Errorf("list of the old service after the change: got %v and generation %d, want it ignored", err, p.generation)
		}
	})
	toldAt := time.Now()
	waitFor(t, "the service that numbers anew to be believed", 700, func() bool { return !callOnLoop(s, avoided) })
	if kept := time.Since(toldAt).Seconds(); kept < membership.ListDelaySeconds-1 {
		t.Errorf("the drain was kept for %.1f s, want some %v s", kept, membership.ListDelaySeconds)
	}
}

// A reload names another list service before the first one has sent a list. A drain in the list that the process
// started with must not be reverted by the new service if that lags behind.
func TestLaggingListServiceDoesNotRevertDrainOfInitialList(t *testing.T) {
	s, _, err := assembleConfig(configWithKnownList, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runLoop(t)
	runOnLoop(s, func() {
		p := s.pools.platform
		avoided := func() bool { return p.core.Avoids(discovery.ID("s-1")) }
		p.watchListService("127.0.0.1:2")
		newWatch := p.nextWatch
		if err := p.onList(newWatch, endpointList(41, "127.0.0.1:2", "ready")); err == nil || !avoided() {
			t.Errorf("lagging list without the drain: got %v, want it refused", err)
		}
		if err := p.onList(newWatch, endpointList(43, "127.0.0.1:2", "ready")); err != nil || avoided() {
			t.Errorf("newer list without the drain: got %v, want it applied", err)
		}
	})
}

// startHangingListService starts a list service whose first two polls hang until release is closed. Then it rejects one
// poll and answers the others with a list in which s-2 is draining. polls receives a value for each poll.
func startHangingListService(t *testing.T) (at string, polls, release chan bool) {
	polls = make(chan bool, 1000)
	release = make(chan bool)
	var answered atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case polls <- true:
		default:
		}
		if r.URL.RawQuery != "" { // a long poll for changes, of which there are none
			<-r.Context().Done()
		}
		select {
		case <-release:
		case <-r.Context().Done():
			return
		}
		if answered.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, `{"generation":51,"reset":true,"instances":[
			{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"draining"}]}`)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String(), polls, release
}

// A reload names a list service that hangs and then rejects a poll. Until it answers, the lists of the old service are
// used; after that, those of the new one. The test covers both discovery modes.
func TestOldListServiceIsUsedWhileNewOneHangs(t *testing.T) {
	for _, settings := range []string{`"settings":{`, `"settings":{"discovery":"on_request",`} {
		text := strings.Replace(baseConfig, `"settings":{`, settings, 1)
		s, _, err := assembleConfig(text, startCacheServer(t, 0), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s.runLoop(t)
		waitServing(t, s)
		at, polls, release := startHangingListService(t)
		p := s.pools.platform
		avoids := func(server string) bool { return p.core.Avoids(discovery.ID(server)) }
		runOnLoop(s, func() { p.watchListService(at) })
		<-polls
		<-polls // the first poll hangs
		runOnLoop(s, func() {
			err := p.onList(p.watch, endpointList(50, "127.0.0.1:2", "draining"))
			if err != nil || !avoids("s-1") || p.watch.address == at {
				t.Errorf("drain in the old service's list: got %v, want it applied", err)
			}
		})
		close(release)
		waitUntil(t, "the new service's list", s, func() bool {
			return p.watch.address == at && p.nextWatch == nil && avoids("s-2")
		})
	}
}

// A list with the last known generation and other entries is applied. A generation that restarts at 0 is applied once
// the service has had the time to catch up.
func TestRepeatedAndRestartedGenerations(t *testing.T) {
	s, _, _ := startServing(t, startCacheServer(t, 0))
	runOnLoop(s, func() {
		p := s.pools.platform
		for _, list := range []struct {
			name       string
			generation uint64
			state      string
			avoided    bool
		}{
			{"the first", 42, "ready", false},
			{"the same, with a drain", 42, "draining", true},
			{"the same, without", 42, "ready", false},
			{"restarted at 0", 0, "draining", true},
		} {
			p.watch.startedAt -= refuseOlderSeconds
			err := p.onList(p.watch, endpointList(list.generation, "127.0.0.1:2", list.state))
			if avoided := p.core.Avoids(discovery.ID("s-1")); err != nil || avoided != list.avoided {
				t.Errorf("%s: got %v and avoided %v, want no error and %v", list.name, err, avoided, list.avoided)
			}
		}
	})
}
