package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/policy/pollschedule"
)

// longBackoff is a wait beyond the end of any test.
var longBackoff = pollschedule.Backoff{Initial: 1e6, Max: 1e6}

// watchSince41 begins a watch that knows generation 41 from the same service.
func watchSince41(schedule pollschedule.Schedule) WatchStart {
	return WatchStart{Generation: 41, SameService: true, Schedule: schedule}
}

// The first poll asks for the complete list, the next for what is newer, and a failure leaves the list and is tried
// again from where it was, by a poll that does not wait for news.
func TestWatch(t *testing.T) {
	queries := make(chan string, 100)
	polls := 0
	addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		polls++
		switch polls {
		case 1:
			fmt.Fprint(w, emptyFullList(41))
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			fmt.Fprint(w, `{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","lifecycle":"gone"}]}`)
		default:
			<-r.Context().Done()
		}
	})
	lists, failures := make(chan EndpointList, 10), make(chan error, 10)
	watchUntil(t, addr, WatchStart{Schedule: onePoll}, acceptInto(lists), func(err error) { failures <- err })
	for i, want := range []string{"", "from=41&hold_ms=2000", "from=41&hold_ms=0", "from=43&hold_ms=2000"} {
		select {
		case got := <-queries:
			if got != want {
				t.Errorf("poll %d asks for %q, want %q", i, got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no poll %d", i)
		}
	}
	if list := <-lists; !list.Complete || list.Generation != 41 {
		t.Errorf("got %+v", list)
	}
	if list := <-lists; list.Complete || len(list.Instances) != 1 {
		t.Errorf("got %+v", list)
	}
	if err := <-failures; err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

// A service that lags behind the one before it must not take back a drain: its list is waited for.
func TestOlderListIsNotAccepted(t *testing.T) {
	polls := 0
	addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		polls++
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprint(w, emptyFullList(40+polls))
	})
	lists := make(chan EndpointList, 10)
	watchUntil(t, addr, WatchStart{Generation: 43, Schedule: onePoll}, func(list EndpointList) error {
		if list.Generation < 43 {
			return ErrOutdated
		}
		lists <- list
		return nil
	}, ignoreFailure)
	if list := <-lists; list.Generation != 43 {
		t.Errorf("list %d was taken, though 43 was known", list.Generation)
	}
}

// A service that has not all changes since the list that is known, for it counts anew, is asked for the complete list.
func TestLowerGenerationCausesFullListPoll(t *testing.T) {
	queries := make(chan string, 100)
	addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		fmt.Fprint(w, emptyFullList(3))
	})
	watchUntil(t, addr, watchSince41(onePoll), func(EndpointList) error { return nil }, ignoreFailure)
	if first, second := <-queries, <-queries; first != "from=41&hold_ms=2000" || second != "" {
		t.Errorf("it asks for %q, then for %q", first, second)
	}
}

// An agent is silent while discovery is down, and what it gets at the return counts as known at once: the polls that
// hang from before must not hide it. So others are sent beside them, and the first that is answered tells.
func TestHangingPollDoesNotDelayNewList(t *testing.T) {
	service := watchManualService(t, watchSince41(pollschedule.ForLocalAgent(0.5, 1)))
	first := receive(t, "poll", service.polls)
	second := receive(t, "poll beside the one that hangs", service.polls)
	third := receive(t, "third poll", service.polls)
	service.mustBeInFlight(first)
	service.mustBeInFlight(second)
	if first.query != "from=41&hold_ms=300" || second.query != "from=41&hold_ms=0" {
		t.Errorf("it asks for %q, then for %q", first.query, second.query)
	}
	third.answer <- emptyDelta(43)
	if list := receive(t, "list", service.lists); list.Generation != 43 {
		t.Errorf("got %+v", list)
	}
	<-first.abandoned
	<-second.abandoned
	fourth := receive(t, "poll after the list", service.polls)
	for fourth.query == second.query { // one more may have started before the answer came
		fourth = receive(t, "poll after the list", service.polls)
	}
	if fourth.query != "from=43&hold_ms=300" {
		t.Errorf("then it asks for %q", fourth.query)
	}
}

