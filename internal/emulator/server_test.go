package emulator

import (
	"net"
	"strings"
	"testing"
	"time"
)

const replyTimeout = 700 * time.Millisecond

// A miss is fetched from the origin and cached, and the records say so. Replies are sent in the order of the commands.
func TestReadThroughAndReplyOrder(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"))
	conn := dialServer(t, servers[0].Addr)
	if got := conn.get("a"); got != "VA" {
		t.Fatalf("a read got %s, want VA", got)
	}
	conn.get("b")
	fleet.runOnLoop(func() {
		executions := fleet.records.Executions
		if len(executions) != 2 || !executions[0].Miss || executions[1].Miss || executions[0].Outcome != Answered ||
			executions[0].AnswerSum == executions[1].AnswerSum || len(fleet.records.Fetches) != 1 {
			t.Errorf("got the records %+v %+v, want a miss, a hit and one fetch", executions[0], executions[1])
		}
	})
	// A hit that follows a miss is answered after it.
	conn.sendLine("mg other v Oc Pc=read,d=400\r\nmg key v Od Pc=read,d=400")
	for _, want := range []string{"Oc", "", "Od", ""} {
		if got, err := conn.readLine(replyTimeout); err != nil || !strings.Contains(got, want) {
			t.Errorf("got %s, %v; want %s", got, err, want)
		}
	}
}

// A repeated write has no effect of its own within its deduplication scope and window. It has one outside them.
func TestDuplicateWritesHaveNoEffect(t *testing.T) {
	first, second := spec("s-1"), spec("s-2")
	second.Zone = "other"
	fleet, servers := startFleet(t, first, second)
	firstConn, secondConn := dialServer(t, servers[0].Addr), dialServer(t, servers[1].Addr)
	for i, x := range []struct {
		to     *testConn
		pause  time.Duration
		repeat bool
	}{{firstConn, 0, false}, {firstConn, 0, true}, {secondConn, 0, false},
		{firstConn, 350 * time.Millisecond, false}} { // another scope; after the window
		time.Sleep(x.pause)
		x.to.sendLine("ms k 2 O%d Pc=put,d=400,k=m\r\nhi", i)
		if got, err := x.to.readLine(replyTimeout); err != nil || !strings.HasPrefix(got, "HD ") {
			t.Fatalf("a write got %s, %v; want HD", got, err)
		}
		fleet.runOnLoop(func() {
			if execution := fleet.records.Executions[i]; execution.Repeat != x.repeat || execution.Effect == x.repeat {
				t.Errorf("write %d: got repeat %v, effect %v; want repeat %v", i, execution.Repeat, execution.Effect, x.repeat)
			}
		})
	}
}

// Commands beyond the queue's or the connections' limit are rejected before they run. Work is cancelled when its
// connection ends.
func TestServerLimitsAndCancellation(t *testing.T) {
	s := spec("s-1")
	s.Queue, s.Connections = 1, 3
	fleet, servers := startFleet(t, s)
	fleet.runOnLoop(func() { servers[0].Stall() })
	one, two := dialServer(t, servers[0].Addr), dialServer(t, servers[0].Addr)
	one.sendLine("mg key v Oa Pc=read,d=400")
	time.Sleep(50 * time.Millisecond)
	if got := two.get("b"); got != "SERVER_ERROR busy" {
		t.Errorf("beyond the queue's limit got %s, want SERVER_ERROR busy", got)
	}
	dialServer(t, servers[0].Addr)
	time.Sleep(20 * time.Millisecond)
	if got := dialServer(t, servers[0].Addr).get("c"); got != "SERVER_ERROR busy" {
		t.Errorf("beyond the connections' limit got %s, want SERVER_ERROR busy", got)
	}
	one.Close()
	time.Sleep(50 * time.Millisecond)
	fleet.runOnLoop(func() {
		executions := fleet.records.Executions
		if executions[0].Outcome != Cancelled || executions[1].Outcome != RejectedExecution || executions[2].Outcome != RejectedExecution ||
			len(servers[0].processor.waiting) != 0 {
			t.Errorf("got executions %v, %v, %v; want cancelled, turned away, turned away and an empty queue",
				executions[0].Outcome, executions[1].Outcome, executions[2].Outcome)
		}
	})
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	s := spec("s-1")
	s.Idle = 0.2
	_, servers := startFleet(t, s)
	if _, err := dialServer(t, servers[0].Addr).readLine(2 * time.Second); err == nil ||
		strings.Contains(err.Error(), "timeout") {
		t.Errorf("an idle connection: got %v, want it closed", err)
	}
}

