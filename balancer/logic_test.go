package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"bendtrestle/internal/seedhash"
)

func TestNeighbouringSlotsAreAlikeAndSimilarityFalls(t *testing.T) {
	circle := hypervectorTable()
	expectEqual(t, "neighbours", hammingDistance(&circle[10], &circle[11]), flipsPerStep)
	last := 0
	for _, steps := range []int{64, 256, 1024, 2047} {
		far := hammingDistance(&circle[10], &circle[10+steps])
		expectEqual(t, fmt.Sprint(steps, " steps are farther than fewer"), far > last, true)
		last = far
	}
}

func TestCircleCloses(t *testing.T) {
	circle := hypervectorTable()
	expectEqual(t, "last slot from the first", hammingDistance(&circle[ringSlots-1], &circle[0]), 0)
	near := hammingDistance(&circle[ringSlots-100], &circle[0])
	far := hammingDistance(&circle[ringSlots-1000], &circle[0])
	expectEqual(t, "100 slots back nearer than 1000", near < far, true)
}

func TestEveryRouterPicksAlike(t *testing.T) {
	a, _ := newTestBalancer(5, func(s *Settings) { s.Seed = 1 })
	b, _ := newTestBalancer(5, func(s *Settings) { s.Seed = 2 })
	all := func(*serverState) bool { return true }
	for key := range uint32(500) {
		h := seedhash.Avalanche(key)
		expectEqual(t, fmt.Sprint("pick of key ", key), a.nearestServer(h, all).ID, b.nearestServer(h, all).ID)
	}
}

func TestLossMovesOnlyTheLostCachesKeys(t *testing.T) {
	b, _ := newTestBalancer(5, nil)
	all := func(*serverState) bool { return true }
	before := map[uint32]uint64{}
	for key := range uint32(500) {
		before[key] = b.nearestServer(seedhash.Avalanche(key), all).ID
	}
	b.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 3, State: Draining, Capacity: 1}})
	for key, was := range before {
		now := b.nearestServer(seedhash.Avalanche(key), all).ID
		if was != 3 && now != was || now == 3 {
			t.Errorf("key %d moved from %d to %d", key, was, now)
		}
	}
}

func TestTiesGoByHashOfKeyAndServer(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	first, second := b.servers.byID[1], b.servers.byID[2]
	picked := map[uint64]bool{}
	for i := range uint32(64) {
		h := 5 + i*ringSlots
		b.ring.nodes = []virtualNode{{first, 5, 0, 9}, {second, 5, 0, 9}}
		b.ring.nearestBySlot[5] = b.ring.nodes
		picked[b.nearestServer(h, func(*serverState) bool { return true }).ID] = true
	}
	expectEqual(t, "servers picked among equals", len(picked), 2)
}

func TestPassOverActsAboveTwiceTheMeanAndAtTwo(t *testing.T) {
	for _, c := range []struct {
		mine, others int
		want         bool
	}{{1, 0, false}, {2, 0, true}, {2, 2, false}, {4, 4, false}, {5, 4, true}} {
		b, _ := newTestBalancer(4, nil)
		b.servers.ready[0].inFlight = make([]*attempt, c.mine)
		b.inFlight = c.mine + c.others
		expectEqual(t, fmt.Sprint("crowded with ", c.mine, " and ", c.others), b.overloadedByInFlight(b.servers.ready[0]), c.want)
	}
}

func TestExecutionRules(t *testing.T) {
	for _, c := range []struct {
		kind          string
		out, harmless bool
		after         float64
		zone          string
		want          bool
	}{
		{"view", false, false, 0, "b", true}, {"view", true, false, 0, "b", true},
		{"pay", false, true, 0, "b", true}, {"pay", false, false, 0, "a", false},
		{"pay", true, false, 0, "a", false},
		{"amend", false, true, 1.5, "b", true}, {"amend", false, false, 0.5, "a", true},
		{"amend", false, false, 1.5, "a", false}, {"amend", false, false, 0.5, "b", false},
		{"view", false, false, 2, "a", false},
	} {
		b, _ := newTestBalancer(2, nil)
		req := requestWithAttempt(b, c.kind, b.servers.byID[1], c.out, c.harmless)
		b.servers.byID[2].Zone = c.zone
		b.now = c.after
		expectEqual(t, fmt.Sprintf("%+v", c), b.mayAttempt(req, b.servers.byID[2]), c.want)
	}
}

