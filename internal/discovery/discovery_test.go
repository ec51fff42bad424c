package discovery

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/policy/pollschedule"

	"github.com/rs/zerolog"
)

func TestParse(t *testing.T) {
	l, err := Parse([]byte(`{"generation":43,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"10.1.0.18:11211","zone":"a","machineType":"m2","cell":3,"lifecycle":"ready","weight":0.6,"startedAtMs":1500,"news":[1]},
		{"instanceId":"s-2","hostPort":"10.1.0.19:11211","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"","lifecycle":"gone"},
		{"instanceId":"s-4","hostPort":"nowhere","lifecycle":"ready"},
		{"instanceId":"s-5","hostPort":"10.1.0.20:11211","lifecycle":"asleep"}]}`))
	if err != nil || l.Generation != 43 || !l.Complete || len(l.Instances) != 5 {
		t.Fatalf("got %+v, %v", l, err)
	}
	first := Instance{Addr: netip.MustParseAddrPort("10.1.0.18:11211"), Endpoint: balancer.Endpoint{ID: ID("s-1"),
		State: balancer.Ready, Capacity: 0.6, Zone: "a", Cell: 3, MachineType: "m2", StartedAt: 1.5}}
	if l.Instances[0] != first {
		t.Errorf("got %+v, want %+v", l.Instances[0], first)
	}
	// One that cannot be reached, or is in no known state, gets nothing new.
	for i, want := range []balancer.EndpointState{balancer.Ready, balancer.Draining, balancer.Removed, balancer.Draining, balancer.Removed} {
		if got := l.Instances[i].State; got != want {
			t.Errorf("entry %d is %d, want %d", i, got, want)
		}
	}
}

func TestMalformedLists(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:                               "malformed list: not an object",
		`{"instances":[]}`:                 "generation: missing",
		`{"generation":"x"}`:               "generation: not a whole number",
		`{"generation":1,"instances":3}`:   "instances: not a list",
		`{"generation":1,"instances":[3]}`: "instances: holds what is not an object",
		`{"generation":1,"instances":[{"instanceId":"s","weight":"heavy"}]}`:              "instances: weight: not a number",
		`{"generation":1,"reset":true}`:                                                   "instances: missing",
		`{"generation":1,"reset":3,"instances":[{"instanceId":"s","lifecycle":"ready"}]}`: "reset: not true or false",
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: got %v, want %s", text, err, want)
		}
	}
}

var quick = pollschedule.Schedule{LongPollWait: 2, AnswerTolerance: 0.5, MaxInterval: 10, OutdatedRetry: 0.1, MaxInFlight: 1, Backoff: pollschedule.Backoff{Initial: 0.1, Max: 0.1}}

