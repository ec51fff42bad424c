package pollschedule

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// errorReporter is a *testing.T or a *rapid.T.
type errorReporter interface {
	Errorf(format string, args ...any)
}

// Callers that failed together must not come back together, nor for ever at the same rate.
func TestBackoffDoublesToABoundSpreadAndReset(t *testing.T) {
	one := Backoff{Initial: 0.1, Max: 1, Seed: 1}
	other := Backoff{Initial: 0.1, Max: 1, Seed: 2}
	for i, mean := range []float64{0.1, 0.2, 0.4, 0.8, 1, 1} {
		a, b := one.AfterFailure(10), other.AfterFailure(10)
		if a < mean/2 || a > mean*1.5 || a == b {
			t.Errorf("waits %d are %v and %v, not about %v and apart", i, a, b, mean)
		}
	}
	one.Reset()
	if one.AfterFailure(10) > 0.15 {
		t.Error("after a success the waits do not start anew")
	}
	for range 10 { // where the next call is to start sooner
		a, b := one.AfterFailure(0.3), other.AfterFailure(0.3)
		if a > 0.3 || b > 0.3 || a == b || one.AfterFailure(-1) != 0 {
			t.Errorf("within 0.3 s they wait %v and %v", a, b)
		}
	}
}

// The longest delays, by calculation: whatever hung, an agent is polled again within the grace, and a service that
// has been silent or has rejected polls before what it has counts as known (6 s, after SIGHUP 4 s).
func TestSchedulesKeepWhatIsPromised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Float64Range(0.1, 1).Draw(t, "grace")
		s := ForLocalAgent(grace, 1)
		longestBackoff := 1.5 * max(s.Backoff.Max, s.Backoff.Initial)
		longest := max(s.LongPollWait+s.AnswerTolerance, s.RetryInterval, longestBackoff, s.MaxInterval, s.OutdatedRetry)
		if longest >= grace {
			t.Errorf("with a grace of %v it is %+v", grace, s)
		}
		interval := rapid.Float64Range(0, 1000).Draw(t, "interval")
		s = ForSharedService(interval, 1)
		silent := s.LongPollWait + s.AnswerTolerance
		if silent+1.5*s.Backoff.Initial > 6 || 1.5*s.Backoff.Max > 4 || s.MaxInterval+silent > 6 {
			t.Errorf("with an interval of %v it is %+v", interval, s)
		}
	})
}

// pollerCheck steps a poller and follows which polls are in flight, and when the next is due.
type pollerCheck struct {
	t         *rapid.T
	schedule  Schedule
	poller    *Poller
	inFlight  []int
	longest   float64 // that a poll or a wait may last
	now       float64
	due       float64 // when the next timeout is
	startedAt float64 // of the last poll
}

func (c *pollerCheck) start() {
	poll := c.poller.Start(c.now)
	c.inFlight = append(c.inFlight, poll.Number)
	tooMany := len(c.inFlight) > c.schedule.MaxInFlight
	badTimeout := poll.LongPollWait > poll.Timeout || poll.Timeout > c.longest
	if tooMany || badTimeout || poll.Lifetime <= poll.Timeout || poll.Lifetime < c.schedule.MinLifetime {
		c.t.Fatalf("%d polls are in flight, the last is %+v", len(c.inFlight), poll)
	}
	c.due = c.now + poll.Timeout
	c.startedAt = c.now
}

func (c *pollerCheck) remove(number int) {
	i := slices.Index(c.inFlight, number)
	if i < 0 {
		c.t.Fatalf("poll %d is given up, which is not in flight", number)
	}
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
}

func (c *pollerCheck) timeOut() {
	verdict := c.poller.OnTimeout(c.now)
	if verdict.Late != (len(c.inFlight) > 0) {
		c.t.Fatalf("with %d polls in flight an answer is late: %v", len(c.inFlight), verdict.Late)
	}
	if verdict.Abandon > 0 {
		c.remove(verdict.Abandon)
	}
	c.due = c.now + verdict.Wait
	if verdict.Wait == 0 {
		c.start()
	}
}

