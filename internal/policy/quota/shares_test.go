package quota

import (
	"fmt"
	"testing"
)

// fleet is a group of routers that share quotas. If broadcasting is set, they exchange demand messages.
type fleet struct {
	limiters     []*Limiter
	shares       []*Shares
	broadcasting bool
}

func newFleet(n int, broadcasting bool, capacity float64, quotas ...Quota) *fleet {
	routers := &fleet{broadcasting: broadcasting}
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

// run simulates a team's requests of 10 ms of load each at the given rate, split over the routers. It returns the load
// that was admitted per second.
func (f *fleet) run(from, to float64, team string, rate float64, split []float64) float64 {
	admitted := 0.0
	due := make([]float64, len(split))
	for i := 0; from+float64(i)*0.001 < to; i++ {
		now := from + float64(i)*0.001
		for router, fraction := range split {
			for due[router] += rate * fraction * 0.001; due[router] >= 1; due[router]-- {
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
			panic("OnMessage did not recognize a demand message")
		}
	}
}

// evenly splits requests equally over n routers.
func evenly(n int) (split []float64) {
	for range n {
		split = append(split, 1/float64(n))
	}
	return split
}

// skewed sends four fifths of the requests to one router.
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

// Over 1, 4 and 16 routers, with requests split evenly or four fifths at one router, a team that demands ten times its
// quota is admitted within a tenth of its quota, with and without messages between routers. A team that demands just
// its quota is admitted in full if the routers exchange messages. Without messages each router has only an equal share,
// so with skewed requests some of the quota is not used.
func TestSharesAddUpToQuota(t *testing.T) {
	team := Quota{Team: "a", GuaranteedRate: 4, Burst: 1}
	idle := Quota{Team: "idle", GuaranteedRate: 1, Burst: 1}
	for _, n := range []int{1, 4, 16} {
		for name, split := range map[string][]float64{"evenly": evenly(n), "skewed": skewed(n)} {
			for _, broadcasting := range []bool{true, false} {
				for _, times := range []float64{10, 1} {
					routers := newFleet(n, broadcasting, 8, team, idle)
					routers.run(100, 104, "a", 400*times, split) // uses the burst and exchanges the first messages
					got := routers.run(104, 124, "a", 400*times, split) / 4
					label := fmt.Sprintf("%2d routers, %s, messages %v, %2.0f times its quota", n, name, broadcasting, times)
					t.Logf("%s: admitted %.3f of its quota", label, got)
					if got > 1.1 {
						t.Errorf("%s: admitted %.3f of its quota, want at most 1.1", label, got)
					}
					if got < 0.9 && (times > 1 || broadcasting || name == "evenly") {
						t.Errorf("%s: admitted %.3f of its quota, want at least 0.9", label, got)
					}
				}
			}
		}
	}
}

// All requests arrive at one router, then the other routers' messages stop. Their demands expire and the shares become
// equal again, because the other routers may still serve requests.
func TestSharesAreEqualAfterMessagesStop(t *testing.T) {
	routers := newFleet(4, true, 8, Quota{Team: "a", GuaranteedRate: 4, Burst: 1})
	routers.run(100, 104, "a", 400, []float64{1, 0, 0, 0})
	if share := routers.limiters[0].Bucket("a").Share(); share < 0.9 {
		t.Errorf("share of the router that receives all requests is %.3f, want at least 0.9", share)
	}
	routers.broadcasting = false
	routers.run(104, 108, "a", 400, []float64{1, 0, 0, 0})
	if share := routers.limiters[0].Bucket("a").Share(); share != 0.25 {
		t.Errorf("share after messages have stopped is %.3f, want 0.25", share)
	}
	if len(routers.shares[0].peerDemands) != 0 || len(routers.shares[0].LivePeers(108)) != 0 {
		t.Error("demands of routers whose messages have stopped are kept, want none")
	}
}

// Datagrams of other protocols are not recognized, malformed messages are ignored, and messages with made-up teams do
// not make the kept state grow without bound.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	routers := newFleet(2, true, 8, Quota{Team: "a", GuaranteedRate: 4, Burst: 1})
	s := routers.shares[0]
	foreign := [][]byte{nil, {1, 2, 3, 4, 5}, {messageTag, 1, 0, 1, 2, 3}, append([]byte{messageTag}, make([]byte, 14)...)}
	for _, datagram := range foreign {
		if s.OnMessage(101, datagram) {
			t.Errorf("OnMessage(%v) = true for a datagram of another protocol, want false", datagram)
		}
	}
	for _, datagram := range [][]byte{{messageTag, 9, 0, 0}, {messageTag, 1, 0, 200, 1, 2, 3}, {messageTag, 0, 0, 0}} {
		if !s.OnMessage(101, datagram) || len(s.peerDemands) > 0 {
			t.Errorf("the malformed message %v is not recognized or changes the kept demands", datagram)
		}
	}
	for i := range 10000 {
		s.OnMessage(101, []byte{messageTag, 1, 0, 1, byte(i), byte(i >> 8), 7, 7, 1, 1, 0})
	}
	if len(s.peerDemands) > 100 {
		t.Errorf("demands of %d unknown teams are kept, want at most 100", len(s.peerDemands))
	}
}

// If more teams are active than fit into a message, successive messages include them in turn. No second message is due
// within messageInterval.
func TestMessagesIncludeAllTeamsInTurn(t *testing.T) {
	routers := newFleet(2, true, 1000, manyQuotas(100)...)
	received := map[string]bool{}
	for i := range 3 {
		now := 101 + float64(i)
		for n := range 100 {
			routers.limiters[0].Admit(now, fmt.Sprintf("team-%d", n), "t", 0.5)
		}
		message := routers.shares[0].Message(now)
		again := routers.shares[0].Message(now + 0.1)
		if len(message) > maxMessageBytes || len(message)%observationBytes == 0 || again != nil {
			t.Fatalf("a message has %d bytes, want at most 256 and no multiple of 3, and no second message", len(message))
		}
		routers.shares[1].OnMessage(now, message)
	}
	for _, b := range routers.limiters[1].Buckets() {
		if len(routers.shares[1].peerDemands[hashOfTeam(b.Team)]) > 0 {
			received[b.Team] = true
		}
	}
	if len(received) != 100 {
		t.Errorf("demands of %d teams were received, want 100", len(received))
	}
}

func TestPackedDemandPrecision(t *testing.T) {
	for _, rate := range []float64{2e-6, 0.001, 1, 37.5, 1e6} {
		if got := unpackDemand(packDemand(rate)); got < rate*0.999 || got > rate*1.001 {
			t.Errorf("unpackDemand(packDemand(%v)) = %v, want a difference of at most 0.1%%", rate, got)
		}
	}
	if unpackDemand(packDemand(0)) != 0 {
		t.Error("unpackDemand(packDemand(0)) is not 0")
	}
}
