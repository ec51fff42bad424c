package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// A start that is stamped too early makes a cold server look warm: the rule on servers that are warming up goes
// by the true start.
func TestStartTimesMayBeOff(t *testing.T) {
	for listed, want := range map[float64]float64{0: 0, 10: 15, 28: 30, 31: 31} {
		b, _ := newTestBalancer(0, func(s *Settings) { s.StartTimeError = 5 })
		b.OnEndpoints(30, UpdateDelta, []Endpoint{{ID: 1, State: Ready, StartedAt: listed}})
		expectEqual(t, fmt.Sprint("start of one listed with ", listed), b.servers.byID[1].slowStart.startedAt, want)
	}
}

func TestColdServerStaysWithinItsBudget(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	server := b.servers.ready[0]
	server.slowStart = slowStart{startedAt: 100, budget: 1, refilledAt: 100}
	b.now = 100
	b.completions.rate = 400 // 100 a second and server
	b.completions.rateAt = 100
	sent := 0.0
	for range 3000 { // the overload window, in steps of a millisecond
		b.now += 0.001
		for b.hasSlowStartBudget(server) {
			server.slowStart.budget--
			sent++
		}
	}
	// What the rule allows a server that completes 100 a second and starts at a quarter.
	allowed := 4 * 0.25 * 100 * 3.0
	if sent > allowed || sent < allowed/4 {
		t.Errorf("%v attempts in the window, %v allowed", sent, allowed)
	}
}

func TestColdServerAnswersForAWideningSlice(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	server := b.servers.byID[1]
	keysAtAge := func(age float64) int {
		server.slowStart.startedAt = 100
		b.now = 100 + age
		b.recent.acceptanceRate = 1
		return b.keysAnsweredBy(server)
	}
	start, half, warm := keysAtAge(0), keysAtAge(10), keysAtAge(20)
	widening := start < half && half < warm && start <= 250
	expectEqual(t, fmt.Sprint("widening: ", start, half, warm), widening, true)
}

// A cold server got its slice of all while the warm ones shed most.
func TestColdServerIsSparedWhatTheWarmShed(t *testing.T) {
	keysAtRate := func(acceptanceRate float64) int {
		b, _ := newTestBalancer(4, nil)
		b.servers.byID[1].slowStart.startedAt = 100
		b.now = 112
		b.recent.acceptanceRate = acceptanceRate
		return b.keysAnsweredBy(b.servers.byID[1])
	}
	full, half, fifth := keysAtRate(1), keysAtRate(0.5), keysAtRate(0.2)
	expectEqual(t, fmt.Sprint("spared: ", full, half, fifth), half < full*2/3 && fifth < half*2/3, true)
}

// Six in ten servers were replaced: as fewer requests were answered the new ones' slices shrank further, and
// the old fell.
func TestSliceOfAColdServerDoesNotShrinkWhereAllReport(t *testing.T) {
	b, _ := newGossipingBalancer(4)
	b.settings.WarmupStartCapacity = 0.3
	b.settings.WarmupDuration = 9
	b.now = 1
	b.recent.acceptanceRate = 0.5
	server := b.servers.byID[2]
	server.slowStart.startedAt = 1
	withoutReports := b.keysAnsweredBy(server)
	b.OnGossip(1, []byte{1, 0, 32})
	withReports := b.keysAnsweredBy(server)
	server.slowStart.startedAt = 0
	whenWarm := b.keysAnsweredBy(server)
	if withReports < withoutReports*3/2 || withReports > whenWarm*2/5 {
		t.Errorf("a slice of %d keys alone, %d where all report, of %d", withoutReports, withReports, whenWarm)
	}
}

// Each of 600 routers had one attempt at once for a cold server that bears two a second.
func TestManyRoutersTogetherSpareAColdServer(t *testing.T) {
	sent := 0
	weights := slices.Repeat([]float64{1, 3}, 120) // which bear 10 and 30 a second
	for seed := range uint32(600) {
		b, _ := newLiveWeightBalancer(seed, weights...)
		b.now = 100
		b.completions.rate = 4
		b.completions.rateAt = 100
		b.OnEndpoints(100, UpdateDelta, []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: 100}})
		server := b.servers.byID[1]
		for ; b.now < 101.5; b.now += 0.01 {
			if b.hasSlowStartBudget(server) {
				server.slowStart.budget--
				sent++
			}
		}
	}
	// What the rule allows: 4 times 0.17 of 10 a second, for a second and a half.
	expectEqual(t, fmt.Sprint(sent, " sent by all, some but less than 10"), sent > 0 && sent < 10, true)
}

// Where every server is cold none sheds to another: what is rejected meanwhile does not close their slices, and
// what caches completed before this process tells what they bear. Without it they were used only once they were
// warm.
func TestAllCold(t *testing.T) {
	for rate, least := range map[float64]int{0: 1, 60: 40} {
		b, _ := newTestBalancer(0, func(s *Settings) {
			s.InitialCompletionRate = rate
			s.Seed = 9
		})
		var list []Endpoint
		for i := range 6 {
			list = append(list, Endpoint{ID: uint64(i + 1), State: Ready, Zone: "a", StartedAt: 0.5})
		}
		b.OnEndpoints(1, UpdateFull, list)
		got := b.completionRate()
		if math.Abs(got-rate) > rate/10 {
			t.Errorf("%v a second are taken to complete, known is %v", got, rate)
		}
		sent := 0
		for n := range 400 { // 100 a second, for four of the twenty seconds that they take to be warm
			now := 1 + float64(n)/100
			id := uint64(n)
			b.OnRequest(now, id, "view", "", fmt.Sprint("key-", n), 2)
			req := b.requests[id]
			if req != nil && len(req.attempts) > 0 {
				sent++
				b.OnAttemptEnd(now+0.01, id, 0, Succeeded, 0.01, true)
			}
		}
		if sent < least {
			t.Errorf("of 400 requests %d were sent, with %v a second known from before; want %d at least",
				sent, rate, least)
		}
		if b.recent.acceptanceRate < 1e-3 && sent == 0 {
			t.Error("the slices have closed")
		}
	}
}