// end ends a poll, and reports whether it counts.
func (c *pollerCheck) end(number int) bool {
	counts := slices.Contains(c.inFlight, number)
	if c.poller.OnEnd(number) != counts {
		c.t.Fatalf("poll %d counts: %v", number, !counts)
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
		c.t.Fatalf("after a list %v are in flight", c.inFlight)
	}
	c.start()
}

func (c *pollerCheck) fail(outdated bool) {
	wait := c.poller.OnFailure(c.now, outdated)
	c.due = c.now + wait
	if wait < 0 || wait == 0 && c.now < c.startedAt+c.schedule.MaxInterval {
		c.t.Fatalf("at %v, a poll of %v has failed, it waits %v", c.now, c.startedAt, wait)
	}
}

// Whatever becomes of polls, in any order: no more are in flight than may be, one that was given up or overtaken
// tells nothing, and there is always a next, within the longest wait and within the interval that is allowed since
// the last started.
func TestPollsStayBoundedAndGoOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.SampledFrom([]Schedule{ForLocalAgent(0.5, 1), ForSharedService(8, 1)}).Draw(t, "schedule")
		longest := max(s.LongPollWait+s.AnswerTolerance, s.RetryInterval, 1.5*s.Backoff.Max, s.OutdatedRetry)
		c := &pollerCheck{t: t, schedule: s, poller: NewPoller(s), longest: longest}
		c.start()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.now = min(c.due, c.now+rapid.Float64Range(0, 1).Draw(t, "after")*(c.due-c.now)) // not beyond it by rounding
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
				t.Fatalf("at %v the next comes at %v, the last started at %v", c.now, c.due, c.startedAt)
			}
		}
	})
}

// possibleResults are what may become of a poll that a schedule doubts after so long: refused at its dial, rejected, not
// connected, broken, malformed or cut in the middle of its body, at once or just before it is doubted; silent; a list
// without the news, at once or after the long poll; a list that is behind.
func possibleResults(doubtedAfter float64) []pollResult {
	return []pollResult{
		{fails, 0},
		{fails, 0.003},
		{fails, 0.2 * doubtedAfter},
		{fails, 0.8 * doubtedAfter},
		{fails, 0.999 * doubtedAfter},
		{hangs, 0},
		{unchangedList, 0.003},
		{unchangedList, 0.8 * doubtedAfter},
		{outdated, 0.003},
		{outdated, 0.999 * doubtedAfter},
	}
}

// checkKnown fails where a change is not known in time, or not polled for.
func checkKnown(t errorReporter, name string, s Schedule, fates []pollResult, answersAfter, bound float64) {
	firstPoll, known := simulate(s, simulatedService{results: fates, answerTime: answersAfter})
	if firstPoll > s.MaxInterval+1e-9 || known > bound {
		t.Errorf("%s: after %v the next poll starts %v s after the change, which is known after %v s",
			name, fates, firstPoll, known)
	}
}

func checkAgent(t errorReporter, grace float64, seed uint32, fates []pollResult) {
	s := ForLocalAgent(grace, seed)
	for _, answersAfter := range []float64{0.3, 1, 2, 2.999} {
		checkKnown(t, "local agent", s, fates, answersAfter, 6)
	}
	checkKnown(t, "local agent", s, fates, 0.0005, min(max(grace, 0.1), 1))
}

func checkSharedService(t errorReporter, interval float64, seed uint32, fates []pollResult) {
	for _, answersAfter := range []float64{0.001, 0.5, 2, 2.499} {
		checkKnown(t, "shared service", ForSharedService(interval, seed), fates, answersAfter, 6)
	}
}

