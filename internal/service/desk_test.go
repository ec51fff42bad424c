package service

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/disabledservers"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/hotrestart"
	"bendtrestle/internal/operatorconfig"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// A drain says no at once, serves what comes meanwhile, and two seconds later no connection is left, whether its client pauses,
// never pauses or says nothing, but for a long value on its way, which comes whole. Taken again at once, and told to end in
// another drain, the router ends in time.
func TestDrain(t *testing.T) {
	d, addr, ended := operated(t, giving(t, lengthy))
	silent, _ := asking(t, addr, "", "")
	_, late := asking(t, addr, "late", "slow")
	var ends []chan error
	for i := range 6 {
		ends = append(ends, asker(t, addr, fmt.Sprint("a", i), time.Duration(i)*60*time.Millisecond))
	}
	time.Sleep(200 * time.Millisecond)
	for range 2 {
		if err := d.Drain(); err != nil || d.Ready() {
			t.Fatalf("drain: %v, ready %v", err, d.Ready())
		}
	}
	if got := ask(addr, "mn") + ask(addr, "mg short v Ob Pc=t,d=1900"); got != "SERVER_ERROR drainingVA 2 Ob" {
		t.Errorf("in a drain it answers %q", got)
	}
	began := time.Now()
	for i, closed := range slices.Backward(ends) {
		latest := 1200 * time.Millisecond // those that pause go as they fall idle
		if i == 0 {
			latest = 2500 * time.Millisecond
		}
		select {
		case err := <-closed:
			if err != nil {
				t.Errorf("client %d: %v", i, err)
			}
		case <-time.After(latest - time.Since(began)):
			t.Fatalf("client %d is still served", i)
		}
	}
	silent.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a client that says nothing gets %v", err)
	}
	if err := whole(late, "late"); err != nil {
		t.Errorf("the long value: %v", err)
	}
	conn, in := asking(t, addr, "", "")
	fmt.Fprint(conn, "mn\r\n") // later still it is told no and closed
	if text, err := io.ReadAll(in); string(text) != "SERVER_ERROR draining\r\n" || err != nil {
		t.Errorf("drained for long it answers %q, %v", text, err)
	}
	if err := d.Undrain(); err != nil || !d.Ready() || ask(addr, "mn") != "MN" {
		t.Errorf("undrain: %v, ready %v", err, d.Ready())
	}
	d.Drain()
	d.s.loop.Post(d.s.leave)
	if err := d.Undrain(); err != errEnding {
		t.Errorf("as it ends a call gets %v", err)
	}
	gone(t, d.s, ended)
}

// Drains that were called off end no connection later. One that begins before the router serves holds once it does.
func TestDrainCalledOff(t *testing.T) {
	list := giving(t, lengthy)
	d, addr, _ := operated(t, "127.0.0.1:1")
	if d.Ready() {
		t.Error("it is ready without a list")
	}
	d.Drain()
	d.s.loop.Post(func() { d.s.platform.follow(list) })
	serving(t, d.s)
	if got := ask(addr, "mn"); d.Ready() || got != "SERVER_ERROR draining" {
		t.Errorf("drained before it served, it answers %q", got)
	}
	for range 3 {
		d.Undrain()
		d.Drain()
	}
	d.Undrain()
	select {
	case err := <-asker(t, addr, "a", 20*time.Millisecond):
		t.Errorf("the connection ended: %v", err)
	case <-time.After(1800 * time.Millisecond):
	}
	d.Drain()
	d.Undrain()
	time.Sleep(400 * time.Millisecond)
	d.Drain() // its steps count from here
	select {
	case <-asker(t, addr, "b", 20*time.Millisecond):
		t.Error("the connection ended by the step of a drain that was called off")
	case <-time.After(300 * time.Millisecond):
	}
}

// A loop that is held up answers no in time, and does nothing later.
func TestCallsAreDoneOrNot(t *testing.T) {
	d, addr, _ := operated(t, fleet(t, 0))
	held := make(chan bool)
	d.s.loop.Post(func() { <-held })
	began := time.Now()
	if err := d.Drain(); err != admin.ErrBusy || time.Since(began) > time.Second {
		t.Errorf("it is told %v after %v", err, time.Since(began))
	}
	close(held)
	if got := ask(addr, "mn"); got != "MN" {
		t.Errorf("later mn is answered %q", got)
	}
}

