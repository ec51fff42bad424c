package zonefailover

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Parameters of the simulation, times in seconds.
const (
	simulationStart  = 1000.0
	simulationStep   = 0.01
	stepsPerTick     = 5
	latencyObjective = 0.15
	answerTime       = 0.02
	lateAnswerTime   = 0.3
	attemptTimeout   = 0.5
)

// simulation simulates routers, zones and the network between them in steps of a hundredth of a second.
type simulation struct {
	t         *testing.T
	now       float64
	random    *rand.Rand
	routers   []*Controller
	zoneNames []string
	servers   int     // servers in each zone
	skew      float64 // seconds by which each router's clock is ahead of the previous router's
	rate      float64 // attempts a second at each router

	answered   map[string]float64                 // fraction of the attempts in a zone that are answered
	slow       map[string]bool                    // zones whose answers are late
	overloaded map[string]bool                    // zones that reject attempts
	reaches    func(router int, zone string) bool // whether a router's attempts reach a zone
	receives   func(from, to int) bool            // whether a message from one router reaches another
	down       map[int]bool                       // routers that do not run
	suspended  map[int]bool                       // of these, suspended processes, whose messages are queued
	loss       float64                            // fraction of the messages that are lost
	delay      float64                            // minimum delay of a message in seconds

	inTransit    []datagram
	inFlight     []simulatedAttempt
	unanswered   map[string]int // unanswered attempts by zone
	messagesSent int
	log          []string
	onMessage    func(from int, message []byte) // called for each message sent, if not nil
}

type datagram struct {
	at      float64 // when it arrives
	to      int
	message []byte
}

type simulatedAttempt struct {
	at      float64 // when it ends
	router  int
	zone    string
	token   uint64
	outcome Outcome
}

func newSimulation(t *testing.T, routers int, zoneNames ...string) *simulation {
	sim := &simulation{
		t:          t,
		now:        simulationStart,
		random:     rand.New(rand.NewPCG(1, 2)),
		routers:    make([]*Controller, routers),
		zoneNames:  zoneNames,
		servers:    4,
		rate:       27,
		answered:   map[string]float64{},
		slow:       map[string]bool{},
		overloaded: map[string]bool{},
		reaches:    func(int, string) bool { return true },
		receives:   func(int, int) bool { return true },
		down:       map[int]bool{},
		suspended:  map[int]bool{},
		delay:      0.002,
		unanswered: map[string]int{},
	}
	for index := range routers {
		sim.start(index, 1, nil)
	}
	for _, name := range zoneNames {
		sim.answered[name] = 1
	}
	return sim
}

// clock returns the time of a router's clock.
func (sim *simulation) clock(index int) float64 { return sim.now + sim.skew*float64(index) }

// start starts a new process of a router.
func (sim *simulation) start(index int, incarnation uint16, regions [][]string) {
	router := New(Settings{
		RouterIndex:   index,
		RouterCount:   len(sim.routers),
		Incarnation:   incarnation,
		WarmupSeconds: 6,
		Regions:       regions,
	})
	servers := map[string]int{}
	for _, name := range sim.zoneNames {
		servers[name] = sim.servers
	}
	router.OnEndpoints(sim.clock(index), servers, nil)
	sim.routers[index] = router
	delete(sim.down, index)
}

// restartAll restarts all routers and runs them until they have exchanged evidence.
func (sim *simulation) restartAll() {
	for index := range sim.routers {
		sim.start(index, 2, nil)
	}
	sim.run(3)
}

func (sim *simulation) run(seconds float64) {
	for end := sim.now + seconds; sim.now < end; sim.now += simulationStep {
		sim.endAttempts()
		sim.deliver()
		for index, router := range sim.routers {
			if !sim.down[index] {
				sim.step(index, router)
			}
		}
	}
}

func (sim *simulation) endAttempts() {
	ended := removeIf(&sim.inFlight, func(attempt simulatedAttempt) bool { return attempt.at <= sim.now })
	for _, attempt := range ended {
		if !sim.down[attempt.router] {
			sim.routers[attempt.router].OnAttemptEnd(sim.clock(attempt.router), attempt.zone, attempt.token, attempt.outcome)
		}
	}
}

func (sim *simulation) deliver() {
	arrived := removeIf(&sim.inTransit, func(d datagram) bool { return d.at <= sim.now && !sim.suspended[d.to] })
	for _, d := range arrived {
		if !sim.down[d.to] {
			sim.routers[d.to].OnMessage(sim.clock(d.to), d.message)
		}
	}
}