// A type that is bound went to whichever server its key was nearest to (friesland-clubs, placement at 0.03 s).
func TestPlacementHoldsAtEveryExecution(t *testing.T) {
	bind := func(s *Settings) {
		s.TrafficClasses[0].AllowedMachineTypes, s.TrafficClasses[0].AllowedZones = []string{"frugal"}, []string{"a"}
	}
	for what, others := range map[string]Endpoint{"of another kind": {Zone: "a", MachineType: "usual"},
		"in another zone": {Zone: "b", MachineType: "frugal"}, "unnamed": {}} {
		b, host := newTestBalancer(0, bind)
		list := []Endpoint{{ID: 1, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"}}
		for id := uint64(2); id < 9; id++ {
			others.ID, others.State, others.Capacity = id, Ready, 1
			list = append(list, others)
		}
		b.OnEndpoints(0, UpdateFull, list)
		for key := range uint64(20) {
			b.OnRequest(1, key, "view", "", fmt.Sprint(key), 1)
			expectEqual(t, "a bound type beside those "+what, host.lastAction(), fmt.Sprintf("execute %d on 1", key))
		}
		b.OnAttemptEnd(1.01, 3, 0, ServerError, 0.01, false)
		expectEqual(t, "no further execution on those "+what, host.lastAction(), "decline 3 after true")
		for _, change := range []Endpoint{{ID: 1, State: Draining, Zone: "a", MachineType: "frugal"}, {ID: 1, State: Removed}} {
			b.OnEndpoints(1.1, UpdateDelta, []Endpoint{change})
			b.OnRequest(1.2, 90, "view", "", "k", 1)
			expectEqual(t, "all that are open to it out, beside those "+what, host.lastAction(), "decline 90 after true")
		}
		b.OnRequest(1.3, 91, "pay", "", "k", 1)
		expectEqual(t, "an unbound type", b.requests[91] != nil, true)
	}
	b, host := newTestBalancer(1, bind) // in the right zone, of no kind: the list corrects it while an operation is open
	list := []Endpoint{{ID: 1, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"}, {ID: 2, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"}}
	b.OnEndpoints(0, UpdateFull, list)
	b.OnRequest(1, 5, "view", "", "k", 1)
	first := b.requests[5].attempts[0].server.ID
	list[2-first].Zone = "b"
	b.OnEndpoints(1.1, UpdateDelta, list)
	b.OnAttemptEnd(1.2, 5, 0, ConnectFailed, 0.1, false)
	expectEqual(t, "the other has moved out of its zone", host.lastAction(), "decline 5 after true")
}

// aside starts a router that asks the origin, 99, for what a cache lacks.
func newCacheAsideBalancer(n int) (*Balancer, *recordingHost) {
	b, host := newTestBalancer(n, func(s *Settings) { s.CacheAside, s.OriginMachineType = true, "origin" })
	b.OnEndpoints(0, UpdateDelta, []Endpoint{{ID: 99, State: Ready, Capacity: 1, Zone: "far", MachineType: "origin"}})
	host.actions = nil
	return b, host
}

// What a cache lacked was asked of the next cache, which lacked it too (tuinen-gelderland: two attempts an operation).
func TestMissGoesToTheOrigin(t *testing.T) {
	b, host := newCacheAsideBalancer(3)
	expectEqual(t, "the origin among the caches", len(b.servers.ready), 3)
	requestWithAttempt(b, "pay", b.servers.byID[1], true, false)
	b.classes.byName["pay"].AllowedZones = []string{"a"} // placement is of caches: every type may use the origin
	b.recent.acceptanceRate = 0                          // nor is a miss paid for
	b.OnAttemptEnd(0.01, 7, 0, CacheMiss, 0.01, false)
	expectEqual(t, "a miss", host.lastAction(), "execute 7 on 99")
	b.OnAttemptEnd(0.02, 7, 1, ServerError, 0.01, false)
	expectEqual(t, "an effect that may have been", host.lastAction(), "terminate 7")
}

func TestOriginIsAskedWithinWhatItBears(t *testing.T) {
	b, host := newCacheAsideBalancer(1)
	o, row := b.servers.byID[99], b.classes.byName["view"]
	o.inFlight = make([]*attempt, 3)
	b.adjustOriginLimit(o, Succeeded, 0.01, row)
	expectEqual(t, "bound after an answer", o.originLimit.attempts, 4.25)
	o.inFlight = make([]*attempt, 5)
	requestWithAttempt(b, "view", b.servers.byID[1], true, false)
	b.OnAttemptEnd(1, 7, 0, CacheMiss, 0.01, false)
	expectEqual(t, "a miss beyond it", host.lastAction(), "decline 7 after true")
	o.inFlight = make([]*attempt, 2)
	req := requestWithAttempt(b, "view", b.servers.byID[1], false, true)
	expectEqual(t, "within its share", b.pickOrigin(req) != nil, true)
	req.valueFraction = 0.05
	expectEqual(t, "beyond its share", b.pickOrigin(req) != nil, false)
	b.adjustOriginLimit(o, Overloaded, 0.01, row)
	expectEqual(t, "bound after a refusal", math.Round(o.originLimit.attempts*100), 283.0)
	flow, fails, lag := b.completions.rate, b.servers.byID[1].health.consecutiveFailures, row.meanLatency
	o.inFlight, b.recent.acceptanceRate, b.retryBudgets.shared = nil, 0, 0
	requestWithAttempt(b, "view", o, true, false)
	b.OnAttemptEnd(1.1, 7, 0, Overloaded, 0.01, false)
	expectEqual(t, "a full origin, nothing to pay from", host.lastAction(), "decline 7 after true")
	expectEqual(t, "an unnamed kind", b.isOrigin(&serverState{}), false)
	req = requestWithAttempt(b, "view", o, true, false)
	b.recordOutcome(req.attempts[0], Succeeded, 0.3)
	expectEqual(t, "what caches finish", b.completions.rate, flow)
	expectEqual(t, "a cache's failures", b.servers.byID[1].health.consecutiveFailures, fails)
	expectEqual(t, "the usual time at a cache", row.meanLatency, lag)
	b, _ = newTestBalancer(3, func(s *Settings) { s.CacheAside = true })
	expectEqual(t, "caches where no kind is named", len(b.servers.ready), 3)
}

// Errors that follow some keys benched the servers these keys are nearest to, and shed the rest (prikbord-nl, big-2).
func TestErrorsOfAnOperationsOwnBenchNoServer(t *testing.T) {
	b, host := newTestBalancer(4, nil)
	b.retryBudgets.shared = 9
	for id := range uint64(9) {
		b.OnRequest(1, id, "view", "", "faulty", 1)
		for n := 0; b.requests[id] != nil && n < 3; n++ {
			b.OnAttemptEnd(1, id, n, ServerError, 0.01, false)
		}
		expectEqual(t, "final answer", host.lastAction(), fmt.Sprintf("decline %d after true", id))
	}
	for _, server := range b.servers.ready {
		expectEqual(t, fmt.Sprint("failures of ", server.ID), server.health.consecutiveFailures, 0)
	}
	b.errorsByKey[0] = 5
	b.recordOutcome(requestWithAttempt(b, "view", b.servers.byID[1], true, false).attempts[0], Succeeded, 0.01)
	expectEqual(t, "held against a slot where something finished", b.errorsByKey[0], 0.0)
	b.recent.failed, b.recent.succeeded = 30, 8
	for id := range uint64(400) {
		b.OnRequest(2, 100+id, "view", "", "faulty", 1)
		b.OnAttemptEnd(2, 100+id, 0, ServerError, 0.01, false)
	}
	expectEqual(t, "shed for such errors", b.recent.failed > b.recent.succeeded, false)
	b, _ = newTestBalancer(4, nil)
	b.retryBudgets.shared = 9
	bad := uint64(0)
	for id := range uint64(60) { // one that truly fails, whatever it is sent
		b.OnRequest(1, id, "view", "", "k", 1)
		if bad == 0 {
			bad = b.requests[id].attempts[0].server.ID
		}
		for n := 0; b.requests[id] != nil; n++ {
			how := Succeeded
			if b.requests[id].attempts[n].server.ID == bad {
				how = ServerError
			}
			b.OnAttemptEnd(1, id, n, how, 0.01, how == Succeeded)
		}
	}
	expectEqual(t, "one that fails is passed over", b.Avoids(bad), true)
}

// A start that is stamped too early makes a cold server look warm: the fourth rule goes by its true start.
func TestStampsMayBeOff(t *testing.T) {
	for stamp, want := range map[float64]float64{0: 0, 10: 15, 28: 30, 31: 31} {
		b, _ := newTestBalancer(0, func(s *Settings) { s.StartTimeError = 5 })
		b.OnEndpoints(30, UpdateDelta, []Endpoint{{ID: 1, State: Ready, StartedAt: stamp}})
		expectEqual(t, fmt.Sprint("start of one stamped ", stamp), b.servers.byID[1].slowStart.startedAt, want)
	}
}

func TestNoTwoAtOnceWhereBarredAndNothingNewToADrainingServer(t *testing.T) {
	b, _ := newTestBalancer(2, func(s *Settings) { s.HedgingAllowed = false })
	expectEqual(t, "second copy", b.mayAttempt(requestWithAttempt(b, "view", b.servers.byID[1], true, false), b.servers.byID[2]), false)
	b.servers.byID[2].State = Draining
	expectEqual(t, "draining", b.mayAttempt(requestWithAttempt(b, "view", b.servers.byID[1], false, true), b.servers.byID[2]), false)
}

func TestDeclineRules(t *testing.T) {
	for _, c := range []struct {
		kind     string
		harmless bool
		group    DeduplicationScope
		want     bool
	}{{"view", false, ScopeCell, true}, {"pay", true, ScopeCell, true}, {"pay", false, ScopeCell, false},
		{"amend", false, ScopeZone, false}, {"amend", true, ScopeZone, true}, {"amend", false, ScopeAll, true}} {
		b, _ := newTestBalancer(1, nil)
		req := requestWithAttempt(b, c.kind, b.servers.byID[1], false, c.harmless)
		req.class.DeduplicationScope = c.group
		expectEqual(t, fmt.Sprintf("%+v", c), b.mayReject(req), c.want)
	}
}

func TestGivingUpAnswersAtOnce(t *testing.T) {
	for kind, want := range map[string]string{"view": "decline 7 after true", "pay": "terminate 7"} {
		b, host := newTestBalancer(1, nil)
		b.reject(requestWithAttempt(b, kind, b.servers.byID[1], false, false), ReasonNoTime)
		expectEqual(t, kind, host.lastAction(), want)
		expectEqual(t, "operations kept", len(b.requests), 0)
	}
}

func TestEmptyListDeclinesAtOnce(t *testing.T) {
	b, host := newTestBalancer(0, nil)
	b.OnRequest(1, 5, "view", "", "k", 1)
	expectEqual(t, "answer", host.lastAction(), "decline 5 after true")
}

func TestLateNewsOfAnEndedOperation(t *testing.T) {
	b, host := newTestBalancer(1, nil)
	req := requestWithAttempt(b, "view", b.servers.byID[1], true, false)
	req.answered = true
	b.servers.byID[1].inFlight = []*attempt{req.attempts[0]}
	b.OnAttemptEnd(0.01, 7, 0, Succeeded, 0.01, true)
	b.OnAttemptEnd(0.02, 7, 0, Succeeded, 0.01, true)
	b.OnClientGone(0.03, 7)
	b.OnTimer(0.04, "7")
	b.OnTimer(0.04, "no such name")
	expectEqual(t, "actions", len(host.actions), 0)
	expectEqual(t, "held by the server", len(b.servers.byID[1].inFlight), 0)
}

func TestNoFurtherExecutionWithoutTime(t *testing.T) {
	b, host := newTestBalancer(2, nil)
	req := requestWithAttempt(b, "view", b.servers.byID[1], false, true)
	req.deadline = b.now + b.classes.byName["view"].meanLatency/2
	b.retry(req, req.attempts[0], ServerError)
	expectEqual(t, "action", host.lastAction(), "decline 7 after true")
}

func TestNoStormOfRepeats(t *testing.T) {
	for spare, want := range map[float64]string{0: "decline 7 after true", 1: "execute 7 on 2"} {
		b, host := newTestBalancer(2, nil)
		b.retryBudgets.shared = spare
		req := requestWithAttempt(b, "view", b.servers.byID[1], false, false)
		b.retry(req, req.attempts[0], ServerError)
		expectEqual(t, "action", host.lastAction(), want)
	}
}

// Where nothing stops the work, cutting executions off under load wasted it (arkib-dialek, first incident).
func TestNothingIsCutOffOnAServerThatAnswers(t *testing.T) {
	for fails, want := range map[int]bool{0: false, 1: true} {
		var limit float64
		b, _ := newTestBalancer(1, func(s *Settings) { s.HedgingAllowed = false })
		b.host = timeoutRecorder{recordingHost: &recordingHost{}, timeout: &limit}
		b.servers.byID[1].health.consecutiveFailures, b.retryBudgets.shared = fails, 5
		b.startAttempt(&request{id: 7, class: b.classes.byName["view"], objectiveAt: 0.4, deadline: 1, retryBudget: &b.retryBudgets.shared}, b.servers.byID[1])
		expectEqual(t, "cut off", limit < 1, want)
	}
}

type timeoutRecorder struct {
	*recordingHost
	timeout, writeTimeout *float64
}

func (l timeoutRecorder) StartAttempt(op, s uint64, limit, within float64) {
	if *l.timeout = limit; l.writeTimeout != nil {
		*l.writeTimeout = within
	}
}

// A repeat of a numbered operation that waits for a connection beyond its window would take effect twice. What is proved never to
// have run bounds nothing, nor is any other sort bound.
func TestARepeatIsWrittenWithinItsWindow(t *testing.T) {
	for kind, want := range map[string]float64{"amend": 0.7, "view": 1.6} {
		for harmless, want := range map[bool]float64{false: want, true: 1.6} {
			var limit, within float64
			b, _ := newTestBalancer(2, nil)
			b.host = timeoutRecorder{recordingHost: &recordingHost{}, timeout: &limit, writeTimeout: &within}
			req := requestWithAttempt(b, kind, b.servers.byID[1], false, harmless)
			b.now, req.deadline = req.attempts[0].sentAt+0.3, req.attempts[0].sentAt+1.9 // of a window of 1 s
			b.startAttempt(req, b.servers.byID[2])
			expectEqual(t, fmt.Sprint("written within, ", kind, harmless), math.Round(within*1e6)/1e6, want)
		}
	}
}

// A numbered operation is repeated within its window alone, however short that is; without one it is not. What is proved never to have
// run may go on: the window is of what may have.
func TestWindowsShorterThanATry(t *testing.T) {
	for _, c := range []struct {
		window, after float64 // when its first execution ends
		how           Outcome
		want          string
	}{
		{0, 0, ConnectionLost, "terminate 7"},
		{0, 0.01, ConnectFailed, "execute 7 on 2"},
		{0.02, 0.01, ConnectionLost, "execute 7 on 2"},
		{0.02, 0.02, ConnectionLost, "terminate 7"},
		{0.02, 0.4, TimedOut, "terminate 7"},
		{0.02, 0.4, NotAttempted, "execute 7 on 2"},
	} {
		b, host := newTestBalancer(2, nil)
		b.retryBudgets.shared = 1
		req := requestWithAttempt(b, "amend", b.servers.byID[1], true, false)
		req.class.DeduplicationWindow = c.window
		b.OnAttemptEnd(c.after, 7, 0, c.how, c.after, false)
		expectEqual(t, fmt.Sprint("action with ", c), host.lastAction(), c.want)
		if host.lastAction() == "execute 7 on 2" && !req.attempts[0].notExecuted {
			b.OnAttemptEnd(c.window+0.001, 7, 1, NotAttempted, 0.001, false) // as its window ended before it was written
			expectEqual(t, fmt.Sprint("answer with ", c), host.lastAction(), "terminate 7")
		}
	}
}

func TestRefusedConnectionsBenchACacheAndItComesBackCold(t *testing.T) {
	// One refused or reset is an accident of the network: taken for a restart, it moved the keys of most caches to a
	// few (sockets, connections reset all day).
	for refused, warmth := range map[int]float64{1: 1, 2: 1, 3: 0.25, 4: 0.25} {
		b, _ := newTestBalancer(2, nil)
		server := b.servers.byID[1]
		req := requestWithAttempt(b, "view", server, true, false)
		for range refused {
			b.recordOutcome(req.attempts[0], ConnectFailed, 0.05)
			expectEqual(t, "sick", b.ejected(server), true)
			b.now = server.health.ejectedUntil + 0.01
			expectEqual(t, "sick after the wait", b.ejected(server), false)
		}
		b.recordOutcome(req.attempts[0], Succeeded, 0.05)
		expectEqual(t, fmt.Sprint("warmth after ", refused), b.warmFraction(server), warmth)
	}
}

func TestTheSickServeWhenNoOtherIsLeft(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	for _, server := range b.servers.ready {
		server.health.consecutiveFailures, server.health.ejectedUntil = 3, 9
	}
	req := requestWithAttempt(b, "view", nil, false, true)
	expectEqual(t, "served", b.pick(req) != nil, true)
	b.servers.ready[1].health.consecutiveFailures = 0
	expectEqual(t, "choice", b.pick(req).ID, uint64(2))
}

func TestRestartUnderTheSameIDIsCold(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	b.OnEndpoints(30, UpdateDelta, []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: 29}})
	expectEqual(t, "warmth", math.Round(b.warmFraction(b.servers.byID[1])*1e4), 2875.0)
}

