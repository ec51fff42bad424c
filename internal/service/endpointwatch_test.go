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

	"github.com/rs/zerolog"
)

// configWithKnownList is baseConfig with a list that is known at the start, in which s-1 drains, and lists that are
// polled.
var configWithKnownList = strings.Replace(baseConfig, `"settings":{`, `"known":{
	"generation":42,"reset":true,"instances":[
	{"instanceId":"s-1","hostPort":"127.0.0.1:2","lifecycle":"draining"},
	{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"ready"}]},"settings":{"discovery":"on_request",`, 1)

// endpointList returns a list that names s-1 and s-2 at an address where nothing listens, the first in a state.
func endpointList(generation uint64, at, state string) discovery.EndpointList {
	list, err := discovery.Parse(fmt.Appendf(nil, `{"generation":%d,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"%s","lifecycle":"%s"},
		{"instanceId":"s-2","hostPort":"%[2]s","lifecycle":"ready"}]}`, generation, at, state))
	if err != nil {
		panic(err)
	}
	return list
}

// A start with a known list polls for what changed since, but only the service that told that list. And it leaves
// time to one that is full: all routers poll it, and polls each 0.1 s would keep it full.
func TestKnownListAndBackoffFromAFullListService(t *testing.T) {
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
		t.Errorf("it polls first for %q", first)
	}
	time.Sleep(400 * time.Millisecond) // the first wait is half a second at the least
	if len(polls) > 0 {
		t.Errorf("it polled %d times more within 0.4 s", len(polls))
	}
	s.loop.Post(func() {
		s.pools.platform.stopWatching()
		s.pools.platform.watchListService("localhost" + at[strings.IndexByte(at, ':'):])
	})
	if next := <-polls; next != "" {
		t.Errorf("at another address it polls first for %q", next)
	}
}

// SIGHUP moves the watch while a list of the old one is on its way: a drain in it must not be taken back by the new
// service's first list, which lags behind.
func TestADrainOnItsWayIsNotTakenBackByAServiceThatLags(t *testing.T) {
	s, _ := startProcess(t, freeAddress(t), startCacheServer(t, 0), "")
	waitServing(t, s)
	p := s.pools.platform
	avoided := func() bool { return p.core.Avoids(discovery.ID("s-1")) }
	runOnLoop(s, func() {
		if p.watch == nil { // it has told nothing since the list that was known
			p.watch = p.nextWatch
			p.nextWatch = nil
		}
		was := p.watch
		p.watchListService("127.0.0.1:1")
		moved := p.nextWatch
		if err := p.onList(was, endpointList(42, "127.0.0.1:2", "draining")); err != nil || !avoided() {
			t.Errorf("the drain is not taken: %v", err)
		}
		if err := p.onList(moved, endpointList(41, "127.0.0.1:2", "ready")); err == nil || !avoided() {
			t.Errorf("it is taken back: %v", err)
		}
		lags := endpointList(41, "127.0.0.1:2", "ready")
		lags.Instances[1].State = balancer.Draining
		if err := p.onList(moved, lags); err == nil || !avoided() || !p.core.Avoids(discovery.ID("s-2")) {
			t.Errorf("a drain in a list that lags is not applied: %v", err)
		}
		if p.watch != was {
			t.Error("the watch before is left before the new service has told a list that counts")
		}
		moved.startedAt -= catchUpSeconds // then it counts generations of its own
		if err := p.onList(moved, endpointList(7, "127.0.0.1:2", "ready")); err != nil || avoided() || p.watch != moved {
			t.Errorf("the new service is never followed: %v", err)
		}
		if err := p.onList(was, endpointList(43, "127.0.0.1:2", "draining")); err != nil || avoided() {
			t.Errorf("a list of a service that was left still counts: %v", err)
		}
	})
}

// SIGHUP names another list service before the start's own has told anything: a drain that was known must not be
// taken back by one that lags behind the list that the process started with.
func TestAKnownDrainIsNotTakenBackByAServiceNamedBeforeTheFirstList(t *testing.T) {
	s, _, err := assembleConfig(configWithKnownList, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runLoop(t)
	runOnLoop(s, func() {
		p := s.pools.platform
		avoided := func() bool { return p.core.Avoids(discovery.ID("s-1")) }
		p.watchListService("127.0.0.1:2")
		moved := p.nextWatch
		if err := p.onList(moved, endpointList(41, "127.0.0.1:2", "ready")); err == nil || !avoided() {
			t.Errorf("the drain is taken back: %v", err)
		}
		if err := p.onList(moved, endpointList(43, "127.0.0.1:2", "ready")); err != nil || avoided() {
			t.Errorf("a newer list is not taken: %v", err)
		}
	})
}

// startHangingListService starts a list service whose first two polls hang until back is closed; then it rejects
// one and answers with a list in which s-2 drains. polls tells each poll.
func startHangingListService(t *testing.T) (at string, polls, back chan bool) {
	polls = make(chan bool, 1000)
	back = make(chan bool)
	var answered atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case polls <- true:
		default:
		}
		if r.URL.RawQuery != "" { // a poll for changes goes on, without any
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
		io.WriteString(w, `{"generation":51,"reset":true,"instances":[
			{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"draining"}]}`)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String(), polls, back
}

// SIGHUP moves the router to a list service that hangs, then rejects polls: the lists of the one before count all
// the while, and the new one is followed once it answers, both ways of polling.
func TestAMoveToAServiceThatHangs(t *testing.T) {
	for _, settings := range []string{`"settings":{`, `"settings":{"discovery":"on_request",`} {
		text := strings.Replace(baseConfig, `"settings":{`, settings, 1)
		s, _, err := assembleConfig(text, startCacheServer(t, 0), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s.runLoop(t)
		waitServing(t, s)
		at, polls, back := startHangingListService(t)
		p := s.pools.platform
		avoids := func(server string) bool { return p.core.Avoids(discovery.ID(server)) }
		runOnLoop(s, func() { p.watchListService(at) })
		<-polls
		<-polls // the first hangs
		runOnLoop(s, func() {
			err := p.onList(p.watch, endpointList(50, "127.0.0.1:2", "draining"))
			if err != nil || !avoids("s-1") || p.watch.address == at {
				t.Errorf("the drain that the service before tells is not taken: %v", err)
			}
		})
		close(back)
		waitUntil(t, "the other service's list", s, func() bool {
			return p.watch.address == at && p.nextWatch == nil && avoids("s-2")
		})
	}
}

// A generation that is told again with other entries counts; one that starts again at 0 counts once the service has
// had time to catch up.
func TestGenerationsThatRepeatAndStartAgain(t *testing.T) {
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
			{"again, with a drain", 42, "draining", true},
			{"again, without", 42, "ready", false},
			{"from 0 on", 0, "draining", true},
		} {
			p.watch.startedAt -= catchUpSeconds
			err := p.onList(p.watch, endpointList(list.generation, "127.0.0.1:2", list.state))
			if avoided := p.core.Avoids(discovery.ID("s-1")); err != nil || avoided != list.avoided {
				t.Errorf("%s: %v, avoided %v", list.name, err, avoided)
			}
		}
	})
}
