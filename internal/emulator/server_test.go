package emulator

import (
	"net"
	"strings"
	"testing"
	"time"
)

const replyTimeout = 700 * time.Millisecond

func TestReadThroughAndOrder(t *testing.T) {
	f, all := startFleet(t, spec("s-1"))
	c := dialServer(t, all[0].Addr)
	if got := c.get("a"); got != "VA" {
		t.Fatalf("a read got %s", got)
	}
	c.get("b")
	f.runOnLoop(func() {
		x := f.records.Executions
		if len(x) != 2 || !x[0].Miss || x[1].Miss || x[0].How != Answered || x[0].Made == x[1].Made || len(f.records.Fetches) != 1 {
			t.Errorf("a miss and a hit are in the book as %+v %+v", x[0], x[1])
		}
	})
	// A hit behind a miss is answered after it.
	c.sendLine("mg other v Oc Pc=read,d=400\r\nmg key v Od Pc=read,d=400")
	for _, want := range []string{"Oc", "", "Od", ""} {
		if got, err := c.readLine(replyTimeout); err != nil || !strings.Contains(got, want) {
			t.Errorf("got %s, %v; want %s", got, err, want)
		}
	}
}

func TestRepeatsHaveNoEffect(t *testing.T) {
	a, b := spec("s-1"), spec("s-2")
	b.Zone = "other"
	f, all := startFleet(t, a, b)
	c, d := dialServer(t, all[0].Addr), dialServer(t, all[1].Addr)
	for i, x := range []struct {
		to     *testConn
		pause  time.Duration
		repeat bool
	}{{c, 0, false}, {c, 0, true}, {d, 0, false}, {c, 350 * time.Millisecond, false}} { // another group; after the window
		time.Sleep(x.pause)
		x.to.sendLine("ms k 2 O%d Pc=put,d=400,k=m\r\nhi", i)
		if got, err := x.to.readLine(replyTimeout); err != nil || !strings.HasPrefix(got, "HD ") {
			t.Fatalf("a write got %s, %v", got, err)
		}
		f.runOnLoop(func() {
			if execution := f.records.Executions[i]; execution.Repeat != x.repeat || execution.Effect == x.repeat {
				t.Errorf("write %d: repeat %v, effect %v", i, execution.Repeat, execution.Effect)
			}
		})
	}
}

// Its bounds turn away what never ran, and work nobody waits for stops.
func TestBoundsAndCancelling(t *testing.T) {
	s := spec("s-1")
	s.Queue, s.Connections = 1, 3
	f, all := startFleet(t, s)
	f.runOnLoop(func() { all[0].Stall() })
	one, two := dialServer(t, all[0].Addr), dialServer(t, all[0].Addr)
	one.sendLine("mg key v Oa Pc=read,d=400")
	time.Sleep(50 * time.Millisecond)
	if got := two.get("b"); got != "SERVER_ERROR busy" {
		t.Errorf("beyond its queue it said %s", got)
	}
	dialServer(t, all[0].Addr)
	time.Sleep(20 * time.Millisecond)
	if got := dialServer(t, all[0].Addr).get("c"); got != "SERVER_ERROR busy" {
		t.Errorf("beyond its connections it said %s", got)
	}
	one.Close()
	time.Sleep(50 * time.Millisecond)
	f.runOnLoop(func() {
		x := f.records.Executions
		if x[0].How != Cancelled || x[1].How != TurnedAway || x[2].How != TurnedAway || len(all[0].processor.waiting) != 0 {
			t.Errorf("the book has %v, %v, %v", x[0].How, x[1].How, x[2].How)
		}
	})
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	s := spec("s-1")
	s.Idle = 0.2
	_, all := startFleet(t, s)
	if _, err := dialServer(t, all[0].Addr).readLine(2 * time.Second); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("an idle connection ended with %v", err)
	}
}

// Each fault is seen on the socket, and is over when it ends.
func TestStallAndSlow(t *testing.T) {
	f, all := startFleet(t, spec("s-1"))
	s, c := all[0], dialServer(t, all[0].Addr)
	c.get("a")
	for name, begin := range map[string]func() func(){"stall": s.Stall, "slow": func() func() { return s.Slow(100) }} {
		var end func()
		f.runOnLoop(func() { end = begin() })
		c.sendLine("mg key v O%s Pc=read,d=900", name)
		if got, err := c.readLine(100 * time.Millisecond); err == nil {
			t.Errorf("%s: it answered %s", name, got)
		}
		f.runOnLoop(end)
		if got, err := c.readLine(replyTimeout); err != nil {
			t.Errorf("%s: after its end %s, %v", name, got, err)
		}
		c.readLine(replyTimeout)
	}
}

