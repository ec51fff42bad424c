package gossip

import (
	"math"
	"testing"

	"bendtrestle/balancer"
)

// balancerLoad is the load of a server as a balancer computes it from observations.
type balancerLoad struct{ load, updatedAt, mean float64 }

func (l *balancerLoad) add(now, relativeTime float64) {
	l.load = l.load*math.Exp((l.updatedAt-now)/loadDecay) + relativeTime
	l.mean += (relativeTime - l.mean) * min(max(1-math.Exp(l.updatedAt-now), 1.0/32), 0.5)
	l.updatedAt = now
}

func (l *balancerLoad) at(now float64) float64 {
	return l.load * math.Exp((l.updatedAt-now)/loadDecay)
}

// A balancer that receives synthesized observations computes the same loads and means as one that receives every
// observation. Averages over 20 s are compared: the sum of the loads, the load and mean of each server, and which
// servers count as slow.
func TestSynthesizedLoadsMatchBroadcast(t *testing.T) {
	net := newNetwork(t, 100, 40)
	net.relativeTimes[9] = 4
	net.relativeTimes[10] = 0.1
	broadcast := make([]balancerLoad, 40)
	synthesized := make([]balancerLoad, 40)
	for id := range 40 {
		broadcast[id].mean = 1
		synthesized[id].mean = 1
	}
	net.onObserved = func(server int, relativeTime byte) {
		broadcast[server].add(net.now(), float64(relativeTime)/32)
	}
	net.onSynthesized = func(router int, b []byte) {
		for ; router == 3 && len(b) >= 3; b = b[3:] {
			server := (int(b[0]) | int(b[1])<<8) / 150
			synthesized[server].add(net.now(), float64(b[2])/32)
		}
	}
	net.run(30)
	const samples = 40
	var load, wantLoad, mean, wantMean [40]float64
	for range samples {
		net.run(0.5)
		for id := range 40 {
			load[id] += synthesized[id].at(net.now()) / samples
			wantLoad[id] += broadcast[id].at(net.now()) / samples
			mean[id] += synthesized[id].mean / samples
			wantMean[id] += broadcast[id].mean / samples
		}
	}
	sum, wantSum := 0.0, 0.0
	for id := range 40 {
		sum += load[id]
		wantSum += wantLoad[id]
		if id != 10 && math.Abs(load[id]/wantLoad[id]-1) > 0.3 {
			t.Errorf("server %d: load %.1f, want %.1f", id, load[id], wantLoad[id])
		}
		if math.Abs(mean[id]-wantMean[id]) > 0.25*wantMean[id]+0.05 {
			t.Errorf("server %d: mean %.2f, want %.2f", id, mean[id], wantMean[id])
		}
		if (mean[id] > 2.5) != (wantMean[id] > 2.5) {
			t.Errorf("server %d counts as slow by only one of the two means", id)
		}
	}
	t.Logf("sum of loads %.1f, want %.1f", sum, wantSum)
	if math.Abs(sum/wantSum-1) > 0.1 {
		t.Errorf("sum of loads %.1f, want %.1f within 10%%", sum, wantSum)
	}
}

// noHost is a balancer's host that ignores all commands.
type noHost struct{}

func (noHost) StartAttempt(uint64, uint64, float64, float64) {}
func (noHost) CancelAttempt(uint64, int)                     {}
func (noHost) Reject(uint64, float64, balancer.RejectReason) {}
func (noHost) Fail(uint64)                                   {}
func (noHost) Gossip([]byte)                                 {}
func (noHost) Probe(uint64)                                  {}
func (noHost) SetTimer(float64, string)                      {}
func (noHost) WatchEndpoints(bool)                           {}

// A server that refuses all routers is avoided by the balancer of a router that never used it. A server that refuses
// one router and answers others is not avoided.
func TestBalancerAvoidsRefusingServer(t *testing.T) {
	for refusesAll, want := range map[bool]bool{true: true, false: false} {
		net := newNetwork(t, 100, 40)
		settings := balancer.Settings{
			RouterCount:    100,
			GossipAllowed:  true,
			TrafficClasses: []balancer.TrafficClass{{Name: "t", LatencyObjective: 0.6}},
		}
		b := balancer.New(net.now(), settings, noHost{})
		var endpoints []balancer.Endpoint
		for _, id := range serverIDs(40) {
			endpoints = append(endpoints, balancer.Endpoint{ID: uint64(id), State: balancer.Ready, Capacity: 1})
		}
		b.OnEndpoints(net.now(), balancer.UpdateFull, endpoints)
		net.onSynthesized = func(router int, observations []byte) {
			if router == 3 {
				b.OnGossip(net.now(), observations)
			}
		}
		net.run(20)
		refusing := uint64(serverID(5))
		if b.Avoids(refusing) {
			t.Fatal("the server is avoided before it refuses")
		}
		net.refusing[5] = refusesAll
		avoided := 0.0 // seconds
		for range 58 { // 2.9 s
			net.observe(60, 5, refusalByte)
			net.run(0.05)
			if b.Avoids(refusing) {
				avoided += 0.05
			}
		}
		// If answers were among the synthesized observations, the server would be avoided for only 1.0 s.
		if want && avoided < 1.3 || !want && avoided > 0 {
			t.Errorf("refuses all: %t: avoided for %.2f s, want 1.3 s or more if it refuses all, else 0", refusesAll, avoided)
		}
	}
}
