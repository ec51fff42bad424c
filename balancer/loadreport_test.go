package balancer

import (
	"fmt"
	"testing"

	"bendtrestle/internal/seedhash"
)

func TestPassedOverAboveTwiceTheMeanAndFromTwo(t *testing.T) {
	for _, c := range []struct {
		name                string
		atServer, elsewhere int // attempts in flight at one of four servers, and at the others
		want                bool
	}{
		{"one, above the mean", 1, 0, false},
		{"two, all there are", 2, 0, true},
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

func TestGossipCostsNoMoreThanItsPart(t *testing.T) {
	b, host := newTestBalancer(200, func(s *Settings) {
		s.GossipAllowed = true
		s.GossipPrice = 0.01
		s.RouterCount = 400
	})
	for i := range 200 {
		b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32*float64(i%2*4), 1)
	}
	messages := len(host.actions)
	expectEqual(t, "messages for 200 attempts, at most 5", messages >= 1 && messages <= 5, true)
}

// Of 80 routers none had two attempts in flight anywhere: a server held four times what others did, and none knew.
func TestLoadThatPeersReportIsPassedOver(t *testing.T) {
	b, _ := newGossipingBalancer(10)
	loaded := b.servers.byID[3]
	for range 20 {
		b.OnGossip(1, []byte{3, 0, 64, 3, 0, 64, 4, 0, 32}) // twice the usual latency
	}
	part := b.passedOverFraction(loaded)
	if part < 0.5 || part > 0.95 {
		t.Errorf("%v of its keys leave a server with most of the load", part)
	}
	expectEqual(t, "keys that leave another", b.passedOverFraction(b.servers.byID[5]), 0.0)
	b.now = 20
	expectEqual(t, "keys that leave it 19 s later", b.passedOverFraction(loaded), 0.0)
	b.completions.rate = 100
	b.completions.rateAt = 20
	b.OnGossip(20, []byte{3, 0, 255, 3, 0, 254, 3, 0, 254})
	expectEqual(t, "keys that leave it where a router has samples enough", b.passedOverFraction(loaded), 0.0)
}

// Each of 80 routers lost requests of its own to a server that stood nearly still, for 13 s; and one that was
// cut off from a server must not take it from the others.
func TestServerThatAllFindSlowKeepsFewKeys(t *testing.T) {
	b, _ := newGossipingBalancer(10)
	for i := range 400 {
		b.OnGossip(1, []byte{byte(i%10) + 1, 0, byte(32 + 222*(i%10/9))})
	}
	part := b.passedOverFraction(b.servers.byID[10])
	if part < 0.9 || part > 0.98 {
		t.Errorf("%v of its keys leave it", part)
	}
	other := b.servers.byID[2]
	b.OnGossip(1.1, []byte{2, 0, gossipConnectionRefused})
	expectEqual(t, "a server that refused one peer and answered another is ejected", b.ejected(other), false)
	b.OnGossip(3, []byte{2, 0, gossipConnectionRefused})
	expectEqual(t, "ejected once nobody's attempt is answered there", b.ejected(other), true)
}

// Gossip comes from routers with few samples, of each attempt, and costs at most half a hundredth of all
// priority weight.
func TestRoutersWithFewSamplesGossip(t *testing.T) {
	b, host := newGossipingBalancer(60)
	for range 1000 {
		b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32, 1)
	}
	messages := len(host.actions)
	if messages < 20 || float64(messages)*gossipMessageSize*79/256*0.01 > 5.3 {
		t.Errorf("%d messages of 1000 attempts", messages)
	}
	b, host = newGossipingBalancer(2)
	b.completions.rate = 100
	b.completions.rateAt = 0
	b.reportAttempt(b.servers.byID[1], b.classes.byName["view"], 32*8, 1)
	expectEqual(t, "a router with samples enough", host.lastAction(), "")
}

// A hot key went to each server that shares it alike, however loaded.
func TestLessLoadedOfTwoTakesAHotKey(t *testing.T) {
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
	for _, want := range []int{200, 100} { // of 400: by chance alike, then where both draws are the busy one
		taken := map[*serverState]int{}
		for range 400 {
			taken[b.pick(req)]++
		}
		byBusy := taken[busy]
		if byBusy < want-50 || byBusy > want+50 || len(taken) != 2 {
			t.Errorf("it takes %d of 400, want about %d, beside %d others", byBusy, want, len(taken)-1)
		}
		b.addReportedLoad(busy, 0.1)
	}
}

// At 600 routers none has two in flight at a server; the list's weights tell what it holds. One look says
// little, and an old one nothing.
func TestPassedOverByLiveWeights(t *testing.T) {
	b, _ := newLiveWeightBalancer(0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	b.OnEndpoints(1, UpdateDelta, endpointsOfWeights(0.1))
	for _, c := range []struct {
		name                             string
		smoothedLoad, later, least, most float64
	}{
		{"loaded for long", 9, 0, 0.7, 0.99},
		{"loaded at one look", 1, 0, 0, 0},
		{"loaded once", 9, 20 * loadDecayTime, 0, 0},
	} {
		b.servers.byID[1].reported.smoothedLoad = c.smoothedLoad
		b.now = 1 + c.later
		part := b.passedOverFraction(b.servers.byID[1])
		expectEqual(t, fmt.Sprint(part, " of the keys leave, ", c.name), part >= c.least && part <= c.most, true)
	}
	expectEqual(t, "none leaves another", b.passedOverFraction(b.servers.byID[2]), 0.0)
	req := &request{class: b.classes.byName["view"]}
	b.now = 1
	loaded := b.expectedLatency(req, b.servers.byID[1])
	other := b.expectedLatency(req, b.servers.byID[2])
	expectEqual(t, "it takes longer there", loaded > 2*other, true)
}

// The part of its keys that a server answers for follows what it held over seconds: some held 15 for ten
// seconds while others idled.
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
		part := float64(b.keysAnsweredBy(server)) / before
		expectEqual(t, fmt.Sprint(part, " of its keys, ", c.name), part >= c.least && part <= c.most, true)
	}
}
