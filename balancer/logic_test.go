package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

func TestNeighbouringSlotsAreAlikeAndSimilarityFalls(t *testing.T) {
	circle := table()
	expect(t, "neighbours", distance(&circle[10], &circle[11]), flips)
	last := 0
	for _, steps := range []int{64, 256, 1024, 2047} {
		far := distance(&circle[10], &circle[10+steps])
		expect(t, fmt.Sprint(steps, " steps are farther than fewer"), far > last, true)
		last = far
	}
}

func TestCircleCloses(t *testing.T) {
	circle := table()
	expect(t, "last slot from the first", distance(&circle[slots-1], &circle[0]), 0)
	near := distance(&circle[slots-100], &circle[0])
	far := distance(&circle[slots-1000], &circle[0])
	expect(t, "100 slots back nearer than 1000", near < far, true)
}

func TestEveryRouterPicksAlike(t *testing.T) {
	a, _ := fleet(5, func(s *Settings) { s.Seed = 1 })
	b, _ := fleet(5, func(s *Settings) { s.Seed = 2 })
	all := func(*server) bool { return true }
	for key := range uint32(500) {
		h := stir(key)
		expect(t, fmt.Sprint("pick of key ", key), a.nearest(h, all).ID, b.nearest(h, all).ID)
	}
}

func TestLossMovesOnlyTheLostCachesKeys(t *testing.T) {
	r, _ := fleet(5, nil)
	all := func(*server) bool { return true }
	before := map[uint32]uint64{}
	for key := range uint32(500) {
		before[key] = r.nearest(stir(key), all).ID
	}
	r.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 3, State: Draining, Capacity: 1}})
	for key, was := range before {
		now := r.nearest(stir(key), all).ID
		if was != 3 && now != was || now == 3 {
			t.Errorf("key %d moved from %d to %d", key, was, now)
		}
	}
}

func TestTiesGoByHashOfKeyAndServer(t *testing.T) {
	r, _ := fleet(2, nil)
	a, b := r.servers[1], r.servers[2]
	picked := map[uint64]bool{}
	for i := range uint32(64) {
		h := 5 + i*slots
		r.points = []point{{a, 5, 0, 9}, {b, 5, 0, 9}}
		r.orders[5] = r.points
		picked[r.nearest(h, func(*server) bool { return true }).ID] = true
	}
	expect(t, "servers picked among equals", len(picked), 2)
}

func TestPassOverActsAboveTwiceTheMeanAndAtTwo(t *testing.T) {
	for _, c := range []struct {
		mine, others int
		want         bool
	}{{1, 0, false}, {2, 0, true}, {2, 2, false}, {4, 4, false}, {5, 4, true}} {
		r, _ := fleet(4, nil)
		r.ready[0].out = make([]*execution, c.mine)
		r.flying = c.mine + c.others
		expect(t, fmt.Sprint("crowded with ", c.mine, " and ", c.others), r.crowded(r.ready[0]), c.want)
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
		r, _ := fleet(2, nil)
		op := begun(r, c.kind, r.servers[1], c.out, c.harmless)
		r.servers[2].Zone = c.zone
		r.now = c.after
		expect(t, fmt.Sprintf("%+v", c), r.mayExecute(op, r.servers[2]), c.want)
	}
}

