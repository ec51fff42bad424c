package pollschedule

import (
	"math"
	"math/rand/v2"
	"slices"
)

// pollOutcome is the kind of a poll's result.
type pollOutcome string

const (
	changedList   pollOutcome = "changed list"   // a list with the change
	unchangedList pollOutcome = "unchanged list" // a list without the change
	fails         pollOutcome = "failed"         // rejected, truncated or malformed
	outdated      pollOutcome = "outdated"       // a list older than the current one
	hangs         pollOutcome = "hangs"          // never answered
)

// pollResult is the result of a poll and its time.
type pollResult struct {
	kind  pollOutcome
	after float64 // seconds from the poll's start
}

// pollInFlight is a poll that has not ended.
type pollInFlight struct {
	number int
	pollResult
	endsAt float64
}

// simulatedService is a list service. Its first polls have given results; later polls are answered with the changed
// list.
type simulatedService struct {
	results       []pollResult // of the first polls
	answerTime    float64      // seconds from the start of a later poll to its answer
	outdatedUntil float64      // seconds until which its lists are older than the current one
	rejections    int          // number of later polls that it rejects first
}

// simulation connects a poller and a simulated service.
type simulation struct {
	poller    *Poller
	service   simulatedService
	inFlight  []pollInFlight
	timer     float64 // when the last poll's answer is late, or a wait ends
	polls     int
	changedAt float64 // start of the last poll with a given result: as long before the next poll as possible
	firstPoll float64 // seconds from changedAt to the start of the first later poll
}

// simulate polls a service by a schedule until the poller has the changed list. It returns the seconds from the change
// to the start of the first poll after those with given results, and to the arrival of the changed list.
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
	result := sim.nextResult(now)
	sim.polls++
	if sim.polls == len(sim.service.results) {
		sim.changedAt = now
	}
	if result.kind == hangs || result.after > poll.Lifetime {
		result.kind = fails
		result.after = poll.Lifetime
	}
	sim.inFlight = append(sim.inFlight, pollInFlight{poll.Number, result, now + result.after})
	sim.timer = now + poll.Timeout
}

func (sim *simulation) nextResult(now float64) pollResult {
	given := len(sim.service.results)
	if sim.polls < given {
		return sim.service.results[sim.polls]
	}
	sim.firstPoll = min(sim.firstPoll, now-sim.changedAt)
	if sim.polls < given+sim.service.rejections {
		return pollResult{fails, 0.003}
	}
	return pollResult{changedList, sim.service.answerTime}
}

// nextToEnd returns the index of the poll in flight that ends first. It returns -1 if none ends before the timer.
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
	action := sim.poller.OnTimeout(now)
	sim.close(action.Abandon)
	if action.Wait > 0 {
		sim.timer = now + action.Wait
		return
	}
	sim.start(now)
}

// end ends a poll, and reports whether it returned the changed list.
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
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(poll pollInFlight) bool {
		return slices.Contains(numbers, poll.number)
	})
}

// sequences calls f with each sequence of 1 to longest of the results.
func sequences(results []pollResult, longest int, f func([]pollResult)) {
	var grow func(to []pollResult)
	grow = func(to []pollResult) {
		if len(to) > 0 {
			f(to)
		}
		if len(to) < longest {
			for _, next := range results {
				grow(append(to[:len(to):len(to)], next))
			}
		}
	}
	grow(nil)
}

const (
	serviceDownUntil   = 8    // seconds for which the shared service is down
	serviceMaxQueueing = 2    // seconds for which it queues polls at most
	rejectionCost      = 0.25 // of the cost of an answered poll
	fleetTimeout       = 60   // seconds after the service is up again
)

// simulatedFleet is many routers that poll one shared service. The service is down at first: it refuses connections or
// does not answer. Then it answers polls at a limited rate. It queues polls, rejects those that would wait longer at a
// lower cost, and also spends time on polls that were abandoned.
type simulatedFleet struct {
	routers   []simulatedRouter
	rate      float64 // polls a second that the service answers
	silent    bool    // while down it does not answer; otherwise it refuses connections
	busyUntil float64 // end of the work queued at the service
	rejected  int
}

type simulatedRouter struct {
	poller     *Poller
	poll       int
	timer      float64 // when its poll is late or its wait ends
	endsAt     float64 // when its poll ends
	bringsList bool    // the poll returns a list
}

// newSimulatedFleet starts the routers' polls at random times while the service is down.
func newSimulatedFleet(routers int, rate float64, silent bool) *simulatedFleet {
	f := &simulatedFleet{routers: make([]simulatedRouter, routers), rate: rate, silent: silent}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range f.routers {
		f.routers[i] = simulatedRouter{poller: NewPoller(ForSharedService(10, random.Uint32()))}
		f.start(&f.routers[i], serviceDownUntil*random.Float64())
	}
	return f
}

func (f *simulatedFleet) start(router *simulatedRouter, now float64) {
	poll := router.poller.Start(now)
	router.poll = poll.Number
	router.timer = now + poll.Timeout
	router.endsAt = now + 0.001
	router.bringsList = false
	f.busyUntil = max(f.busyUntil, now)
	switch {
	case now < serviceDownUntil && f.silent:
		router.endsAt = math.Inf(1)
	case now < serviceDownUntil:
	case f.busyUntil+1/f.rate-now <= serviceMaxQueueing:
		f.busyUntil += 1 / f.rate
		router.endsAt = f.busyUntil
		router.bringsList = true
	default:
		f.busyUntil += rejectionCost / f.rate
		f.rejected++
	}
}

// next returns the router with the earliest event.
func (f *simulatedFleet) next() *simulatedRouter {
	next := &f.routers[0]
	for i := range f.routers {
		other := &f.routers[i]
		if min(other.timer, other.endsAt) < min(next.timer, next.endsAt) {
			next = other
		}
	}
	return next
}

// run runs until each router has a list. It returns the time at which the last router got one, in seconds after the
// service was up again, and the number of rejected polls.
func (f *simulatedFleet) run() (last float64, rejected int) {
	for waiting := len(f.routers); waiting > 0; {
		router := f.next()
		now := min(router.timer, router.endsAt)
		if now > serviceDownUntil+fleetTimeout {
			return math.Inf(1), f.rejected
		}
		if router.endsAt > now || !router.poller.OnEnd(router.poll) {
			f.timeOut(router, now)
			continue
		}
		router.endsAt = math.Inf(1)
		if !router.bringsList {
			router.timer = now + router.poller.OnFailure(now, false)
			continue
		}
		router.poller.OnList()
		router.timer = math.Inf(1) // its next long poll is not simulated
		last = now - serviceDownUntil
		waiting--
	}
	return last, f.rejected
}

func (f *simulatedFleet) timeOut(router *simulatedRouter, now float64) {
	action := router.poller.OnTimeout(now)
	router.endsAt = math.Inf(1)
	router.timer = now + action.Wait
	if action.Wait == 0 {
		f.start(router, now)
	}
}