// A stalled or slowed server does not answer in time. It answers after the fault's end.
func TestStallAndSlowFaults(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"))
	server, conn := servers[0], dialServer(t, servers[0].Addr)
	conn.get("a")
	for name, begin := range map[string]func() func(){
		"stall": server.Stall, "slow": func() func() { return server.Slow(100) }} {
		var end func()
		fleet.runOnLoop(func() { end = begin() })
		conn.sendLine("mg key v O%s Pc=read,d=900", name)
		if got, err := conn.readLine(100 * time.Millisecond); err == nil {
			t.Errorf("%s: got the answer %s, want none within 100 ms", name, got)
		}
		fleet.runOnLoop(end)
		if got, err := conn.readLine(replyTimeout); err != nil {
			t.Errorf("%s: after its end got %s, %v; want an answer", name, got, err)
		}
		conn.readLine(replyTimeout)
	}
}

// A crash resets open connections and refuses new ones. At its end the server restarts cold and with an empty cache.
func TestCrashResetsRefusesAndRestartsCold(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"))
	server, conn := servers[0], dialServer(t, servers[0].Addr)
	conn.get("a")
	var end func() error
	fleet.runOnLoop(func() { end = server.Crash() })
	if _, err := conn.readLine(replyTimeout); err == nil || !strings.Contains(err.Error(), "reset") {
		t.Errorf("an open connection ended with %v, want a reset", err)
	}
	if _, err := net.DialTimeout("tcp", server.Addr, replyTimeout); err == nil ||
		!strings.Contains(err.Error(), "refused") {
		t.Errorf("a new connection: got %v, want it refused", err)
	}
	fleet.runOnLoop(func() {
		if err := end(); err != nil {
			t.Error(err)
		}
		if w := server.capacityFraction(fleet.loop.Now()); w > 0.6 || len(server.cache.at) != 0 || server.started == 0 {
			t.Errorf("after its end: got capacity fraction %v and %d objects, want at most 0.6, none and a start time", w,
				len(server.cache.at))
		}
	})
	if got := dialServer(t, server.Addr).get("b"); got != "VA" {
		t.Errorf("after its end got %s, want VA", got)
	}
}

// An unreachable server answers nothing on open connections and establishes no new ones. At the fault's end the open
// connections are reset.
func TestUnreachableServerIsSilent(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"))
	server, conn := servers[0], dialServer(t, servers[0].Addr)
	conn.get("a")
	var end func() error
	fleet.runOnLoop(func() {
		var err error
		if end, err = server.MakeUnreachable(); err != nil {
			t.Error(err)
		}
	})
	conn.sendLine("mg key v Ob Pc=read,d=400")
	if _, err := conn.readLine(200 * time.Millisecond); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("an open connection: got %v, want a timeout", err)
	}
	time.Sleep(50 * time.Millisecond)
	if conn, err := net.DialTimeout("tcp", server.Addr, 200*time.Millisecond); err == nil ||
		!strings.Contains(err.Error(), "timeout") {
		t.Errorf("a new connection: got %v, %v; want a timeout", conn, err)
	}
	fleet.runOnLoop(func() {
		if err := end(); err != nil {
			t.Error(err)
		}
	})
	if _, err := conn.readLine(replyTimeout); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("after its end an open connection: got %v, want a reset", err)
	}
	if got := dialServer(t, server.Addr).get("c"); got != "VA" {
		t.Errorf("after its end got %s, want VA", got)
	}
}

