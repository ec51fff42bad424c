package pollschedule

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// errorReporter is implemented by *testing.T and *rapid.T.
type errorReporter interface {
	Errorf(format string, args ...any)
}

// Waits double up to a bound, differ between callers and start again after a success. Otherwise callers that failed at
// the same time would retry at the same time, or keep retrying at the same rate.
func TestBackoffDoublesUpToMaxWithSpreadAndReset(t *testing.T) {
	one := Backoff{Initial: 0.1, Max: 1, Seed: 1}
	other := Backoff{Initial: 0.1, Max: 1, Seed: 2}
	for i, mean := range []float64{0.1, 0.2, 0.4, 0.8, 1, 1} {
		a, b := one.AfterFailure(10), other.AfterFailure(10)
		if a < mean/2 || a > mean*1.5 || a == b {
			t.Errorf("waits %d: got %v and %v, want different ones of about %v", i, a, b, mean)
		}
	}
	one.Reset()
	if one.AfterFailure(10) > 0.15 {
		t.Error("the first wait after a success is not the initial wait")
	}
	for range 10 { // limits below the wait
		a, b := one.AfterFailure(0.3), other.AfterFailure(0.3)
		if a > 0.3 || b > 0.3 || a == b || one.AfterFailure(-1) != 0 {
			t.Errorf("limit 0.3 s: got waits %v and %v, want different ones up to the limit; want 0 for limit -1", a, b)
		}
	}
}

// Computes the longest delays of the schedules. Whichever poll hangs, an agent is polled again within the drain grace
// period. A shared service that did not answer or rejected polls is polled again before the bound on stale lists passes
// (6 s, and 4 s after SIGHUP).
func TestSchedulesStayWithinGuaranteedDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Float64Range(0.1, 1).Draw(t, "grace")
		s := ForLocalAgent(grace, 1)
		longestBackoff := 1.5 * max(s.Backoff.Max, s.Backoff.Initial)
		longest := max(s.LongPollWait+s.AnswerTolerance, s.RetryInterval, longestBackoff, s.MaxInterval, s.OutdatedRetry)
		if longest >= grace {
			t.Errorf("grace %v: want all delays shorter than the grace, got schedule %+v", grace, s)
		}
		interval := rapid.Float64Range(0, 1000).Draw(t, "interval")
		s = ForSharedService(interval, 1)
		timeout := s.LongPollWait + s.AnswerTolerance
		if timeout+1.5*s.Backoff.Initial > 6 || 1.5*s.Backoff.Max > 4 || s.MaxInterval+timeout > 6 {
			t.Errorf("interval %v: want all delays within their bounds, got schedule %+v", interval, s)
		}
	})
}

// pollerCheck drives a poller and tracks which polls are in flight and when the next is due.
type pollerCheck struct {
	t         *rapid.T
	schedule  Schedule
	poller    *Poller
	inFlight  []int
	longest   float64 // longest time that a poll's timeout or a wait may take
	now       float64
	due       float64 // when the next timeout is
	startedAt float64 // start of the last poll
}

func (c *pollerCheck) start() {
	poll := c.poller.Start(c.now)
	c.inFlight = append(c.inFlight, poll.Number)
	tooMany := len(c.inFlight) > c.schedule.MaxInFlight
	badTimeout := poll.LongPollWait > poll.Timeout || poll.Timeout > c.longest
	if tooMany || badTimeout || poll.Lifetime <= poll.Timeout || poll.Lifetime < c.schedule.MinLifetime {
		c.t.Fatalf("got %d polls in flight, or a time out of bounds, after starting poll %+v", len(c.inFlight), poll)
	}
	c.due = c.now + poll.Timeout
	c.startedAt = c.now
}

func (c *pollerCheck) remove(number int) {
	i := slices.Index(c.inFlight, number)
	if i < 0 {
		c.t.Fatalf("poll %d is abandoned, but not in flight", number)
	}
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
}

func (c *pollerCheck) timeOut() {
	action := c.poller.OnTimeout(c.now)
	if action.Late != (len(c.inFlight) > 0) {
		c.t.Fatalf("with %d polls in flight: got late %v", len(c.inFlight), action.Late)
	}
	if action.Abandon > 0 {
		c.remove(action.Abandon)
	}
	c.due = c.now + action.Wait
	if action.Wait == 0 {
		c.start()
	}
}

// end ends a poll, and reports whether its result counts.
func (c *pollerCheck) end(number int) bool {
	counts := slices.Contains(c.inFlight, number)
	if c.poller.OnEnd(number) != counts {
		c.t.Fatalf("poll %d: got counts %v, want the opposite", number, !counts)
	}
	if counts {
		c.remove(number)
	}
	return counts
}

