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

// longBackoff is a backoff that does not end during a test.
var longBackoff = pollschedule.Backoff{Initial: 1e6, Max: 1e6}

// watchSince41 returns the start of a watch with a known list of generation 41 from the same service.
func watchSince41(schedule pollschedule.Schedule) WatchStart {
	return WatchStart{Generation: 41, SameService: true, Schedule: schedule}
}

// The first poll is for the full list and the next one for changes since it. A failure keeps the list; the poll is
// repeated for the same generation, without a long-poll wait.
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
				t.Errorf("poll %d: got query %q, want %q", i, got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("got no poll %d within 5 s", i)
		}
	}
	if list := <-lists; !list.Full || list.Generation != 41 {
		t.Errorf("got %+v, want the full list of generation 41", list)
	}
	if list := <-lists; list.Full || len(list.Instances) != 1 {
		t.Errorf("got %+v, want a delta with one instance", list)
	}
	if err := <-failures; err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want an error other than context.Canceled", err)
	}
}

// A list service that lags behind the one used before must not undo a drain. Its lists are refused until one has the
// known generation.
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
		t.Errorf("got list of generation %d, want 43", list.Generation)
	}
}

// A service that has restarted its generations does not have all changes since the known list. It is polled for the
// full list.
func TestLowerGenerationCausesFullListPoll(t *testing.T) {
	queries := make(chan string, 100)
	addr := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		fmt.Fprint(w, emptyFullList(3))
	})
	watchUntil(t, addr, watchSince41(onePoll), func(EndpointList) error { return nil }, ignoreFailure)
	if first, second := <-queries, <-queries; first != "from=41&hold_ms=2000" || second != "" {
		t.Errorf("got query %q, then %q; want a poll since 41, then one for the full list", first, second)
	}
}

// An agent does not answer while discovery is down. As soon as it is back it has the current list, and the polls that
// have been hanging since before must not delay that list. So further polls are sent beside them, and the first answer
// is used.
func TestHangingPollDoesNotDelayNewList(t *testing.T) {
	service := watchManualService(t, watchSince41(pollschedule.ForLocalAgent(0.5, 1)))
	first := receive(t, "poll", service.polls)
	second := receive(t, "poll beside the hanging one", service.polls)
	third := receive(t, "third poll", service.polls)
	service.mustBeInFlight(first)
	service.mustBeInFlight(second)
	if first.query != "from=41&hold_ms=300" || second.query != "from=41&hold_ms=0" {
		t.Errorf("got query %q, then %q; want a long poll since 41, then one without a wait", first.query, second.query)
	}
	third.answer <- emptyDelta(43)
	if list := receive(t, "list", service.lists); list.Generation != 43 {
		t.Errorf("got %+v, want generation 43", list)
	}
	<-first.abandoned
	<-second.abandoned
	fourth := receive(t, "poll after the list", service.polls)
	for fourth.query == second.query { // one more may have started before the answer came
		fourth = receive(t, "poll after the list", service.polls)
	}
	if fourth.query != "from=43&hold_ms=300" {
		t.Errorf("got query %q after the list, want a long poll since 43", fourth.query)
	}
}

// A late answer of a slow agent is used, even if further polls were sent beside that poll. Later answers to those polls
// are ignored.
func TestSlowAnswerIsUsedAndLaterOlderOneIgnored(t *testing.T) {
	service := watchManualService(t, watchSince41(pollschedule.ForLocalAgent(0.5, 1)))
	first, second := receive(t, "poll", service.polls), receive(t, "poll beside it", service.polls)
	first.answer <- emptyDelta(44)
	if list := receive(t, "list", service.lists); list.Generation != 44 {
		t.Errorf("got %+v, want generation 44", list)
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
		t.Errorf("got %+v, want generation 45", list)
	}
}

// A list service that all routers share gets one poll at a time from each. After one unanswered poll it is polled again
// at once; after a second one, or a rejected poll, only after the backoff.
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
	second := receive(t, "poll after the unanswered one", silent.polls)
	<-second.abandoned
	select {
	case <-silent.polls:
		t.Error("got a poll at once after two unanswered polls, want a backoff")
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
		t.Error("got a poll at once after a rejected poll, want a backoff")
	case <-time.After(300 * time.Millisecond):
	}
}

// After a list that is older than the known one, the full list is polled for soon, without the backoff that follows
// other failures.
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
			t.Errorf("got query %q, want a poll for the full list", query)
		}
	}
}

// A late answer of a slow agent is used even if more than MaxInFlight polls were started after that poll. If the oldest
// poll were abandoned, an agent on a busy machine that takes longer than all polls of a short grace period would never
// be read.
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
		t.Errorf("got %+v, want generation 44", list)
	}
}

// Each kind of invalid answer is a failure, and the next poll uses a new connection: a connection that was idle since
// then may be dead without a sign of it. After a valid list its connection is reused.
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
			t.Errorf("poll %d: got connection %d, want a new one", i+1, poll.conn)
		}
		if len(lists) > 0 {
			t.Errorf("before poll %d: got %+v, want no list", i+1, <-lists)
		}
		answer(poll)
	}
	if list := receive(t, "list", lists); list.Generation != 43 {
		t.Errorf("got %+v, want generation 43", list)
	}
	if poll := receive(t, "poll", service.polls); poll.conn != 7 || poll.query != "from=43&hold_ms=2000" {
		t.Errorf("got query %q on connection %d, want a long poll since 43 on connection 7", poll.query, poll.conn)
	}
}

// A poll that hangs is followed by the next one at whatever stage it hangs: before the first byte, in the middle of a
// body, or with a connection that is never established. The bytes received until then are ignored. The same holds for a
// long poll without an answer on a connection that stays open.
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
		half := receive(t, "poll after the unanswered one", service.polls)
		want := fmt.Sprintf("from=42&hold_ms=%d", int(1000*schedule.LongPollWait))
		if silent.query != want || half.query != "from=42&hold_ms=0" || half.conn == silent.conn {
			t.Errorf("got query %q, then %q; want a long poll since 42, then one without a wait on a new connection",
				silent.query, half.query)
		}
		half.answer("200 OK", emptyDelta(43)[:30], len(emptyDelta(43)))
		last := receive(t, "poll after half a list", service.polls)
		if last.conn == half.conn || len(lists) > 0 {
			t.Errorf("got connection %d and %d lists, want a new connection and no list", last.conn, len(lists))
		}
		last.answer("200 OK", emptyDelta(44), len(emptyDelta(44)))
		if list := receive(t, "list", lists); list.Generation != 44 {
			t.Errorf("got %+v, want generation 44", list)
		}
	}
}

// A hanging poll ends with its lifetime. While all other polls are rejected at once, nothing else would end it.
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
			t.Fatal("the hanging poll did not end within 10 s")
		}
	}
}