// A type that is bound went to whichever server its key was nearest to (friesland-clubs, placement at 0.03 s).
func TestPlacementHoldsAtEveryExecution(t *testing.T) {
	bind := func(s *Settings) {
		s.TrafficClasses[0].AllowedMachineTypes, s.TrafficClasses[0].AllowedZones = []string{"frugal"}, []string{"a"}
	}
	for what, others := range map[string]Endpoint{"of another kind": {Zone: "a", MachineType: "usual"},
		"in another zone": {Zone: "b", MachineType: "frugal"}, "unnamed": {}} {
		r, did := fleet(0, bind)
		list := []Endpoint{{ID: 1, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"}}
		for id := uint64(2); id < 9; id++ {
			others.ID, others.State, others.Capacity = id, Ready, 1
			list = append(list, others)
		}
		r.OnEndpoints(0, UpdateFull, list)
		for key := range uint64(20) {
			r.OnRequest(1, key, "view", "", fmt.Sprint(key), 1)
			expect(t, "a bound type beside those "+what, did.last(), fmt.Sprintf("execute %d on 1", key))
		}
		r.OnAttemptEnd(1.01, 3, 0, ServerError, 0.01, false)
		expect(t, "no further execution on those "+what, did.last(), "decline 3 after true")
		for _, change := range []Endpoint{{ID: 1, State: Draining, Zone: "a", MachineType: "frugal"}, {ID: 1, State: Removed}} {
			r.OnEndpoints(1.1, UpdateDelta, []Endpoint{change})
			r.OnRequest(1.2, 90, "view", "", "k", 1)
			expect(t, "all that are open to it out, beside those "+what, did.last(), "decline 90 after true")
		}
		r.OnRequest(1.3, 91, "pay", "", "k", 1)
		expect(t, "an unbound type", r.ops[91] != nil, true)
	}
	r, did := fleet(1, bind) // in the right zone, of no kind: the list corrects it while an operation is open
	list := []Endpoint{{ID: 1, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"}, {ID: 2, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"}}
	r.OnEndpoints(0, UpdateFull, list)
	r.OnRequest(1, 5, "view", "", "k", 1)
	first := r.ops[5].executions[0].on.ID
	list[2-first].Zone = "b"
	r.OnEndpoints(1.1, UpdateDelta, list)
	r.OnAttemptEnd(1.2, 5, 0, ConnectFailed, 0.1, false)
	expect(t, "the other has moved out of its zone", did.last(), "decline 5 after true")
}

// aside starts a router that asks the origin, 99, for what a cache lacks.
func aside(n int) (*Balancer, *notes) {
	r, did := fleet(n, func(s *Settings) { s.CacheAside, s.OriginMachineType = true, "origin" })
	r.OnEndpoints(0, UpdateDelta, []Endpoint{{ID: 99, State: Ready, Capacity: 1, Zone: "far", MachineType: "origin"}})
	did.did = nil
	return r, did
}

// What a cache lacked was asked of the next cache, which lacked it too (tuinen-gelderland: two attempts an operation).
func TestMissGoesToTheOrigin(t *testing.T) {
	r, did := aside(3)
	expect(t, "the origin among the caches", len(r.ready), 3)
	begun(r, "pay", r.servers[1], true, false)
	r.rows["pay"].AllowedZones = []string{"a"} // placement is of caches: every type may use the origin
	r.taken = 0                                // nor is a miss paid for
	r.OnAttemptEnd(0.01, 7, 0, CacheMiss, 0.01, false)
	expect(t, "a miss", did.last(), "execute 7 on 99")
	r.OnAttemptEnd(0.02, 7, 1, ServerError, 0.01, false)
	expect(t, "an effect that may have been", did.last(), "terminate 7")
}

func TestOriginIsAskedWithinWhatItBears(t *testing.T) {
	r, did := aside(1)
	o, row := r.servers[99], r.rows["view"]
	o.out = make([]*execution, 3)
	r.bear(o, Succeeded, 0.01, row)
	expect(t, "bound after an answer", o.limit, 4.25)
	o.out = make([]*execution, 5)
	begun(r, "view", r.servers[1], true, false)
	r.OnAttemptEnd(1, 7, 0, CacheMiss, 0.01, false)
	expect(t, "a miss beyond it", did.last(), "decline 7 after true")
	o.out = make([]*execution, 2)
	op := begun(r, "view", r.servers[1], false, true)
	expect(t, "within its share", r.origin(op) != nil, true)
	op.worth = 0.05
	expect(t, "beyond its share", r.origin(op) != nil, false)
	r.bear(o, Overloaded, 0.01, row)
	expect(t, "bound after a refusal", math.Round(o.limit*100), 283.0)
	flow, fails, lag := r.flow, r.servers[1].fails, row.lag
	o.out, r.taken, r.spare = nil, 0, 0
	begun(r, "view", o, true, false)
	r.OnAttemptEnd(1.1, 7, 0, Overloaded, 0.01, false)
	expect(t, "a full origin, nothing to pay from", did.last(), "decline 7 after true")
	expect(t, "an unnamed kind", r.isOrigin(&server{}), false)
	op = begun(r, "view", o, true, false)
	r.learn(op.executions[0], Succeeded, 0.3)
	expect(t, "what caches finish", r.flow, flow)
	expect(t, "a cache's failures", r.servers[1].fails, fails)
	expect(t, "the usual time at a cache", row.lag, lag)
	r, _ = fleet(3, func(s *Settings) { s.CacheAside = true })
	expect(t, "caches where no kind is named", len(r.ready), 3)
}

// Errors that follow some keys benched the servers these keys are nearest to, and shed the rest (prikbord-nl, big-2).
func TestErrorsOfAnOperationsOwnBenchNoServer(t *testing.T) {
	r, did := fleet(4, nil)
	r.spare = 9
	for id := range uint64(9) {
		r.OnRequest(1, id, "view", "", "faulty", 1)
		for n := 0; r.ops[id] != nil && n < 3; n++ {
			r.OnAttemptEnd(1, id, n, ServerError, 0.01, false)
		}
		expect(t, "final answer", did.last(), fmt.Sprintf("decline %d after true", id))
	}
	for _, s := range r.ready {
		expect(t, fmt.Sprint("failures of ", s.ID), s.fails, 0)
	}
	r.faulty[0] = 5
	r.learn(begun(r, "view", r.servers[1], true, false).executions[0], Succeeded, 0.01)
	expect(t, "held against a slot where something finished", r.faulty[0], 0.0)
	r.lost, r.won = 30, 8
	for id := range uint64(400) {
		r.OnRequest(2, 100+id, "view", "", "faulty", 1)
		r.OnAttemptEnd(2, 100+id, 0, ServerError, 0.01, false)
	}
	expect(t, "shed for such errors", r.lost > r.won, false)
	r, _ = fleet(4, nil)
	r.spare = 9
	bad := uint64(0)
	for id := range uint64(60) { // one that truly fails, whatever it is sent
		r.OnRequest(1, id, "view", "", "k", 1)
		if bad == 0 {
			bad = r.ops[id].executions[0].on.ID
		}
		for n := 0; r.ops[id] != nil; n++ {
			how := Succeeded
			if r.ops[id].executions[n].on.ID == bad {
				how = ServerError
			}
			r.OnAttemptEnd(1, id, n, how, 0.01, how == Succeeded)
		}
	}
	expect(t, "one that fails is passed over", r.Avoids(bad), true)
}

// A start that is stamped too early makes a cold server look warm: the fourth rule goes by its true start.
func TestStampsMayBeOff(t *testing.T) {
	for stamp, want := range map[float64]float64{0: 0, 10: 15, 28: 30, 31: 31} {
		r, _ := fleet(0, func(s *Settings) { s.StartTimeError = 5 })
		r.OnEndpoints(30, UpdateDelta, []Endpoint{{ID: 1, State: Ready, StartedAt: stamp}})
		expect(t, fmt.Sprint("start of one stamped ", stamp), r.servers[1].fresh, want)
	}
}

func TestNoTwoAtOnceWhereBarredAndNothingNewToADrainingServer(t *testing.T) {
	r, _ := fleet(2, func(s *Settings) { s.HedgingAllowed = false })
	expect(t, "second copy", r.mayExecute(begun(r, "view", r.servers[1], true, false), r.servers[2]), false)
	r.servers[2].State = Draining
	expect(t, "draining", r.mayExecute(begun(r, "view", r.servers[1], false, true), r.servers[2]), false)
}

func TestDeclineRules(t *testing.T) {
	for _, c := range []struct {
		kind     string
		harmless bool
		group    DeduplicationScope
		want     bool
	}{{"view", false, ScopeCell, true}, {"pay", true, ScopeCell, true}, {"pay", false, ScopeCell, false},
		{"amend", false, ScopeZone, false}, {"amend", true, ScopeZone, true}, {"amend", false, ScopeAll, true}} {
		r, _ := fleet(1, nil)
		op := begun(r, c.kind, r.servers[1], false, c.harmless)
		op.row.DeduplicationScope = c.group
		expect(t, fmt.Sprintf("%+v", c), r.mayDecline(op), c.want)
	}
}

func TestGivingUpAnswersAtOnce(t *testing.T) {
	for kind, want := range map[string]string{"view": "decline 7 after true", "pay": "terminate 7"} {
		r, did := fleet(1, nil)
		r.giveUp(begun(r, kind, r.servers[1], false, false), ReasonNoTime)
		expect(t, kind, did.last(), want)
		expect(t, "operations kept", len(r.ops), 0)
	}
}

func TestEmptyListDeclinesAtOnce(t *testing.T) {
	r, did := fleet(0, nil)
	r.OnRequest(1, 5, "view", "", "k", 1)
	expect(t, "answer", did.last(), "decline 5 after true")
}

func TestLateNewsOfAnEndedOperation(t *testing.T) {
	r, did := fleet(1, nil)
	op := begun(r, "view", r.servers[1], true, false)
	op.answered = true
	r.servers[1].out = []*execution{op.executions[0]}
	r.OnAttemptEnd(0.01, 7, 0, Succeeded, 0.01, true)
	r.OnAttemptEnd(0.02, 7, 0, Succeeded, 0.01, true)
	r.OnClientGone(0.03, 7)
	r.OnTimer(0.04, "7")
	r.OnTimer(0.04, "no such name")
	expect(t, "actions", len(did.did), 0)
	expect(t, "held by the server", len(r.servers[1].out), 0)
}

func TestNoFurtherExecutionWithoutTime(t *testing.T) {
	r, did := fleet(2, nil)
	op := begun(r, "view", r.servers[1], false, true)
	op.hardStop = r.now + r.rows["view"].lag/2
	r.further(op, op.executions[0], ServerError)
	expect(t, "action", did.last(), "decline 7 after true")
}

func TestNoStormOfRepeats(t *testing.T) {
	for spare, want := range map[float64]string{0: "decline 7 after true", 1: "execute 7 on 2"} {
		r, did := fleet(2, nil)
		r.spare = spare
		op := begun(r, "view", r.servers[1], false, false)
		r.further(op, op.executions[0], ServerError)
		expect(t, "action", did.last(), want)
	}
}

// Where nothing stops the work, cutting executions off under load wasted it (arkib-dialek, first incident).
func TestNothingIsCutOffOnAServerThatAnswers(t *testing.T) {
	for fails, want := range map[int]bool{0: false, 1: true} {
		var limit float64
		r, _ := fleet(1, func(s *Settings) { s.HedgingAllowed = false })
		r.host = limited{notes: &notes{}, limit: &limit}
		r.servers[1].fails, r.spare = fails, 5
		r.execute(&operation{id: 7, row: r.rows["view"], due: 0.4, hardStop: 1, purse: &r.spare}, r.servers[1])
		expect(t, "cut off", limit < 1, want)
	}
}

type limited struct {
	*notes
	limit, within *float64
}

func (l limited) StartAttempt(op, s uint64, limit, within float64) {
	if *l.limit = limit; l.within != nil {
		*l.within = within
	}
}

// A repeat of a numbered operation that waits for a connection beyond its window would take effect twice. What is proved never to
// have run bounds nothing, nor is any other sort bound.
func TestARepeatIsWrittenWithinItsWindow(t *testing.T) {
	for kind, want := range map[string]float64{"amend": 0.7, "view": 1.6} {
		for harmless, want := range map[bool]float64{false: want, true: 1.6} {
			var limit, within float64
			r, _ := fleet(2, nil)
			r.host = limited{notes: &notes{}, limit: &limit, within: &within}
			op := begun(r, kind, r.servers[1], false, harmless)
			r.now, op.hardStop = op.executions[0].sent+0.3, op.executions[0].sent+1.9 // of a window of 1 s
			r.execute(op, r.servers[2])
			expect(t, fmt.Sprint("written within, ", kind, harmless), math.Round(within*1e6)/1e6, want)
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
		r, did := fleet(2, nil)
		r.spare = 1
		op := begun(r, "amend", r.servers[1], true, false)
		op.row.DeduplicationWindow = c.window
		r.OnAttemptEnd(c.after, 7, 0, c.how, c.after, false)
		expect(t, fmt.Sprint("action with ", c), did.last(), c.want)
		if did.last() == "execute 7 on 2" && !op.executions[0].harmless {
			r.OnAttemptEnd(c.window+0.001, 7, 1, NotAttempted, 0.001, false) // as its window ended before it was written
			expect(t, fmt.Sprint("answer with ", c), did.last(), "terminate 7")
		}
	}
}

func TestRefusedConnectionsBenchACacheAndItComesBackCold(t *testing.T) {
	// One refused or reset is an accident of the network: taken for a restart, it moved the keys of most caches to a
	// few (sockets, connections reset all day).
	for refused, warmth := range map[int]float64{1: 1, 2: 1, 3: 0.25, 4: 0.25} {
		r, _ := fleet(2, nil)
		s := r.servers[1]
		op := begun(r, "view", s, true, false)
		for range refused {
			r.learn(op.executions[0], ConnectFailed, 0.05)
			expect(t, "sick", r.sick(s), true)
			r.now = s.until + 0.01
			expect(t, "sick after the wait", r.sick(s), false)
		}
		r.learn(op.executions[0], Succeeded, 0.05)
		expect(t, fmt.Sprint("warmth after ", refused), r.warmth(s), warmth)
	}
}

func TestTheSickServeWhenNoOtherIsLeft(t *testing.T) {
	r, _ := fleet(2, nil)
	for _, s := range r.ready {
		s.fails, s.until = 3, 9
	}
	op := begun(r, "view", nil, false, true)
	expect(t, "served", r.choose(op) != nil, true)
	r.ready[1].fails = 0
	expect(t, "choice", r.choose(op).ID, uint64(2))
}

func TestRestartUnderTheSameIDIsCold(t *testing.T) {
	r, _ := fleet(2, nil)
	r.OnEndpoints(30, UpdateDelta, []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: 29}})
	expect(t, "warmth", math.Round(r.warmth(r.servers[1])*1e4), 2875.0)
}

func TestAbsentFromASnapshotIsGone(t *testing.T) {
	r, _ := fleet(2, nil)
	r.OnEndpoints(1, UpdateFull, []Endpoint{{ID: 2, State: Ready, Capacity: 1}})
	expect(t, "ready", len(r.ready), 1)
}

// Servers were replaced all day under new ids, and types made up by clients: each left a record for ever.
func TestWhatIsGoneIsForgotten(t *testing.T) {
	r, _ := fleet(2, nil)
	old, rows := r.servers[1], len(r.rows)
	op := begun(r, "view", old, true, false)
	r.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready, Capacity: 1}})
	expect(t, "servers while one drains", len(r.servers), 3)
	r.OnEndpoints(2, UpdateDelta, []Endpoint{{ID: 1, State: Removed}})
	expect(t, "servers", len(r.servers), 2)
	expect(t, "may execute there", r.mayExecute(op, old), false)
	r.OnAttemptEnd(3, 7, 0, Succeeded, 0.1, true)
	r.OnRequest(4, 8, "made up", "", "k", 1)
	expect(t, "rows", len(r.rows), rows)
}

