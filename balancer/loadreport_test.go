package balancer

import (
	"fmt"
	"testing"

	"bendtrestle/internal/seedhash"
)

func TestOverloadedByInFlight(t *testing.T) {
	for _, c := range []struct {
		name                string
		atServer, elsewhere int // attempts in flight at one of four servers, and at the others
		want                bool
	}{
		{"one in flight, above the mean", 1, 0, false},
		{"two in flight, none elsewhere", 2, 0, true},
		{"two of four", 2, 2, false},
		{"twice the mean", 4, 4, false},
		{"above twice the mean", 5, 4, true},
	} {
		b, _ := newTestBalancer(4, nil)
		server := b.servers.ready[0]
		server.inFlight = make([]*attempt, c.atServer)
		b.inFlight = c.atServer + c.elsewhere
		expectEqual(t, c.name, b.overloadedByInFlight(server), c.want)
	}
}

func TestGossipStaysWithinBudget(t *testing.T) {
	b, host := newTestBalancer(200, func(s *Settings) {
		s.GossipAllowed = true
		s.GossipPrice = 0.01
		s.RouterCount = 400
	})
	for i := range 200 {
		b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32*float64(i%2*4), 1)
	}
	messages := len(host.actions)
	expectEqual(t, "1 to 5 messages for 200 attempts", messages >= 1 && messages <= 5, true)
}

// With 80 routers none had two attempts in flight at one server. A server held four times the load of others, and
// no router detected it.
func TestServerWithHighReportedLoadLosesKeys(t *testing.T) {
	b, _ := newGossipingBalancer(10)
	loaded := b.servers.byID[3]
	for range 20 {
		b.OnGossip(1, []byte{3, 0, 64, 3, 0, 64, 4, 0, 32}) // twice the mean latency
	}
	fraction := b.passedOverFraction(loaded)
	if fraction < 0.5 || fraction > 0.95 {
		t.Errorf("fraction of keys that leave the server with most of the load: got %v, want 0.5 to 0.95", fraction)
	}
	expectEqual(t, "fraction of keys that leave another server", b.passedOverFraction(b.servers.byID[5]), 0.0)
	b.now = 20
	expectEqual(t, "fraction of keys that leave the loaded server 19 s later", b.passedOverFraction(loaded), 0.0)
	b.completions.rate = 100
	b.completions.rateAt = 20
	b.OnGossip(20, []byte{3, 0, 255, 3, 0, 254, 3, 0, 254})
	expectEqual(t, "fraction of keys that leave it at a router with enough samples", b.passedOverFraction(loaded), 0.0)
}

// For 13 s, each of 80 routers lost requests of its own at a server that had nearly stalled. A router that is cut off
// from a server must not eject it at the other routers.
func TestServerReportedSlowKeepsFewKeys(t *testing.T) {
	b, _ := newGossipingBalancer(10)
	for i := range 400 {
		b.OnGossip(1, []byte{byte(i%10) + 1, 0, byte(32 + 222*(i%10/9))})
	}
	fraction := b.passedOverFraction(b.servers.byID[10])
	if fraction < 0.9 || fraction > 0.98 {
		t.Errorf("fraction of keys that leave the slow server: got %v, want 0.9 to 0.98", fraction)
	}
	other := b.servers.byID[2]
	b.OnGossip(1.1, []byte{2, 0, gossipConnectionRefused})
	expectEqual(t, "ejected when it refused one peer and answered another", b.ejected(other), false)
	b.OnGossip(3, []byte{2, 0, gossipConnectionRefused})
	expectEqual(t, "ejected when it refused a peer and answered none", b.ejected(other), true)
}

