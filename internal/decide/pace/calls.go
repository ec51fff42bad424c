package pace

import "slices"

// Rhythm is when a list service is called. Times are in seconds.
type Rhythm struct {
	Hold  float64 // a call waits so long for news: short, so that one that hangs is soon found
	Late  float64 // beyond that its answer is in doubt
	Again float64 // between calls while there is doubt: these do not wait for news
	Most  int     // calls out at once; with one more the oldest is given up
	Pace  Pace    // between a call that failed and the next
}

// lagging is how long to wait before a service that has not caught up is called again: half of what it is given for that.
const lagging = 1

// Pushed is the rhythm towards an agent on the router's own machine, which answers at once and at no cost. What it has counts as
// told, whether or not a call of ours hangs: so no call may hide it for as long as nothing new may be sent to a server that
// drains, grace. A call is doubted 0.9 of that time after it began, in doubt another begins every half of it, and each has five
// more beside it before it is given up: one that is only slow still counts.
func Pushed(grace float64, seed uint32) Rhythm {
	grace = min(max(grace, 0.1), 1) // below it calls would be all that the agent does
	return Rhythm{Hold: 0.6 * grace, Late: 0.3 * grace, Again: 0.5 * grace, Most: 6, Pace: Pace{First: 0.2 * grace, Most: 0.2 * grace, Seed: seed}}
}

// OnRequest is the rhythm towards a service that answers all routers and wants each to ask within a time. A call that it turns
// away costs it too, so there is one at a time. What a silent call misses counts as told 6 s after it fell silent, at the
// earliest as it began: it is given up after 2.5 s, the next begins at once, and if that one is turned away two more fit in, at
// the longest waits. Where a call was turned away waits from a sixteenth of the time within which it wants to be asked left it
// full for longer than from a quarter.
func OnRequest(within float64, seed uint32) Rhythm {
	return Rhythm{Hold: 2, Late: 0.5, Most: 1, Pace: Pace{First: min(max(0.1, within/4), 1), Most: min(max(within/2, 1), 2), Seed: seed}}
}

// Calls decides when to call a list service, and which calls still count. It is stepped by what becomes of them.
type Calls struct {
	Rhythm
	out     []int // the calls that are out, the oldest first
	begun   int
	doubted bool // the last call had no answer in time
	again   bool // nor had the one before it
}

// Begin begins a call: it waits so long for news, its answer is in doubt after so long, and it ends after life at the latest: as
// long as others are beside it and as much again, for where these are refused at once nothing else would end it.
func (c *Calls) Begin() (number int, hold, late, life float64) {
	c.begun++
	c.out = append(c.out, c.begun)
	life = 2*(c.Hold+c.Late) + float64(c.Most)*c.Again
	if c.doubted && c.Most > 1 {
		return c.begun, 0, c.Again, life
	}
	return c.begun, c.Hold, c.Hold + c.Late, life
}

// Overdue takes that the time for the last call's answer, or for a pause, is over. It gives the call to be given up, 0 for none,
// how long to wait before the next, 0 if that is to begin now, and whether an answer is late.
func (c *Calls) Overdue() (drop int, wait float64, late bool) {
	if len(c.out) == 0 {
		return 0, 0, false
	}
	c.again, c.doubted = c.doubted, true
	if len(c.out) < c.Most {
		return 0, 0, true
	}
	drop, c.out = c.out[0], c.out[1:]
	if c.Most == 1 && c.again { // silent once, it is called anew at once; silent again, it has too much to do
		wait = c.Pace.Failed()
	}
	return drop, wait, true
}

// Ended takes a call's end; false if it was given up before, or a call beside it has told a list: then it tells nothing new.
func (c *Calls) Ended(number int) bool {
	i := slices.Index(c.out, number)
	if i >= 0 {
		c.out = slices.Delete(c.out, i, i+1)
	}
	return i >= 0
}

// Failed gives how long to wait after a call that failed, or whose list is older than what is known.
func (c *Calls) Failed(old bool) (wait float64) {
	if old {
		return lagging
	}
	return c.Pace.Failed()
}

// Told takes a list, and gives the calls that are of no use any more. The next is to begin now.
func (c *Calls) Told() (drop []int) {
	drop, c.out = c.out, nil
	c.doubted, c.again = false, false
	c.Pace.Answered()
	return drop
}