func TestFailedCallsWaitLongerAndAskAgain(t *testing.T) {
	r, did := fleet(1, func(s *Settings) { s.PollEndpoints, s.PollInterval = true, 16 })
	r.OnEndpoints(1, UpdateFailed, nil)
	r.OnEndpoints(2, UpdateFailed, nil)
	expect(t, "wait", r.wait, 2.0)
	r.OnTimer(3, "rewatch")
	expect(t, "action", did.last(), "watch true")
}

func TestColdCacheStaysWithinItsBudget(t *testing.T) {
	r, _ := fleet(4, nil)
	s := r.ready[0]
	s.fresh, s.budget, s.filled, r.now = 100, 1, 100, 100
	r.flow, r.flowAt = 400, 100 // 100 a second and cache
	sent := 0.0
	for range 3000 { // the rule's window, in steps of a millisecond
		r.now += 0.001
		for !r.tips(s) {
			s.budget--
			sent++
		}
	}
	// What the rule allows a cache that finishes 100 a second and starts at a quarter.
	if allowed := 4 * 0.25 * 100 * 3.0; sent > allowed || sent < allowed/4 {
		t.Errorf("%v executions in the window, %v allowed", sent, allowed)
	}
}

func TestFreshCacheAnswersForAWideningSlice(t *testing.T) {
	r, _ := fleet(4, nil)
	slice := func(age float64) int {
		r.servers[1].fresh, r.now, r.taken = 100, 100+age, 1
		return r.slice(r.servers[1])
	}
	a, b, c := slice(0), slice(10), slice(20)
	expect(t, fmt.Sprint("widening: ", a, b, c), a < b && b < c && a <= 250, true)
}