func TestAbsentFromASnapshotIsGone(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	b.OnEndpoints(1, UpdateFull, []Endpoint{{ID: 2, State: Ready, Capacity: 1}})
	expectEqual(t, "ready", len(b.servers.ready), 1)
}

// Servers were replaced all day under new ids, and types made up by clients: each left a record for ever.
func TestWhatIsGoneIsForgotten(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	old, rows := b.servers.byID[1], len(b.classes.byName)
	req := requestWithAttempt(b, "view", old, true, false)
	b.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready, Capacity: 1}})
	expectEqual(t, "servers while one drains", len(b.servers.byID), 3)
	b.OnEndpoints(2, UpdateDelta, []Endpoint{{ID: 1, State: Removed}})
	expectEqual(t, "servers", len(b.servers.byID), 2)
	expectEqual(t, "may execute there", b.mayAttempt(req, old), false)
	b.OnAttemptEnd(3, 7, 0, Succeeded, 0.1, true)
	b.OnRequest(4, 8, "made up", "", "k", 1)
	expectEqual(t, "rows", len(b.classes.byName), rows)
}

func TestFailedCallsWaitLongerAndAskAgain(t *testing.T) {
	b, host := newTestBalancer(1, func(s *Settings) { s.PollEndpoints, s.PollInterval = true, 16 })
	b.OnEndpoints(1, UpdateFailed, nil)
	b.OnEndpoints(2, UpdateFailed, nil)
	expectEqual(t, "wait", b.polling.retryDelay, 2.0)
	b.OnTimer(3, "rewatch")
	expectEqual(t, "action", host.lastAction(), "watch true")
}

func TestColdCacheStaysWithinItsBudget(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	server := b.servers.ready[0]
	server.slowStart.startedAt, server.slowStart.budget, server.slowStart.refilledAt, b.now = 100, 1, 100, 100
	b.completions.rate, b.completions.rateAt = 400, 100 // 100 a second and cache
	sent := 0.0
	for range 3000 { // the rule's window, in steps of a millisecond
		b.now += 0.001
		for b.hasSlowStartBudget(server) {
			server.slowStart.budget--
			sent++
		}
	}
	// What the rule allows a cache that finishes 100 a second and starts at a quarter.
	if allowed := 4 * 0.25 * 100 * 3.0; sent > allowed || sent < allowed/4 {
		t.Errorf("%v executions in the window, %v allowed", sent, allowed)
	}
}

func TestFreshCacheAnswersForAWideningSlice(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	slice := func(age float64) int {
		b.servers.byID[1].slowStart.startedAt, b.now, b.recent.acceptanceRate = 100, 100+age, 1
		return b.keysAnsweredBy(b.servers.byID[1])
	}
	start, half, warm := slice(0), slice(10), slice(20)
	expectEqual(t, fmt.Sprint("widening: ", start, half, warm), start < half && half < warm && start <= 250, true)
}