// Whatever became of polls before, a change is known 6 s after the service had it and could be reached: each poll
// that starts from then on is answered, however slowly up to half of that (by a shared service: up to where a poll is
// given up). An agent's is known within the grace of a drain. Every sequence of three, and longer ones drawn, at
// every schedule that settings allow.
func TestNothingBeforeHidesAChange(t *testing.T) {
	for seed := uint32(1); seed < 4; seed++ {
		for _, grace := range []float64{0, 0.1, 0.25, 0.5, 1, 30} {
			sequences(possibleResults(ForLocalAgent(grace, 1).MaxInterval), 3, func(f []pollResult) { checkAgent(t, grace, seed, f) })
		}
		for _, interval := range []float64{0, 0.5, 1, 4, 10, 1000} {
			sequences(possibleResults(2.5), 3, func(f []pollResult) { checkSharedService(t, interval, seed, f) })
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Float64Range(0, 2).Draw(t, "grace")
		interval := rapid.Float64Range(0, 20).Draw(t, "interval")
		seed := rapid.Uint32().Draw(t, "seed")
		draw := func(doubtedAfter float64) []pollResult {
			return rapid.SliceOfN(rapid.SampledFrom(possibleResults(doubtedAfter)), 1, 20).Draw(t, "fates")
		}
		checkAgent(t, grace, seed, draw(ForLocalAgent(grace, seed).MaxInterval))
		checkSharedService(t, interval, seed, draw(2.5))
	})
}

// A shared service that was silent and is full at its return rejects a poll once: the next is still answered in time,
// if soon, for silence does not tell that it is full.
func TestAPollRejectedAfterSilenceCostsNoMoreThanIsPromised(t *testing.T) {
	for _, interval := range []float64{0, 1, 4, 10, 1000} {
		for seed := uint32(1); seed < 100; seed++ {
			sequences([]pollResult{{hangs, 0}, {unchangedList, 0.003}}, 5, func(f []pollResult) {
				service := simulatedService{results: f, answerTime: 0.5, rejections: 1}
				if _, known := simulate(ForSharedService(interval, seed), service); known > 6 {
					t.Errorf("interval %v: after %v and a poll that is rejected it is known after %v s", interval, f, known)
				}
			})
		}
	}
}

// The same where a service that the router moves to lags, or counts anew, and its list is taken as complete only
// after 2 s: with the agent the news is there within the 4 s that count after SIGHUP.
func TestAServiceThatLagsHidesAChangeNoLonger(t *testing.T) {
	for seed := uint32(1); seed < 4; seed++ {
		for _, grace := range []float64{0.1, 0.5, 1} {
			sequences(possibleResults(ForLocalAgent(grace, 1).MaxInterval), 2, func(f []pollResult) {
				service := simulatedService{results: f, answerTime: 0.001, outdatedUntil: 2}
				if _, known := simulate(ForLocalAgent(grace, seed), service); known > 4 {
					t.Errorf("grace %v: after %v it is known after %v s", grace, f, known)
				}
			})
		}
		for _, interval := range []float64{0, 1, 4, 10} {
			sequences(possibleResults(2.5), 2, func(f []pollResult) {
				service := simulatedService{results: f, answerTime: 2, outdatedUntil: 2}
				if _, known := simulate(ForSharedService(interval, seed), service); known > 6 {
					t.Errorf("interval %v: after %v it is known after %v s", interval, f, known)
				}
			})
		}
	}
}

// Polls that a full service rejects cost it, too: all routers of a fleet that find it back after 8 s must come to be
// answered, after refusals as after silence, and where it can take them all in 4 s none polls in vain.
func TestAFleetIsAnsweredByAFullService(t *testing.T) {
	const routers = 300
	for _, c := range []struct {
		name     string
		silent   bool
		takes    float64 // seconds in which the service takes a poll of each router
		last     float64 // seconds by when the last is to be answered
		rejected int     // polls that may be rejected
	}{
		{"refusing, fast", false, 4, 5, 0},
		{"silent, fast", true, 4, 5, 0},
		{"refusing, slower", false, 6, 8, routers},
		{"silent, slower", true, 6, 8, routers},
		{"refusing, slow", false, 10, 40, 10 * routers},
		{"silent, slow", true, 10, 40, 10 * routers},
	} {
		t.Run(c.name, func(t *testing.T) {
			last, rejected := newSimulatedFleet(routers, routers/c.takes, c.silent).run()
			t.Logf("takes all in %v s: the last is answered after %.1f s, %d are rejected", c.takes, last, rejected)
			if last > c.last || rejected > c.rejected {
				t.Errorf("takes all in %v s: the last is answered after %.1f s, %d are rejected", c.takes, last, rejected)
			}
		})
	}
}