// A cache half slower than the rest jams while others idle (samabay-booking, quiet day).
func TestSlowCacheGivesUpPointsGently(t *testing.T) {
	r, _ := fleet(2, nil)
	s := r.servers[1]
	s.slow = 3
	r.learn(begun(r, "view", s, true, false).executions[0], Succeeded, 0.4)
	expect(t, "share", s.share, 1-1.0/64)
}

// One tenant's surplus made the others late (riga-order-cache, rough-1).
func TestSurplusYieldsFirst(t *testing.T) {
	r, _ := fleet(1, nil)
	s, op := r.servers[1], begun(r, "view", nil, false, true)
	s.out = []*execution{{of: op, on: s}}
	r.value = op.row.PriorityWeight / op.row.lag
	expect(t, "within its share", r.strained(op, s), false)
	op.worth = 0.05
	expect(t, "beyond its share", r.strained(op, s), true)
}

// With most routers stopped, a quota split over all of them starved the tenants of the rest.
func TestShareIsOfWhatThisRouterFinishes(t *testing.T) {
	r, _ := fleet(1, func(s *Settings) { s.Tenants = []Tenant{{"a", 2}, {"b", 2}} })
	r.flow, r.flowAt = 100, 10
	r.tenants["a"].tokens, r.tenants["a"].at = 0, 9
	r.OnRequest(10, 5, "view", "a", "k", 1)
	expect(t, "worth", r.ops[5].worth, 1.0)
}

// At a fraction of an operation a second, a bucket of one lost what was within a share (riga-order-cache).
func TestShareHoldsForAFewOperations(t *testing.T) {
	r, did := fleet(1, func(s *Settings) { s.Tenants, s.RouterCount = []Tenant{{"a", 100}}, 200 })
	for i := range uint64(6) {
		r.OnRequest(20, i, "view", "a", "k", 1)
		expect(t, fmt.Sprint("worth of operation ", i), r.ops[i].worth, 1.0)
	}
	r.tenants["a"].tokens = 1
	r.ready, r.points, r.orders = nil, nil, [slots][]point{}
	r.OnRequest(20, 9, "view", "a", "k", 1)
	expect(t, "answer", did.last(), "decline 9 after true")
	expect(t, "tokens after a decline unsent", r.tenants["a"].tokens, 1.0)
}

// A whole ranking for each operation out of time took a large fleet's day past its CPU.
func TestNoServerIsSoughtForAnOperationOutOfTime(t *testing.T) {
	r, _ := fleet(4, nil)
	op := begun(r, "view", r.servers[1], false, false)
	op.hardStop = r.now
	expect(t, "may go on", r.mayGoOn(op), false)
	expect(t, "choice", r.choose(op), (*server)(nil))
	expect(t, "slots ranked", len(r.orders[op.hash%slots]), 0)
}

// Tries that can no longer be in time queued ahead of first tries (riga-order-cache).
func TestLateTriesAreToldByTheTimeLeft(t *testing.T) {
	for left, want := range map[float64]float64{1: 1, 1.9: 1, 1.5: 0} {
		r, _ := fleet(1, nil)
		r.rows["view"].usual, r.rows["view"].votes = 1, 9
		r.OnRequest(10, 5, "view", "", "k", left)
		expect(t, fmt.Sprint("worth with ", left, " left"), r.ops[5].worth, want)
	}
}

// Clients in a hurry were taken for tries that come back too late, and all declined: those leave more.
func TestClientInAHurryIsNotLate(t *testing.T) {
	for left, want := range map[float64]float64{0.39: 1, 0.74: 0} {
		r, _ := fleet(1, nil)
		r.rows["view"].usual, r.rows["view"].votes = 1, 9
		r.OnRequest(10, 5, "view", "", "k", left)
		expect(t, fmt.Sprint("worth with ", left, " left"), r.ops[5].worth, want)
		expect(t, "due", r.ops[5].due > 10, want > 0)
	}
}

// With an execution in flight nearly half were shed at caches that answered nine of ten in time (sockets).
func TestRampWidensWhileNearlyAllIsInTime(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		r, _ := fleet(1, func(s *Settings) { s.OrderedConnections = ordered })
		s := r.servers[1]
		for range 400 {
			r.OnAttemptEnd(r.now+0.01, begun(r, "view", s, true, false).id, 0, Succeeded, 0.25, true)
		}
		s.out = []*execution{{sent: r.now}}
		op := begun(r, "view", nil, false, true)
		r.value = op.row.PriorityWeight / op.row.lag
		for range 50 {
			expect(t, fmt.Sprint("shed where ordered is ", ordered), r.strained(op, s), ordered)
		}
		for range 100 {
			r.OnAttemptEnd(r.now+0.01, begun(r, "view", s, true, false).id, 0, TimedOut, 0.5, false)
		}
		expect(t, "late ones count", r.timely < 0.3, true)
	}
}

// Each router's one try kept a jammed cache jammed (arkib-dialek, second incident).
func TestIdleLineDoesNotKeepAJamAlive(t *testing.T) {
	r, _ := fleet(1, nil)
	s, op := r.servers[1], begun(r, "view", nil, false, true)
	r.value = op.row.PriorityWeight / op.row.lag
	s.slow = 3
	expect(t, "slow, but in time", r.strained(op, s), false)
	s.slow = 4.5
	expect(t, "too slow", r.strained(op, s), true)
}

// A type shed whole was never measured again (samabay-booking, big-2).
func TestShedTypeIsTriedAgain(t *testing.T) {
	r, _ := fleet(1, nil)
	op := begun(r, "view", nil, false, true)
	op.row.lag, op.row.heard, r.value = 1, 0, op.row.PriorityWeight
	expect(t, "at once", r.strained(op, r.servers[1]), true)
	r.now = 16 * op.row.LatencyObjective
	op.due = r.now + op.row.LatencyObjective
	expect(t, "later", r.strained(op, r.servers[1]), false)
}