// A cache half slower than the rest jams while others idle (samabay-booking, quiet day).
func TestSlowCacheGivesUpPointsGently(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	server := b.servers.byID[1]
	server.latency.slowness = 3
	b.recordOutcome(requestWithAttempt(b, "view", server, true, false).attempts[0], Succeeded, 0.4)
	expectEqual(t, "share", server.keyShare, 1-1.0/64)
}

// One tenant's surplus made the others late (riga-order-cache, rough-1).
func TestSurplusYieldsFirst(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	server, req := b.servers.byID[1], requestWithAttempt(b, "view", nil, false, true)
	server.inFlight = []*attempt{{request: req, server: server}}
	b.shedding.meanValue = req.class.PriorityWeight / req.class.meanLatency
	expectEqual(t, "within its share", b.shedsForLatency(req, server), false)
	req.valueFraction = 0.05
	expectEqual(t, "beyond its share", b.shedsForLatency(req, server), true)
}

// With most routers stopped, a quota split over all of them starved the tenants of the rest.
func TestShareIsOfWhatThisRouterFinishes(t *testing.T) {
	b, _ := newTestBalancer(1, func(s *Settings) { s.Tenants = []Tenant{{"a", 2}, {"b", 2}} })
	b.completions.rate, b.completions.rateAt = 100, 10
	b.tenants.byName["a"].tokens, b.tenants.byName["a"].refilledAt = 0, 9
	b.OnRequest(10, 5, "view", "a", "k", 1)
	expectEqual(t, "worth", b.requests[5].valueFraction, 1.0)
}

// At a fraction of an operation a second, a bucket of one lost what was within a share (riga-order-cache).
func TestShareHoldsForAFewOperations(t *testing.T) {
	b, host := newTestBalancer(1, func(s *Settings) { s.Tenants, s.RouterCount = []Tenant{{"a", 100}}, 200 })
	for i := range uint64(6) {
		b.OnRequest(20, i, "view", "a", "k", 1)
		expectEqual(t, fmt.Sprint("worth of operation ", i), b.requests[i].valueFraction, 1.0)
	}
	b.tenants.byName["a"].tokens = 1
	b.servers.ready, b.ring.nodes, b.ring.nearestBySlot = nil, nil, [ringSlots][]virtualNode{}
	b.OnRequest(20, 9, "view", "a", "k", 1)
	expectEqual(t, "answer", host.lastAction(), "decline 9 after true")
	expectEqual(t, "tokens after a decline unsent", b.tenants.byName["a"].tokens, 1.0)
}

// A whole ranking for each operation out of time took a large fleet's day past its CPU.
func TestNoServerIsSoughtForAnOperationOutOfTime(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	req := requestWithAttempt(b, "view", b.servers.byID[1], false, false)
	req.deadline = b.now
	expectEqual(t, "may go on", b.mayContinue(req), false)
	expectEqual(t, "choice", b.pick(req), (*serverState)(nil))
	expectEqual(t, "slots ranked", len(b.ring.nearestBySlot[req.keyHash%ringSlots]), 0)
}

// Tries that can no longer be in time queued ahead of first tries (riga-order-cache).
func TestLateTriesAreToldByTheTimeLeft(t *testing.T) {
	for left, want := range map[float64]float64{1: 1, 1.9: 1, 1.5: 0} {
		b, _ := newTestBalancer(1, nil)
		b.classes.byName["view"].firstTry.timeLeft, b.classes.byName["view"].firstTry.votes = 1, 9
		b.OnRequest(10, 5, "view", "", "k", left)
		expectEqual(t, fmt.Sprint("worth with ", left, " left"), b.requests[5].valueFraction, want)
	}
}

// Clients in a hurry were taken for tries that come back too late, and all declined: those leave more.
func TestClientInAHurryIsNotLate(t *testing.T) {
	for left, want := range map[float64]float64{0.39: 1, 0.74: 0} {
		b, _ := newTestBalancer(1, nil)
		b.classes.byName["view"].firstTry.timeLeft, b.classes.byName["view"].firstTry.votes = 1, 9
		b.OnRequest(10, 5, "view", "", "k", left)
		expectEqual(t, fmt.Sprint("worth with ", left, " left"), b.requests[5].valueFraction, want)
		expectEqual(t, "due", b.requests[5].objectiveAt > 10, want > 0)
	}
}

// With an execution in flight nearly half were shed at caches that answered nine of ten in time (sockets).
func TestRampWidensWhileNearlyAllIsInTime(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		b, _ := newTestBalancer(1, func(s *Settings) { s.OrderedConnections = ordered })
		server := b.servers.byID[1]
		for range 400 {
			b.OnAttemptEnd(b.now+0.01, requestWithAttempt(b, "view", server, true, false).id, 0, Succeeded, 0.25, true)
		}
		server.inFlight = []*attempt{{sentAt: b.now}}
		req := requestWithAttempt(b, "view", nil, false, true)
		b.shedding.meanValue = req.class.PriorityWeight / req.class.meanLatency
		for range 50 {
			expectEqual(t, fmt.Sprint("shed where ordered is ", ordered), b.shedsForLatency(req, server), ordered)
		}
		for range 100 {
			b.OnAttemptEnd(b.now+0.01, requestWithAttempt(b, "view", server, true, false).id, 0, TimedOut, 0.5, false)
		}
		expectEqual(t, "late ones count", b.recent.onTimeRate < 0.3, true)
	}
}

// Each router's one try kept a jammed cache jammed (arkib-dialek, second incident).
func TestIdleLineDoesNotKeepAJamAlive(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	server, req := b.servers.byID[1], requestWithAttempt(b, "view", nil, false, true)
	b.shedding.meanValue = req.class.PriorityWeight / req.class.meanLatency
	server.latency.slowness = 3
	expectEqual(t, "slow, but in time", b.shedsForLatency(req, server), false)
	server.latency.slowness = 4.5
	expectEqual(t, "too slow", b.shedsForLatency(req, server), true)
}

// A type shed whole was never measured again (samabay-booking, big-2).
func TestShedTypeIsTriedAgain(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	req := requestWithAttempt(b, "view", nil, false, true)
	req.class.meanLatency, req.class.latencyAt, b.shedding.meanValue = 1, 0, req.class.PriorityWeight
	expectEqual(t, "at once", b.shedsForLatency(req, b.servers.byID[1]), true)
	b.now = 16 * req.class.LatencyObjective
	req.objectiveAt = b.now + req.class.LatencyObjective
	expectEqual(t, "later", b.shedsForLatency(req, b.servers.byID[1]), false)
}

// lull lets operations arrive, rate a second from one time to another, and gives the longest time in which 15 or more
// were turned away with no execution begun, and how many of them went on. What goes on ends at once, as how tells.
func runRejecting(b *Balancer, from, to, rate float64, kind string, how func(now float64) Outcome) (worst float64, went int) {
	since, turned := from, 0
	for now := from; now < to; now += (0.5 + b.random.Float64()) / rate {
		id := uint64(now * 1e6)
		b.OnRequest(now, id, kind, "", fmt.Sprint("k", id%97), 2) // few keys, for speed; none is used often
		if req := b.requests[id]; req == nil {
			if turned++; turned >= 15 {
				worst = max(worst, now-since)
			}
		} else {
			since, turned, went = now, 0, went+1
			for n := 0; b.requests[id] == req; n++ {
				b.OnAttemptEnd(now, id, n, how(now), req.class.LatencyObjective/4, how(now) == Succeeded)
			}
		}
	}
	return worst, went
}

// A type's mean fades over eight promised times; until it had, all was shed, and the first that went on brought it back.
func TestAfterAJamTheTenthGoesOn(t *testing.T) {
	for _, promised := range []float64{0.08, 0.4, 1, 10} {
		for mean := 2.0; mean <= 8; mean++ {
			over, longest := 0, 0.0
			for seed := range uint32(200) {
				b, _ := newTestBalancer(6, func(s *Settings) {
					s.Seed = seed
					for i := range s.TrafficClasses {
						s.TrafficClasses[i].LatencyObjective, s.TrafficClasses[i].Deadline = promised, 5*promised
					}
				})
				for _, row := range b.classes.byName {
					row.meanLatency, b.shedding.meanValue = mean*promised, 1/(mean*promised)
				}
				rate, kind := []float64{5, 10, 20, 50}[seed%4], []string{"view", "pay", "amend"}[seed%3]
				worst, _ := runRejecting(b, 0, 10, rate, kind, func(float64) Outcome { return Succeeded })
				if longest = max(longest, worst); worst > 4 {
					over++
				}
			}
			if over > 0 {
				t.Errorf("promised %v s, a mean of %v times that: %d of 200 routers turned 15 or more away for over 4 s "+
					"with no attempt, the worst for %.1f s", promised, mean, over, longest)
			}
		}
	}
}