// An agent that is only slow is heard, though others were polled beside that poll; what those tell later is not taken
// for news.
func TestSlowAnswerIsUsedAndLaterOlderOneIgnored(t *testing.T) {
	service := watchManualService(t, watchSince41(pollschedule.ForLocalAgent(0.5, 1)))
	first, second := receive(t, "poll", service.polls), receive(t, "poll beside it", service.polls)
	first.answer <- emptyDelta(44)
	if list := receive(t, "list", service.lists); list.Generation != 44 {
		t.Errorf("got %+v", list)
	}
	second.answer <- emptyDelta(43)
	for {
		poll := receive(t, "poll after the list", service.polls)
		if poll.query == "from=44&hold_ms=300" {
			poll.answer <- emptyDelta(45)
			break
		}
	}
	if list := receive(t, "list", service.lists); list.Generation != 45 {
		t.Errorf("then it takes %+v", list)
	}
}

// A service that answers all routers has one poll of each at a time. One that falls silent is polled anew at once,
// one that is silent again or rejects the poll only after a wait.
func TestSilentServiceIsRepolledAtOnceAndFullOneAfterBackoff(t *testing.T) {
	silent := watchManualService(t, watchSince41(pollschedule.Schedule{
		LongPollWait:    0.05,
		AnswerTolerance: 0.05,
		MaxInterval:     1e7,
		MaxInFlight:     1,
		Backoff:         longBackoff,
	}))
	first := receive(t, "poll", silent.polls)
	<-first.abandoned
	second := receive(t, "poll after the silent one", silent.polls)
	<-second.abandoned
	select {
	case <-silent.polls:
		t.Error("a service that is silent again is polled at once")
	case <-time.After(300 * time.Millisecond):
	}
	full := watchManualService(t, watchSince41(pollschedule.Schedule{
		LongPollWait:    1,
		AnswerTolerance: 1,
		MaxInterval:     1e7,
		MaxInFlight:     1,
		Backoff:         longBackoff,
	}))
	receive(t, "poll", full.polls).answer <- ""
	select {
	case <-full.polls:
		t.Error("a service that rejected the poll is polled at once")
	case <-time.After(300 * time.Millisecond):
	}
}

// A list that is older than what is known is not taken, and the complete one is polled for again soon, without a
// failure's backoff.
func TestOutdatedListIsRetriedWithoutBackoff(t *testing.T) {
	queries := make(chan string, 100)
	addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		fmt.Fprint(w, emptyDelta(3))
	})
	start := WatchStart{Schedule: pollschedule.Schedule{
		LongPollWait:    1,
		AnswerTolerance: 1,
		MaxInterval:     1e7,
		OutdatedRetry:   0.1,
		MaxInFlight:     1,
		Backoff:         longBackoff,
	}}
	watchUntil(t, addr, start, func(EndpointList) error { return ErrOutdated }, ignoreFailure)
	for range 2 {
		if query := receive(t, "poll", queries); query != "" {
			t.Errorf("it asks for %q", query)
		}
	}
}

// An agent that is only slow is heard, though more polls were started beside the first than may be in flight: on a
// busy machine one that takes longer than a short grace allows for all of them would never be.
func TestSlowAnswerIsUsedAfterMoreThanMaxInFlightPolls(t *testing.T) {
	schedule := pollschedule.ForLocalAgent(0.1, 1)
	schedule.MinLifetime = 1e6
	service := watchManualService(t, watchSince41(schedule))
	first := receive(t, "poll", service.polls)
	for range 2 * schedule.MaxInFlight {
		receive(t, "poll beside it", service.polls)
	}
	service.mustBeInFlight(first)
	first.answer <- emptyDelta(44)
	if list := receive(t, "list", service.lists); list.Generation != 44 {
		t.Errorf("got %+v", list)
	}
}

