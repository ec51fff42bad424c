package service

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"strings"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/hotrestart"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// A disabled server gets no request once the call has returned, even if it leaves the endpoint list and returns. Its
// idle connections are closed. One call to enable it undoes two to disable it. An id that no list has named is refused.
// The metrics reflect all of this, and start at 0 for each traffic class.
func TestDisabledServerGetsNoRequests(t *testing.T) {
	handler, addr, _ := startWithAdmin(t, startScriptedServer(t, serveLongValues))
	s := handler.service
	platform := s.pools.platform
	expectMetrics := func(want string) {
		t.Helper()
		before := handler.Metrics()
		waitUntil(t, "newer metrics", s, func() bool { return len(before) > 0 && &handler.Metrics()[0] != &before[0] })
		if got := string(handler.Metrics()); !strings.Contains(got, want) {
			t.Errorf("metrics: got %s, want them to contain %s", got, want)
		}
	}
	expectMetrics("gw.transactions.t.answered=0\ngw.transactions.t.deferred=0\ngw.transactions.t.errored=0\n" +
		"gw.sends=0\ngw.current=0\n")
	_, in := dialAndSend(t, addr, "a", "short") // and stays open: a client that closes early may get no answer
	for _, want := range []string{"VA 2 Oa\r\n", "hi\r\n"} {
		if got, _ := in.ReadString('\n'); got != want {
			t.Errorf("got the line %q, want %q", got, want)
		}
	}
	noneIdle := func() bool { return platform.servers.IdleConnections() == 0 }
	if callOnLoop(s, noneIdle) {
		t.Error("no idle connection to the server is kept before it is disabled")
	}
	if err := handler.DisableServer("s-2"); err != admin.ErrUnknownServer {
		t.Errorf("unknown id: got %v, want ErrUnknownServer", err)
	}
	var log bytes.Buffer
	runOnLoop(s, func() {
		platform.known[discovery.ID("s-3")] = false
		s.log = zerolog.New(&log)
	})
	done := make(chan error)
	for _, id := range []string{"s-1", "s-3", "s-1"} { // concurrently: no call undoes another's change for a moment
		go func() { done <- handler.DisableServer(id) }()
	}
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	text := callOnLoop(s, log.String)
	if strings.Contains(text, `"out":false`) || strings.Count(text, `"out":true`) != 2 {
		t.Errorf("got the log %s, want two servers disabled and none enabled", text)
	}
	if !callOnLoop(s, noneIdle) {
		t.Error("connections to the disabled server are kept")
	}
	runOnLoop(s, func() { // the server leaves the list and returns with another start time
		entry := discovery.Instance{Endpoint: balancer.Endpoint{ID: discovery.ID("s-1"), State: balancer.Removed}}
		platform.applyList(balancer.UpdateDelta, discovery.EndpointList{Instances: []discovery.Instance{entry}})
		entry.State = balancer.Ready
		entry.StartedAt = 7
		entry.Addr = netip.MustParseAddrPort("127.0.0.1:1")
		platform.applyList(balancer.UpdateDelta, discovery.EndpointList{Instances: []discovery.Instance{entry}})
	})
	if got := sendCommand(addr, "mg short v Ob Pc=t,d=1900"); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("with the only server disabled: got %q, want a rejection", got)
	}
	expectMetrics("gw.transactions.t.answered=1\ngw.transactions.t.deferred=1\ngw.transactions.t.errored=0\n" +
		"gw.sends=1\ngw.current=0\ngw.cluster_size=1\ngw.cluster_unhealthy=1\n")
	if err := handler.EnableServer("s-1"); err != nil {
		t.Fatal(err)
	}
	expectMetrics("gw.cluster_size=1\ngw.cluster_unhealthy=0\n")
}

// Another process holds the lock of the file. A call to disable a server then takes effect only in this process and
// returns an error that says so, and a call to enable it changes nothing. Both succeed once the lock is free. The same
// holds for zones.
func TestOperatorCallsWhileAnotherProcessHoldsTheLock(t *testing.T) {
	dir := t.TempDir()
	addr := testaddress.New()
	s, _ := startProcess(t, addr, startCacheServer(t, 0), dir)
	waitServing(t, s)
	runOnLoop(s, func() {
		s.openZones(operatorconfig.File{Zones: operatorconfig.Zones{On: true}})
		s.zones.begin()
		s.zones.controller.OnEndpoints(s.loop.Now(), map[string]int{"a": 1, "b": 1}, nil)
	})
	handler := addAdminHandler(s)
	serverDisabled := func() bool { return s.disabled.ids["s-1"] }
	zoneEvacuated := func() bool { return s.zones.evacuated["a"] && s.zones.controller.Share("a") == 0 }
	for _, subject := range []struct {
		name, file      string
		disable, enable func(string) error
		disabled        func() bool
	}{
		{"s-1", "out", handler.DisableServer, handler.EnableServer, serverDisabled},
		{"a", "zones", handler.EvacuateZone, handler.RestoreZone, zoneEvacuated},
	} {
		path := hotrestart.Path(dir, addr, subject.file)
		for _, step := range []struct {
			name     string
			call     func(string) error
			lockHeld bool
			err      error
			disabled bool
		}{
			{"disable with the lock held", subject.disable, true, disabledservers.ErrLocalOnly, true},
			{"disable", subject.disable, false, nil, true},
			{"enable with the lock held", subject.enable, true, disabledservers.ErrUnchanged, true},
			{"enable", subject.enable, false, nil, false},
		} {
			lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
			if err == nil && step.lockHeld {
				err = unix.Flock(int(lock.Fd()), unix.LOCK_EX)
			}
			if err != nil {
				t.Fatal(err)
			}
			err = step.call(subject.name)
			disabled := callOnLoop(s, subject.disabled)
			if !errors.Is(err, step.err) || disabled != step.disabled {
				t.Errorf("%s, %s: got %v and disabled %t, want %v and %t", subject.name, step.name, err, disabled,
					step.err, step.disabled)
			}
			lock.Close()
		}
	}
}