func (c *pollerCheck) list() {
	for _, other := range c.poller.OnList() {
		c.remove(other)
	}
	if len(c.inFlight) > 0 {
		c.t.Fatalf("after a list: got polls %v in flight, want none", c.inFlight)
	}
	c.start()
}

func (c *pollerCheck) fail(outdated bool) {
	wait := c.poller.OnFailure(c.now, outdated)
	c.due = c.now + wait
	if wait < 0 || wait == 0 && c.now < c.startedAt+c.schedule.MaxInterval {
		c.t.Fatalf("at %v a poll started at %v failed: got wait %v", c.now, c.startedAt, wait)
	}
}

// For any sequence of poll results and timeouts, the number of polls in flight stays bounded, the result of an
// abandoned or superseded poll is ignored, and a next poll is always due, within the longest wait and within
// MaxInterval of the last start.
func TestPollsInFlightAreBoundedAndNextIsDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.SampledFrom([]Schedule{ForLocalAgent(0.5, 1), ForSharedService(8, 1)}).Draw(t, "schedule")
		longest := max(s.LongPollWait+s.AnswerTolerance, s.RetryInterval, 1.5*s.Backoff.Max, s.OutdatedRetry)
		c := &pollerCheck{t: t, schedule: s, poller: NewPoller(s), longest: longest}
		c.start()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			// The minimum keeps rounding from exceeding the due time.
			c.now = min(c.due, c.now+rapid.Float64Range(0, 1).Draw(t, "after")*(c.due-c.now))
			number := rapid.IntRange(1, 100).Draw(t, "poll")
			switch rapid.SampledFrom([]string{"timeout", "list", "failed", "outdated"}).Draw(t, "what") {
			case "timeout":
				c.timeOut()
			case "list":
				if c.end(number) {
					c.list()
				}
			case "failed", "outdated":
				if c.end(number) {
					c.fail(rapid.Bool().Draw(t, "outdated"))
				}
			}
			lastDue := max(c.now, c.startedAt+s.MaxInterval)
			if c.due < c.now || c.due-c.now > longest+1e-9 || c.due > lastDue+1e-9 {
				t.Fatalf("at %v: next poll or timeout due at %v, the last poll started at %v", c.now, c.due, c.startedAt)
			}
		}
	})
}

// possibleResults returns the results that a poll may have, where answers count as late after lateAfter seconds: a
// refused connection, a rejection, a failure to connect, a broken connection or a malformed or truncated body, either
// immediately or just before the answer is late; no answer; an unchanged list, immediately or after the long poll; an
// outdated list.
func possibleResults(lateAfter float64) []pollResult {
	return []pollResult{
		{fails, 0},
		{fails, 0.003},
		{fails, 0.2 * lateAfter},
		{fails, 0.8 * lateAfter},
		{fails, 0.999 * lateAfter},
		{hangs, 0},
		{unchangedList, 0.003},
		{unchangedList, 0.8 * lateAfter},
		{outdated, 0.003},
		{outdated, 0.999 * lateAfter},
	}
}

// checkKnown reports an error if a change is not known, or not polled for, in time.
func checkKnown(t errorReporter, name string, s Schedule, results []pollResult, answerTime, bound float64) {
	firstPoll, known := simulate(s, simulatedService{results: results, answerTime: answerTime})
	if firstPoll > s.MaxInterval+1e-9 || known > bound {
		t.Errorf("%s, after %v: too late: next poll %v s after the change, change known after %v s",
			name, results, firstPoll, known)
	}
}

func checkAgent(t errorReporter, grace float64, seed uint32, results []pollResult) {
	s := ForLocalAgent(grace, seed)
	for _, answerTime := range []float64{0.3, 1, 2, 2.999} {
		checkKnown(t, "local agent", s, results, answerTime, 6)
	}
	checkKnown(t, "local agent", s, results, 0.0005, min(max(grace, 0.1), 1))
}

func checkSharedService(t errorReporter, interval float64, seed uint32, results []pollResult) {
	for _, answerTime := range []float64{0.001, 0.5, 2, 2.499} {
		checkKnown(t, "shared service", ForSharedService(interval, seed), results, answerTime, 6)
	}
}