// Whatever is wrong with an answer, it is a failure, and the next poll goes on a connection of its own: the one that
// stood idle meanwhile may be silent by then, which nothing would tell. A list's connection is used on.
func TestIdleConnectionIsNotReusedAfterFailure(t *testing.T) {
	service := newRawService(t)
	lists := make(chan EndpointList, 10)
	watchUntil(t, service.addr, watchSince41(tolerant(onePoll)), acceptInto(lists), ignoreFailure)
	text := emptyDelta(43)
	for i, answer := range []func(rawPoll){
		func(poll rawPoll) { poll.answer("503 Service Unavailable", "", 0) },
		func(poll rawPoll) { poll.answer("200 OK", "[]", 2) },
		func(poll rawPoll) { poll.answer("200 OK", text[:20], 20) },
		func(poll rawPoll) { poll.answer("200 OK", text[:20], len(text)); poll.Close() },
		func(poll rawPoll) { poll.Close() },
		func(poll rawPoll) { poll.answer("200 OK", emptyDelta(40), 46) },
		func(poll rawPoll) { poll.answer("200 OK", text, len(text)) },
	} {
		poll := receive(t, "poll", service.polls)
		if poll.conn != i+1 {
			t.Errorf("poll %d is made on connection %d", i+1, poll.conn)
		}
		if len(lists) > 0 {
			t.Errorf("before poll %d it has %+v", i+1, <-lists)
		}
		answer(poll)
	}
	if list := receive(t, "list", lists); list.Generation != 43 {
		t.Errorf("got %+v", list)
	}
	if poll := receive(t, "poll", service.polls); poll.conn != 7 || poll.query != "from=43&hold_ms=2000" {
		t.Errorf("the watch goes on by %q on connection %d", poll.query, poll.conn)
	}
}

// What hangs is given up wherever it stands: before the first byte, in the middle of a body, or with a connection
// that never comes up; what had come of it tells nothing. A long poll that falls silent, on a connection that stays
// open, is no other.
func TestPollAfterHangAtAnyStage(t *testing.T) {
	for _, schedule := range []pollschedule.Schedule{
		pollschedule.ForLocalAgent(0.5, 1),
		pollschedule.ForSharedService(8, 1),
	} {
		service := newRawService(t)
		lists := make(chan EndpointList, 10)
		watchUntil(t, service.addr, watchSince41(schedule), acceptInto(lists), ignoreFailure)
		receive(t, "poll", service.polls).answer("200 OK", emptyDelta(42), len(emptyDelta(42)))
		receive(t, "list", lists)
		silent := receive(t, "long poll", service.polls)
		for strings.HasPrefix(silent.query, "from=41&") { // sent before the list was read
			silent = receive(t, "long poll", service.polls)
		}
		half := receive(t, "poll after the silent one", service.polls)
		want := fmt.Sprintf("from=42&hold_ms=%d", int(1000*schedule.LongPollWait))
		if silent.query != want || half.query != "from=42&hold_ms=0" || half.conn == silent.conn {
			t.Errorf("it asks for %q, then for %q", silent.query, half.query)
		}
		half.answer("200 OK", emptyDelta(43)[:30], len(emptyDelta(43)))
		last := receive(t, "poll after half a list", service.polls)
		if last.conn == half.conn || len(lists) > 0 {
			t.Errorf("on connection %d, with %d lists", last.conn, len(lists))
		}
		last.answer("200 OK", emptyDelta(44), len(emptyDelta(44)))
		if list := receive(t, "list", lists); list.Generation != 44 {
			t.Errorf("got %+v", list)
		}
	}
}

// A poll that hangs while all others are rejected at once ends by itself.
func TestHangingPollEndsWhileOthersAreRejected(t *testing.T) {
	service := watchManualService(t, watchSince41(pollschedule.ForLocalAgent(0.1, 1)))
	first := receive(t, "poll", service.polls)
	tooLate := time.After(10 * time.Second)
	for {
		select {
		case poll := <-service.polls:
			poll.answer <- ""
		case <-first.abandoned:
			return
		case <-tooLate:
			t.Fatal("it hangs for ever")
		}
	}
}
