package pollschedule

import (
	"math"
	"math/rand/v2"
	"slices"
)

// pollOutcome is what becomes of a poll.
type pollOutcome string

const (
	changedList   pollOutcome = "news"     // a list with the change
	unchangedList pollOutcome = "no news"  // a list without it
	fails         pollOutcome = "failed"   // rejected, cut or malformed
	outdated      pollOutcome = "outdated" // a list that is behind what is known
	hangs         pollOutcome = "hangs"    // for ever
)

// pollResult is what becomes of a poll, so many seconds from its start.
type pollResult struct {
	kind  pollOutcome
	after float64
}

// pollInFlight is one that has not ended.
type pollInFlight struct {
	number int
	pollResult
	endsAt float64
}

// simulatedService is a list service: the first polls are fated, those that start later are answered with the news,
// so many seconds after they started. What it answers in its first seconds is behind what is known, and the first
// polls that could be answered may be rejected.
type simulatedService struct {
	results       []pollResult
	answerTime    float64
	outdatedUntil float64
	rejections    int
}

// simulation is a poller and a simulated service.
type simulation struct {
	poller    *Poller
	service   simulatedService
	inFlight  []pollInFlight
	timer     float64 // when the last poll's answer is late, or a wait is over
	polls     int
	changedAt float64 // right after the last fated poll's start: no other moment is as long before the next poll
	firstPoll float64 // how long after that the first of the others started
}

// simulate polls a service by a schedule until the news is known. It gives how long after the news was there the
// first poll that is not fated started, and how long until the news was known.
func simulate(schedule Schedule, service simulatedService) (firstPoll, known float64) {
	sim := &simulation{poller: NewPoller(schedule), service: service, changedAt: math.Inf(1), firstPoll: math.Inf(1)}
	for range 1000 {
		i := sim.nextToEnd()
		if i < 0 {
			sim.timeOut()
			continue
		}
		ended := sim.inFlight[i]
		if sim.end(ended) {
			return sim.firstPoll, ended.endsAt - sim.changedAt
		}
	}
	return sim.firstPoll, math.Inf(1)
}

func (sim *simulation) start(now float64) {
	poll := sim.poller.Start(now)
	fate := sim.nextResult(now)
	sim.polls++
	if sim.polls == len(sim.service.results) {
		sim.changedAt = now
	}
	if fate.kind == hangs || fate.after > poll.Lifetime {
		fate.kind = fails
		fate.after = poll.Lifetime
	}
	sim.inFlight = append(sim.inFlight, pollInFlight{poll.Number, fate, now + fate.after})
	sim.timer = now + poll.Timeout
}

func (sim *simulation) nextResult(now float64) pollResult {
	fated := len(sim.service.results)
	if sim.polls < fated {
		return sim.service.results[sim.polls]
	}
	sim.firstPoll = min(sim.firstPoll, now-sim.changedAt)
	if sim.polls < fated+sim.service.rejections {
		return pollResult{fails, 0.003}
	}
	return pollResult{changedList, sim.service.answerTime}
}

// nextToEnd returns the open poll that ends first, if that is before the timer; -1: there is none.
func (sim *simulation) nextToEnd() int {
	first := -1
	for i, poll := range sim.inFlight {
		if poll.endsAt <= sim.timer && (first < 0 || poll.endsAt < sim.inFlight[first].endsAt) {
			first = i
		}
	}
	return first
}

func (sim *simulation) timeOut() {
	now := sim.timer
	verdict := sim.poller.OnTimeout(now)
	sim.close(verdict.Abandon)
	if verdict.Wait > 0 {
		sim.timer = now + verdict.Wait
		return
	}
	sim.start(now)
}

// end ends a poll, and reports whether it brought the news.
func (sim *simulation) end(poll pollInFlight) bool {
	sim.close(poll.number)
	if !sim.poller.OnEnd(poll.number) {
		return false
	}
	kind := poll.kind
	if kind == changedList && poll.endsAt < sim.service.outdatedUntil {
		kind = outdated
	}
	switch kind {
	case changedList:
		return true
	case unchangedList:
		sim.close(sim.poller.OnList()...)
		sim.start(poll.endsAt)
	default:
		sim.timer = poll.endsAt + sim.poller.OnFailure(poll.endsAt, kind == outdated)
	}
	return false
}