// A cache server that is out gets nothing from the yes on, whatever the list says, and no connection is kept; one call back undoes
// two calls out, and an id that no list has named is refused. The figures follow, from 0 for each class.
func TestOutByHand(t *testing.T) {
	d, addr, _ := operated(t, giving(t, lengthy))
	figures := func(want string) {
		t.Helper()
		before := d.Metrics()
		until(t, "newer figures", d.s, func() bool { return len(before) > 0 && &d.Metrics()[0] != &before[0] })
		if got := string(d.Metrics()); !strings.Contains(got, want) {
			t.Errorf("the figures are %s, not with %s", got, want)
		}
	}
	figures("gw.transactions.t.answered=0\ngw.transactions.t.deferred=0\ngw.transactions.t.errored=0\ngw.sends=0\ngw.current=0\n")
	_, in := asking(t, addr, "a", "short") // and stays: who leaves before all of its answer is written has none
	for _, want := range []string{"VA 2 Oa\r\n", "hi\r\n"} {
		if got, _ := in.ReadString('\n'); got != want {
			t.Errorf("it answers %q", got)
		}
	}
	idle := func() bool { return d.s.platform.fleet.Idle() == 0 }
	if on(d.s, idle) {
		t.Error("no connection is kept")
	}
	if err := d.DisableServer("s-2"); err != admin.ErrUnknownServer {
		t.Errorf("an unknown id gets %v", err)
	}
	var log bytes.Buffer
	on(d.s, func() bool { d.s.platform.known[discovery.ID("s-3")], d.s.log = false, zerolog.New(&log); return true })
	done := make(chan error)
	for _, id := range []string{"s-1", "s-3", "s-1"} { // at once: no set of one call takes another's back for a moment
		go func() { done <- d.DisableServer(id) }()
	}
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if text := on(d.s, log.String); strings.Contains(text, `"out":false`) || strings.Count(text, `"out":true`) != 2 {
		t.Errorf("it did %s", text)
	}
	if !on(d.s, idle) {
		t.Error("connections to it are kept")
	}
	on(d.s, func() bool { // it leaves the list and comes back under another start
		e := discovery.Instance{Endpoint: balancer.Endpoint{ID: discovery.ID("s-1"), State: balancer.Removed}}
		d.s.platform.hear(balancer.UpdateDelta, discovery.EndpointList{Instances: []discovery.Instance{e}})
		e.State, e.StartedAt, e.Addr = balancer.Ready, 7, netip.MustParseAddrPort("127.0.0.1:1")
		d.s.platform.hear(balancer.UpdateDelta, discovery.EndpointList{Instances: []discovery.Instance{e}})
		return true
	})
	if got := ask(addr, "mg short v Ob Pc=t,d=1900"); !strings.HasPrefix(got, "SERVER_ERROR busy") {
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
func TestCallsByHandBesideAHeldLock(t *testing.T) {
	dir, addr := t.TempDir(), freeAddress(t)
	s, _ := next(t, addr, fleet(t, 0), dir)
	serving(t, s)
	d := on(s, func() *desk {
		s.openZones(operatorconfig.File{Zones: operatorconfig.Zones{On: true}})
		s.zones.begin()
		s.zones.fleet.OnEndpoints(s.loop.Now(), map[string]int{"a": 1, "b": 1}, nil)
		s.desk = &desk{s: s}
		s.publish()
		return s.desk
	})
	for _, c := range []struct {
		name, ending string
		leave, back  func(string) error
		out          func() bool
	}{
		{"s-1", "out", d.DisableServer, d.EnableServer, func() bool { return s.out["s-1"] }},
		{"a", "zones", d.EvacuateZone, d.RestoreZone, func() bool { return s.zones.hand["a"] && s.zones.fleet.Share("a") == 0 }},
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
			if err := step.call(c.name); !errors.Is(err, step.err) || on(s, c.out) != step.out {
				t.Errorf("%s, held: %t: it gets %v, and is out: %t", c.name, step.held, err, on(s, c.out))
			}
			lock.Close()
		}
	}
}