// With nothing left that finished, one in 32 went on by chance: one router of six began none for over four seconds.
func TestAfterErrorsTheTenthGoesOn(t *testing.T) {
	for _, rate := range []float64{5, 10, 20, 50} {
		over, longest := 0, 0.0
		for seed := range uint32(200) {
			b, _ := newTestBalancer(6, func(s *Settings) { s.Seed = seed })
			worst, _ := runRejecting(b, 0, 46, rate, "view", func(now float64) Outcome {
				if now >= 10 && now < 26 {
					return ServerError
				}
				return Succeeded
			})
			if longest = max(longest, worst); worst > 4 {
				over++
			}
		}
		if over > 0 {
			t.Errorf("%v a second, all failing for 16 s: %d of 200 routers turned 15 or more away for over 4 s with no "+
				"attempt, the worst for %.1f s", rate, over, longest)
		}
	}
}

// What goes on in a jam must not keep it up: a tenth where little comes, one each promised time where much does.
func TestWhatGoesOnInAJamIsBounded(t *testing.T) {
	for rate, most := range map[float64]int{1: 3, 5: 15, 20: 60, 500: 76} { // in 30 s; the last by 0.4 s
		b, _ := newTestBalancer(6, nil)
		for _, row := range b.classes.byName {
			row.meanLatency, b.shedding.meanValue = 1e6, 1e-6
		}
		_, went := runRejecting(b, 0, 30, rate, "view", func(float64) Outcome { return Cancelled })
		if went > most || went < most*2/3 {
			t.Errorf("%d of %v operations went on in a jam, want at most %d", went, 30*rate, most)
		}
	}
}

// Rule 4 goes before it: however much was turned away, a cold cache gets no more than its budget.
func TestTheTenthKeepsToAColdCachesBudget(t *testing.T) {
	for budget, want := range []int{0, 1} {
		b, host := newTestBalancer(1, nil)
		server := b.servers.byID[1]
		server.slowStart.startedAt, server.slowStart.refilledAt, server.slowStart.budget, b.servers.allCold = 1, 1, float64(budget), true
		b.classes.byName["view"].meanLatency, b.classes.byName["view"].latencyAt = 100, 1
		for n := range uint64(200) {
			b.OnRequest(1, n, "view", "", fmt.Sprint("k", n), 2)
		}
		expectEqual(t, fmt.Sprint("executions with a budget of ", budget), strings.Count(fmt.Sprint(host.actions), "execute"), want)
	}
}

// One key can ask more than a cache bears, and no router sees it in flight (full size).
func TestKeyUsedOftenIsSharedByTheNearest(t *testing.T) {
	b, _ := newTestBalancer(40, nil)
	b.replicasFor(5, b.classes.byName["view"])
	for i := range uint32(200) {
		b.replicasFor(100+i, b.classes.byName["view"])
	}
	expectEqual(t, "second use", b.replicasFor(5, b.classes.byName["view"]), 1.0)
	for i := range uint32(100) {
		b.replicasFor(5, b.classes.byName["view"])
		b.replicasFor(300+i, b.classes.byName["view"])
	}
	req, picked := requestWithAttempt(b, "view", nil, false, true), map[uint64]bool{}
	expectEqual(t, "a third of all uses shared by many", b.replicasFor(5, b.classes.byName["view"]) > 20, true)
	req.replicas = 3
	for range 100 {
		picked[b.pick(req).ID] = true
	}
	expectEqual(t, "caches picked", len(picked), 3)
}

// A whole ranking at each lookup took a large fleet's day past its CPU (samabay-booking, full size).
func TestNearestPointsAreThoseOfTheWholeRanking(t *testing.T) {
	b, _ := newTestBalancer(13, nil)
	for slot := uint32(0); slot < ringSlots; slot += 13 {
		whole := slices.Clone(b.ring.nearestNodes(slot, len(b.ring.nodes)))
		for _, n := range []int{1, 16, 64} {
			b.ring.nearestBySlot[slot] = nil
			for i, p := range b.ring.nearestNodes(slot, n) {
				if p.distance != whole[i].distance {
					t.Fatalf("slot %d, %d points: point %d is %d bits away, want %d", slot, n, i, p.distance, whole[i].distance)
				}
			}
		}
	}
	expectEqual(t, "points ranked", len(b.ring.nearestBySlot[0]), 64)
}

// What order leaves out must be farther than all it ranks, wherever points lie.
func TestNoPointIsNearerBeyondTwiceTheSteps(t *testing.T) {
	circle := hypervectorTable()
	for i := uint32(0); i < ringSlots; i += 64 {
		var least, most [ringSlots/2 + 1]int
		for k := range least {
			a := hammingDistance(&circle[i], &circle[(i+uint32(k))%ringSlots])
			b := hammingDistance(&circle[i], &circle[(i-uint32(k))%ringSlots])
			least[k], most[k] = min(a, b), max(a, b)
		}
		for k := 1; k < len(least); k++ {
			most[k] = max(most[k], most[k-1])
		}
		for k := len(least) - 2; k >= 0; k-- {
			least[k] = min(least[k], least[k+1])
		}
		for k := 0; 2*k+9 < len(least); k++ {
			if least[2*k+9] <= most[k] {
				t.Fatalf("from slot %d, %d bits beyond %d steps, %d within %d", i, least[2*k+9], 2*k+8, most[k], k)
			}
		}
	}
}

func TestZeroSettingsAreHarmless(t *testing.T) {
	host := &recordingHost{}
	b := New(0, Settings{TrafficClasses: []TrafficClass{{Name: "view"}}, Tenants: []Tenant{{"a", -1}}}, host)
	b.OnEndpoints(0, UpdateSaved, []Endpoint{{ID: 1, State: Ready, StartedAt: 1}, {ID: 2, State: Ready, Capacity: -3}})
	for i := range uint64(50) {
		b.OnRequest(1, i, []string{"view", "unknown"}[i%2], "a", "", float64(i%3)-1)
		b.OnAttemptEnd(1, i, 0, Outcome(i%12), 0, false)
	}
	expectEqual(t, "operations left without an answer or an execution", len(host.actions) >= 50, true)
}

func TestMessagesCostNoMoreThanTheirPart(t *testing.T) {
	b, host := newTestBalancer(200, func(s *Settings) { s.GossipAllowed, s.GossipPrice, s.RouterCount = true, 0.01, 400 })
	for i := range 200 {
		b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32*float64(i%2*4), 1)
	}
	expectEqual(t, "messages for 200 executions, at most 5", len(host.actions) >= 1 && len(host.actions) <= 5, true)
}

// A cold cache got its slice of all while the warm ones shed most (riga-order-cache, full size).
func TestFreshCacheIsSparedWhatTheWarmShed(t *testing.T) {
	slice := func(taken float64) int {
		b, _ := newTestBalancer(4, nil)
		b.servers.byID[1].slowStart.startedAt, b.now, b.recent.acceptanceRate = 100, 112, taken
		return b.keysAnsweredBy(b.servers.byID[1])
	}
	calm, half, most := slice(1), slice(0.5), slice(0.2)
	expectEqual(t, fmt.Sprint("spared: ", calm, half, most), half < calm*2/3 && most < half*2/3, true)
}

// Where realms are apart, one whose executions fail takes no further ones from another.
func TestFurtherExecutionsAreApart(t *testing.T) {
	b, _ := newTestBalancer(2, func(s *Settings) { s.RetryBudgetPerTenant = true })
	for i := range 30 {
		b.OnRequest(0, uint64(100+i), "view", "a", "k", 2)
	}
	budgetA, budgetB := b.retryBudget("a"), b.retryBudget("b")
	expectEqual(t, "what a may before any finished", *budgetA, 0.0)
	for i := range 30 { // what is sent again by what arrives kept a failing origin down (dar-scripts, fast errors)
		b.OnAttemptEnd(0, uint64(100+i), 0, Succeeded, 0.01, true)
	}
	expectEqual(t, "what a may", *budgetA > 2.9 && *budgetA < 3.1, true)
	expectEqual(t, "what b may", *budgetB, 0.0)
	expectEqual(t, "what all may", b.retryBudgets.shared, 0.0)
}

