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

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// A cache server that is out gets nothing from the yes on, whatever the list says, and no connection is kept; one call back undoes
// two calls out, and an id that no list has named is refused. The figures follow, from 0 for each class.
func TestDisabledServer(t *testing.T) {
	d, addr, _ := startWithAdmin(t, startScriptedServer(t, serveLongValues))
	figures := func(want string) {
		t.Helper()
		before := d.Metrics()
		waitUntil(t, "newer figures", d.service, func() bool { return len(before) > 0 && &d.Metrics()[0] != &before[0] })
		if got := string(d.Metrics()); !strings.Contains(got, want) {
			t.Errorf("the figures are %s, not with %s", got, want)
		}
	}
	figures("gw.transactions.t.answered=0\ngw.transactions.t.deferred=0\ngw.transactions.t.errored=0\ngw.sends=0\ngw.current=0\n")
	_, in := dialAndSend(t, addr, "a", "short") // and stays: who leaves before all of its answer is written has none
	for _, want := range []string{"VA 2 Oa\r\n", "hi\r\n"} {
		if got, _ := in.ReadString('\n'); got != want {
			t.Errorf("it answers %q", got)
		}
	}
	idle := func() bool { return d.service.pools.platform.servers.Idle() == 0 }
	if callOnLoop(d.service, idle) {
		t.Error("no connection is kept")
	}
	if err := d.DisableServer("s-2"); err != admin.ErrUnknownServer {
		t.Errorf("an unknown id gets %v", err)
	}
	var log bytes.Buffer
	callOnLoop(d.service, func() bool {
		d.service.pools.platform.known[discovery.ID("s-3")], d.service.log = false, zerolog.New(&log)
		return true
	})
	done := make(chan error)
	for _, id := range []string{"s-1", "s-3", "s-1"} { // at once: no set of one call takes another's back for a moment
		go func() { done <- d.DisableServer(id) }()
	}
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if text := callOnLoop(d.service, log.String); strings.Contains(text, `"out":false`) || strings.Count(text, `"out":true`) != 2 {
		t.Errorf("it did %s", text)
	}
	if !callOnLoop(d.service, idle) {
		t.Error("connections to it are kept")
	}
	callOnLoop(d.service, func() bool { // it leaves the list and comes back under another start
		e := discovery.Entry{Endpoint: balancer.Endpoint{ID: discovery.ID("s-1"), State: balancer.Removed}}
		d.service.pools.platform.applyList(balancer.UpdateDelta, discovery.List{Entries: []discovery.Entry{e}})
		e.State, e.StartedAt, e.Addr = balancer.Ready, 7, netip.MustParseAddrPort("127.0.0.1:1")
		d.service.pools.platform.applyList(balancer.UpdateDelta, discovery.List{Entries: []discovery.Entry{e}})
		return true
	})
	if got := sendCommand(addr, "mg short v Ob Pc=t,d=1900"); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("with the only cache server out it answers %q", got)
	}
	figures("gw.transactions.t.answered=1\ngw.transactions.t.deferred=1\ngw.transactions.t.errored=0\ngw.sends=1\ngw.current=0\ngw.cluster_size=1\ngw.cluster_unhealthy=1\n")
	if err := d.EnableServer("s-1"); err != nil {
		t.Fatal(err)
	}
	figures("gw.cluster_size=1\ngw.cluster_unhealthy=0\n")
}

// While another process holds the file of what is out, a call out holds here and says so, and a call back leaves all as it was; both
// through once the file is free. So it is with zones.
func TestOperatorCallsBesideAHeldLock(t *testing.T) {
	dir, addr := t.TempDir(), freeAddress(t)
	s, _ := startProcess(t, addr, startCacheServer(t, 0), dir)
	waitServing(t, s)
	d := callOnLoop(s, func() *adminHandler {
		s.openZones(operatorconfig.File{Zones: operatorconfig.Zones{On: true}})
		s.zones.begin()
		s.zones.fleet.OnEndpoints(s.loop.Now(), map[string]int{"a": 1, "b": 1}, nil)
		s.admin.handler = &adminHandler{service: s}
		s.publish()
		return s.admin.handler
	})
	for _, c := range []struct {
		name, ending string
		leave, back  func(string) error
		out          func() bool
	}{
		{"s-1", "out", d.DisableServer, d.EnableServer, func() bool { return s.disabled.ids["s-1"] }},
		{"a", "zones", d.EvacuateZone, d.RestoreZone, func() bool { return s.zones.evacuated["a"] && s.zones.fleet.Share("a") == 0 }},
	} {
		path := hotrestart.Path(dir, addr, c.ending)
		for _, step := range []struct {
			call func(string) error
			held bool
			err  error
			out  bool
		}{{c.leave, true, disabledservers.ErrLocalOnly, true}, {c.leave, false, nil, true}, {c.back, true, disabledservers.ErrUnchanged, true}, {c.back, false, nil, false}} {
			lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
			if err == nil && step.held {
				err = unix.Flock(int(lock.Fd()), unix.LOCK_EX)
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := step.call(c.name); !errors.Is(err, step.err) || callOnLoop(s, c.out) != step.out {
				t.Errorf("%s, held: %t: it gets %v, and is out: %t", c.name, step.held, err, callOnLoop(s, c.out))
			}
			lock.Close()
		}
	}
}
