package emulator

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bendtrestle/internal/testaddress"
)

// startAgent starts an agent of a running fleet at its own address.
func startAgent(t *testing.T, fleet *Fleet) *Agent {
	agent, err := fleet.list.Agent(testaddress.New())
	if err != nil {
		t.Fatal(err)
	}
	return agent
}

// waitForReports returns an agent's recorded reports once there are as many as wanted, or after 1 s. An agent records a
// response only after it was written, so a caller may read the response before it is recorded.
func waitForReports(agent *Agent, want int) []Report {
	for deadline := time.Now().Add(time.Second); len(agent.Reports()) < want && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return agent.Reports()
}

func TestFullListAndWatch(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"), spec("s-2"))
	agent := startAgent(t, fleet)
	fullList := queryList(t, agent, "")
	if fullList.Generation != 2 || !fullList.Full || len(fullList.Entries) != 2 ||
		fullList.Entries[0].Addr != servers[0].Addr {
		t.Fatalf("full list: got %+v, want generation 2 with both servers", fullList)
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		fleet.runOnLoop(servers[1].Drain)
	}()
	began := time.Now()
	delta := queryList(t, agent, "?from=2&hold_ms=250")
	if took := time.Since(began); delta.Generation != 3 || delta.Full || len(delta.Entries) != 1 ||
		delta.Entries[0].Mode != Draining || took < 40*time.Millisecond {
		t.Errorf("watch: after %v got %+v, want a delta of generation 3 with the draining server after at least 40 ms",
			took, delta)
	}
	if noChange := queryList(t, agent, "?from=3&hold_ms=20"); noChange.Generation != 3 || len(noChange.Entries) != 0 {
		t.Errorf("watch without changes: got %+v, want an empty delta of generation 3", noChange)
	}
	reports := waitForReports(agent, 3)
	if len(reports) != 3 || reports[2].Server != "s-2" || reports[2].Mode != Draining {
		t.Errorf("recorded reports: got %+v, want 3, the last of s-2 as draining", reports)
	}
	fleet.runOnLoop(servers[1].Leave)
	if fullList = queryList(t, agent, ""); len(fullList.Entries) != 1 || len(waitForReports(agent, 4)) != 4 {
		t.Errorf("full list after one server left: got %+v, want 1 entry and 4 recorded reports", fullList)
	}
}

// Each fault of the list service (delay, freeze, older list, silence, refusal) and a move affect a router's calls, and
// end when they are ended. Faults may overlap.
func TestListServiceFaults(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"), spec("s-2"))
	agent := startAgent(t, fleet)
	queryList(t, agent, "")
	endLate, endFreeze := agent.Delay(0.15), agent.Freeze()
	fleet.runOnLoop(servers[0].Drain)
	generation := func(want int) {
		t.Helper()
		if got := queryList(t, agent, "?from=2&hold_ms=0").Generation; got != want {
			t.Errorf("got generation %d, want %d", got, want)
		}
	}
	generation(2)
	time.Sleep(200 * time.Millisecond)
	generation(2)
	endFreeze()
	generation(3)
	endLate()
	endOld := agent.ServeOlder(2)
	if got := queryList(t, agent, "?from=3&hold_ms=0"); got.Generation != 1 || !got.Full {
		t.Errorf("older list: got %+v, want a full list of generation 1", got)
	}
	endOld()
	endSilence := agent.Silence()
	generation(-1)
	endSilence()
	generation(3)
	endRefuse := agent.Refuse()
	if _, err := net.DialTimeout("tcp", agent.Addr(), replyTimeout); err == nil {
		t.Error("a refusing list service accepted a connection")
	}
	if err := endRefuse(); err != nil {
		t.Fatal(err)
	}
	generation(3)
	before := agent.Addr()
	if err := agent.Move(testaddress.New()); err != nil {
		t.Fatal(err)
	}
	generation(3)
	time.Sleep(1600 * time.Millisecond)
	if _, err := net.DialTimeout("tcp", before, replyTimeout); err == nil || agent.Addr() == before {
		t.Error("the old address still accepts connections after a move, or the address did not change")
	}
}

// An agent reports changes in their order, each after its delay. Random delays must not reorder them.
func TestDelayedChangesKeepOrder(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"))
	fleet.list.delay = Delay{Base: 0.1, Spread: 0.2}
	agent := startAgent(t, fleet)
	fleet.runOnLoop(servers[0].Drain)
	fleet.runOnLoop(servers[0].Undrain)
	fleet.runOnLoop(servers[0].Drain)
	began, firstDelay := time.Now(), ""
	for generation := 1; generation < 4; {
		next := queryList(t, agent, fmt.Sprintf("?from=%d&hold_ms=250", generation))
		if next.Generation > generation && firstDelay == "" {
			if firstDelay = time.Since(began).String(); time.Since(began) < 90*time.Millisecond {
				t.Errorf("the first change was reported after %s, want at least 90 ms", firstDelay)
			}
		}
		if next.Generation < generation || time.Since(began) > 2*time.Second {
			t.Fatalf("after generation %d got %d, want no lower one, and generation 4 within 2 s", generation, next.Generation)
		}
		generation = next.Generation
	}
}

// A list service with a rate limit rejects calls that would wait too long, and rejecting takes some of its time, too. A
// watch that continues does not count as a new call.
func TestListServiceRateLimit(t *testing.T) {
	fleet, _ := startFleet(t, spec("s-1"))
	agent, list := startAgent(t, fleet), fleet.list
	list.LimitRate(4)
	admitted := 0
	for range 20 {
		if _, ok := list.admitCall(100); ok {
			admitted++
		}
	}
	if admitted != 8 {
		t.Errorf("admitted %d calls at one time, want 8: those of 2 s", admitted)
	}
	if _, ok := list.admitCall(100.9); ok {
		t.Error("a call was admitted 0.9 s later, want a rejection: the rejected calls take time, too")
	}
	if wait, ok := list.admitCall(105); !ok || wait != 0.25 {
		t.Errorf("an idle service: a call waits %v s, want 0.25 s", wait)
	}
	list.LimitRate(20)
	for withinGap := false; !withinGap; { // until the machine makes both calls within the watch's gap
		list.busyUntil = 0
		first, began := queryList(t, agent, ""), time.Now()
		before := list.busyUntil
		next := queryList(t, agent, "?from=1&hold_ms=10")
		withinGap = time.Since(began) < 150*time.Millisecond
		if first.Generation != 1 || next.Generation != 1 || withinGap && list.busyUntil != before {
			t.Errorf("a continued watch: generations or service time are wrong; it took %v s, want generation 1 twice and 0 s",
				list.busyUntil-before)
		}
	}
}

// flushingWriter calls a function when an answer is flushed to the router.
type flushingWriter struct {
	http.ResponseWriter
	onFlush func()
}

func (w flushingWriter) Flush() { w.onFlush() }

// A router may continue its watch as soon as it has the answer, before the agent's goroutine runs again. Its call must
// not count as a new one.
func TestWatchContinuedAtOnceIsNoNewCall(t *testing.T) {
	fleet, _ := startFleet(t, spec("s-1"))
	agent, list := startAgent(t, fleet), fleet.list
	list.LimitRate(20)
	continued := false
	answer := flushingWriter{httptest.NewRecorder(), func() {
		before := list.busyUntil
		agent.serve(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/catalog/members?from=1&hold_ms=0", nil))
		continued = list.busyUntil == before
	}}
	agent.serve(answer, httptest.NewRequest(http.MethodGet, "/catalog/members", nil))
	if !continued {
		t.Error("the continued watch took time of the list service, want none")
	}
}