// New traffic types hold for what arrives from then on: what has arrived ends under the old ones, and times seen stay.
func TestNewTrafficTypes(t *testing.T) {
	b, n := newTestBalancer(2, nil)
	b.OnRequest(0, 5, "view", "", "k", 2)
	b.classes.byName["view"].meanLatency = 0.07
	b.SetTrafficClasses([]TrafficClass{{Name: "view", Idempotency: AtMostOnce, LatencyObjective: 0.2, Deadline: 1, PriorityWeight: 1}})
	expectEqual(t, "the time seen", b.classes.byName["view"].meanLatency, 0.07)
	expectEqual(t, "old types that are left", len(b.classes.byName), 1)
	expectEqual(t, "the effect of what has arrived", b.requests[5].class.Idempotency, Idempotent)
	b.OnAttemptEnd(0.1, 5, 0, ConnectFailed, 0.1, false)
	expectEqual(t, "it goes on", len(n.actions) > 1 && n.lastAction()[:9] == "execute 5", true)
	b.OnRequest(0.2, 6, "view", "", "k", 1)
	expectEqual(t, "the effect of what arrives", b.requests[6].class.Idempotency, AtMostOnce)
}

// A decline tells why.
func TestReasons(t *testing.T) {
	b, _ := newTestBalancer(0, nil)
	h := &reasonRecorder{}
	b.host = h
	b.OnRequest(0, 5, "view", "", "k", 2)
	b, _ = newTestBalancer(1, nil)
	b.host = h
	b.servers.byID[1].inFlight = []*attempt{{sentAt: 0.1, request: &request{}}}
	b.OnRequest(2, 6, "view", "", "k", 2)
	b, _ = newTestBalancer(2, nil)
	b.host = h
	b.OnRequest(0, 7, "view", "", "k", 2)
	*b.requests[7].retryBudget = 1
	b.OnAttemptEnd(1.99, 7, 0, Overloaded, 1.99, false)
	expectEqual(t, "the reasons", fmt.Sprint(h.reasons), fmt.Sprint([]RejectReason{ReasonNoEndpoint, ReasonOverloaded, ReasonNoTime}))
}

// Of 80 routers none had two executions in flight anywhere: a cache held four times what others did, and none knew.
func TestLoadThatPeersTellIsPassedOver(t *testing.T) {
	b, _ := newGossipingBalancer(10)
	for range 20 {
		b.OnGossip(1, []byte{3, 0, 64, 3, 0, 64, 4, 0, 32}) // twice the usual time
	}
	if part := b.passedOverPart(b.servers.byID[3]); part < 0.5 || part > 0.95 {
		t.Errorf("%v of its keys leave a cache with most of the load", part)
	}
	expectEqual(t, "keys that leave another", b.passedOverPart(b.servers.byID[5]), 0.0)
	b.now = 20
	expectEqual(t, "keys that leave it 19 s later", b.passedOverPart(b.servers.byID[3]), 0.0)
	b.completions.rate, b.completions.rateAt = 100, 20
	b.OnGossip(20, []byte{3, 0, 255, 3, 0, 254, 3, 0, 254})
	expectEqual(t, "keys that leave it where a router sees enough itself", b.passedOverPart(b.servers.byID[3]), 0.0)
}

// Each of 80 routers lost operations of its own to a cache that stood nearly still, for 13 s; and one that was cut off
// from a cache must not take it from the others.
func TestCacheThatAllFindSlowKeepsFewKeys(t *testing.T) {
	b, _ := newGossipingBalancer(10)
	for i := range 400 {
		b.OnGossip(1, []byte{byte(i%10) + 1, 0, byte(32 + 222*(i%10/9))})
	}
	if part := b.passedOverPart(b.servers.byID[10]); part < 0.9 || part > 0.98 {
		t.Errorf("%v of its keys leave it", part)
	}
	b.OnGossip(1.1, []byte{2, 0, gossipRefused})
	expectEqual(t, "a cache that refused one peer and finished another's is sick", b.ejected(b.servers.byID[2]), false)
	b.OnGossip(3, []byte{2, 0, gossipRefused})
	expectEqual(t, "sick once nobody's execution finishes there", b.ejected(b.servers.byID[2]), true)
}

// Words come from routers that see little, of each execution and at most for half a hundredth of the benefit.
func TestWhoSeesLittleTells(t *testing.T) {
	b, host := newGossipingBalancer(60)
	for range 1000 {
		b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32, 1)
	}
	if n := len(host.actions); n < 20 || float64(n)*gossipMessageSize*79/256*0.01 > 5.3 {
		t.Errorf("%d messages of 1000 executions", n)
	}
	b, host = newGossipingBalancer(2)
	b.completions.rate, b.completions.rateAt = 100, 0
	b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32*8, 1)
	expectEqual(t, "who sees enough", host.lastAction(), "")
}

// Six in ten caches were replaced: as fewer operations finished the new ones' slices shrank further, and the old fell.
func TestSliceOfAFreshCacheDoesNotShrinkWhereAllTell(t *testing.T) {
	b, _ := newGossipingBalancer(4)
	b.now, b.recent.acceptanceRate, b.settings.WarmupStartCapacity, b.settings.WarmupDuration, b.servers.byID[2].slowStart.startedAt = 1, 0.5, 0.3, 9, 1
	alone := b.keysAnsweredBy(b.servers.byID[2])
	b.OnGossip(1, []byte{1, 0, 32})
	told := b.keysAnsweredBy(b.servers.byID[2])
	b.servers.byID[2].slowStart.startedAt = 0
	if whole := b.keysAnsweredBy(b.servers.byID[2]); told < alone*3/2 || told > whole*2/5 {
		t.Errorf("a slice of %d keys alone, %d where all tell, of %d", alone, told, whole)
	}
}

// A key used often went to each cache that shares it alike, however loaded.
func TestLessLoadedOfTwoTakesAKeyUsedOften(t *testing.T) {
	b, _ := newGossipingBalancer(10)
	req := &request{class: b.classes.byName["view"], keyHash: seedhash.Avalanche(5), valueFraction: 1, replicas: 2, objectiveAt: 1, deadline: 2}
	busy := b.nearestServer(req.keyHash, func(*serverState) bool { return true })
	for _, want := range []int{200, 100} { // of 400: by chance alike, then where both draws are the busy one
		taken := map[*serverState]int{}
		for range 400 {
			taken[b.pick(req)]++
		}
		if n := taken[busy]; n < want-50 || n > want+50 || len(taken) != 2 {
			t.Errorf("it takes %d of 400, want about %d, beside %d others", n, want, len(taken)-1)
		}
		b.addReportedLoad(busy, 0.1)
	}
}

// Hundreds of routers and of caches: what they tell is kept in so many bytes, and what has gone is forgotten.
func TestHundredsOfRoutersAndCachesStayBounded(t *testing.T) {
	b, host := newTestBalancer(500, func(s *Settings) { s.GossipAllowed, s.RouterCount, s.GossipPrice = true, 400, 0.01 })
	gone := []Endpoint(nil)
	for i := range 1000 {
		now := float64(i) / 25
		b.OnGossip(now, []byte{byte(i), byte(i % 3), byte(16 + i%200), byte(i * 7), 1, gossipRefused, 7})
		b.OnRequest(now, uint64(i), "view", "", fmt.Sprint("key", i%700), 2)
		b.OnAttemptEnd(now+0.005, uint64(i), 0, Succeeded, 0.005, true)
		if gone = append(gone, Endpoint{ID: uint64(i + 1), State: Removed}); i == 399 {
			b.OnEndpoints(now, UpdateDelta, gone)
		}
	}
	expectEqual(t, "operations kept", len(b.requests), 0)
	expectEqual(t, "caches kept", len(b.servers.byID), 100)
	expectEqual(t, "words waiting are at most a message", len(b.gossip.pending) <= gossipMessageSize, true)
	expectEqual(t, "messages are within what they may cost, and the first", float64(len(host.actions)-1000) < 0.005*1000/(16*399/256.0*0.01)+5, true)
}