func (sim *simulation) close(numbers ...int) {
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(poll pollInFlight) bool { return slices.Contains(numbers, poll.number) })
}

// sequences calls f with each sequence of up to longest fates, from the shortest on.
func sequences(fates []pollResult, longest int, f func([]pollResult)) {
	var grow func(to []pollResult)
	grow = func(to []pollResult) {
		if len(to) > 0 {
			f(to)
		}
		if len(to) < longest {
			for _, next := range fates {
				grow(append(to[:len(to):len(to)], next))
			}
		}
	}
	grow(nil)
}

const (
	serviceDownUntil   = 8    // seconds for which the service of a crowd is down
	serviceMaxQueueing = 2    // seconds for which it queues polls
	rejectionCost      = 0.25 // of a poll that is answered
	fleetTimeout       = 60   // seconds after its return
)

// simulatedFleet is many routers that poll one shared service. It is down at first, refusing or silent, and then takes so many
// polls a second: it queues them, rejects at a lower cost what would wait longer, and goes on answering who was given
// up.
type simulatedFleet struct {
	routers   []simulatedRouter
	rate      float64
	silent    bool
	busyUntil float64 // until when the service has work
	rejected  int
}

type simulatedRouter struct {
	poller     *Poller
	poll       int
	timer      float64 // when its poll is late or its wait over
	endsAt     float64 // of its poll
	bringsList bool    // whether that brings a list
}

// newSimulatedFleet starts the routers' polls at some time while the service is down.
func newSimulatedFleet(routers int, rate float64, silent bool) *simulatedFleet {
	c := &simulatedFleet{routers: make([]simulatedRouter, routers), rate: rate, silent: silent}
	chance := rand.New(rand.NewPCG(1, 2))
	for i := range c.routers {
		c.routers[i] = simulatedRouter{poller: NewPoller(ForSharedService(10, chance.Uint32()))}
		c.start(&c.routers[i], serviceDownUntil*chance.Float64())
	}
	return c
}

func (c *simulatedFleet) start(router *simulatedRouter, now float64) {
	poll := router.poller.Start(now)
	router.poll = poll.Number
	router.timer = now + poll.Timeout
	router.endsAt = now + 0.001
	router.bringsList = false
	c.busyUntil = max(c.busyUntil, now)
	switch {
	case now < serviceDownUntil && c.silent:
		router.endsAt = math.Inf(1)
	case now < serviceDownUntil:
	case c.busyUntil+1/c.rate-now <= serviceMaxQueueing:
		c.busyUntil += 1 / c.rate
		router.endsAt = c.busyUntil
		router.bringsList = true
	default:
		c.busyUntil += rejectionCost / c.rate
		c.rejected++
	}
}

// next returns the router at which something happens first.
func (c *simulatedFleet) next() *simulatedRouter {
	next := &c.routers[0]
	for i := range c.routers {
		other := &c.routers[i]
		if min(other.timer, other.endsAt) < min(next.timer, next.endsAt) {
			next = other
		}
	}
	return next
}

// run runs until each router has a list. It gives when the last got it, in seconds from the service's return, and how
// many polls were rejected.
func (c *simulatedFleet) run() (last float64, rejected int) {
	for waiting := len(c.routers); waiting > 0; {
		router := c.next()
		now := min(router.timer, router.endsAt)
		if now > serviceDownUntil+fleetTimeout {
			return math.Inf(1), c.rejected
		}
		if router.endsAt > now || !router.poller.OnEnd(router.poll) {
			c.timeOut(router, now)
			continue
		}
		router.endsAt = math.Inf(1)
		if !router.bringsList {
			router.timer = now + router.poller.OnFailure(now, false)
			continue
		}
		router.poller.OnList()
		router.timer = math.Inf(1) // its long poll goes on
		last = now - serviceDownUntil
		waiting--
	}
	return last, c.rejected
}

func (c *simulatedFleet) timeOut(router *simulatedRouter, now float64) {
	verdict := router.poller.OnTimeout(now)
	router.endsAt = math.Inf(1)
	router.timer = now + verdict.Wait
	if verdict.Wait == 0 {
		c.start(router, now)
	}
}