// The first call asks for the whole list, the next for what is newer, and a failure leaves the list and is
// tried again from where it was, by a call that does not wait for news.
func TestWatch(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	calls := make(chan string, 100)
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		switch n++; n {
		case 1:
			fmt.Fprint(w, `{"generation":41,"reset":true,"instances":[]}`)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			fmt.Fprint(w, `{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","lifecycle":"gone"}]}`)
		default:
			<-r.Context().Done()
		}
	}))
	news, failures := make(chan EndpointList, 10), make(chan error, 10)
	go Watch(ctx, server.Listener.Addr().String(), WatchStart{Schedule: quick}, func(l EndpointList) error { news <- l; return nil }, func(err error) { failures <- err },
		zerolog.Nop())
	for i, want := range []string{"", "from=41&hold_ms=2000", "from=41&hold_ms=0", "from=43&hold_ms=2000"} {
		select {
		case got := <-calls:
			if got != want {
				t.Errorf("call %d asks for %q, want %q", i, got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no call %d", i)
		}
	}
	if l := <-news; !l.Complete || l.Generation != 41 {
		t.Errorf("got %+v", l)
	}
	if l := <-news; l.Complete || len(l.Instances) != 1 {
		t.Errorf("got %+v", l)
	}
	if err := <-failures; err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	stop()
	server.CloseClientConnections()
	server.Close()
}

// A service that lags behind the one before it must not take back a drain: its list is waited for.
func TestOlderListIsNotTaken(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n++; r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[]}`, 40+n)
	}))
	news := make(chan EndpointList, 10)
	go Watch(ctx, server.Listener.Addr().String(), WatchStart{Generation: 43, Schedule: quick}, func(l EndpointList) error {
		if l.Generation < 43 {
			return ErrOutdated
		}
		news <- l
		return nil
	}, func(error) {}, zerolog.Nop())
	if l := <-news; l.Generation != 43 {
		t.Errorf("list %d was taken, though 43 was known", l.Generation)
	}
	stop()
	server.CloseClientConnections()
	server.Close()
}

// A service that has not all changes since the list that is known, for it counts anew, is asked for the whole list.
func TestChangesOfAnotherCountAreNotTaken(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	calls := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		fmt.Fprint(w, `{"generation":3,"reset":true,"instances":[]}`)
	}))
	defer server.Close()
	go Watch(ctx, server.Listener.Addr().String(), WatchStart{Generation: 41, SameService: true, Schedule: quick}, func(EndpointList) error { return nil }, func(error) {}, zerolog.Nop())
	if first, second := <-calls, <-calls; first != "from=41&hold_ms=2000" || second != "" {
		t.Errorf("it asks for %q, then for %q", first, second)
	}
}

// What is wrong with one entry must not hide the drain beside it, nor may its server be sent to by half of what it says.
func TestAMalformedEntryHidesNoDrain(t *testing.T) {
	bad := strings.Repeat(`{"instanceId":"s-9","hostPort":"10.1.0.9:1","lifecycle":"ready","cell":"x"},`, 150)
	l, err := Parse([]byte(`{"generation":43,"reset":false,"instances":[7,` + bad + `{"instanceId":3,"lifecycle":"ready"},
		{"instanceId":"s-1","hostPort":"10.1.0.18:1","lifecycle":"ready","startedAtMs":"now"},
		{"instanceId":"s-2","hostPort":"10.1.0.19:1","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"10.1.0.20:1","lifecycle":"gone","weight":"-"},
		{"instanceId":"s-4","hostPort":"10.1.0.21:1","lifecycle":"ready"}]}`))
	if err != nil || l.FirstFault == "" {
		t.Fatalf("got %v, told %q", err, l.FirstFault)
	}
	got := map[uint64]balancer.EndpointState{}
	for _, e := range l.Instances {
		got[e.ID] = e.State
	}
	if want := map[uint64]balancer.EndpointState{ID("s-9"): balancer.Draining, ID("s-1"): balancer.Draining, ID("s-2"): balancer.Draining,
		ID("s-3"): balancer.Removed, ID("s-4"): balancer.Ready}; !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// An agent is silent while discovery is down, and what it gets at the return counts as told at once: the calls that hang from
// before must not hide it. So others are made beside them, and the first that is answered tells.
func TestACallThatHangsHidesNothing(t *testing.T) {
	a := asking(t, WatchStart{Generation: 41, SameService: true, Schedule: pollschedule.ForLocalAgent(0.5, 1)})
	first, second, third := next(t, "call", a.calls), next(t, "call beside the one that hangs", a.calls), next(t, "third call", a.calls)
	a.out(first)
	a.out(second)
	if first.query != "from=41&hold_ms=300" || second.query != "from=41&hold_ms=0" {
		t.Errorf("it asks for %q, then for %q", first.query, second.query)
	}
	third.answer <- list(43)
	if l := next(t, "list", a.news); l.Generation != 43 {
		t.Errorf("got %+v", l)
	}
	<-first.given
	<-second.given
	fourth := next(t, "call after the list", a.calls)
	for fourth.query == second.query { // one more may have begun before the answer came
		fourth = next(t, "call after the list", a.calls)
	}
	if fourth.query != "from=43&hold_ms=300" {
		t.Errorf("then it asks for %q", fourth.query)
	}
}

// An agent that is only slow is heard, though others were called beside that call; what those tell later is not taken for news.
func TestASlowAnswerCountsAndAnOlderOneDoesNot(t *testing.T) {
	a := asking(t, WatchStart{Generation: 41, SameService: true, Schedule: pollschedule.ForLocalAgent(0.5, 1)})
	first, second := next(t, "call", a.calls), next(t, "call beside it", a.calls)
	first.answer <- list(44)
	if l := next(t, "list", a.news); l.Generation != 44 {
		t.Errorf("got %+v", l)
	}
	second.answer <- list(43)
	for {
		c := next(t, "call after the list", a.calls)
		if c.query == "from=44&hold_ms=300" {
			c.answer <- list(45)
			break
		}
	}
	if l := next(t, "list", a.news); l.Generation != 45 {
		t.Errorf("then it takes %+v", l)
	}
}

// A service that answers all routers has one call of each at a time. One that falls silent is called anew at once, one that is
// silent again or turns the call away only after a wait.
func TestASilentServiceIsCalledAnewAtOnceAndOneThatIsFullLater(t *testing.T) {
	never := pollschedule.Backoff{Initial: 1e6, Max: 1e6}
	a := asking(t, WatchStart{Generation: 41, SameService: true, Schedule: pollschedule.Schedule{LongPollWait: 0.05, AnswerTolerance: 0.05, MaxInterval: 1e7, MaxInFlight: 1, Backoff: never}})
	first := next(t, "call", a.calls)
	<-first.given
	second := next(t, "call after the silent one", a.calls)
	<-second.given
	select {
	case <-a.calls:
		t.Error("a service that is silent again is called at once")
	case <-time.After(300 * time.Millisecond):
	}
	b := asking(t, WatchStart{Generation: 41, SameService: true, Schedule: pollschedule.Schedule{LongPollWait: 1, AnswerTolerance: 1, MaxInterval: 1e7, MaxInFlight: 1, Backoff: never}})
	next(t, "call", b.calls).answer <- ""
	select {
	case <-b.calls:
		t.Error("a service that turned the call away is called at once")
	case <-time.After(300 * time.Millisecond):
	}
}

// A list that is older than what is known is not taken, and the whole one asked for again soon, at no pace of failures.
func TestAServiceThatLagsIsAskedAgain(t *testing.T) {
	calls := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		fmt.Fprint(w, list(3))
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rhythm := pollschedule.Schedule{LongPollWait: 1, AnswerTolerance: 1, MaxInterval: 1e7, OutdatedRetry: 0.1, MaxInFlight: 1, Backoff: pollschedule.Backoff{Initial: 1e6, Max: 1e6}}
	go Watch(ctx, server.Listener.Addr().String(), WatchStart{Schedule: rhythm}, func(EndpointList) error { return ErrOutdated }, func(error) {}, zerolog.Nop())
	for range 2 {
		if query := next(t, "call", calls); query != "" {
			t.Errorf("it asks for %q", query)
		}
	}
}

// An agent that is only slow is heard, though more calls were begun beside the first than may be out: on a busy machine one that takes
// longer than a short grace allows for all of them would never be.
func TestASlowAgentIsHeardThoughMoreAreCalledThanMayBeOut(t *testing.T) {
	rhythm := pollschedule.ForLocalAgent(0.1, 1)
	rhythm.MinLifetime = 1e6
	a := asking(t, WatchStart{Generation: 41, SameService: true, Schedule: rhythm})
	first := next(t, "call", a.calls)
	for range 2 * rhythm.MaxInFlight {
		next(t, "call beside it", a.calls)
	}
	a.out(first)
	first.answer <- list(44)
	if l := next(t, "list", a.news); l.Generation != 44 {
		t.Errorf("got %+v", l)
	}
}

// Whatever is wrong with an answer, it is a failure, and the next call goes on a connection of its own: the one that stood idle meanwhile
// may be silent by then, which nothing would tell. A list's connection is used on.
func TestAfterAFailureNoConnectionThatStoodIdleIsUsed(t *testing.T) {
	s := speak(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	news, rhythm := make(chan EndpointList, 10), quick
	rhythm.AnswerTolerance = 1e3 // no answer of this test is late, however busy the machine
	go Watch(ctx, s.addr, WatchStart{Generation: 41, SameService: true, Schedule: rhythm}, func(l EndpointList) error { news <- l; return nil }, func(error) {}, zerolog.Nop())
	whole := `{"generation":43,"reset":false,"instances":[]}`
	for i, answer := range []func(spoken){
		func(c spoken) { c.say("503 Service Unavailable", "", 0) },
		func(c spoken) { c.say("200 OK", "[]", 2) },
		func(c spoken) { c.say("200 OK", whole[:20], 20) },
		func(c spoken) { c.say("200 OK", whole[:20], len(whole)); c.Close() },
		func(c spoken) { c.Close() },
		func(c spoken) { c.say("200 OK", `{"generation":40,"reset":false,"instances":[]}`, 46) },
		func(c spoken) { c.say("200 OK", whole, len(whole)) },
	} {
		c := next(t, "call", s.asked)
		if c.conn != i+1 {
			t.Errorf("call %d is made on connection %d", i+1, c.conn)
		}
		if len(news) > 0 {
			t.Errorf("before call %d it has %+v", i+1, <-news)
		}
		answer(c)
	}
	if l := next(t, "list", news); l.Generation != 43 {
		t.Errorf("got %+v", l)
	}
	if c := next(t, "call", s.asked); c.conn != 7 || c.query != "from=43&hold_ms=2000" {
		t.Errorf("a watch goes on by %q on connection %d", c.query, c.conn)
	}
}

// What hangs is given up wherever it stands: before the first byte, in the middle of a body, or with a connection that never comes up; what
// had come of it tells nothing. A watch that falls silent, on a connection that stays open, is no other.
func TestWhereverACallHangsTheNextIsMade(t *testing.T) {
	for _, rhythm := range []pollschedule.Schedule{pollschedule.ForLocalAgent(0.5, 1), pollschedule.ForSharedService(8, 1)} {
		s := speak(t)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		news := make(chan EndpointList, 10)
		go Watch(ctx, s.addr, WatchStart{Generation: 41, SameService: true, Schedule: rhythm}, func(l EndpointList) error { news <- l; return nil }, func(error) {}, zerolog.Nop())
		next(t, "call", s.asked).say("200 OK", list(42), len(list(42)))
		next(t, "list", news)
		watch := next(t, "watch", s.asked)               // silent
		for strings.HasPrefix(watch.query, "from=41&") { // made before the list was read
			watch = next(t, "watch", s.asked)
		}
		half := next(t, "call after the silent watch", s.asked)
		if hold := fmt.Sprintf("from=42&hold_ms=%d", int(1000*rhythm.LongPollWait)); watch.query != hold || half.query != "from=42&hold_ms=0" || half.conn == watch.conn {
			t.Errorf("it asks for %q, then for %q", watch.query, half.query)
		}
		half.say("200 OK", list(43)[:30], len(list(43)))
		last := next(t, "call after half a list", s.asked)
		if last.conn == half.conn || len(news) > 0 {
			t.Errorf("on connection %d, with %d lists", last.conn, len(news))
		}
		last.say("200 OK", list(44), len(list(44)))
		if l := next(t, "list", news); l.Generation != 44 {
			t.Errorf("got %+v", l)
		}
	}
}

// A call that hangs while all others are turned away at once ends by itself.
func TestACallThatHangsEndsWhileOthersAreTurnedAway(t *testing.T) {
	a := asking(t, WatchStart{Generation: 41, SameService: true, Schedule: pollschedule.ForLocalAgent(0.1, 1)})
	first := next(t, "call", a.calls)
	for late := time.After(10 * time.Second); ; {
		select {
		case c := <-a.calls:
			c.answer <- ""
		case <-first.given:
			return
		case <-late:
			t.Fatal("it hangs for ever")
		}
	}
}

// Whatever a list service answers, a server that is to be used has an address, and the reader stops nothing.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"generation":43,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:11211","zone":"a","lifecycle":"ready","weight":0.6}]}`))
	f.Add([]byte(`{"generation":1,"instances":[7,{"instanceId":"s","cell":"x","lifecycle":"ready"},{"instanceId":"t","lifecycle":"draining"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text)
		for _, e := range l.Instances {
			if err == nil && e.State == balancer.Ready && (e.faulty || !e.Addr.IsValid()) {
				t.Errorf("%q: %+v may be used", text, e)
			}
		}
	})
}
