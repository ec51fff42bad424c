package gossip

import (
	"math"
	"testing"

	"bendtrestle/balancer"
)

// reckoned is what a module reckons from words (logic: weigh).
type reckoned struct{ load, at, joint float64 }

func (m *reckoned) weigh(now, took float64) {
	m.load = m.load*math.Exp((m.at-now)/loadDecay) + took
	m.joint += (took - m.joint) * min(max(1-math.Exp(m.at-now), 1.0/32), 0.5)
	m.at = now
}

// A module that is fed comes to the loads and means of one that hears all, over some time: the loads' sum, those of
// each server, and which are slow.
func TestSynthesizedLoadsMatchBroadcast(t *testing.T) {
	net := newNetwork(t, 100, 40)
	net.relativeTimes[9], net.relativeTimes[10] = 4, 0.1
	all, fed := make([]reckoned, 40), make([]reckoned, 40)
	for id := range 40 {
		all[id].joint, fed[id].joint = 1, 1
	}
	net.onObserved = func(server int, took byte) { all[server].weigh(net.now(), float64(took)/32) }
	net.onSynthesized = func(n int, b []byte) {
		for ; n == 3 && len(b) >= 3; b = b[3:] {
			fed[(int(b[0])|int(b[1])<<8)/150].weigh(net.now(), float64(b[2])/32)
		}
	}
	net.run(30)
	const looks = 40
	var load, was, joint, right [40]float64
	for range looks {
		net.run(0.5)
		for id := range 40 {
			load[id] += fed[id].load * math.Exp((fed[id].at-net.now())/loadDecay) / looks
			was[id] += all[id].load * math.Exp((all[id].at-net.now())/loadDecay) / looks
			joint[id] += fed[id].joint / looks
			right[id] += all[id].joint / looks
		}
	}
	sum, sumWas := 0.0, 0.0
	for id := range 40 {
		sum, sumWas = sum+load[id], sumWas+was[id]
		if id != 10 && math.Abs(load[id]/was[id]-1) > 0.3 {
			t.Errorf("server %d: load %.1f, of one that hears all %.1f", id, load[id], was[id])
		}
		if math.Abs(joint[id]-right[id]) > 0.25*right[id]+0.05 {
			t.Errorf("server %d: mean %.2f, of one that hears all %.2f", id, joint[id], right[id])
		}
		if (joint[id] > 2.5) != (right[id] > 2.5) {
			t.Errorf("server %d is slow to one of them alone", id)
		}
	}
	t.Logf("loads %.1f, of one that hears all %.1f", sum, sumWas)
	if math.Abs(sum/sumWas-1) > 0.1 {
		t.Errorf("loads %.1f, of one that hears all %.1f", sum, sumWas)
	}
}

type nobody struct{}

func (nobody) StartAttempt(uint64, uint64, float64, float64) {}
func (nobody) CancelAttempt(uint64, int)                     {}
func (nobody) Reject(uint64, float64, balancer.RejectReason) {}
func (nobody) Fail(uint64)                                   {}
func (nobody) Gossip([]byte)                                 {}
func (nobody) Probe(uint64)                                  {}
func (nobody) SetTimer(float64, string)                      {}
func (nobody) WatchEndpoints(bool)                           {}

// A server that refuses everywhere is benched by the module of a router that never asked it; one that refuses one
// router while others finish there is not.
func TestBalancerAvoidsRefusingServer(t *testing.T) {
	for crashed, want := range map[bool]bool{true: true, false: false} {
		net := newNetwork(t, 100, 40)
		m := balancer.New(net.now(), balancer.Settings{RouterCount: 100, GossipAllowed: true, TrafficClasses: []balancer.TrafficClass{{Name: "t", LatencyObjective: 0.6}}}, nobody{})
		var members []balancer.Endpoint
		for id := range 40 {
			members = append(members, balancer.Endpoint{ID: uint64(id*150 + 7), State: balancer.Ready, Capacity: 1})
		}
		m.OnEndpoints(net.now(), balancer.UpdateFull, members)
		net.onSynthesized = func(n int, b []byte) {
			if n == 3 {
				m.OnGossip(net.now(), b)
			}
		}
		net.run(20)
		if m.Avoids(5*150 + 7) {
			t.Fatal("it is benched before anything happens")
		}
		net.refusing[5] = crashed
		benched := 0.0
		for range 58 { // 2.9 s
			net.observe(60, 5, refusalByte)
			net.run(0.05)
			if m.Avoids(5*150 + 7) {
				benched += 0.05
			}
		}
		if want && benched < 1.3 || !want && benched > 0 { // load that is fed beside refusals says that answers come: then it is 1.0
			t.Errorf("refuses everywhere: %t: benched for %.2f s", crashed, benched)
		}
	}
}
