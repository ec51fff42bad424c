package emulator

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// follow gives an agent of a running fleet at an address of its own.
func startAgent(t *testing.T, fleet *Fleet) *Agent {
	agent, err := fleet.list.Agent(strings.Replace(testAddress(), "11300", "8500", 1))
	if err != nil {
		t.Fatal(err)
	}
	return agent
}

// notified gives what an agent notes that it told, once it is as many as wanted. An agent notes an answer after the answer has left, for
// only what was written counts as told: a caller may have read it before.
func waitForReports(agent *Agent, want int) []Told {
	for deadline := time.Now().Add(time.Second); len(agent.Told()) < want && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return agent.Told()
}

func TestFullListAndWatch(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"), spec("s-2"))
	agent := startAgent(t, fleet)
	whole := queryList(t, agent, "")
	if whole.Generation != 2 || !whole.Full || len(whole.Entries) != 2 || whole.Entries[0].Addr != servers[0].Addr {
		t.Fatalf("the whole list is %+v", whole)
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		fleet.runOnLoop(servers[1].Drain)
	}()
	began := time.Now()
	news := queryList(t, agent, "?from=2&hold_ms=250")
	if took := time.Since(began); news.Generation != 3 || news.Full || len(news.Entries) != 1 || news.Entries[0].Mode != Draining || took < 40*time.Millisecond {
		t.Errorf("after %v the news are %+v", took, news)
	}
	if none := queryList(t, agent, "?from=3&hold_ms=20"); none.Generation != 3 || len(none.Entries) != 0 {
		t.Errorf("without news it says %+v", none)
	}
	told := waitForReports(agent, 3)
	if len(told) != 3 || told[2].Server != "s-2" || told[2].Mode != Draining {
		t.Errorf("it notes that it told %+v", told)
	}
	fleet.runOnLoop(servers[1].Leave)
	if whole = queryList(t, agent, ""); len(whole.Entries) != 1 || len(waitForReports(agent, 4)) != 4 {
		t.Errorf("with one gone it tells %+v", whole)
	}
}

// Late, frozen, older, silent and refusing: each is seen by who asks, and is over when it ends. Two may overlap.
func TestListServiceFaults(t *testing.T) {
	fleet, servers := startFleet(t, spec("s-1"), spec("s-2"))
	agent := startAgent(t, fleet)
	queryList(t, agent, "")
	endLate, endFreeze := agent.Delay(0.15), agent.Freeze()
	fleet.runOnLoop(servers[0].Drain)
	generation := func(want int) {
		t.Helper()
		if got := queryList(t, agent, "?from=2&hold_ms=0").Generation; got != want {
			t.Errorf("it is at generation %d, want %d", got, want)
		}
	}
	generation(2)
	time.Sleep(200 * time.Millisecond)
	generation(2)
	endFreeze()
	generation(3)
	endLate()
	endOld := agent.Older(2)
	if got := queryList(t, agent, "?from=3&hold_ms=0"); got.Generation != 1 || !got.Full {
		t.Errorf("an older list is told as %+v", got)
	}
	endOld()
	endSilence := agent.Silence()
	generation(-1)
	endSilence()
	generation(3)
	endRefuse := agent.Refuse()
	if _, err := net.DialTimeout("tcp", agent.Addr(), replyTimeout); err == nil {
		t.Error("a refusing list service takes connections")
	}
	if err := endRefuse(); err != nil {
		t.Fatal(err)
	}
	generation(3)
	before := agent.Addr()
	if err := agent.Move(strings.Replace(before, "8500", "8501", 1)); err != nil {
		t.Fatal(err)
	}
	generation(3)
	time.Sleep(1600 * time.Millisecond)
	if _, err := net.DialTimeout("tcp", before, replyTimeout); err == nil || agent.Addr() == before {
		t.Error("the old address still serves")
	}
}

// News come in the order of the changes, each after the delay.
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
				t.Errorf("the first news came after %s", firstDelay)
			}
		}
		if next.Generation < generation || time.Since(began) > 2*time.Second {
			t.Fatalf("after generation %d came %d", generation, next.Generation)
		}
		generation = next.Generation
	}
}

// A service with a bound turns away who would wait too long, also by that; a watch that goes on is no new call.
func TestListServiceRateLimit(t *testing.T) {
	fleet, _ := startFleet(t, spec("s-1"))
	agent, list := startAgent(t, fleet), fleet.list
	list.Bound(4)
	admitted := 0
	for range 20 {
		if _, ok := list.admitCall(100); ok {
			admitted++
		}
	}
	if admitted != 8 {
		t.Errorf("it takes %d calls at once, want those of two seconds", admitted)
	}
	if _, ok := list.admitCall(100.9); ok {
		t.Error("what it turned away took none of its time")
	}
	if wait, ok := list.admitCall(105); !ok || wait != 0.25 {
		t.Errorf("when it is idle again a call waits %v s", wait)
	}
	list.Bound(20)
	for withinGap := false; !withinGap; { // until the machine makes both calls within the time that a watch has
		list.busyUntil = 0
		first, began := queryList(t, agent, ""), time.Now()
		before := list.busyUntil
		next := queryList(t, agent, "?from=1&hold_ms=10")
		withinGap = time.Since(began) < 150*time.Millisecond
		if first.Generation != 1 || next.Generation != 1 || withinGap && list.busyUntil != before {
			t.Errorf("a watch that goes on takes %v s of its time", list.busyUntil-before)
		}
	}
}
