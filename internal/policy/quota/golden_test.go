package quota

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/*.golden anew, from the code as it is")

// golden compares lines with a file that the build of 15122f5 wrote, and returns the file's lines.
func golden(t *testing.T, name string, lines []string) []string {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	for i := range max(len(lines), len(want)) {
		switch {
		case i >= len(lines):
			t.Fatalf("%s: line %d is missing: want %s", name, i+1, want[i])
		case i >= len(want):
			t.Fatalf("%s: line %d is more than was written: %s", name, i+1, lines[i])
		case lines[i] != want[i]:
			t.Fatalf("%s: line %d:\n got %s\nwant %s", name, i+1, lines[i], want[i])
		}
	}
	return want
}

// The demands that routers tell each other: what is written, and what it is read as.
func TestGoldenDemandScale(t *testing.T) {
	var lines []string
	for _, rate := range []float64{0, 9.99e-7, 1e-6, 2e-6, 0.001, 0.0137, 0.5, 1, 37.5, 1e6, 1e23, 1e40} {
		x := scaled(rate)
		lines = append(lines, fmt.Sprintf("%v %04x %v", rate, x, unscaled(x)))
	}
	golden(t, "demand-scale", lines)
}

// The words between routers, byte for byte: of no team, of a few, of so many that they do not fit into one message. The file's bytes are read by
// another router, whose part of the budgets shows what it understood.
func TestGoldenMessages(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 41, 100} {
		tr := routers(3, true, 1000, many(n)...)
		var lines []string
		for i := range 4 {
			now := 101 + float64(i)*0.7
			for j := range n {
				tr.pools[1].Admit(now, fmt.Sprintf("team-%d", j), "t", 0.01*float64(j%7))
				if i == 2 {
					tr.pools[0].Admit(now, fmt.Sprintf("team-%d", j), "t", 0.02)
				}
			}
			lines = append(lines, hex.EncodeToString(tr.parts[1].Message(now)))
		}
		name := fmt.Sprintf("messages-%d-teams", n)
		var want []string
		if *writeGolden {
			want = lines
		} else {
			text, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
			if err != nil {
				t.Fatal(err)
			}
			want = strings.Split(string(text), "\n")[:4]
		}
		for i, text := range want {
			words, err := hex.DecodeString(text)
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, fmt.Sprintf("read: %t", tr.parts[0].OnMessage(102.8+float64(i)*0.1, words)))
		}
		tr.parts[0].Recompute(103.3)
		lines = append(lines, fmt.Sprintf("known: %v", tr.parts[0].LivePeers(103.3)))
		for _, m := range tr.pools[0].Buckets() {
			lines = append(lines, fmt.Sprintf("%s: part %v", m.Team, m.Share()))
		}
		golden(t, name, lines)
	}
}

// What is decided, charged, lent and forgiven, to the last bit, over a minute with borrowers, changes of contracts, parts that move, clock steps
// and teams that are not known.
func TestGoldenDecisions(t *testing.T) {
	chance := rand.New(rand.NewPCG(5, 50))
	all := []Quota{{Team: "a", GuaranteedRate: 1, Burst: 0.5}, {Team: "b", GuaranteedRate: 0.7, Burst: 2, BorrowRate: 1, Weight: 3}, {Team: "c", GuaranteedRate: 0.3, Burst: 0.1, BorrowRate: 5},
		{Team: "d", GuaranteedRate: 0, Burst: 0.2}, {Team: "e", GuaranteedRate: 0.2, Burst: 1, BorrowRate: 2, FlatCost: 0.02}, {Team: "g", BorrowRate: 3, Weight: 0.5}}
	p := NewLimiter(100, 4, 7)
	p.SetQuotas(100, 4, all)
	other := NewLimiter(100, 1, 8)
	other.SetQuotas(100, 1, all[1:3])
	sum := []byte(nil)
	add := func(format string, about ...any) {
		h := sha256.New()
		h.Write(sum)
		fmt.Fprintf(h, format, about...)
		sum = h.Sum(nil)
	}
	var out []*Reservation
	var lines []string
	counts := map[Reason]int{}
	now := 100.0
	for step := range 6000 {
		now += 0.01
		for range chance.IntN(5) {
			team := string(rune('a' + chance.IntN(7)))
			k, why, after := p.Admit(now, team, []string{"t", "u"}[chance.IntN(2)], 0.001+0.05*chance.Float64())
			counts[why]++
			add("%s %d %s %t %v\n", team, int(why), why, why.Admitted(), after)
			if k != nil {
				out = append(out, k)
			}
		}
		for len(out) > 0 && chance.IntN(3) > 0 {
			i := chance.IntN(len(out))
			took := p.ChargeableTime(out[i], 0.001+0.1*chance.Float64()*chance.Float64())
			if step > 5000 && chance.IntN(50) == 0 {
				took = 7 // a service that hung
			}
			add("%v\n", took)
			p.Settle(now, out[i], took)
			out = append(out[:i], out[i+1:]...)
		}
		switch step {
		case 1000:
			p.SetUnreservedShare(now, 0.5)
			for i, m := range p.Buckets() {
				p.SetShare(now, m, 0.2*float64(i))
			}
		case 2000:
			p.SetQuotas(now, 5, []Quota{all[0], {Team: "b", GuaranteedRate: 2, Burst: 1}, {Team: "c", GuaranteedRate: 0.1, Burst: 3, BorrowRate: 1, Weight: 2}, all[4], {Team: "h", GuaranteedRate: 1, Burst: 1}})
		case 2500:
			now -= 30
		case 3000:
			now += 1000
		case 3500:
			p.SetQuotas(now, 3, all)
			p.AdoptBalance(now, "b", other.Balance(now, "b"))
			p.AdoptBalance(now, "nobody", 1)
			p.SetUnreservedShare(now, 1)
		case 4000:
			for _, m := range p.Buckets() {
				p.SetShare(now, m, 1)
			}
		}
		if step%100 == 99 {
			line := fmt.Sprintf("%.2f: %d %d %d %d, %x", now, counts[WithinQuota], counts[Borrowed], counts[OverQuota], counts[UnknownTeam], sum[:8])
			x := p.Totals
			line += fmt.Sprintf(" left %v of %v %v %v %v", p.Unused(), x.Filled, x.Dropped, x.Charged, x.Forgiven)
			for _, m := range p.Buckets() {
				y := m.Totals
				line += fmt.Sprintf("; %s %v %v %v, %v %v %v %v %v, %d %d %d, %v %d", m.Team, m.Balance(), m.Share(), m.Demand.Rate(now),
					y.Start, y.Filled, y.Spilled, y.Charged, y.Forgiven, y.WithinQuota, y.Borrowed, y.Rejected, y.LoadUsed, y.InFlight)
			}
			add("%s\n", line)
			if step%500 == 499 {
				lines = append(lines, line)
			}
		}
	}
	golden(t, "decisions", lines)
}

// The parts of the budgets that routers have come to, to the last bit, while they talk, fall silent, and say what cannot be used.
// Of three routers: the demands of more others are added up in the order of a map, and the last bit of their sum is not always the same.
func TestGoldenParts(t *testing.T) {
	tr := routers(3, true, 8, Quota{Team: "a", GuaranteedRate: 4, Burst: 1}, Quota{Team: "b", GuaranteedRate: 1, Burst: 1, BorrowRate: 2})
	var lines []string
	now := 100.0
	line := func(what string) {
		text := what
		for i, p := range tr.pools {
			text += fmt.Sprintf("; %v", tr.parts[i].LivePeers(now))
			for _, m := range p.Buckets() {
				text += fmt.Sprintf(" %v %v", m.Share(), m.Balance())
			}
		}
		lines = append(lines, text)
	}
	run := func(what, team string, rate float64, split []float64) {
		for range 3 {
			got := tr.run(now, now+1, team, rate, split)
			now++
			line(fmt.Sprintf("%s, %s got %v", what, team, got))
		}
	}
	line("at the start")
	run("skewed", "a", 800, []float64{0.8, 0.1, 0.1})
	run("at one", "b", 300, []float64{0, 0, 1})
	tr.talk = false
	run("silent", "a", 800, []float64{0.25, 0.25, 0.5})
	tr.talk = true
	run("they talk again", "b", 100, []float64{0.5, 0.5, 0})
	for i, words := range [][]byte{nil, {0xc7}, {0xc7, 1, 0, 0}, {0xc7, 1, 0, 1, 1, 2, 3, 4}, {0xc7, 1, 0, 1, 1, 2, 3, 4, 0xff, 0xff}, {0xc7, 1, 0, 1, 1, 2, 3, 4, 5, 6, 0},
		{0xc7, 9, 0, 0}, {0xc7, 0, 0, 0}, {0xc8, 1, 0, 0}, {0xc7, 1, 0, 0, 0, 0}} {
		line(fmt.Sprintf("message %d is read: %t", i, tr.parts[0].OnMessage(now, words)))
	}
	run("on they go", "a", 400, []float64{0.5, 0, 0.5})
	golden(t, "parts", lines)
}

// What the operators' page calls each reason.
func TestGoldenReasons(t *testing.T) {
	var lines []string
	for _, why := range []Reason{WithinQuota, Borrowed, OverQuota, UnknownTeam} {
		lines = append(lines, fmt.Sprintf("%d %s %t", int(why), why, why.Admitted()))
	}
	golden(t, "reasons", lines)
}
