package emulator

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// follow gives an agent of a running fleet at an address of its own.
func startAgent(t *testing.T, f *Fleet) *Agent {
	a, err := f.list.Agent(strings.Replace(testAddress(), "11300", "8500", 1))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// notified gives what an agent notes that it told, once it is as many as wanted. An agent notes an answer after the answer has left, for
// only what was written counts as told: a caller may have read it before.
func waitForReports(a *Agent, want int) []Told {
	for end := time.Now().Add(time.Second); len(a.Told()) < want && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return a.Told()
}

func TestWholeListAndWatch(t *testing.T) {
	f, all := startFleet(t, spec("s-1"), spec("s-2"))
	a := startAgent(t, f)
	whole := queryList(t, a, "")
	if whole.Generation != 2 || !whole.Full || len(whole.Entries) != 2 || whole.Entries[0].Addr != all[0].Addr {
		t.Fatalf("the whole list is %+v", whole)
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		f.runOnLoop(all[1].Drain)
	}()
	began := time.Now()
	news := queryList(t, a, "?from=2&hold_ms=250")
	if took := time.Since(began); news.Generation != 3 || news.Full || len(news.Entries) != 1 || news.Entries[0].Mode != Draining || took < 40*time.Millisecond {
		t.Errorf("after %v the news are %+v", took, news)
	}
	if none := queryList(t, a, "?from=3&hold_ms=20"); none.Generation != 3 || len(none.Entries) != 0 {
		t.Errorf("without news it says %+v", none)
	}
	told := waitForReports(a, 3)
	if len(told) != 3 || told[2].Server != "s-2" || told[2].Mode != Draining {
		t.Errorf("it notes that it told %+v", told)
	}
	f.runOnLoop(all[1].Leave)
	if whole = queryList(t, a, ""); len(whole.Entries) != 1 || len(waitForReports(a, 4)) != 4 {
		t.Errorf("with one gone it tells %+v", whole)
	}
}

// Late, frozen, older, silent and refusing: each is seen by who asks, and is over when it ends. Two may overlap.
func TestListTrouble(t *testing.T) {
	f, all := startFleet(t, spec("s-1"), spec("s-2"))
	a := startAgent(t, f)
	queryList(t, a, "")
	endLate, endFreeze := a.Delay(0.15), a.Freeze()
	f.runOnLoop(all[0].Drain)
	generation := func(want int) {
		t.Helper()
		if got := queryList(t, a, "?from=2&hold_ms=0").Generation; got != want {
			t.Errorf("it is at generation %d, want %d", got, want)
		}
	}
	generation(2)
	time.Sleep(200 * time.Millisecond)
	generation(2)
	endFreeze()
	generation(3)
	endLate()
	endOld := a.Older(2)
	if got := queryList(t, a, "?from=3&hold_ms=0"); got.Generation != 1 || !got.Full {
		t.Errorf("an older list is told as %+v", got)
	}
	endOld()
	endSilence := a.Silence()
	generation(-1)
	endSilence()
	generation(3)
	back := a.Refuse()
	if _, err := net.DialTimeout("tcp", a.Addr(), replyTimeout); err == nil {
		t.Error("a refusing list service takes connections")
	}
	if err := back(); err != nil {
		t.Fatal(err)
	}
	generation(3)
	before := a.Addr()
	if err := a.Move(strings.Replace(before, "8500", "8501", 1)); err != nil {
		t.Fatal(err)
	}
	generation(3)
	time.Sleep(1600 * time.Millisecond)
	if _, err := net.DialTimeout("tcp", before, replyTimeout); err == nil || a.Addr() == before {
		t.Error("the old address still serves")
	}
}

// News come in the order of the changes, each after the delay.
func TestDelayedNews(t *testing.T) {
	f, all := startFleet(t, spec("s-1"))
	f.list.delay = Delay{Base: 0.1, Spread: 0.2}
	a := startAgent(t, f)
	f.runOnLoop(all[0].Drain)
	f.runOnLoop(all[0].Undrain)
	f.runOnLoop(all[0].Drain)
	at, seen := time.Now(), ""
	for g := 1; g < 4; {
		next := queryList(t, a, fmt.Sprintf("?from=%d&hold_ms=250", g))
		if next.Generation > g && seen == "" {
			if seen = time.Since(at).String(); time.Since(at) < 90*time.Millisecond {
				t.Errorf("the first news came after %s", seen)
			}
		}
		if next.Generation < g || time.Since(at) > 2*time.Second {
			t.Fatalf("after generation %d came %d", g, next.Generation)
		}
		g = next.Generation
	}
}

// A service with a bound turns away who would wait too long, also by that; a watch that goes on is no new call.
func TestBoundOfTheListService(t *testing.T) {
	f, _ := startFleet(t, spec("s-1"))
	a, l := startAgent(t, f), f.list
	l.Bound(4)
	taken := 0
	for range 20 {
		if _, ok := l.admitCall(100); ok {
			taken++
		}
	}
	if taken != 8 {
		t.Errorf("it takes %d calls at once, want those of two seconds", taken)
	}
	if _, ok := l.admitCall(100.9); ok {
		t.Error("what it turned away took none of its time")
	}
	if wait, ok := l.admitCall(105); !ok || wait != 0.25 {
		t.Errorf("when it is idle again a call waits %v s", wait)
	}
	l.Bound(20)
	for quick := false; !quick; { // until the machine makes both calls within the time that a watch has
		l.busyUntil = 0
		first, at := queryList(t, a, ""), time.Now()
		before := l.busyUntil
		next := queryList(t, a, "?from=1&hold_ms=10")
		quick = time.Since(at) < 150*time.Millisecond
		if first.Generation != 1 || next.Generation != 1 || quick && l.busyUntil != before {
			t.Errorf("a watch that goes on takes %v s of its time", l.busyUntil-before)
		}
	}
}
