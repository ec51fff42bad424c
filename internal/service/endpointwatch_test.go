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

// A start with a known list asks for what changed since, of the service that told it alone; and one that is full, which all
// routers ask, it leaves time: calls each 0.1 s kept it full all day.
func TestKnownListAndBackoffFromAFullListService(t *testing.T) {
	calls := make(chan string, 1000)
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer full.Close()
	at := full.Listener.Addr().String()
	text := strings.Replace(baseConfig, `"settings":{`, `"known":{"generation":7,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"ready"}]},"settings":{"discovery":"on_request","rules":{"askWithin":4000000000},`, 1)
	s, _, err := assembleConfig(text, at, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	defer s.loop.Post(s.end)
	if first := <-calls; first != "from=7&hold_ms=2000" {
		t.Errorf("it asks first for %q", first)
	}
	if time.Sleep(400 * time.Millisecond); len(calls) > 0 { // the first wait is half a second at the least
		t.Errorf("it called %d times more within 0.4 s", len(calls))
	}
	s.loop.Post(func() {
		s.pools.platform.stopWatching()
		s.pools.platform.follow("localhost" + at[strings.IndexByte(at, ':'):])
	})
	if next := <-calls; next != "" {
		t.Errorf("at another address it asks first for %q", next)
	}
}

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
