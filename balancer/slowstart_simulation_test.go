package balancer

import (
	"container/heap"
	"fmt"
	"hash/crc32"
	"math"
	"slices"

	"bendtrestle/internal/seedhash"
)

// slowStartScenario is a simulated half minute in which servers start and warm up under the load of many routers.
// Each router runs a real balancer; time and random numbers are simulated.
type slowStartScenario struct {
	routers, configuredRouters int // the actual number, and the number in the settings
	servers                    int
	warmingServers             int     // number of servers that start and warm up; attempts at them are checked
	lostServers                int     // servers that are removed when these start
	servedBefore               bool    // the warming servers served before they restart; otherwise they are new
	immediateAnswers           bool    // they answer immediately under any load, so that routers detect no overload
	warmRate                   float64 // requests of mean work per second at a warm server
	load                       float64 // fraction of the total capacity that arrives outside bursts
	burst                      float64 // factor of the load in a burst of four seconds
	burstDelay                 float64 // seconds from the start until the first burst
	warmingKeyFraction         float64 // fraction of a burst that is for keys of the first warming server
	skew                       float64 // traffic of one router in ten, relative to the others
	listDelaySpread            float64 // seconds over which routers receive the list with the start
	restartedFraction          float64 // fraction of the routers that restart when the servers start
	secondStartAfter           float64 // seconds after which these servers start once more; 0: they do not
	gossip                     bool
	weightMode                 WeightMode
	seed                       uint32

	overloadWindow, overloadFactor, startCapacity, warmupDuration float64 // as in Settings
}

// Times of the simulation, in seconds.
const (
	timeBeforeStart = 20.0 // before the start of the warming servers
	timeAfterStart  = 12.0 // after it
	simulationStep  = 0.01
	burstPeriod     = 6.0 // of which burstLength are a burst
	burstLength     = 4.0
	maxQueuedWork   = 0.5 // of work; a server rejects requests beyond it
	networkLatency  = 0.005
)

// pendingAnswer is an attempt at a server that has not ended yet.
type pendingAnswer struct {
	endsAt, sentAt float64 // seconds
	order          uint64  // of sending, among those that end at the same time
	router         *simulatedRouter
	requestID      uint64
	number         int
	outcome        Outcome
}

// pendingAnswers is a heap with the earliest end first.
type pendingAnswers []pendingAnswer

func (p pendingAnswers) Len() int { return len(p) }
func (p pendingAnswers) Less(i, j int) bool {
	return p[i].endsAt < p[j].endsAt || p[i].endsAt == p[j].endsAt && p[i].order < p[j].order
}
func (p pendingAnswers) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *pendingAnswers) Push(x any)   { *p = append(*p, x.(pendingAnswer)) }
func (p *pendingAnswers) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// simulatedRouter is one router, and its balancer's host.
type simulatedRouter struct {
	recordingHost
	simulation     *simulation
	balancer       *Balancer
	listReceivedAt float64        // seconds, when it receives the list with the last start of the warming servers
	attempts       map[uint64]int // number of started attempts by request
}

func (r *simulatedRouter) StartAttempt(request, server uint64, timeout, _ float64) {
	r.simulation.startAttempt(r, request, server, r.attempts[request], timeout)
	r.attempts[request]++
}

func (r *simulatedRouter) Gossip(message []byte) {
	r.simulation.messages = append(r.simulation.messages, slices.Clone(message))
}

func (r *simulatedRouter) Reject(request uint64, _ float64, _ RejectReason) {
	delete(r.attempts, request)
}
func (r *simulatedRouter) Fail(request uint64) { delete(r.attempts, request) }

// warmingSend is an attempt at a server that is warming up.
type warmingSend struct {
	sentAt       float64 // seconds
	listReceived bool    // its router had received the list with the start
}

// simulation is the state of a running scenario.
type simulation struct {
	slowStartScenario
	now, warmingSince float64 // warmingSince: when the warming servers last started
	started           bool    // they have started
	restarted         bool    // they have started twice
	draws             uint64
	fleet             []*simulatedRouter
	routerWeights     []float64 // cumulative: the traffic that routers carry, in proportion
	warmingServerKeys []string  // keys of the first warming server just after its start
	requests          uint64    // so far
	dueRequests       float64   // requests that are due by the rate, minus those sent
	busyUntil         []float64 // seconds, until when each server has work
	pending           pendingAnswers
	sequence          uint64
	messages          [][]byte
	warmingSends      [][]warmingSend // to each warming server since it started

	worstBoundRatio     float64 // largest number in a window relative to randomnessBound; of the windows that count
	worstAllowanceRatio float64 // largest number in a window relative to the allowance
	starts              int
	startsAboveBound    int // starts of a server with a window above randomnessBound
	warmingSendCount    int // attempts at servers that were warming up
}

func (s *simulation) randomFloat() float64 {
	s.draws++
	return (float64(seedhash.Mix(s.seed, s.draws)) + 0.5) / (1 << 32)
}