func (sim *simulation) step(index int, router *Controller) {
	if sim.random.Float64() < sim.rate*simulationStep {
		sim.attempt(index, router)
	}
	if int(sim.now*100+0.5)%stepsPerTick == 0 {
		router.Tick(sim.clock(index))
	}
	for _, c := range router.TakeChanges() {
		line := fmt.Sprintf("%7.2f router %d %s: %v to %v, %.3f, %s",
			sim.now-simulationStart, index, c.Zone, c.From, c.To, c.Share, c.Reason)
		sim.log = append(sim.log, line)
	}
	if message := router.NextMessage(sim.clock(index)); message != nil {
		sim.broadcast(index, message)
	}
}

func (sim *simulation) broadcast(from int, message []byte) {
	if sim.onMessage != nil {
		sim.onMessage(from, message)
	}
	sim.messagesSent++
	if len(message) > maxMessageBytes {
		sim.t.Fatalf("got a message of %d bytes, want at most 256", len(message))
	}
	for to := range sim.routers {
		if to != from && sim.receives(from, to) && sim.random.Float64() >= sim.loss {
			sim.inTransit = append(sim.inTransit, datagram{sim.now + sim.delay*(1+sim.random.Float64()), to, message})
		}
	}
}

// attempt lets a router send an attempt to a random zone, with the zone's share as the probability.
func (sim *simulation) attempt(index int, router *Controller) {
	zone := sim.zoneNames[sim.random.IntN(len(sim.zoneNames))]
	if sim.random.Float64() >= router.Share(zone) {
		return
	}
	token := router.OnAttemptStart(sim.clock(index), zone, latencyObjective)
	attempt := simulatedAttempt{at: sim.now + answerTime, router: index, zone: zone, token: token}
	if sim.slow[zone] {
		attempt.at = sim.now + lateAnswerTime
		attempt.outcome = Late
	}
	if sim.overloaded[zone] {
		attempt.outcome = Overloaded
	}
	if sim.random.Float64() >= sim.answered[zone] || !sim.reaches(index, zone) {
		attempt.at = sim.now + attemptTimeout
		attempt.outcome = NoAnswer
		sim.unanswered[zone]++
	}
	sim.inFlight = append(sim.inFlight, attempt)
}

// removeIf removes the items that meet a condition from a list, and returns them.
func removeIf[T any](all *[]T, condition func(T) bool) (removed []T) {
	rest := (*all)[:0:0]
	for _, item := range *all {
		if condition(item) {
			removed = append(removed, item)
		} else {
			rest = append(rest, item)
		}
	}
	*all = rest
	return removed
}

// runUntil runs until a condition holds at all running routers, and returns the seconds that it took at the first and
// at the last router. The test fails after a bound in seconds.
func (sim *simulation) runUntil(what string, bound float64, holds func(router *Controller) bool) (first, last float64) {
	sim.t.Helper()
	began, first := sim.now, -1.0
	for sim.now-began < bound {
		sim.run(simulationStep)
		all := true
		for index, router := range sim.routers {
			if sim.down[index] {
				continue
			}
			if !holds(router) {
				all = false
			} else if first < 0 {
				first = sim.now - began
			}
		}
		if all {
			return first, sim.now - began
		}
	}
	sim.showLog()
	sim.t.Fatalf("%s: not at all routers within %.1f s", what, bound)
	return 0, 0
}

func (sim *simulation) showLog() {
	for _, line := range sim.log[max(0, len(sim.log)-40):] {
		sim.t.Log(line)
	}
}

func evacuated(zone string) func(*Controller) bool {
	return func(router *Controller) bool { return router.Share(zone) < 0.3 }
}

func serving(zone string) func(*Controller) bool {
	return func(router *Controller) bool { return router.Share(zone) == 1 }
}

func recovering(zone string) func(*Controller) bool {
	return func(router *Controller) bool { return router.find(zone).state == Recovering }
}

// mustServe fails the test if a zone serves less than all of its keys at a running router.
func (sim *simulation) mustServe(zone string) {
	sim.t.Helper()
	for index, router := range sim.routers {
		if !sim.down[index] && router.Share(zone) != 1 {
			sim.showLog()
			sim.t.Fatalf("router %d, zone %s: got share %v, want 1", index, zone, router.Share(zone))
		}
	}
}