// lull lets operations arrive, rate a second from one time to another, and gives the longest time in which 15 or more
// were turned away with no execution begun, and how many of them went on. What goes on ends at once, as how tells.
func lull(r *Balancer, from, to, rate float64, kind string, how func(now float64) Outcome) (worst float64, went int) {
	since, turned := from, 0
	for now := from; now < to; now += (0.5 + r.chance()) / rate {
		id := uint64(now * 1e6)
		r.OnRequest(now, id, kind, "", fmt.Sprint("k", id%97), 2) // few keys, for speed; none is used often
		if op := r.ops[id]; op == nil {
			if turned++; turned >= 15 {
				worst = max(worst, now-since)
			}
		} else {
			since, turned, went = now, 0, went+1
			for n := 0; r.ops[id] == op; n++ {
				r.OnAttemptEnd(now, id, n, how(now), op.row.LatencyObjective/4, how(now) == Succeeded)
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
				r, _ := fleet(6, func(s *Settings) {
					s.Seed = seed
					for i := range s.TrafficClasses {
						s.TrafficClasses[i].LatencyObjective, s.TrafficClasses[i].Deadline = promised, 5*promised
					}
				})
				for _, row := range r.rows {
					row.lag, r.value = mean*promised, 1/(mean*promised)
				}
				rate, kind := []float64{5, 10, 20, 50}[seed%4], []string{"view", "pay", "amend"}[seed%3]
				worst, _ := lull(r, 0, 10, rate, kind, func(float64) Outcome { return Succeeded })
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
			r, _ := fleet(6, func(s *Settings) { s.Seed = seed })
			worst, _ := lull(r, 0, 46, rate, "view", func(now float64) Outcome {
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
		r, _ := fleet(6, nil)
		for _, row := range r.rows {
			row.lag, r.value = 1e6, 1e-6
		}
		_, went := lull(r, 0, 30, rate, "view", func(float64) Outcome { return Cancelled })
		if went > most || went < most*2/3 {
			t.Errorf("%d of %v operations went on in a jam, want at most %d", went, 30*rate, most)
		}
	}
}

// Rule 4 goes before it: however much was turned away, a cold cache gets no more than its budget.
func TestTheTenthKeepsToAColdCachesBudget(t *testing.T) {
	for budget, want := range []int{0, 1} {
		r, did := fleet(1, nil)
		s := r.servers[1]
		s.fresh, s.filled, s.budget, r.cold = 1, 1, float64(budget), true
		r.rows["view"].lag, r.rows["view"].heard = 100, 1
		for n := range uint64(200) {
			r.OnRequest(1, n, "view", "", fmt.Sprint("k", n), 2)
		}
		expect(t, fmt.Sprint("executions with a budget of ", budget), strings.Count(fmt.Sprint(did.did), "execute"), want)
	}
}

// One key can ask more than a cache bears, and no router sees it in flight (full size).
func TestKeyUsedOftenIsSharedByTheNearest(t *testing.T) {
	r, _ := fleet(40, nil)
	r.shares(5, r.rows["view"])
	for i := range uint32(200) {
		r.shares(100+i, r.rows["view"])
	}
	expect(t, "second use", r.shares(5, r.rows["view"]), 1.0)
	for i := range uint32(100) {
		r.shares(5, r.rows["view"])
		r.shares(300+i, r.rows["view"])
	}
	op, picked := begun(r, "view", nil, false, true), map[uint64]bool{}
	expect(t, "a third of all uses shared by many", r.shares(5, r.rows["view"]) > 20, true)
	op.spread = 3
	for range 100 {
		picked[r.choose(op).ID] = true
	}
	expect(t, "caches picked", len(picked), 3)
}

// A whole ranking at each lookup took a large fleet's day past its CPU (samabay-booking, full size).
func TestNearestPointsAreThoseOfTheWholeRanking(t *testing.T) {
	r, _ := fleet(13, nil)
	for slot := uint32(0); slot < slots; slot += 13 {
		whole := slices.Clone(r.order(slot, len(r.points)))
		for _, n := range []int{1, 16, 64} {
			r.orders[slot] = nil
			for i, p := range r.order(slot, n) {
				if p.far != whole[i].far {
					t.Fatalf("slot %d, %d points: point %d is %d bits away, want %d", slot, n, i, p.far, whole[i].far)
				}
			}
		}
	}
	expect(t, "points ranked", len(r.orders[0]), 64)
}

// What order leaves out must be farther than all it ranks, wherever points lie.
func TestNoPointIsNearerBeyondTwiceTheSteps(t *testing.T) {
	circle := table()
	for i := uint32(0); i < slots; i += 64 {
		var least, most [slots/2 + 1]int
		for k := range least {
			a := distance(&circle[i], &circle[(i+uint32(k))%slots])
			b := distance(&circle[i], &circle[(i-uint32(k))%slots])
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
	did := &notes{}
	r := New(0, Settings{TrafficClasses: []TrafficClass{{Name: "view"}}, Tenants: []Tenant{{"a", -1}}}, did)
	r.OnEndpoints(0, UpdateSaved, []Endpoint{{ID: 1, State: Ready, StartedAt: 1}, {ID: 2, State: Ready, Capacity: -3}})
	for i := range uint64(50) {
		r.OnRequest(1, i, []string{"view", "unknown"}[i%2], "a", "", float64(i%3)-1)
		r.OnAttemptEnd(1, i, 0, Outcome(i%12), 0, false)
	}
	expect(t, "operations left without an answer or an execution", len(did.did) >= 50, true)
}

func TestMessagesCostNoMoreThanTheirPart(t *testing.T) {
	r, did := fleet(200, func(s *Settings) { s.GossipAllowed, s.GossipPrice, s.RouterCount = true, 0.01, 400 })
	for i := range 200 {
		r.tell(r.servers[1], r.rows["view"], 32*float64(i%2*4), 1)
	}
	expect(t, "messages for 200 executions, at most 5", len(did.did) >= 1 && len(did.did) <= 5, true)
}

// A cold cache got its slice of all while the warm ones shed most (riga-order-cache, full size).
func TestFreshCacheIsSparedWhatTheWarmShed(t *testing.T) {
	slice := func(taken float64) int {
		r, _ := fleet(4, nil)
		r.servers[1].fresh, r.now, r.taken = 100, 112, taken
		return r.slice(r.servers[1])
	}
	calm, half, most := slice(1), slice(0.5), slice(0.2)
	expect(t, fmt.Sprint("spared: ", calm, half, most), half < calm*2/3 && most < half*2/3, true)
}

// Where realms are apart, one whose executions fail takes no further ones from another.
func TestFurtherExecutionsAreApart(t *testing.T) {
	r, _ := fleet(2, func(s *Settings) { s.RetryBudgetPerTenant = true })
	for i := range 30 {
		r.OnRequest(0, uint64(100+i), "view", "a", "k", 2)
	}
	a, b := r.spend("a"), r.spend("b")
	expect(t, "what a may before any finished", *a, 0.0)
	for i := range 30 { // what is sent again by what arrives kept a failing origin down (dar-scripts, fast errors)
		r.OnAttemptEnd(0, uint64(100+i), 0, Succeeded, 0.01, true)
	}
	expect(t, "what a may", *a > 2.9 && *a < 3.1, true)
	expect(t, "what b may", *b, 0.0)
	expect(t, "what all may", r.spare, 0.0)
}

// New traffic types hold for what arrives from then on: what has arrived ends under the old ones, and times seen stay.
func TestNewTrafficTypes(t *testing.T) {
	r, n := fleet(2, nil)
	r.OnRequest(0, 5, "view", "", "k", 2)
	r.rows["view"].lag = 0.07
	r.SetTrafficClasses([]TrafficClass{{Name: "view", Idempotency: AtMostOnce, LatencyObjective: 0.2, Deadline: 1, PriorityWeight: 1}})
	expect(t, "the time seen", r.rows["view"].lag, 0.07)
	expect(t, "old types that are left", len(r.rows), 1)
	expect(t, "the effect of what has arrived", r.ops[5].row.Idempotency, Idempotent)
	r.OnAttemptEnd(0.1, 5, 0, ConnectFailed, 0.1, false)
	expect(t, "it goes on", len(n.did) > 1 && n.last()[:9] == "execute 5", true)
	r.OnRequest(0.2, 6, "view", "", "k", 1)
	expect(t, "the effect of what arrives", r.ops[6].row.Idempotency, AtMostOnce)
}

// A decline tells why.
func TestReasons(t *testing.T) {
	r, _ := fleet(0, nil)
	h := &reasons{}
	r.host = h
	r.OnRequest(0, 5, "view", "", "k", 2)
	r, _ = fleet(1, nil)
	r.host = h
	r.servers[1].out = []*execution{{sent: 0.1, of: &operation{}}}
	r.OnRequest(2, 6, "view", "", "k", 2)
	r, _ = fleet(2, nil)
	r.host = h
	r.OnRequest(0, 7, "view", "", "k", 2)
	*r.ops[7].purse = 1
	r.OnAttemptEnd(1.99, 7, 0, Overloaded, 1.99, false)
	expect(t, "the reasons", fmt.Sprint(h.told), fmt.Sprint([]RejectReason{ReasonNoEndpoint, ReasonOverloaded, ReasonNoTime}))
}

// Of 80 routers none had two executions in flight anywhere: a cache held four times what others did, and none knew.
func TestLoadThatPeersTellIsPassedOver(t *testing.T) {
	r, _ := many(10)
	for range 20 {
		r.OnGossip(1, []byte{3, 0, 64, 3, 0, 64, 4, 0, 32}) // twice the usual time
	}
	if part := r.leaves(r.servers[3]); part < 0.5 || part > 0.95 {
		t.Errorf("%v of its keys leave a cache with most of the load", part)
	}
	expect(t, "keys that leave another", r.leaves(r.servers[5]), 0.0)
	r.now = 20
	expect(t, "keys that leave it 19 s later", r.leaves(r.servers[3]), 0.0)
	r.flow, r.flowAt = 100, 20
	r.OnGossip(20, []byte{3, 0, 255, 3, 0, 254, 3, 0, 254})
	expect(t, "keys that leave it where a router sees enough itself", r.leaves(r.servers[3]), 0.0)
}

// Each of 80 routers lost operations of its own to a cache that stood nearly still, for 13 s; and one that was cut off
// from a cache must not take it from the others.
func TestCacheThatAllFindSlowKeepsFewKeys(t *testing.T) {
	r, _ := many(10)
	for i := range 400 {
		r.OnGossip(1, []byte{byte(i%10) + 1, 0, byte(32 + 222*(i%10/9))})
	}
	if part := r.leaves(r.servers[10]); part < 0.9 || part > 0.98 {
		t.Errorf("%v of its keys leave it", part)
	}
	r.OnGossip(1.1, []byte{2, 0, refused})
	expect(t, "a cache that refused one peer and finished another's is sick", r.sick(r.servers[2]), false)
	r.OnGossip(3, []byte{2, 0, refused})
	expect(t, "sick once nobody's execution finishes there", r.sick(r.servers[2]), true)
}

// Words come from routers that see little, of each execution and at most for half a hundredth of the benefit.
func TestWhoSeesLittleTells(t *testing.T) {
	r, did := many(60)
	for range 1000 {
		r.tell(r.servers[1], r.rows["view"], 32, 1)
	}
	if n := len(did.did); n < 20 || float64(n)*messageSize*79/256*0.01 > 5.3 {
		t.Errorf("%d messages of 1000 executions", n)
	}
	r, did = many(2)
	r.flow, r.flowAt = 100, 0
	r.tell(r.servers[1], r.rows["view"], 32*8, 1)
	expect(t, "who sees enough", did.last(), "")
}

// Six in ten caches were replaced: as fewer operations finished the new ones' slices shrank further, and the old fell.
func TestSliceOfAFreshCacheDoesNotShrinkWhereAllTell(t *testing.T) {
	r, _ := many(4)
	r.now, r.taken, r.set.WarmupStartCapacity, r.set.WarmupDuration, r.servers[2].fresh = 1, 0.5, 0.3, 9, 1
	alone := r.slice(r.servers[2])
	r.OnGossip(1, []byte{1, 0, 32})
	told := r.slice(r.servers[2])
	r.servers[2].fresh = 0
	if whole := r.slice(r.servers[2]); told < alone*3/2 || told > whole*2/5 {
		t.Errorf("a slice of %d keys alone, %d where all tell, of %d", alone, told, whole)
	}
}

// A key used often went to each cache that shares it alike, however loaded.
func TestLessLoadedOfTwoTakesAKeyUsedOften(t *testing.T) {
	r, _ := many(10)
	op := &operation{row: r.rows["view"], hash: stir(5), worth: 1, spread: 2, due: 1, hardStop: 2}
	busy := r.nearest(op.hash, func(*server) bool { return true })
	for _, want := range []int{200, 100} { // of 400: by chance alike, then where both draws are the busy one
		taken := map[*server]int{}
		for range 400 {
			taken[r.choose(op)]++
		}
		if n := taken[busy]; n < want-50 || n > want+50 || len(taken) != 2 {
			t.Errorf("it takes %d of 400, want about %d, beside %d others", n, want, len(taken)-1)
		}
		r.weigh(busy, 0.1)
	}
}

// Hundreds of routers and of caches: what they tell is kept in so many bytes, and what has gone is forgotten.
func TestHundredsOfRoutersAndCachesStayBounded(t *testing.T) {
	r, did := fleet(500, func(s *Settings) { s.GossipAllowed, s.RouterCount, s.GossipPrice = true, 400, 0.01 })
	gone := []Endpoint(nil)
	for i := range 1000 {
		now := float64(i) / 25
		r.OnGossip(now, []byte{byte(i), byte(i % 3), byte(16 + i%200), byte(i * 7), 1, refused, 7})
		r.OnRequest(now, uint64(i), "view", "", fmt.Sprint("key", i%700), 2)
		r.OnAttemptEnd(now+0.005, uint64(i), 0, Succeeded, 0.005, true)
		if gone = append(gone, Endpoint{ID: uint64(i + 1), State: Removed}); i == 399 {
			r.OnEndpoints(now, UpdateDelta, gone)
		}
	}
	expect(t, "operations kept", len(r.ops), 0)
	expect(t, "caches kept", len(r.servers), 100)
	expect(t, "words waiting are at most a message", len(r.words) <= messageSize, true)
	expect(t, "messages are within what they may cost, and the first", float64(len(did.did)-1000) < 0.005*1000/(16*399/256.0*0.01)+5, true)
}

// Load that falls and rises moved points, and each update ranked all anew (dar-scripts, full size: 172 us an event).
func TestLiveWeightIsASizeOnlyWhenNothingIsHeld(t *testing.T) {
	r, _ := weighed(0, 4, 1)
	r.order(5, 1)
	for _, c := range []struct{ first, second, points float64 }{{0.1, 0.9, 4}, {4, 2, 8}} {
		expect(t, "orders kept until a size is larger than seen", len(r.orders[5]) > 0, true)
		r.OnEndpoints(1, UpdateDelta, members(c.first, c.second))
		expect(t, "points", fmt.Sprint(r.servers[1].points, r.servers[2].points), fmt.Sprint("16 ", c.points))
	}
}

// At 600 routers none has two in flight at a cache; the list's weights tell what it holds (dar-scripts, busy days).
func TestPassOverByLiveWeights(t *testing.T) {
	r, _ := weighed(0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	r.OnEndpoints(1, UpdateDelta, members(0.1))
	for _, c := range []struct{ usual, later, least, most float64 }{{9, 0, 0.7, 0.99}, {1, 0, 0, 0}, {9, 20 * recall, 0, 0}} {
		r.servers[1].usual, r.now = c.usual, 1+c.later // one look says little, and an old one nothing
		part := r.leaves(r.servers[1])
		expect(t, fmt.Sprint(part, " of the keys leave with ", c), part >= c.least && part <= c.most, true)
	}
	expect(t, "none leaves another", r.leaves(r.servers[2]), 0.0)
	op := &operation{row: r.rows["view"]}
	r.now = 1
	expect(t, "it takes longer there", r.expect(op, r.servers[1]) > 2*r.expect(op, r.servers[2]), true)
}

// Three seconds after a start a seventh of what caches finish was seen, and fresh ones got as little.
func TestWhatFinishesIsReckonedFromTheStart(t *testing.T) {
	r, _ := fleet(1, nil)
	for r.now = 0.25; r.now <= 3; r.now += 0.25 {
		r.learn(begun(r, "view", r.servers[1], true, false).executions[0], Succeeded, 0.01)
	}
	expect(t, "four a second", math.Round(r.finishing()), 4.0)
}

// A lookup for a key's one cache, passed over, went round the whole circle (dar-scripts, big-1: 160 us an event).
func TestLookupStaysNear(t *testing.T) {
	r, _ := fleet(270, func(s *Settings) { s.WeightMode, s.RouterCount = WeightsLive, 600 })
	op := &operation{row: r.rows["view"], hash: 5, spread: 1, worth: 1, hardStop: 9}
	r.choose(op).out, r.flying = make([]*execution, 9), 9
	r.choose(op)
	expect(t, "points ranked for a lookup past one", len(r.orders[5]) <= 64, true)
}

// The part a cache answers for follows what it held over seconds (dar-scripts: 0.6 to 15 held for ten seconds).
func TestPartFollowsWhatWeightsSayItHolds(t *testing.T) {
	r, _ := weighed(0, 1, 1, 1, 1)
	before, now := float64(r.slice(r.servers[1])), 1.0
	for _, c := range []struct{ weight, until, least, most float64 }{{0.1, 1, 0.75, 1}, {0.1, 20, 0, 0.5}, {1, 120, 1, 1}} {
		for ; now <= c.until; now++ {
			r.OnEndpoints(now, UpdateDelta, members(c.weight))
		}
		part := float64(r.slice(r.servers[1])) / before
		expect(t, fmt.Sprint(part, " of its keys with ", c), part >= c.least && part <= c.most, true)
	}
}

// All failed where the origin did, and what was sent again, or shared by many, kept it so (dar-scripts).
func TestWhatFailsIsShedAndSharedByFew(t *testing.T) {
	for won, want := range map[float64]bool{0: true, 30: false} {
		r, _ := fleet(40, nil)
		shed, spread := 0, 0.0
		for range 200 {
			r.won, r.lost = won, 30-won
			if r.fruitless() {
				shed++
			}
			spread = r.shares(5, r.rows["view"])
		}
		expect(t, fmt.Sprint("shed and not shared with ", won, " of 30 finished"), shed > 100 && spread == 1, want)
	}
}

// A full cache proves nothing of its health; taken for failures, they benched most caches (lima-avisos, overload).
func TestAFullCacheIsNotSick(t *testing.T) {
	r, _ := fleet(1, nil)
	r.learn(begun(r, "view", r.servers[1], true, false).executions[0], Overloaded, 0.001)
	expect(t, "failures, slowness", fmt.Sprint(r.servers[1].fails, r.servers[1].slow), "0 1")
}

// Routers that carry unlike traffic shed within a tenant's share in calm (lima-avisos: one in twenty).
func TestSurplusIsNotShedInCalm(t *testing.T) {
	for timely, want := range map[float64]bool{0.5: true, 1: false} {
		r, _ := fleet(1, nil)
		op := begun(r, "view", nil, false, true)
		op.worth, r.timely, r.value = 0.05, timely, op.row.PriorityWeight/op.row.lag
		expect(t, fmt.Sprint("shed with ", timely, " in time"), r.strained(op, r.servers[1]), want)
	}
}

// Each of 600 routers had one execution at once for a cold cache that bears two a second (dar-scripts: rule 4).
func TestManyRoutersTogetherSpareAColdCache(t *testing.T) {
	sent, weights := 0, slices.Repeat([]float64{1, 3}, 120) // which bear 10 and 30 a second
	for seed := range uint32(600) {
		r, _ := weighed(seed, weights...)
		r.now, r.flowAt, r.flow = 100, 100, 4
		r.OnEndpoints(100, UpdateDelta, []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: 100}})
		for s := r.servers[1]; r.now < 101.5; r.now += 0.01 {
			if !r.tips(s) {
				s.budget--
				sent++
			}
		}
	}
	// What the rule allows: 4 times 0.17 of 10 a second, for a second and a half.
	expect(t, fmt.Sprint(sent, " sent by all, some but less than 10"), sent > 0 && sent < 10, true)
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
			r, did := fleet(2, func(s *Settings) { s.Seed = seed })
			r.taken, r.servers[1].down = c.taken, c.down
			op := begun(r, "view", r.servers[1], false, true)
			if r.further(op, op.executions[0], ServerError); did.last() == "execute 7 on 2" {
				went++
			}
		}
		expect(t, fmt.Sprint(went, " of 50 went on with ", c), went <= c.most && went >= c.most-15, true)
	}
}

func TestAvoidsWhatDrainsIsBarredOrFailed(t *testing.T) {
	r, _ := fleet(5, nil)
	r.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 3, State: Draining, Capacity: 1}})
	r.SetDisabled(1, 4, true)
	r.servers[1].fails, r.servers[2].fails = 2, 3
	for id, want := range map[uint64]bool{1: false, 2: true, 3: true, 4: true, 5: false, 6: true} {
		expect(t, fmt.Sprint("avoids ", id), r.Avoids(id), want)
	}
}