// Load that falls and rises moved points, and each update ranked all anew (dar-scripts, full size: 172 us an event).
func TestLiveWeightIsASizeOnlyWhenNothingIsHeld(t *testing.T) {
	b, _ := newLiveWeightBalancer(0, 4, 1)
	b.ring.nearestNodes(5, 1)
	for _, c := range []struct{ first, second, points float64 }{{0.1, 0.9, 4}, {4, 2, 8}} {
		expectEqual(t, "orders kept until a size is larger than seen", len(b.ring.nearestBySlot[5]) > 0, true)
		b.OnEndpoints(1, UpdateDelta, endpointsOfWeights(c.first, c.second))
		expectEqual(t, "points", fmt.Sprint(b.servers.byID[1].virtualNodes, b.servers.byID[2].virtualNodes), fmt.Sprint("16 ", c.points))
	}
}

// At 600 routers none has two in flight at a cache; the list's weights tell what it holds (dar-scripts, busy days).
func TestPassOverByLiveWeights(t *testing.T) {
	b, _ := newLiveWeightBalancer(0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	b.OnEndpoints(1, UpdateDelta, endpointsOfWeights(0.1))
	for _, c := range []struct{ usual, later, least, most float64 }{{9, 0, 0.7, 0.99}, {1, 0, 0, 0}, {9, 20 * loadDecayTime, 0, 0}} {
		b.servers.byID[1].reported.smoothedLoad, b.now = c.usual, 1+c.later // one look says little, and an old one nothing
		part := b.passedOverPart(b.servers.byID[1])
		expectEqual(t, fmt.Sprint(part, " of the keys leave with ", c), part >= c.least && part <= c.most, true)
	}
	expectEqual(t, "none leaves another", b.passedOverPart(b.servers.byID[2]), 0.0)
	req := &request{class: b.classes.byName["view"]}
	b.now = 1
	expectEqual(t, "it takes longer there", b.expectedLatency(req, b.servers.byID[1]) > 2*b.expectedLatency(req, b.servers.byID[2]), true)
}

// Three seconds after a start a seventh of what caches finish was seen, and fresh ones got as little.
func TestWhatFinishesIsReckonedFromTheStart(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	for b.now = 0.25; b.now <= 3; b.now += 0.25 {
		b.recordOutcome(requestWithAttempt(b, "view", b.servers.byID[1], true, false).attempts[0], Succeeded, 0.01)
	}
	expectEqual(t, "four a second", math.Round(b.completionRate()), 4.0)
}

// A lookup for a key's one cache, passed over, went round the whole circle (dar-scripts, big-1: 160 us an event).
func TestLookupStaysNear(t *testing.T) {
	b, _ := newTestBalancer(270, func(s *Settings) { s.WeightMode, s.RouterCount = WeightsLive, 600 })
	req := &request{class: b.classes.byName["view"], keyHash: 5, replicas: 1, valueFraction: 1, deadline: 9}
	b.pick(req).inFlight, b.inFlight = make([]*attempt, 9), 9
	b.pick(req)
	expectEqual(t, "points ranked for a lookup past one", len(b.ring.nearestBySlot[5]) <= 64, true)
}

// The part a cache answers for follows what it held over seconds (dar-scripts: 0.6 to 15 held for ten seconds).
func TestPartFollowsWhatWeightsSayItHolds(t *testing.T) {
	b, _ := newLiveWeightBalancer(0, 1, 1, 1, 1)
	before, now := float64(b.keysAnsweredBy(b.servers.byID[1])), 1.0
	for _, c := range []struct{ weight, until, least, most float64 }{{0.1, 1, 0.75, 1}, {0.1, 20, 0, 0.5}, {1, 120, 1, 1}} {
		for ; now <= c.until; now++ {
			b.OnEndpoints(now, UpdateDelta, endpointsOfWeights(c.weight))
		}
		part := float64(b.keysAnsweredBy(b.servers.byID[1])) / before
		expectEqual(t, fmt.Sprint(part, " of its keys with ", c), part >= c.least && part <= c.most, true)
	}
}

// All failed where the origin did, and what was sent again, or shared by many, kept it so (dar-scripts).
func TestWhatFailsIsShedAndSharedByFew(t *testing.T) {
	for won, want := range map[float64]bool{0: true, 30: false} {
		b, _ := newTestBalancer(40, nil)
		shed, spread := 0, 0.0
		for range 200 {
			b.recent.succeeded, b.recent.failed = won, 30-won
			if b.shedsForFailures() {
				shed++
			}
			spread = b.replicasFor(5, b.classes.byName["view"])
		}
		expectEqual(t, fmt.Sprint("shed and not shared with ", won, " of 30 finished"), shed > 100 && spread == 1, want)
	}
}

// A full cache proves nothing of its health; taken for failures, they benched most caches (lima-avisos, overload).
func TestAFullCacheIsNotSick(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	b.recordOutcome(requestWithAttempt(b, "view", b.servers.byID[1], true, false).attempts[0], Overloaded, 0.001)
	expectEqual(t, "failures, slowness", fmt.Sprint(b.servers.byID[1].health.consecutiveFailures, b.servers.byID[1].latency.slowness), "0 1")
}

// Routers that carry unlike traffic shed within a tenant's share in calm (lima-avisos: one in twenty).
func TestSurplusIsNotShedInCalm(t *testing.T) {
	for timely, want := range map[float64]bool{0.5: true, 1: false} {
		b, _ := newTestBalancer(1, nil)
		req := requestWithAttempt(b, "view", nil, false, true)
		req.valueFraction, b.recent.onTimeRate, b.shedding.meanValue = 0.05, timely, req.class.PriorityWeight/req.class.meanLatency
		expectEqual(t, fmt.Sprint("shed with ", timely, " in time"), b.shedsForLatency(req, b.servers.byID[1]), want)
	}
}

// Each of 600 routers had one execution at once for a cold cache that bears two a second (dar-scripts: rule 4).
func TestManyRoutersTogetherSpareAColdCache(t *testing.T) {
	sent, weights := 0, slices.Repeat([]float64{1, 3}, 120) // which bear 10 and 30 a second
	for seed := range uint32(600) {
		b, _ := newLiveWeightBalancer(seed, weights...)
		b.now, b.completions.rateAt, b.completions.rate = 100, 100, 4
		b.OnEndpoints(100, UpdateDelta, []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: 100}})
		for server := b.servers.byID[1]; b.now < 101.5; b.now += 0.01 {
			if b.hasSlowStartBudget(server) {
				server.slowStart.budget--
				sent++
			}
		}
	}
	// What the rule allows: 4 times 0.17 of 10 a second, for a second and a half.
	expectEqual(t, fmt.Sprint(sent, " sent by all, some but less than 10"), sent > 0 && sent < 10, true)
}

// Each operation went on to four more caches, all full, and crowded them (lima-avisos: 2.9 executions each).
func TestNoStormRoundFullCaches(t *testing.T) {
	for _, c := range []struct {
		taken float64
		down  bool
		most  int
	}{{0.05, false, 15}, {1, false, 50}, {0.05, true, 50}} { // what was refused a connection crowds nothing
		went := 0
		for seed := range uint32(50) {
			b, host := newTestBalancer(2, func(s *Settings) { s.Seed = seed })
			b.recent.acceptanceRate, b.servers.byID[1].health.refusesConnections = c.taken, c.down
			req := requestWithAttempt(b, "view", b.servers.byID[1], false, true)
			if b.retry(req, req.attempts[0], ServerError); host.lastAction() == "execute 7 on 2" {
				went++
			}
		}
		expectEqual(t, fmt.Sprint(went, " of 50 went on with ", c), went <= c.most && went >= c.most-15, true)
	}
}

func TestAvoidsWhatDrainsIsBarredOrFailed(t *testing.T) {
	b, _ := newTestBalancer(5, nil)
	b.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 3, State: Draining, Capacity: 1}})
	b.SetDisabled(1, 4, true)
	b.servers.byID[1].health.consecutiveFailures, b.servers.byID[2].health.consecutiveFailures = 2, 3
	for id, want := range map[uint64]bool{1: false, 2: true, 3: true, 4: true, 5: false, 6: true} {
		expectEqual(t, fmt.Sprint("avoids ", id), b.Avoids(id), want)
	}
}