func TestCrashResetsRefusesAndComesBackCold(t *testing.T) {
	f, all := startFleet(t, spec("s-1"))
	s, c := all[0], dialServer(t, all[0].Addr)
	c.get("a")
	var end func() error
	f.runOnLoop(func() { end = s.Crash() })
	if _, err := c.readLine(replyTimeout); err == nil || !strings.Contains(err.Error(), "reset") {
		t.Errorf("an open connection ended with %v", err)
	}
	if _, err := net.DialTimeout("tcp", s.Addr, replyTimeout); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("a new connection ended with %v", err)
	}
	f.runOnLoop(func() {
		if err := end(); err != nil {
			t.Error(err)
		}
		if w := s.capacityFraction(f.loop.Now()); w > 0.6 || len(s.cache.at) != 0 || s.started == 0 {
			t.Errorf("it came back with warmth %v and %d objects", w, len(s.cache.at))
		}
	})
	if got := dialServer(t, s.Addr).get("b"); got != "VA" {
		t.Errorf("after its end it said %s", got)
	}
}

func TestVanishIsSilent(t *testing.T) {
	f, all := startFleet(t, spec("s-1"))
	s, c := all[0], dialServer(t, all[0].Addr)
	c.get("a")
	var end func() error
	f.runOnLoop(func() {
		var err error
		if end, err = s.Vanish(); err != nil {
			t.Error(err)
		}
	})
	c.sendLine("mg key v Ob Pc=read,d=400")
	if _, err := c.readLine(200 * time.Millisecond); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("an open connection said %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	if conn, err := net.DialTimeout("tcp", s.Addr, 200*time.Millisecond); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("a new connection came to %v, %v", conn, err)
	}
	f.runOnLoop(func() {
		if err := end(); err != nil {
			t.Error(err)
		}
	})
	if _, err := c.readLine(replyTimeout); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("after its end an open connection said %v, want a reset", err)
	}
	if got := dialServer(t, s.Addr).get("c"); got != "VA" {
		t.Errorf("after its end it said %s", got)
	}
}

func TestRefuseResetSpoilAndFail(t *testing.T) {
	f, all := startFleet(t, spec("s-1"))
	s, c := all[0], dialServer(t, all[0].Addr)
	c.get("a")
	var back func() error
	f.runOnLoop(func() { back = s.Refuse() })
	if _, err := net.DialTimeout("tcp", s.Addr, replyTimeout); err == nil {
		t.Error("a new connection was not refused")
	}
	if got := c.get("b"); got != "VA" {
		t.Errorf("an open connection said %s", got)
	}
	f.runOnLoop(func() { back() })
	var end func()
	f.runOnLoop(func() { end = s.Fail(1) })
	if got := c.get("c"); got != "SERVER_ERROR failed" {
		t.Errorf("failing, it said %s", got)
	}
	f.runOnLoop(func() { end(); end = s.Reset(1) })
	if got := c.get("d"); !strings.Contains(got, "reset") {
		t.Errorf("resetting, it said %s", got)
	}
	f.runOnLoop(func() { end(); end = s.Spoil(1) })
	dialServer(t, s.Addr).get("e")
	f.runOnLoop(func() {
		end()
		if execution := f.records.Executions[len(f.records.Executions)-1]; execution.How != Spoilt {
			t.Errorf("a spoilt answer is in the book as %v", execution.How)
		}
	})
}

// Sent more than its multiple for the stated time, a cold server falls and stays down; the book says so.
func TestColdServerFalls(t *testing.T) {
	s := spec("s-1")
	s.Cores, s.Cold.Warm, s.Queue, s.PerConnection = 1, 5, 100000, 1000
	f, all := startFleet(t, s)
	f.runOnLoop(all[0].startCold)
	c := dialServer(t, s.Addr)
	for i := 0; i < 150; i++ { // some 5 times what half a core can do, for 0.75 s
		c.sendLine("%s", strings.Repeat("mg key v Oa Pc=read,d=9000\r\n", 6))
		time.Sleep(4 * time.Millisecond)
	}
	f.runOnLoop(func() {
		if len(f.records.Falls) != 1 || !all[0].Collapsed() || all[0].listedMode() != Gone {
			t.Errorf("there were %d falls", len(f.records.Falls))
		}
	})
	if _, err := net.DialTimeout("tcp", s.Addr, replyTimeout); err == nil {
		t.Error("a fallen server takes connections")
	}
}

// The origin stops when pushed past its bound, and tells how much of that came from cold servers.
func TestOriginHalts(t *testing.T) {
	f, all := startFleet(t, spec("s-1"))
	f.runOnLoop(all[0].startCold)
	for range 30 {
		f.runOnLoop(func() {
			for range 40 {
				f.origin.fetch(all[0], func() {})
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	f.runOnLoop(func() {
		if len(f.records.Halts) != 1 || f.records.Halts[0].ColdPart != 1 || f.origin.processor.rate != 0 {
			t.Errorf("halts: %+v", f.records.Halts)
		}
	})
	time.Sleep(400 * time.Millisecond)
	f.runOnLoop(func() {
		if f.origin.processor.rate != 1 {
			t.Error("it did not go on")
		}
	})
}
