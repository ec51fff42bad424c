package pollschedule

import "slices"

// Poller decides when to poll a list service, and which polls still count.
type Poller struct {
	schedule      Schedule
	inFlight      []int // numbers of the polls that still count, oldest first
	started       int
	lastStarted   float64 // when the last poll started
	timedOut      bool    // the last poll was not answered in time
	timedOutTwice bool    // nor was the one before it
	failed        bool    // a poll failed since the last list
}

// Poll describes a poll to send. Times are in seconds from its start.
type Poll struct {
	Number       int     // counts from 1
	LongPollWait float64 // how long the service may hold the poll until the list changes
	Timeout      float64 // when to call OnTimeout, unless a later call returns another time
	Lifetime     float64 // when to end the poll; nothing else would end it while all others are rejected immediately
}

// TimeoutAction says what to do at a timeout.
type TimeoutAction struct {
	Abandon int     // number of the poll to abandon; 0: none
	Wait    float64 // seconds until the next poll has to start; 0: immediately
	Late    bool    // an answer is late; otherwise a wait has ended
}

// NewPoller returns a Poller without a poll in flight.
func NewPoller(schedule Schedule) *Poller { return &Poller{schedule: schedule} }

// Start starts a poll and returns its parameters.
func (p *Poller) Start(now float64) Poll {
	p.started++
	p.lastStarted = now
	p.inFlight = append(p.inFlight, p.started)
	timeout := p.schedule.LongPollWait + p.schedule.AnswerTolerance
	poll := Poll{
		Number:       p.started,
		LongPollWait: p.schedule.LongPollWait,
		Timeout:      timeout,
		Lifetime:     max(p.schedule.MinLifetime, 2*timeout),
	}
	if p.onePollAtATime() {
		// The poll may wait in the queue of an overloaded service. A long-poll wait in addition would exceed the
		// timeout.
		if p.timedOut || p.failed {
			poll.LongPollWait = 0
		}
		return poll
	}
	if p.timedOut {
		poll.LongPollWait = 0
		poll.Timeout = p.schedule.RetryInterval
	}
	return poll
}

// onePollAtATime reports whether at most one poll may be in flight.
func (p *Poller) onePollAtATime() bool { return p.schedule.MaxInFlight == 1 }

// OnTimeout handles the timeout of the last poll's answer, or the end of a wait.
func (p *Poller) OnTimeout(now float64) TimeoutAction {
	if len(p.inFlight) == 0 {
		return TimeoutAction{}
	}
	p.timedOutTwice = p.timedOut
	p.timedOut = true
	action := TimeoutAction{Late: true}
	if len(p.inFlight) < p.schedule.MaxInFlight {
		return action
	}
	action.Abandon = p.abandon()
	if p.onePollAtATime() && p.timedOutTwice {
		action.Wait = p.schedule.Backoff.AfterTimeout(p.untilDue(now))
	}
	return action
}

// abandon removes a poll that counts no longer and returns its number. It abandons the second oldest: the oldest is
// kept because its answer may only be slow, and not all polls can be kept that long.
func (p *Poller) abandon() int {
	i := min(1, len(p.inFlight)-1)
	number := p.inFlight[i]
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	return number
}

// untilDue returns the seconds until the next poll has to start at the latest; negative if it is overdue.
func (p *Poller) untilDue(now float64) float64 { return p.lastStarted + p.schedule.MaxInterval - now }

// OnEnd handles the end of a poll. It returns false if the poll was abandoned, or if a list from a concurrent poll has
// replaced it. The result of such a poll is ignored: call neither OnFailure nor OnList for it.
func (p *Poller) OnEnd(number int) bool {
	i := slices.Index(p.inFlight, number)
	if i < 0 {
		return false
	}
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	return true
}

// OnFailure handles an ended poll that failed or, if outdated is set, returned a list older than the current one. It
// returns the seconds until the next poll has to start.
func (p *Poller) OnFailure(now float64, outdated bool) (wait float64) {
	p.failed = true
	if outdated {
		return max(0, min(p.schedule.OutdatedRetry, p.untilDue(now)))
	}
	return p.schedule.Backoff.AfterFailure(p.untilDue(now))
}

// OnList handles an ended poll that returned a list, and returns the numbers of the other polls in flight, which are to
// be abandoned. The next poll has to start immediately.
func (p *Poller) OnList() (abandon []int) {
	abandon = p.inFlight
	p.inFlight = nil
	p.timedOut = false
	p.timedOutTwice = false
	p.failed = false
	p.schedule.Backoff.Reset()
	return abandon
}