// No list undoes what operators have called, for one that it drops and names anew neither, nor for one it has not named yet.
func TestBarredStaysOutWhateverTheListSays(t *testing.T) {
	b, _ := newTestBalancer(3, nil)
	again := []Endpoint{{ID: 1, State: Ready, Capacity: 1}, {ID: 2, State: Ready, Capacity: 1, StartedAt: 5}, {ID: 9, State: Ready, Capacity: 1}}
	for _, id := range []uint64{2, 2, 9} {
		b.SetDisabled(1, id, true)
	}
	b.OnEndpoints(2, UpdateDelta, []Endpoint{{ID: 2, State: Removed}})
	b.OnEndpoints(3, UpdateFull, again[:1])
	b.OnEndpoints(6, UpdateFull, again)
	req := requestWithAttempt(b, "view", nil, false, true)
	for _, server := range b.servers.byID {
		expectEqual(t, fmt.Sprint("may execute on ", server.ID), b.mayAttempt(req, server), server.ID == 1)
	}
	expectEqual(t, "ready caches", len(b.servers.ready), 1)
	b.SetDisabled(7, 2, false)
	expectEqual(t, "ready caches after the call back", len(b.servers.ready), 2)
	b.SetDisabled(8, 7, false) // nothing was called of it
	b.OnEndpoints(9, UpdateDelta, nil)
	expectEqual(t, "records", len(b.servers.byID), 3)
}

// It may have started anew while it was out, before a list tells: it gets the slice and the budget of a cold one.
func TestBarredIsColdOnceBack(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	b.SetDisabled(50, 2, true)
	b.servers.byID[2].health.consecutiveFailures, b.servers.byID[2].health.refusesConnections = 7, true
	b.SetDisabled(60, 2, false)
	server := b.servers.byID[2]
	expectEqual(t, "its certain capacity", b.warmFraction(server), 0.25)
	expectEqual(t, "avoided for failures before", b.Avoids(2), false)
	if server.slowStart.budget >= 1 {
		t.Errorf("its first budget is %v", server.slowStart.budget)
	}
	b.SetDisabled(61, 2, false)
	expectEqual(t, "fresh since", server.slowStart.startedAt, 60.0)
}

// A zone with a share serves the same keys of its own at every router; the other keys stay where they were. Of one that is left what may
// run again goes elsewhere at once, and what may not waits on.
func TestZoned(t *testing.T) {
	zoned := func(seed uint32, share float64) *Balancer {
		b, _ := newTestBalancer(12, func(s *Settings) { s.Seed = seed })
		for id, server := range b.servers.byID {
			server.Zone = string(rune('a' + id%3))
		}
		if share < 1 {
			b.SetZoneShare(0, "b", share)
		}
		return b
	}
	before, half, other, none := zoned(1, 1), zoned(1, 0.5), zoned(2, 0.5), zoned(1, 0)
	kept, all := 0, 0
	for key := range uint32(2000) {
		pick := func(b *Balancer) *serverState {
			return b.nearestServer(seedhash.Avalanche(key), func(*serverState) bool { return true })
		}
		was, now := pick(before), pick(half)
		if now != nil && pick(other).ID != now.ID {
			t.Fatal("two routers differ")
		}
		if pick(none).Zone == "b" {
			t.Fatal("a zone that is left serves a key")
		}
		if was.Zone != "b" {
			if now.ID != was.ID {
				t.Fatal("a key of another zone moved")
			}
			continue
		}
		if all++; now.ID == was.ID {
			kept++
		}
	}
	if part := float64(kept) / float64(all); part < 0.4 || part > 0.6 {
		t.Errorf("%v of its keys stay, want half", part)
	}
	b, host := newTestBalancer(12, nil)
	for id, server := range b.servers.byID {
		server.Zone = string(rune('a' + id%3))
	}
	for op, kind := range []string{"view", "pay"} {
		for n := range 40 {
			b.OnRequest(1, uint64(op*100+n), kind, "", fmt.Sprint("key-", n), 2)
		}
	}
	host.actions = nil
	b.SetZoneShare(1.1, "b", 0)
	views := 0
	for _, line := range host.actions {
		var id uint64
		var n int
		if _, err := fmt.Sscanf(line, "withdraw %d/%d", &id, &n); err != nil || id >= 100 || b.requests[id].attempts[n].server.Zone != "b" {
			t.Fatalf("did %q: only what may run again, and is out there, is withdrawn", line)
		}
		views++
	}
	for id := range uint64(40) {
		if req := b.requests[id]; req != nil && req.attempts[0].server.Zone == "b" { // nil: declined, as all came at once
			views--
		}
	}
	if views != 0 || len(host.actions) == 0 {
		t.Errorf("%d of those out there were missed, %d withdrawn", -views, len(host.actions))
	}
	id := uint64(0)
	fmt.Sscanf(host.actions[0], "withdraw %d", &id)
	if b.OnAttemptEnd(1.1, id, 0, Cancelled, 0.1, false); len(b.requests[id].attempts) != 2 || b.requests[id].attempts[1].server.Zone == "b" {
		t.Error("what was withdrawn did not go elsewhere")
	}
}

// Where every cache is cold none sheds to another: what is declined meanwhile does not close their slices, and what caches finished
// before this process tells what they bear. Without it they were used only once they were warm.
func TestAllCold(t *testing.T) {
	for flow, least := range map[float64]int{0: 1, 60: 40} {
		b, _ := newTestBalancer(0, func(s *Settings) { s.InitialCompletionRate, s.Seed = flow, 9 })
		var all []Endpoint
		for i := range 6 {
			all = append(all, Endpoint{ID: uint64(i + 1), State: Ready, Zone: "a", StartedAt: 0.5})
		}
		b.OnEndpoints(1, UpdateFull, all)
		if got := b.completionRate(); math.Abs(got-flow) > flow/10 {
			t.Errorf("%v a second are taken to finish, known is %v", got, flow)
		}
		sent := 0
		for n := range 400 { // 100 a second, for four of the twenty seconds that they take to be warm
			now, id := 1+float64(n)/100, uint64(n)
			b.OnRequest(now, id, "view", "", fmt.Sprint("key-", n), 2)
			if req := b.requests[id]; req != nil && len(req.attempts) > 0 {
				sent++
				b.OnAttemptEnd(now+0.01, id, 0, Succeeded, 0.01, true)
			}
		}
		if sent < least {
			t.Errorf("of 400 operations %d were sent, with %v a second known from before; want %d at least", sent, flow, least)
		}
		if b.recent.acceptanceRate < 1e-3 && sent == 0 {
			t.Error("the slices have closed")
		}
	}
}

// What is bound to a zone that is left is declined at once, with when to come back, and never goes elsewhere (rule 5).
func TestBoundToAZoneThatIsLeft(t *testing.T) {
	b, host := newTestBalancer(4, func(s *Settings) { s.TrafficClasses[0].AllowedZones = []string{"b"} })
	b.servers.byID[1].Zone, b.servers.byID[2].Zone = "b", "b"
	b.OnRequest(1, 1, "view", "", "key", 2)
	if b.SetZoneShare(1.1, "b", 0); host.lastAction() != "withdraw 1/0" {
		t.Errorf("did %q", host.lastAction())
	}
	if b.OnAttemptEnd(1.1, 1, 0, Cancelled, 0.1, false); host.lastAction() != "decline 1 after true" {
		t.Errorf("did %q", host.lastAction())
	}
	if b.OnRequest(1.2, 2, "view", "", "key", 2); host.lastAction() != "decline 2 after true" {
		t.Errorf("did %q", host.lastAction())
	}
}

// A zone's share is of caches: what the origin's servers in a zone that is left work on goes on.
func TestZonedLeavesTheOrigin(t *testing.T) {
	b, host := newTestBalancer(3, func(s *Settings) { s.CacheAside, s.OriginMachineType = true, "origin" })
	b.OnEndpoints(0, UpdateDelta, []Endpoint{{ID: 9, State: Ready, Zone: "b", MachineType: "origin"}})
	b.OnRequest(1, 1, "view", "", "key", 2)
	b.OnAttemptEnd(1.01, 1, 0, CacheMiss, 0.01, false)
	if host.lastAction() != "execute 1 on 9" {
		t.Fatalf("did %v, want a fetch", host.actions)
	}
	if b.SetZoneShare(1.02, "b", 0); host.lastAction() != "execute 1 on 9" {
		t.Errorf("did %q", host.lastAction())
	}
}