// warmFraction returns the fraction of its full capacity that a warming server has.
func (s *simulation) warmFraction(now float64) float64 {
	return s.startCapacity + (1-s.startCapacity)*min(1, (now-s.warmingSince)/s.warmupDuration)
}

// startAttempt sends an attempt to a server, which answers attempts in order.
func (s *simulation) startAttempt(router *simulatedRouter, request, id uint64, number int, timeout float64) {
	server := int(id - 1)
	rate := s.warmRate
	warming := server < s.warmingServers && s.now >= s.warmingSince
	if warming {
		rate *= s.warmFraction(s.now)
		s.warmingSends[server] = append(s.warmingSends[server], warmingSend{s.now, router.listReceivedAt <= s.now})
		s.warmingSendCount++
	}
	s.sequence++
	answer := pendingAnswer{
		sentAt:    s.now,
		order:     s.sequence,
		router:    router,
		requestID: request,
		number:    number,
		outcome:   Succeeded,
	}
	free := max(s.now, s.busyUntil[server])
	switch {
	case warming && s.immediateAnswers:
		answer.endsAt = s.now + networkLatency
	case free-s.now > maxQueuedWork:
		answer.endsAt = s.now + networkLatency
		answer.outcome = Overloaded
	default:
		s.busyUntil[server] = free + 1/rate
		answer.endsAt = s.busyUntil[server] + networkLatency
	}
	if answer.endsAt > s.now+timeout {
		answer.endsAt = s.now + timeout
		answer.outcome = TimedOut
	}
	heap.Push(&s.pending, answer)
}

