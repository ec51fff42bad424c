package pollschedule

import "slices"

// Schedule is when a list service is called. Times are in seconds.
type Schedule struct {
	LongPollWait    float64 // a call waits so long for news: short, so that one that hangs is soon found
	AnswerTolerance float64 // beyond that its answer is in doubt
	RetryInterval   float64 // between calls while there is doubt: these do not wait for news
	MaxInterval     float64 // from a call's beginning to the next one's at the longest, whatever became of it
	OutdatedRetry   float64 // before a service that has not caught up is called again
	MinLifetime     float64 // the oldest call counts for so long, for it may only be slow
	MaxInFlight     int     // calls out at once; with one more one is given up
	Backoff         Backoff // between a call that failed and the next
}

// stated is what counts: whatever became of calls, a change is told so long after the service had it and could be reached.
const stated = 6

// ForLocalAgent is the rhythm towards an agent on the router's own machine, which answers at once and at no cost. What it has counts as
// told, whether or not a call of ours hangs, fails or brings a list that is behind: so nothing may hide it for the grace after
// which a server that drains may get nothing new. A call is doubted 0.9 of that time after it began, in doubt another begins every half
// of it, and the next is made by then after a failure, too. A call has five more beside it before it is given up, and the oldest
// of all is kept out for half of what is stated, however short the grace: the one that is the oldest after it began once the agent
// could be reached, so an answer that takes as long is heard in time.
func ForLocalAgent(grace float64, seed uint32) Schedule {
	grace = min(max(grace, 0.1), 1) // below it calls would be all that the agent does
	return Schedule{LongPollWait: 0.6 * grace, AnswerTolerance: 0.3 * grace, RetryInterval: 0.5 * grace, MaxInterval: 0.9 * grace, OutdatedRetry: 0.2 * grace, MinLifetime: stated / 2, MaxInFlight: 7,
		Backoff: Backoff{Initial: 0.2 * grace, Max: 0.2 * grace, Seed: seed}}
}

// ForSharedService is the rhythm towards a service that answers all routers and wants each to ask within a time. A call that it turns
// away costs it too, so there is one at a time. One that is silent is given up after 2.5 s, above the 2 s that a full service
// lets calls wait, and the next begins at once; if that is silent, too, or one fails, there is a wait before the next, which ends
// so early that an answer within another 2.5 s is still in the time that is stated. Where a call was turned away, waits from a
// sixteenth of the time within which it wants to be asked left it full for longer than from a quarter.
func ForSharedService(within float64, seed uint32) Schedule {
	const hold, late = 2, 0.5
	return Schedule{LongPollWait: hold, AnswerTolerance: late, MaxInterval: stated - (hold + late), OutdatedRetry: 1, MaxInFlight: 1,
		Backoff: Backoff{Initial: min(max(0.1, within/4), 1), Max: min(max(within/2, 1), 2), Seed: seed}}
}

// Calls decides when to call a list service, and which calls still count. It is stepped by what becomes of them.
type Calls struct {
	Schedule
	out     []int // the calls that are out, the oldest first
	begun   int
	at      float64 // when the last began
	doubted bool    // the last call had no answer in time
	again   bool    // nor had the one before it
	failed  bool    // a call failed since the last list
}

// Begin begins a call: it waits so long for news, its answer is in doubt after so long, and it ends after life at the latest, for
// where all others are refused at once nothing else would end it. A service that answers all routers and was silent or full
// is not asked to hold the answer: the call may stand in a queue, and would be taken for silent once both times are over.
func (c *Calls) Begin(now float64) (number int, hold, late, life float64) {
	c.begun++
	c.at = now
	c.out = append(c.out, c.begun)
	hold, late, life = c.LongPollWait, c.LongPollWait+c.AnswerTolerance, max(c.MinLifetime, 2*(c.LongPollWait+c.AnswerTolerance))
	if c.doubted && c.MaxInFlight > 1 {
		return c.begun, 0, c.RetryInterval, life
	}
	if c.MaxInFlight == 1 && (c.doubted || c.failed) {
		hold = 0
	}
	return c.begun, hold, late, life
}

// Overdue takes that the time for the last call's answer, or for a pause, is over. It gives the call to be given up, 0 for none,
// how long to wait before the next, 0 if that is to begin now, and whether an answer is late.
func (c *Calls) Overdue(now float64) (drop int, wait float64, late bool) {
	if len(c.out) == 0 {
		return 0, 0, false
	}
	c.again, c.doubted = c.doubted, true
	if len(c.out) < c.MaxInFlight {
		return 0, 0, true
	}
	i := min(1, len(c.out)-1) // the oldest may only be slow; the others cannot all be kept as long
	drop = c.out[i]
	c.out = slices.Delete(c.out, i, i+1)
	if c.MaxInFlight == 1 && c.again { // silent once, it is called anew at once; silent again, it has too much to do
		wait = c.Backoff.Silent(c.left(now))
	}
	return drop, wait, true
}

// left is how long the next call may be waited with.
func (c *Calls) left(now float64) float64 { return c.at + c.MaxInterval - now }

// Ended takes a call's end; false if it was given up before, or a call beside it has told a list: then it tells nothing new.
func (c *Calls) Ended(number int) bool {
	i := slices.Index(c.out, number)
	if i >= 0 {
		c.out = slices.Delete(c.out, i, i+1)
	}
	return i >= 0
}

// Failed gives how long to wait after a call that failed, or whose list is older than what is known.
func (c *Calls) Failed(now float64, old bool) (wait float64) {
	c.failed = true
	if old {
		return max(0, min(c.OutdatedRetry, c.left(now)))
	}
	return c.Backoff.Failed(c.left(now))
}

// Told takes a list, and gives the calls that are of no use any more. The next is to begin now.
func (c *Calls) Told() (drop []int) {
	drop, c.out = c.out, nil
	c.doubted, c.again, c.failed = false, false, false
	c.Backoff.Answered()
	return drop
}