// Routers with few samples report each attempt, at a cost of at most 0.5 % of all priority weight.
func TestOnlyRoutersWithFewSamplesGossip(t *testing.T) {
	b, host := newGossipingBalancer(60)
	for range 1000 {
		b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32, 1)
	}
	messages := len(host.actions)
	if messages < 20 || float64(messages)*gossipMessageSize*79/256*0.01 > 5.3 {
		t.Errorf("%d messages for 1000 attempts, want at least 20 within the gossip budget", messages)
	}
	b, host = newGossipingBalancer(2)
	b.completions.rate = 100
	b.completions.rateAt = 0
	b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32*8, 1)
	expectEqual(t, "action of a router with enough samples", host.lastAction(), "")
}

// Requests for a hot key were spread evenly over its replicas, however loaded each replica was.
func TestHotKeyPrefersLessLoadedReplica(t *testing.T) {
	b, _ := newGossipingBalancer(10)
	req := &request{
		class:         b.classes.byName["view"],
		keyHash:       seedhash.Avalanche(5),
		valueFraction: 1,
		replicas:      2,
		objectiveAt:   1,
		deadline:      2,
	}
	busy := b.nearestServer(req.keyHash, anyServer)
	for _, want := range []int{200, 100} { // of 400: evenly at random, then only where both draws are the busy server
		taken := map[*serverState]int{}
		for range 400 {
			taken[b.pick(req)]++
		}
		byBusy := taken[busy]
		if byBusy < want-50 || byBusy > want+50 || len(taken) != 2 {
			t.Errorf("the busy replica takes %d of 400 requests, want about %d; %d other replicas take requests, want 1",
				byBusy, want, len(taken)-1)
		}
		b.addReportedLoad(busy, 0.1)
	}
}

// With 600 routers none has two attempts in flight at one server; the list's weights state what a server holds. A
// load in a single update moves no keys, and neither does an old one.
func TestServerOverloadedByLiveWeightsLosesKeys(t *testing.T) {
	b, _ := newLiveWeightBalancer(0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	b.OnEndpoints(1, UpdateDelta, endpointsOfWeights(0.1))
	for _, c := range []struct {
		name                             string
		smoothedLoad, later, least, most float64
	}{
		{"loaded for a long time", 9, 0, 0.7, 0.99},
		{"loaded in a single update", 1, 0, 0, 0},
		{"loaded long ago", 9, 20 * loadDecayTime, 0, 0},
	} {
		b.servers.byID[1].reported.smoothedLoad = c.smoothedLoad
		b.now = 1 + c.later
		fraction := b.passedOverFraction(b.servers.byID[1])
		expectEqual(t, fmt.Sprint(fraction, " of the keys leave: ", c.name), fraction >= c.least && fraction <= c.most, true)
	}
	expectEqual(t, "fraction of keys that leave another server", b.passedOverFraction(b.servers.byID[2]), 0.0)
	req := &request{class: b.classes.byName["view"]}
	b.now = 1
	loaded := b.expectedLatency(req, b.servers.byID[1])
	other := b.expectedLatency(req, b.servers.byID[2])
	expectEqual(t, "expected latency more than twice that of another server", loaded > 2*other, true)
}

// The fraction of its keys that a server answers for follows its load over seconds. Some servers held 15 requests
// for ten seconds while others were idle.
func TestKeyShareFollowsLiveWeights(t *testing.T) {
	b, _ := newLiveWeightBalancer(0, 1, 1, 1, 1)
	server := b.servers.byID[1]
	before := float64(b.keysAnsweredBy(server))
	now := 1.0
	for _, c := range []struct {
		name                       string
		weight, until, least, most float64
	}{
		{"loaded for a second", 0.1, 1, 0.75, 1},
		{"loaded for 20 seconds", 0.1, 20, 0, 0.5},
		{"idle for 100 seconds", 1, 120, 1, 1},
	} {
		for ; now <= c.until; now++ {
			b.OnEndpoints(now, UpdateDelta, endpointsOfWeights(c.weight))
		}
		fraction := float64(b.keysAnsweredBy(server)) / before
		expectEqual(t, fmt.Sprint(fraction, " of its keys: ", c.name), fraction >= c.least && fraction <= c.most, true)
	}
}
