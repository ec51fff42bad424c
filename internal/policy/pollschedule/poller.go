package pollschedule

import "slices"

// Poller decides when to poll a list service, and which polls still count.
type Poller struct {
	schedule      Schedule
	inFlight      []int // the numbers of the polls that count, the oldest first
	started       int
	lastStarted   float64 // when the last one was
	timedOut      bool    // the last poll had no answer in time
	timedOutTwice bool    // nor had the one before it
	failed        bool    // a poll failed since the last list
}

// Poll is one that is to be sent. Times are in seconds from its start.
type Poll struct {
	Number       int     // from 1 on
	LongPollWait float64 // how long the service is asked to hold it until there is news
	Timeout      float64 // then OnTimeout is to be called, unless another call set another time meanwhile
	Lifetime     float64 // then it ends at the latest: where all others are rejected at once nothing else would end it
}

// TimeoutAction is what is to be done at a timeout.
type TimeoutAction struct {
	Abandon int     // the poll that is to be given up; 0: none
	Wait    float64 // seconds until the next poll is to start; 0: at once
	Late    bool    // an answer is late; else a wait is over
}

// NewPoller makes a Poller without a poll in flight.
func NewPoller(schedule Schedule) *Poller { return &Poller{schedule: schedule} }

// Start starts a poll.
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
		// The poll may stand in a full service's queue: were it held as well, it would be taken for silent.
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

// onePollAtATime reports whether there is one poll at a time.
func (p *Poller) onePollAtATime() bool { return p.schedule.MaxInFlight == 1 }

// OnTimeout handles the end of the time for the last poll's answer, or for a wait.
func (p *Poller) OnTimeout(now float64) TimeoutAction {
	if len(p.inFlight) == 0 {
		return TimeoutAction{}
	}
	p.timedOutTwice = p.timedOut
	p.timedOut = true
	verdict := TimeoutAction{Late: true}
	if len(p.inFlight) < p.schedule.MaxInFlight {
		return verdict
	}
	verdict.Abandon = p.abandon()
	if p.onePollAtATime() && p.timedOutTwice {
		verdict.Wait = p.schedule.Backoff.AfterTimeout(p.untilDue(now))
	}
	return verdict
}

// abandon takes a poll out that counts no more, and returns its number: the second oldest, for the oldest may only be
// slow, and the others cannot all be kept as long.
func (p *Poller) abandon() int {
	i := min(1, len(p.inFlight)-1)
	number := p.inFlight[i]
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	return number
}

// untilDue is how long the next poll may be waited with, in seconds; below 0: it is overdue.
func (p *Poller) untilDue(now float64) float64 { return p.lastStarted + p.schedule.MaxInterval - now }

// OnEnd handles the end of a poll. It returns false if the poll was given up before, or one beside it has brought a
// list: then it brings nothing new, and neither OnFailure nor OnList is to be called.
func (p *Poller) OnEnd(number int) bool {
	i := slices.Index(p.inFlight, number)
	if i < 0 {
		return false
	}
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	return true
}

// OnFailure handles that the poll that ended failed, or brought a list older than is known. It returns the seconds
// until the next poll is to start.
func (p *Poller) OnFailure(now float64, outdated bool) (wait float64) {
	p.failed = true
	if outdated {
		return max(0, min(p.schedule.OutdatedRetry, p.untilDue(now)))
	}
	return p.schedule.Backoff.AfterFailure(p.untilDue(now))
}

// OnList handles that the poll that ended brought a list, and returns the polls of no use any more. The next is
// to start at once.
func (p *Poller) OnList() (abandon []int) {
	abandon = p.inFlight
	p.inFlight = nil
	p.timedOut = false
	p.timedOutTwice = false
	p.failed = false
	p.schedule.Backoff.Reset()
	return abandon
}
