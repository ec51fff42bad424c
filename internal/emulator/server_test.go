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

// overloadTimeout is how many seconds a test overloads an emulated system. It may need more than the overload rule
// states: the rule starts again when the test's process is not scheduled for a window of the rule.
const overloadTimeout = 20

// A cold server collapses and stays down if its load exceeds the multiple of its capacity for the stated time, and not
// before. The collapse is recorded.
func TestOverloadedColdServerCollapses(t *testing.T) {
	s := spec("s-1")
	s.Cores, s.Cold.Warm, s.Queue, s.PerConnection = 1, 60, 1000000, 1000000
	fleet, servers := startFleet(t, s)
	fleet.runOnLoop(servers[0].startCold)
	conn := dialServer(t, s.Addr)
	const commandsPerSecond = 3000 // of 2 ms: about 12 times the capacity of half a core
	start, collapsed, sent := fleet.now(), false, 0
	for ; !collapsed && fleet.now() < start+overloadTimeout; time.Sleep(4 * time.Millisecond) {
		due := int((fleet.now() - start) * commandsPerSecond)
		conn.sendLine("%s", strings.Repeat("mg key v Oa Pc=read,d=9000\r\n", due-sent))
		sent = due
		fleet.runOnLoop(func() { collapsed = servers[0].Collapsed() })
	}
	var collapses []Collapse
	var mode Mode
	fleet.runOnLoop(func() { collapses, mode = fleet.records.Collapses, servers[0].listedMode() })
	if len(collapses) != 1 || mode != Gone {
		t.Fatalf("got %d collapses within %v s, want 1 and the server listed as gone", len(collapses), overloadTimeout)
	}
	if overloaded := collapses[0].At - start; overloaded < s.Cold.CollapseSeconds {
		t.Errorf("the server collapsed after %.3f s of overload, want %v s or more", overloaded, s.Cold.CollapseSeconds)
	}
	if _, err := net.DialTimeout("tcp", s.Addr, replyTimeout); err == nil {
		t.Error("a collapsed server accepted a connection")
	}
}

// The origin stops under overload and resumes later. The record of the stop says which fraction of the calls came from
// cold servers.
func TestOverloadedOriginHalts(t *testing.T) {
	s := spec("s-1")
	s.Cold.Warm = 60
	fleet, servers := startFleet(t, s)
	fleet.runOnLoop(servers[0].startCold)
	origin := fleet.origin
	start, halted := fleet.now(), false
	for ; !halted && fleet.now() < start+overloadTimeout; time.Sleep(10 * time.Millisecond) {
		fleet.runOnLoop(func() {
			for range 40 {
				origin.fetch(servers[0], func() {})
			}
			halted = len(fleet.records.Halts) > 0
			if halted && origin.processor.rate != 0 {
				t.Error("the origin works on although it has halted")
			}
		})
	}
	var halts []Halt
	fleet.runOnLoop(func() { halts = fleet.records.Halts })
	if len(halts) != 1 || halts[0].ColdFraction != 1 {
		t.Fatalf("halts: got %+v within %v s, want one with all calls from cold servers", halts, overloadTimeout)
	}
	if overloaded := halts[0].At - start; overloaded < origin.spec.OverloadSeconds {
		t.Errorf("the origin halted after %.3f s of overload, want %v s or more", overloaded, origin.spec.OverloadSeconds)
	}
	for rate := 0.0; rate != 1; time.Sleep(time.Millisecond) {
		fleet.runOnLoop(func() { rate = origin.processor.rate })
		if fleet.now() > halts[0].At+overloadTimeout {
			t.Fatalf("the origin did not resume within %v s", overloadTimeout)
		}
	}
	if stopped := fleet.now() - halts[0].At; stopped < origin.spec.HaltSeconds {
		t.Errorf("the origin resumed after %.3f s, want %v s or more", stopped, origin.spec.HaltSeconds)
	}
}
