package quota

import (
	"fmt"
	"testing"
)

// tier is routers that share contracts, and the words between them.
type tier struct {
	pools []*Limiter
	parts []*Shares
	talk  bool
}

func routers(n int, talk bool, capacity float64, all ...Quota) *tier {
	tr := &tier{talk: talk}
	for i := range n {
		p := NewLimiter(100, capacity, uint32(i))
		p.SetQuotas(100, capacity, all)
		s := NewShares(p, i, n)
		s.Recompute(100)
		tr.pools, tr.parts = append(tr.pools, p), append(tr.parts, s)
	}
	return tr
}

// run plays a team's flow, split over the routers, and gives what was admitted a second.
func (tr *tier) run(from, to float64, team string, rate float64, split []float64) float64 {
	got, due := 0.0, make([]float64, len(split))
	for i := 0; from+float64(i)*0.001 < to; i++ {
		now := from + float64(i)*0.001
		for r, part := range split {
			for due[r] += rate * part * 0.001; due[r] >= 1; due[r]-- {
				if k, why, _ := tr.pools[r].Admit(now, team, "t", 0.01); why.Admitted() {
					got += 0.01
					tr.pools[r].Settle(now, k, 0.01)
				}
			}
			if words := tr.parts[r].Message(now); words != nil && tr.talk {
				for o := range tr.parts {
					if o != r && !tr.parts[o].OnMessage(now+0.01, words) {
						panic("a message was not known")
					}
				}
			}
		}
	}
	return got / (to - from)
}

func even(n int) (split []float64) {
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

// Over 1, 4 and 16 routers, with traffic spread evenly and four fifths at one, a team that asks for ten times its budget
// gets it within a tenth, with messages and without. One that asks for just its budget gets it where routers may talk;
// without messages a router has no more than an equal part, which is what is lost.
func TestSumOverRouters(t *testing.T) {
	team := Quota{Team: "a", GuaranteedRate: 4, Burst: 1}
	for _, n := range []int{1, 4, 16} {
		for name, split := range map[string][]float64{"evenly": even(n), "skewed": skewed(n)} {
			for _, talk := range []bool{true, false} {
				for _, times := range []float64{10, 1} {
					tr := routers(n, talk, 8, team, Quota{Team: "idle", GuaranteedRate: 1, Burst: 1})
					tr.run(100, 104, "a", 400*times, split) // its burst, and the first messages
					got := tr.run(104, 124, "a", 400*times, split) / 4
					t.Logf("%2d routers, %s, messages %v, %2.0f times its budget: %.3f of it", n, name, talk, times, got)
					if got > 1.1 {
						t.Errorf("%d routers, %s, messages %v, %v times: it got %.3f of its budget", n, name, talk, times, got)
					}
					if got < 0.9 && (times > 1 || talk || name == "evenly") {
						t.Errorf("%d routers, %s, messages %v, %v times: it got %.3f of its budget", n, name, talk, times, got)
					}
				}
			}
		}
	}
}

// A router that falls silent is forgotten: the others go back to equal parts, for it may serve on unheard.
func TestSilentPeers(t *testing.T) {
	tr := routers(4, true, 8, Quota{Team: "a", GuaranteedRate: 4, Burst: 1})
	tr.run(100, 104, "a", 400, []float64{1, 0, 0, 0})
	if part := tr.pools[0].Bucket("a").Share(); part < 0.9 {
		t.Errorf("where all come to one router, it has %.3f of the budget", part)
	}
	tr.talk = false
	tr.run(104, 108, "a", 400, []float64{1, 0, 0, 0})
	if part := tr.pools[0].Bucket("a").Share(); part != 0.25 {
		t.Errorf("when all are silent, it has %.3f", part)
	}
	if len(tr.parts[0].heard) != 0 || len(tr.parts[0].LivePeers(108)) != 0 {
		t.Error("what the silent ones said is kept")
	}
}

// What others may send is read without harm, and nothing of it grows without bound.
func TestStrangeWords(t *testing.T) {
	tr := routers(2, true, 8, Quota{Team: "a", GuaranteedRate: 4, Burst: 1})
	s := tr.parts[0]
	for _, words := range [][]byte{nil, {1, 2, 3, 4, 5}, {tag, 1, 0, 1, 2, 3}, append([]byte{tag}, make([]byte, 14)...)} {
		if s.OnMessage(101, words) {
			t.Errorf("%v was taken for its own kind", words)
		}
	}
	for _, words := range [][]byte{{tag, 9, 0, 0}, {tag, 1, 0, 200, 1, 2, 3}, {tag, 0, 0, 0}} {
		if !s.OnMessage(101, words) || len(s.heard) > 0 {
			t.Errorf("%v was not passed over", words)
		}
	}
	for i := range 10000 {
		s.OnMessage(101, []byte{tag, 1, 0, 1, byte(i), byte(i >> 8), 7, 7, 1, 1, 0})
	}
	if len(s.heard) > 100 {
		t.Errorf("%d teams that nobody knows are kept", len(s.heard))
	}
}

// A message holds what fits; where more teams are active, their turn comes with the next.
func TestManyActiveTeams(t *testing.T) {
	tr := routers(2, true, 1000, many(100)...)
	seen := map[string]bool{}
	for i := range 3 {
		now := 101 + float64(i)
		for n := range 100 {
			tr.pools[0].Admit(now, fmt.Sprintf("team-%d", n), "t", 0.5)
		}
		words := tr.parts[0].Message(now)
		if len(words) > mostBytes || len(words)%others == 0 || tr.parts[0].Message(now+0.1) != nil {
			t.Fatalf("a message of %d bytes", len(words))
		}
		tr.parts[1].OnMessage(now, words)
	}
	for _, m := range tr.pools[1].Buckets() {
		if len(tr.parts[1].heard[nameOf(m.Team)]) > 0 {
			seen[m.Team] = true
		}
	}
	if len(seen) != 100 {
		t.Errorf("%d of 100 teams were told", len(seen))
	}
}

func TestScaled(t *testing.T) {
	for _, rate := range []float64{2e-6, 0.001, 1, 37.5, 1e6} {
		if got := unscaled(scaled(rate)); got < rate*0.999 || got > rate*1.001 {
			t.Errorf("%v comes back as %v", rate, got)
		}
	}
	if unscaled(scaled(0)) != 0 {
		t.Error("nothing comes back as something")
	}
}