// Each of these faults has its effect on new or open connections, and a malformed answer is recorded as one.
func TestRefuseResetCorruptAndFailFaults(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"))
	server, conn := servers[0], dialServer(t, servers[0].Addr)
	conn.get("a")
	var endRefuse func() error
	fleet.runOnLoop(func() { endRefuse = server.Refuse() })
	if _, err := net.DialTimeout("tcp", server.Addr, replyTimeout); err == nil {
		t.Error("a new connection was accepted, want it refused")
	}
	if got := conn.get("b"); got != "VA" {
		t.Errorf("an open connection: got %s, want VA", got)
	}
	fleet.runOnLoop(func() { endRefuse() })
	var end func()
	fleet.runOnLoop(func() { end = server.Fail(1) })
	if got := conn.get("c"); got != "SERVER_ERROR failed" {
		t.Errorf("Fail: got %s, want SERVER_ERROR failed", got)
	}
	fleet.runOnLoop(func() { end(); end = server.Reset(1) })
	if got := conn.get("d"); !strings.Contains(got, "reset") {
		t.Errorf("Reset: got %s, want a reset", got)
	}
	fleet.runOnLoop(func() { end(); end = server.Corrupt(1) })
	dialServer(t, server.Addr).get("e")
	fleet.runOnLoop(func() {
		end()
		if execution := fleet.records.Executions[len(fleet.records.Executions)-1]; execution.Outcome != MalformedAnswer {
			t.Errorf("a malformed answer is recorded as %v, want spoilt", execution.Outcome)
		}
	})
}

// A cold server collapses and stays down if its load exceeds the multiple of its capacity for the stated time. The
// collapse is recorded.
func TestOverloadedColdServerCollapses(t *testing.T) {
	s := spec("s-1")
	s.Cores, s.Cold.Warm, s.Queue, s.PerConnection = 1, 5, 100000, 1000
	fleet, servers := startFleet(t, s)
	fleet.runOnLoop(servers[0].startCold)
	conn := dialServer(t, s.Addr)
	for i := 0; i < 150; i++ { // about 5 times the capacity of half a core, for 0.75 s
		conn.sendLine("%s", strings.Repeat("mg key v Oa Pc=read,d=9000\r\n", 6))
		time.Sleep(4 * time.Millisecond)
	}
	fleet.runOnLoop(func() {
		if len(fleet.records.Collapses) != 1 || !servers[0].Collapsed() || servers[0].listedMode() != Gone {
			t.Errorf("got %d collapses, want 1 and the server listed as gone", len(fleet.records.Collapses))
		}
	})
	if _, err := net.DialTimeout("tcp", s.Addr, replyTimeout); err == nil {
		t.Error("a collapsed server accepted a connection")
	}
}

// The origin stops under overload and resumes later. The record of the stop says which fraction of the calls came from
// cold servers.
func TestOverloadedOriginHalts(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"))
	fleet.runOnLoop(servers[0].startCold)
	for range 30 {
		fleet.runOnLoop(func() {
			for range 40 {
				fleet.origin.fetch(servers[0], func() {})
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	fleet.runOnLoop(func() {
		if len(fleet.records.Halts) != 1 || fleet.records.Halts[0].ColdFraction != 1 || fleet.origin.processor.rate != 0 {
			t.Errorf("halts: got %+v, want one with all calls from cold servers, and a stopped origin", fleet.records.Halts)
		}
	})
	time.Sleep(400 * time.Millisecond)
	fleet.runOnLoop(func() {
		if fleet.origin.processor.rate != 1 {
			t.Error("the origin did not resume")
		}
	})
}