// startRouter starts or restarts a router.
func (s *simulation) startRouter(router *simulatedRouter, index int) {
	router.simulation = s
	router.attempts = map[uint64]int{}
	router.balancer = New(s.now, Settings{
		Seed:                seedhash.Mix(s.seed, uint64(index)+1<<40+s.sequence),
		RouterIndex:         index,
		RouterCount:         s.configuredRouters,
		EventInterval:       0.002,
		MaxAttempts:         3,
		HedgingAllowed:      true,
		CancellationAllowed: true,
		MaxRetryAfter:       1,
		GossipAllowed:       s.gossip,
		GossipPrice:         0.01,
		WeightMode:          s.weightMode,
		OverloadWindow:      s.overloadWindow,
		OverloadFactor:      s.overloadFactor,
		WarmupStartCapacity: s.startCapacity,
		WarmupDuration:      s.warmupDuration,
		OverQuotaWeight:     0.05,
		TrafficClasses: []TrafficClass{
			{Name: "view", Idempotency: Idempotent, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
		},
	}, router)
}

// sendList sends a router the endpoint list, as of before or after the start of the warming servers.
func (s *simulation) sendList(router *simulatedRouter, afterStart bool) {
	var list []Endpoint
	for i := range s.servers {
		endpoint := Endpoint{ID: uint64(i + 1), State: Ready, Capacity: 1, Zone: "a"}
		warming := i < s.warmingServers
		if warming && afterStart {
			endpoint.StartedAt = s.warmingSince
		}
		listed := !afterStart || i+s.lostServers < s.servers
		if warming {
			listed = afterStart || s.servedBefore
		}
		if listed {
			list = append(list, endpoint)
		}
	}
	router.balancer.OnEndpoints(s.now, UpdateFull, list)
}

// checkWindows checks each overload window that ends with an attempt at a warming server, and begins a new record.
func (s *simulation) checkWindows() {
	for i, sends := range s.warmingSends {
		s.starts++
		if s.checkStart(sends) {
			s.startsAboveBound++
		}
		s.warmingSends[i] = sends[:0]
	}
}

// checkStart reports whether a window after one server's start contained more attempts than randomnessBound. Only
// windows count in which more than two thirds of the attempts came from routers that had received the list with the
// start.
func (s *simulation) checkStart(sends []warmingSend) (exceeded bool) {
	first, listReceived := 0, 0 // of the window
	for last, send := range sends {
		if send.listReceived {
			listReceived++
		}
		for ; sends[first].sentAt <= send.sentAt-s.overloadWindow; first++ {
			if sends[first].listReceived {
				listReceived--
			}
		}
		// The allowance is that of the capacity in the middle of the window, which grows linearly.
		middle := max(s.warmingSince, send.sentAt-s.overloadWindow/2)
		allowed := s.overloadFactor * s.warmFraction(middle) * s.warmRate * s.overloadWindow
		count := last - first + 1
		counts := send.sentAt < s.warmingSince+s.warmupDuration && 3*listReceived > 2*count
		if !counts {
			continue
		}
		s.worstBoundRatio = max(s.worstBoundRatio, float64(count)/randomnessBound(allowed))
		s.worstAllowanceRatio = max(s.worstAllowanceRatio, float64(count)/allowed)
		if float64(count) > randomnessBound(allowed) {
			exceeded = true
		}
	}
	return exceeded
}

// findWarmingServerKeys returns keys that the first warming server answers for just after its start.
func (s *simulation) findWarmingServerKeys() (keys []string) {
	router := &simulatedRouter{}
	s.startRouter(router, 0)
	s.sendList(router, true)
	b := router.balancer
	b.recent.acceptanceRate = 1
	b.servers.byID[1].slowStart.startedAt = s.now
	for i := 0; len(keys) < 3000 && i < 1e6; i++ {
		key := fmt.Sprint("own-", i)
		keyHash := seedhash.Avalanche(crc32.ChecksumIEEE([]byte(key)))
		server := b.nearestServer(keyHash, anyServer)
		if server != nil && server.ID == 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// newSimulation starts all routers, before the start of the warming servers.
func newSimulation(scenario slowStartScenario) *simulation {
	s := &simulation{
		slowStartScenario: scenario,
		busyUntil:         make([]float64, scenario.servers),
		warmingSends:      make([][]warmingSend, scenario.warmingServers),
	}
	s.warmingServerKeys = s.findWarmingServerKeys()
	sum := 0.0
	for index := range s.routers {
		router := &simulatedRouter{}
		s.fleet = append(s.fleet, router)
		s.startRouter(router, index)
		s.sendList(router, false)
		weight := 1.0
		if s.skew > 1 && index%10 == 3 {
			weight = s.skew
		}
		sum += weight
		s.routerWeights = append(s.routerWeights, sum)
	}
	s.warmingSince = math.Inf(1)
	return s
}

// run simulates a scenario.
func (scenario slowStartScenario) run() *simulation {
	s := newSimulation(scenario)
	for s.now = 0; s.now < timeBeforeStart+timeAfterStart; s.now += simulationStep {
		sinceStart := s.now - timeBeforeStart
		s.startWarmingServers(sinceStart)
		s.notifyRouters()
		s.endAttempts()
		s.deliverGossip()
		s.sendRequests(sinceStart)
	}
	s.checkWindows()
	return s
}

// startWarmingServers starts the warming servers when their time has come, and a second time if the scenario says
// so; some routers restart at the same time.
func (s *simulation) startWarmingServers(sinceStart float64) {
	first := sinceStart >= 0 && !s.started
	second := s.started && s.secondStartAfter > 0 && !s.restarted && sinceStart >= s.secondStartAfter
	if !first && !second {
		return
	}
	if second {
		s.checkWindows()
		s.restarted = true
	}
	s.started = true
	s.warmingSince = s.now
	for index, router := range s.fleet {
		if s.randomFloat() < s.restartedFraction {
			s.startRouter(router, index)
			s.sendList(router, s.restarted)
		}
		router.listReceivedAt = s.now + s.randomFloat()*s.listDelaySpread
		if s.listDelaySpread == 0 {
			router.listReceivedAt = s.now
		}
	}
}

// notifyRouters sends the list to the routers that are to receive it in this step.
func (s *simulation) notifyRouters() {
	for _, router := range s.fleet {
		if s.started && router.listReceivedAt <= s.now && router.listReceivedAt > s.now-simulationStep {
			s.sendList(router, true)
		}
	}
}

func (s *simulation) endAttempts() {
	for len(s.pending) > 0 && s.pending[0].endsAt <= s.now {
		ended := heap.Pop(&s.pending).(pendingAnswer)
		router := ended.router
		if router.balancer.requests[ended.requestID] == nil {
			continue
		}
		final := ended.outcome == Succeeded
		if final {
			delete(router.attempts, ended.requestID)
		}
		router.balancer.OnAttemptEnd(s.now, ended.requestID, ended.number, ended.outcome, s.now-ended.sentAt, final)
	}
}

func (s *simulation) deliverGossip() {
	for _, message := range s.messages {
		for _, router := range s.fleet {
			router.balancer.OnGossip(s.now, message)
		}
	}
	s.messages = s.messages[:0]
}

// sendRequests sends the requests of one step, at random intervals according to the rate.
func (s *simulation) sendRequests(sinceStart float64) {
	rate := s.load * s.warmRate * float64(s.servers)
	warmingKeyFraction := 0.0
	if sinceStart >= s.burstDelay && math.Mod(sinceStart-s.burstDelay, burstPeriod) < burstLength {
		rate *= s.burst
		warmingKeyFraction = s.warmingKeyFraction
	}
	for s.dueRequests += rate * simulationStep; s.dueRequests > 0; s.dueRequests += math.Log(s.randomFloat()) {
		s.requests++
		sum := s.routerWeights[len(s.routerWeights)-1]
		index, _ := slices.BinarySearch(s.routerWeights, s.randomFloat()*sum)
		key := fmt.Sprint("key-", int(2000*math.Pow(s.randomFloat(), 2)))
		if s.randomFloat() < warmingKeyFraction {
			key = s.warmingServerKeys[int(s.randomFloat()*float64(len(s.warmingServerKeys)))]
		}
		router := s.fleet[min(index, s.routers-1)]
		router.balancer.OnRequest(s.now, s.requests, "view", "", key, 2)
	}
}
