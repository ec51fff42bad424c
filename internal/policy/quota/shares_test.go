package quota

import (
	"fmt"
	"testing"
)

// fleet is routers that share quotas, and the messages between them.
type fleet struct {
	limiters     []*Limiter
	shares       []*Shares
	broadcasting bool
}

func newFleet(n int, talking bool, capacity float64, quotas ...Quota) *fleet {
	routers := &fleet{broadcasting: talking}
	for i := range n {
		l := NewLimiter(100, capacity, uint32(i))
		l.SetQuotas(100, capacity, quotas)
		s := NewShares(l, i, n)
		s.Recompute(100)
		routers.limiters = append(routers.limiters, l)
		routers.shares = append(routers.shares, s)
	}
	return routers
}

// run plays a team's flow of requests of 10 ms, split over the routers, and gives the load that was admitted a
// second.
func (f *fleet) run(from, to float64, team string, rate float64, split []float64) float64 {
	admitted := 0.0
	due := make([]float64, len(split))
	for i := 0; from+float64(i)*0.001 < to; i++ {
		now := from + float64(i)*0.001
		for router, part := range split {
			for due[router] += rate * part * 0.001; due[router] >= 1; due[router]-- {
				verdict := f.limiters[router].Admit(now, team, "t", 0.01)
				if verdict.Admitted() {
					admitted += 0.01
					f.limiters[router].Settle(now, verdict.Reservation, 0.01)
				}
			}
			message := f.shares[router].Message(now)
			if message != nil && f.broadcasting {
				f.broadcast(now+0.01, router, message)
			}
		}
	}
	return admitted / (to - from)
}

func (f *fleet) broadcast(now float64, from int, message []byte) {
	for router, s := range f.shares {
		if router != from && !s.OnMessage(now, message) {
			panic("a message was not known")
		}
	}
}

// evenly splits a flow into equal parts.
func evenly(n int) (split []float64) {
	for range n {
		split = append(split, 1/float64(n))
	}
	return split
}

// skewed has four fifths at one router.
func skewed(n int) []float64 {
	if n == 1 {
		return []float64{1}
	}
	split := []float64{0.8}
	for range n - 1 {
		split = append(split, 0.2/float64(n-1))
	}
	return split
}

// Over 1, 4 and 16 routers, with requests spread evenly and four fifths at one, a team that asks for ten times its
// quota gets it within a tenth, with messages and without. One that asks for just its quota gets it where routers may
// talk; without messages a router has no more than an equal share, which is what is lost.
func TestSumOverRouters(t *testing.T) {
	team := Quota{Team: "a", GuaranteedRate: 4, Burst: 1}
	idle := Quota{Team: "idle", GuaranteedRate: 1, Burst: 1}
	for _, n := range []int{1, 4, 16} {
		for name, split := range map[string][]float64{"evenly": evenly(n), "skewed": skewed(n)} {
			for _, talking := range []bool{true, false} {
				for _, times := range []float64{10, 1} {
					routers := newFleet(n, talking, 8, team, idle)
					routers.run(100, 104, "a", 400*times, split) // its burst, and the first messages
					got := routers.run(104, 124, "a", 400*times, split) / 4
					what := fmt.Sprintf("%2d routers, %s, messages %v, %2.0f times its quota", n, name, talking, times)
					t.Logf("%s: %.3f of it", what, got)
					if got > 1.1 {
						t.Errorf("%s: it got %.3f of its quota", what, got)
					}
					if got < 0.9 && (times > 1 || talking || name == "evenly") {
						t.Errorf("%s: it got %.3f of its quota", what, got)
					}
				}
			}
		}
	}
}

// All requests come to one router; then the others fall silent. They are forgotten, and the shares are equal again:
// they may serve on unheard.
func TestSilentPeers(t *testing.T) {
	routers := newFleet(4, true, 8, Quota{Team: "a", GuaranteedRate: 4, Burst: 1})
	routers.run(100, 104, "a", 400, []float64{1, 0, 0, 0})
	if share := routers.limiters[0].Bucket("a").Share(); share < 0.9 {
		t.Errorf("where all come to one router, it has %.3f of the quota", share)
	}
	routers.broadcasting = false
	routers.run(104, 108, "a", 400, []float64{1, 0, 0, 0})
	if share := routers.limiters[0].Bucket("a").Share(); share != 0.25 {
		t.Errorf("when all are silent, it has %.3f", share)
	}
	if len(routers.shares[0].peerDemands) != 0 || len(routers.shares[0].LivePeers(108)) != 0 {
		t.Error("what the silent ones told is kept")
	}
}

// What others may send is read without harm, and nothing of it grows without bound.
func TestMalformedMessages(t *testing.T) {
	routers := newFleet(2, true, 8, Quota{Team: "a", GuaranteedRate: 4, Burst: 1})
	s := routers.shares[0]
	foreign := [][]byte{nil, {1, 2, 3, 4, 5}, {messageTag, 1, 0, 1, 2, 3}, append([]byte{messageTag}, make([]byte, 14)...)}
	for _, datagram := range foreign {
		if s.OnMessage(101, datagram) {
			t.Errorf("%v was taken for a message", datagram)
		}
	}
	for _, datagram := range [][]byte{{messageTag, 9, 0, 0}, {messageTag, 1, 0, 200, 1, 2, 3}, {messageTag, 0, 0, 0}} {
		if !s.OnMessage(101, datagram) || len(s.peerDemands) > 0 {
			t.Errorf("%v was not ignored", datagram)
		}
	}
	for i := range 10000 {
		s.OnMessage(101, []byte{messageTag, 1, 0, 1, byte(i), byte(i >> 8), 7, 7, 1, 1, 0})
	}
	if len(s.peerDemands) > 100 {
		t.Errorf("%d teams that nobody knows are kept", len(s.peerDemands))
	}
}

// A message holds what fits; where more teams are active, their turn comes with the next.
func TestManyActiveTeams(t *testing.T) {
	routers := newFleet(2, true, 1000, manyQuotas(100)...)
	told := map[string]bool{}
	for i := range 3 {
		now := 101 + float64(i)
		for n := range 100 {
			routers.limiters[0].Admit(now, fmt.Sprintf("team-%d", n), "t", 0.5)
		}
		message := routers.shares[0].Message(now)
		again := routers.shares[0].Message(now + 0.1)
		if len(message) > maxMessageBytes || len(message)%observationBytes == 0 || again != nil {
			t.Fatalf("a message of %d bytes", len(message))
		}
		routers.shares[1].OnMessage(now, message)
	}
	for _, b := range routers.limiters[1].Buckets() {
		if len(routers.shares[1].peerDemands[hashOfTeam(b.Team)]) > 0 {
			told[b.Team] = true
		}
	}
	if len(told) != 100 {
		t.Errorf("%d of 100 teams were told", len(told))
	}
}

func TestPackedDemand(t *testing.T) {
	for _, rate := range []float64{2e-6, 0.001, 1, 37.5, 1e6} {
		if got := unpackDemand(packDemand(rate)); got < rate*0.999 || got > rate*1.001 {
			t.Errorf("%v comes back as %v", rate, got)
		}
	}
	if unpackDemand(packDemand(0)) != 0 {
		t.Error("nothing comes back as something")
	}
}