// No list undoes what operators have called, for one that it drops and names anew neither, nor for one it has not named yet.
func TestBarredStaysOutWhateverTheListSays(t *testing.T) {
	r, _ := fleet(3, nil)
	again := []Endpoint{{ID: 1, State: Ready, Capacity: 1}, {ID: 2, State: Ready, Capacity: 1, StartedAt: 5}, {ID: 9, State: Ready, Capacity: 1}}
	for _, id := range []uint64{2, 2, 9} {
		r.SetDisabled(1, id, true)
	}
	r.OnEndpoints(2, UpdateDelta, []Endpoint{{ID: 2, State: Removed}})
	r.OnEndpoints(3, UpdateFull, again[:1])
	r.OnEndpoints(6, UpdateFull, again)
	op := begun(r, "view", nil, false, true)
	for _, s := range r.servers {
		expect(t, fmt.Sprint("may execute on ", s.ID), r.mayExecute(op, s), s.ID == 1)
	}
	expect(t, "ready caches", len(r.ready), 1)
	r.SetDisabled(7, 2, false)
	expect(t, "ready caches after the call back", len(r.ready), 2)
	r.SetDisabled(8, 7, false) // nothing was called of it
	r.OnEndpoints(9, UpdateDelta, nil)
	expect(t, "records", len(r.servers), 3)
}

