package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// With a listed start time that is too early, a server that is still warming up counted as warm. The overload rule
// applies from the true start.
func TestStartTimeErrorDelaysWarmup(t *testing.T) {
	for listed, want := range map[float64]float64{0: 0, 10: 15, 28: 30, 31: 31} {
		b, _ := newTestBalancer(0, func(s *Settings) { s.StartTimeError = 5 })
		b.OnEndpoints(30, UpdateDelta, []Endpoint{{ID: 1, State: Ready, StartedAt: listed}})
		expectEqual(t, fmt.Sprint("start time of one listed with ", listed), b.servers.byID[1].slowStart.startedAt, want)
	}
}

func TestSlowStartBudgetBoundsAttempts(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	server := b.servers.ready[0]
	server.slowStart = slowStart{startedAt: 100, budget: 1, refilledAt: 100}
	b.now = 100
	b.completions.rate = 400 // 100 per second and server
	b.completions.rateAt = 100
	sent := 0.0
	for range 3000 { // the overload window, in steps of a millisecond
		b.now += 0.001
		for b.hasSlowStartBudget(server) {
			server.slowStart.budget--
			sent++
		}
	}
	// The overload rule for a server that completes 100 attempts per second and starts at a quarter of its
	// capacity.
	allowed := 4 * 0.25 * 100 * 3.0
	if sent > allowed || sent < allowed/4 {
		t.Errorf("%v attempts in the overload window, want at most %v and at least a quarter of that", sent, allowed)
	}
}

func TestKeysOfWarmingServerGrow(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	server := b.servers.byID[1]
	keysAtAge := func(age float64) int {
		server.slowStart.startedAt = 100
		b.now = 100 + age
		b.recent.acceptanceRate = 1
		return b.keysAnsweredBy(server)
	}
	start, half, warm := keysAtAge(0), keysAtAge(10), keysAtAge(20)
	growing := start < half && half < warm && start <= 250
	expectEqual(t, fmt.Sprint("numbers of keys grow: ", start, half, warm), growing, true)
}

// A server that was warming up answered for its whole key fraction while the warm servers shed most requests.
func TestKeysOfWarmingServerFollowAcceptanceRate(t *testing.T) {
	keysAtRate := func(acceptanceRate float64) int {
		b, _ := newTestBalancer(4, nil)
		b.servers.byID[1].slowStart.startedAt = 100
		b.now = 112
		b.recent.acceptanceRate = acceptanceRate
		return b.keysAnsweredBy(b.servers.byID[1])
	}
	full, half, fifth := keysAtRate(1), keysAtRate(0.5), keysAtRate(0.2)
	expectEqual(t, fmt.Sprint("numbers of keys fall with the acceptance rate: ", full, half, fifth),
		half < full*2/3 && fifth < half*2/3, true)
}

// Six of ten servers were replaced. As fewer requests were answered, the key fractions of the new servers shrank
// further, and the remaining old servers failed.
func TestKeysOfWarmingServerDoNotShrinkWithLoadReports(t *testing.T) {
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
		t.Errorf("%d keys without reports, %d with, %d when warm; want 3/2 of the first to 2/5 of the last with reports",
			withoutReports, withReports, whenWarm)
	}
}

// Each of 600 routers sent one attempt at the same time to a server that was warming up and could take two per
// second.
func TestSlowStartBudgetOfManyRouters(t *testing.T) {
	sent := 0
	weights := slices.Repeat([]float64{1, 3}, 120) // capacities of 10 and 30 attempts per second
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
	// The overload rule allows 4 times 0.17 of 10 attempts per second, for 1.5 s.
	expectEqual(t, fmt.Sprint(sent, " attempts sent by all routers, want 1 to 9"), sent > 0 && sent < 10, true)
}

// Where every server is warming up, no server sheds load to another: rejections must not reduce their key
// fractions, and the completion rate from before this process states their capacity. Without that rate, the servers
// were used only once they were warm.
func TestAllServersWarmingUp(t *testing.T) {
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
			t.Errorf("completion rate: got %v per second, want about %v", got, rate)
		}
		sent := 0
		for n := range 400 { // 100 per second, for 4 s of the 20 s of warm-up
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
			t.Errorf("%d of 400 requests were sent with an initial completion rate of %v per second, want at least %d",
				sent, rate, least)
		}
		if b.recent.acceptanceRate < 1e-3 && sent == 0 {
			t.Error("the acceptance rate and the key fractions fell to about 0")
		}
	}
}