// Regardless of the results of earlier polls, a change is known at most 6 s after the service had it and was reachable.
// Each poll started from then on is answered, after up to half of that time (by a shared service: just before the poll
// is abandoned). With an agent that answers immediately, a change is known within the drain grace period. The test
// checks every sequence of three results and longer random ones, with schedules across the range of settings.
func TestEarlierPollsDoNotDelayAChange(t *testing.T) {
	for seed := uint32(1); seed < 4; seed++ {
		for _, grace := range []float64{0, 0.1, 0.25, 0.5, 1, 30} {
			sequences(possibleResults(ForLocalAgent(grace, 1).MaxInterval), 3, func(earlier []pollResult) {
				checkAgent(t, grace, seed, earlier)
			})
		}
		for _, interval := range []float64{0, 0.5, 1, 4, 10, 1000} {
			sequences(possibleResults(2.5), 3, func(earlier []pollResult) {
				checkSharedService(t, interval, seed, earlier)
			})
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Float64Range(0, 2).Draw(t, "grace")
		interval := rapid.Float64Range(0, 20).Draw(t, "interval")
		seed := rapid.Uint32().Draw(t, "seed")
		draw := func(lateAfter float64) []pollResult {
			return rapid.SliceOfN(rapid.SampledFrom(possibleResults(lateAfter)), 1, 20).Draw(t, "results")
		}
		checkAgent(t, grace, seed, draw(ForLocalAgent(grace, seed).MaxInterval))
		checkSharedService(t, interval, seed, draw(2.5))
	})
}

// A shared service did not answer, is overloaded when it is up again and rejects one poll. The next poll must be
// answered within the bound on stale lists. It is, because waits don't grow after polls without an answer.
func TestPollRejectedAfterTimeoutsStaysWithinGuaranteedDelay(t *testing.T) {
	for _, interval := range []float64{0, 1, 4, 10, 1000} {
		for seed := uint32(1); seed < 100; seed++ {
			sequences([]pollResult{{hangs, 0}, {unchangedList, 0.003}}, 5, func(earlier []pollResult) {
				service := simulatedService{results: earlier, answerTime: 0.5, rejections: 1}
				if _, known := simulate(ForSharedService(interval, seed), service); known > 6 {
					t.Errorf("interval %v, after %v and a rejection: change known after %v s, want at most 6",
						interval, earlier, known)
				}
			})
		}
	}
}

// A list service to which the router switches is behind the previous one or has restarted its generations, so its list
// is accepted only after 2 s. The change must be known within 4 s with an agent, the bound after SIGHUP, and within 6 s
// with a shared service.
func TestOutdatedServiceDoesNotDelayAChangeFurther(t *testing.T) {
	for seed := uint32(1); seed < 4; seed++ {
		for _, grace := range []float64{0.1, 0.5, 1} {
			sequences(possibleResults(ForLocalAgent(grace, 1).MaxInterval), 2, func(earlier []pollResult) {
				service := simulatedService{results: earlier, answerTime: 0.001, outdatedUntil: 2}
				if _, known := simulate(ForLocalAgent(grace, seed), service); known > 4 {
					t.Errorf("grace %v, after %v: change known after %v s, want at most 4", grace, earlier, known)
				}
			})
		}
		for _, interval := range []float64{0, 1, 4, 10} {
			sequences(possibleResults(2.5), 2, func(earlier []pollResult) {
				service := simulatedService{results: earlier, answerTime: 2, outdatedUntil: 2}
				if _, known := simulate(ForSharedService(interval, seed), service); known > 6 {
					t.Errorf("interval %v, after %v: change known after %v s, want at most 6", interval, earlier, known)
				}
			})
		}
	}
}

// Rejected polls cost an overloaded service capacity, so the polls of a whole fleet could keep it overloaded. After 8 s
// of refused connections or missing answers, all routers of the fleet must be answered in bounded time. If the service
// can answer all of them within 4 s, it must reject no poll.
func TestOverloadedServiceAnswersWholeFleet(t *testing.T) {
	const routers = 300
	for _, c := range []struct {
		name         string
		silent       bool
		answersAllIn float64 // seconds in which the service can answer one poll of each router
		last         float64 // seconds within which the last router must be answered
		rejected     int     // maximum number of rejected polls
	}{
		{"refusing, fast", false, 4, 5, 0},
		{"no answers, fast", true, 4, 5, 0},
		{"refusing, slower", false, 6, 8, routers},
		{"no answers, slower", true, 6, 8, routers},
		{"refusing, slow", false, 10, 40, 10 * routers},
		{"no answers, slow", true, 10, 40, 10 * routers},
	} {
		t.Run(c.name, func(t *testing.T) {
			last, rejected := newSimulatedFleet(routers, routers/c.answersAllIn, c.silent).run()
			t.Logf("capacity for all in %v s: last router answered after %.1f s, %d polls rejected",
				c.answersAllIn, last, rejected)
			if last > c.last || rejected > c.rejected {
				t.Errorf("capacity for all in %v s: beyond a bound: last router answered after %.1f s, %d polls rejected",
					c.answersAllIn, last, rejected)
			}
		})
	}
}