// It may have started anew while it was out, before a list tells: it gets the slice and the budget of a cold one.
func TestBarredIsColdOnceBack(t *testing.T) {
	r, _ := fleet(4, nil)
	r.SetDisabled(50, 2, true)
	r.servers[2].fails, r.servers[2].down = 7, true
	r.SetDisabled(60, 2, false)
	s := r.servers[2]
	expect(t, "its certain capacity", r.warmth(s), 0.25)
	expect(t, "avoided for failures before", r.Avoids(2), false)
	if s.budget >= 1 {
		t.Errorf("its first budget is %v", s.budget)
	}
	r.SetDisabled(61, 2, false)
	expect(t, "fresh since", s.fresh, 60.0)
}

// A zone with a share serves the same keys of its own at every router; the other keys stay where they were. Of one that is left what may
// run again goes elsewhere at once, and what may not waits on.
func TestZoned(t *testing.T) {
	zoned := func(seed uint32, share float64) *Balancer {
		r, _ := fleet(12, func(s *Settings) { s.Seed = seed })
		for id, s := range r.servers {
			s.Zone = string(rune('a' + id%3))
		}
		if share < 1 {
			r.SetZoneShare(0, "b", share)
		}
		return r
	}
	before, half, other, none := zoned(1, 1), zoned(1, 0.5), zoned(2, 0.5), zoned(1, 0)
	kept, all := 0, 0
	for key := range uint32(2000) {
		pick := func(r *Balancer) *server { return r.nearest(stir(key), func(*server) bool { return true }) }
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
	r, did := fleet(12, nil)
	for id, s := range r.servers {
		s.Zone = string(rune('a' + id%3))
	}
	for op, kind := range []string{"view", "pay"} {
		for n := range 40 {
			r.OnRequest(1, uint64(op*100+n), kind, "", fmt.Sprint("key-", n), 2)
		}
	}
	did.did = nil
	r.SetZoneShare(1.1, "b", 0)
	views := 0
	for _, line := range did.did {
		var id uint64
		var n int
		if _, err := fmt.Sscanf(line, "withdraw %d/%d", &id, &n); err != nil || id >= 100 || r.ops[id].executions[n].on.Zone != "b" {
			t.Fatalf("did %q: only what may run again, and is out there, is withdrawn", line)
		}
		views++
	}
	for id := range uint64(40) {
		if op := r.ops[id]; op != nil && op.executions[0].on.Zone == "b" { // nil: declined, as all came at once
			views--
		}
	}
	if views != 0 || len(did.did) == 0 {
		t.Errorf("%d of those out there were missed, %d withdrawn", -views, len(did.did))
	}
	id := uint64(0)
	fmt.Sscanf(did.did[0], "withdraw %d", &id)
	if r.OnAttemptEnd(1.1, id, 0, Cancelled, 0.1, false); len(r.ops[id].executions) != 2 || r.ops[id].executions[1].on.Zone == "b" {
		t.Error("what was withdrawn did not go elsewhere")
	}
}

// Where every cache is cold none sheds to another: what is declined meanwhile does not close their slices, and what caches finished
// before this process tells what they bear. Without it they were used only once they were warm.
func TestAllCold(t *testing.T) {
	for flow, least := range map[float64]int{0: 1, 60: 40} {
		r, _ := fleet(0, func(s *Settings) { s.InitialCompletionRate, s.Seed = flow, 9 })
		var all []Endpoint
		for i := range 6 {
			all = append(all, Endpoint{ID: uint64(i + 1), State: Ready, Zone: "a", StartedAt: 0.5})
		}
		r.OnEndpoints(1, UpdateFull, all)
		if got := r.finishing(); math.Abs(got-flow) > flow/10 {
			t.Errorf("%v a second are taken to finish, known is %v", got, flow)
		}
		sent := 0
		for n := range 400 { // 100 a second, for four of the twenty seconds that they take to be warm
			now, id := 1+float64(n)/100, uint64(n)
			r.OnRequest(now, id, "view", "", fmt.Sprint("key-", n), 2)
			if op := r.ops[id]; op != nil && len(op.executions) > 0 {
				sent++
				r.OnAttemptEnd(now+0.01, id, 0, Succeeded, 0.01, true)
			}
		}
		if sent < least {
			t.Errorf("of 400 operations %d were sent, with %v a second known from before; want %d at least", sent, flow, least)
		}
		if r.taken < 1e-3 && sent == 0 {
			t.Error("the slices have closed")
		}
	}
}

// What is bound to a zone that is left is declined at once, with when to come back, and never goes elsewhere (rule 5).
func TestBoundToAZoneThatIsLeft(t *testing.T) {
	r, did := fleet(4, func(s *Settings) { s.TrafficClasses[0].AllowedZones = []string{"b"} })
	r.servers[1].Zone, r.servers[2].Zone = "b", "b"
	r.OnRequest(1, 1, "view", "", "key", 2)
	if r.SetZoneShare(1.1, "b", 0); did.last() != "withdraw 1/0" {
		t.Errorf("did %q", did.last())
	}
	if r.OnAttemptEnd(1.1, 1, 0, Cancelled, 0.1, false); did.last() != "decline 1 after true" {
		t.Errorf("did %q", did.last())
	}
	if r.OnRequest(1.2, 2, "view", "", "key", 2); did.last() != "decline 2 after true" {
		t.Errorf("did %q", did.last())
	}
}

// A zone's share is of caches: what the origin's servers in a zone that is left work on goes on.
func TestZonedLeavesTheOrigin(t *testing.T) {
	r, did := fleet(3, func(s *Settings) { s.CacheAside, s.OriginMachineType = true, "origin" })
	r.OnEndpoints(0, UpdateDelta, []Endpoint{{ID: 9, State: Ready, Zone: "b", MachineType: "origin"}})
	r.OnRequest(1, 1, "view", "", "key", 2)
	r.OnAttemptEnd(1.01, 1, 0, CacheMiss, 0.01, false)
	if did.last() != "execute 1 on 9" {
		t.Fatalf("did %v, want a fetch", did.did)
	}
	if r.SetZoneShare(1.02, "b", 0); did.last() != "execute 1 on 9" {
		t.Errorf("did %q", did.last())
	}
}
