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

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden from the current code")

// golden compares lines with testdata/NAME.golden, whose values the build of commit 15122f5 wrote, and returns the
// file's lines.
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
			t.Fatalf("%s: line %d is not in the golden file: %s", name, i+1, lines[i])
		case lines[i] != want[i]:
			t.Fatalf("%s: line %d:\n got %s\nwant %s", name, i+1, lines[i], want[i])
		}
	}
	return want
}

// Demands keep their encoding in messages and are decoded to the same values.
func TestGoldenDemandScale(t *testing.T) {
	var lines []string
	for _, rate := range []float64{0, 9.99e-7, 1e-6, 2e-6, 0.001, 0.0137, 0.5, 1, 37.5, 1e6, 1e23, 1e40} {
		x := packDemand(rate)
		lines = append(lines, fmt.Sprintf("%v %04x %v", rate, x, unpackDemand(x)))
	}
	golden(t, "demand-scale", lines)
}

// Messages between routers are encoded byte for byte as in the golden file: with no team, with a few, and with more
// than fit into one message. Another router reads the bytes in the file, and its shares of the quotas show how it
// decoded them.
func TestGoldenMessages(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 41, 100} {
		routers := newFleet(3, true, 1000, manyQuotas(n)...)
		var lines []string
		for i := range 4 {
			now := 101 + float64(i)*0.7
			for j := range n {
				routers.limiters[1].Admit(now, fmt.Sprintf("team-%d", j), "t", 0.01*float64(j%7))
				if i == 2 {
					routers.limiters[0].Admit(now, fmt.Sprintf("team-%d", j), "t", 0.02)
				}
			}
			lines = append(lines, hex.EncodeToString(routers.shares[1].Message(now)))
		}
		name := fmt.Sprintf("messages-%d-teams", n)
		written := lines
		if !*writeGolden {
			text, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
			if err != nil {
				t.Fatal(err)
			}
			written = strings.Split(string(text), "\n")[:4]
		}
		reader := routers.shares[0]
		for i, text := range written {
			message, err := hex.DecodeString(text)
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, fmt.Sprintf("read: %t", reader.OnMessage(102.8+float64(i)*0.1, message)))
		}
		reader.Recompute(103.3)
		lines = append(lines, fmt.Sprintf("live peers: %v", reader.LivePeers(103.3)))
		for _, b := range routers.limiters[0].Buckets() {
			lines = append(lines, fmt.Sprintf("%s: share %v", b.Team, b.Share()))
		}
		golden(t, name, lines)
	}
}

// goldenDecisions hashes all decisions of a limiter and formats its state. The formats are part of the hashes.
type goldenDecisions struct {
	limiter *Limiter
	counts  map[Reason]int
	sum     []byte
}

func (g *goldenDecisions) add(format string, about ...any) {
	h := sha256.New()
	h.Write(g.sum)
	fmt.Fprintf(h, format, about...)
	g.sum = h.Sum(nil)
}

func (g *goldenDecisions) line(now float64) string {
	line := fmt.Sprintf("%.2f: %d %d %d %d, %x", now,
		g.counts[WithinQuota], g.counts[Borrowed], g.counts[OverQuota], g.counts[UnknownTeam], g.sum[:8])
	unused := g.limiter.Totals
	line += fmt.Sprintf(" left %v of %v %v %v %v", g.limiter.Unused(),
		unused.Filled, unused.Dropped, unused.Charged, unused.Forgiven)
	for _, b := range g.limiter.Buckets() {
		totals := b.Totals
		line += fmt.Sprintf("; %s %v %v %v, %v %v %v %v %v, %d %d %d, %v %d",
			b.Team, b.Balance(), b.Share(), b.Demand.Rate(now),
			totals.Start, totals.Filled, totals.Spilled, totals.Charged, totals.Forgiven,
			totals.WithinQuota, totals.Borrowed, totals.Rejected, totals.LoadUsed, totals.InFlight)
	}
	return line
}

// A limiter decides, charges, lends and forgives exactly as the build that wrote the golden file, over a minute with
// borrowers, changes of quotas and shares, clock steps, a service that hangs, and unknown teams.
func TestGoldenDecisions(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 50))
	quotas := []Quota{
		{Team: "a", GuaranteedRate: 1, Burst: 0.5},
		{Team: "b", GuaranteedRate: 0.7, Burst: 2, BorrowRate: 1, Weight: 3},
		{Team: "c", GuaranteedRate: 0.3, Burst: 0.1, BorrowRate: 5},
		{Team: "d", GuaranteedRate: 0, Burst: 0.2},
		{Team: "e", GuaranteedRate: 0.2, Burst: 1, BorrowRate: 2, FlatCost: 0.02},
		{Team: "g", BorrowRate: 3, Weight: 0.5},
	}
	l := NewLimiter(100, 4, 7)
	l.SetQuotas(100, 4, quotas)
	otherPool := NewLimiter(100, 1, 8)
	otherPool.SetQuotas(100, 1, quotas[1:3])
	decisions := &goldenDecisions{limiter: l, counts: map[Reason]int{}}
	var open []*Reservation
	var lines []string
	now := 100.0
	for step := range 6000 {
		now += 0.01
		for range random.IntN(5) {
			team := string(rune('a' + random.IntN(7)))
			verdict := l.Admit(now, team, []string{"t", "u"}[random.IntN(2)], 0.001+0.05*random.Float64())
			reason := verdict.Reason
			decisions.counts[reason]++
			decisions.add("%s %d %s %t %v\n", team, int(reason), reason, verdict.Admitted(), verdict.RetryAfter)
			if verdict.Reservation != nil {
				open = append(open, verdict.Reservation)
			}
		}
		for len(open) > 0 && random.IntN(3) > 0 {
			i := random.IntN(len(open))
			load := l.ChargeableTime(open[i], 0.001+0.1*random.Float64()*random.Float64())
			if step > 5000 && random.IntN(50) == 0 {
				load = 7 // the service hangs
			}
			decisions.add("%v\n", load)
			l.Settle(now, open[i], load)
			open = append(open[:i], open[i+1:]...)
		}
		switch step {
		case 1000:
			l.SetUnreservedShare(now, 0.5)
			for i, b := range l.Buckets() {
				l.SetShare(now, b, 0.2*float64(i))
			}
		case 2000:
			l.SetQuotas(now, 5, []Quota{
				quotas[0],
				{Team: "b", GuaranteedRate: 2, Burst: 1},
				{Team: "c", GuaranteedRate: 0.1, Burst: 3, BorrowRate: 1, Weight: 2},
				quotas[4],
				{Team: "h", GuaranteedRate: 1, Burst: 1},
			})
		case 2500:
			now -= 30
		case 3000:
			now += 1000
		case 3500:
			l.SetQuotas(now, 3, quotas)
			l.AdoptBalance(now, "b", otherPool.Balance(now, "b"))
			l.AdoptBalance(now, "nobody", 1)
			l.SetUnreservedShare(now, 1)
		case 4000:
			for _, b := range l.Buckets() {
				l.SetShare(now, b, 1)
			}
		}
		if step%100 == 99 {
			line := decisions.line(now)
			decisions.add("%s\n", line)
			if step%500 == 499 {
				lines = append(lines, line)
			}
		}
	}
	golden(t, "decisions", lines)
}

// Routers compute exactly the same shares of the quotas as the build that wrote the golden file, while they exchange
// messages, stop sending, and send malformed messages. There are only three routers, because the demands of the others
// are added in the order of a map: with more of them, the last bit of the sum would vary.
func TestGoldenShares(t *testing.T) {
	routers := newFleet(3, true, 8,
		Quota{Team: "a", GuaranteedRate: 4, Burst: 1},
		Quota{Team: "b", GuaranteedRate: 1, Burst: 1, BorrowRate: 2})
	var lines []string
	now := 100.0
	line := func(label string) {
		text := label
		for i, l := range routers.limiters {
			text += fmt.Sprintf("; %v", routers.shares[i].LivePeers(now))
			for _, b := range l.Buckets() {
				text += fmt.Sprintf(" %v %v", b.Share(), b.Balance())
			}
		}
		lines = append(lines, text)
	}
	run := func(label, team string, rate float64, split []float64) {
		for range 3 {
			got := routers.run(now, now+1, team, rate, split)
			now++
			line(fmt.Sprintf("%s, %s got %v", label, team, got))
		}
	}
	line("at the start")
	run("skewed", "a", 800, []float64{0.8, 0.1, 0.1})
	run("at one router", "b", 300, []float64{0, 0, 1})
	routers.broadcasting = false
	run("silent", "a", 800, []float64{0.25, 0.25, 0.5})
	routers.broadcasting = true
	run("messages are exchanged again", "b", 100, []float64{0.5, 0.5, 0})
	for i, datagram := range [][]byte{
		nil,
		{0xc7},
		{0xc7, 1, 0, 0},
		{0xc7, 1, 0, 1, 1, 2, 3, 4},
		{0xc7, 1, 0, 1, 1, 2, 3, 4, 0xff, 0xff},
		{0xc7, 1, 0, 1, 1, 2, 3, 4, 5, 6, 0},
		{0xc7, 9, 0, 0},
		{0xc7, 0, 0, 0},
		{0xc8, 1, 0, 0},
		{0xc7, 1, 0, 0, 0, 0},
	} {
		line(fmt.Sprintf("message %d is read: %t", i, routers.shares[0].OnMessage(now, datagram)))
	}
	run("after malformed messages", "a", 400, []float64{0.5, 0, 0.5})
	golden(t, "shares", lines)
}

// The names of the reasons, as shown on the operators' page, stay the same.
func TestGoldenReasons(t *testing.T) {
	var lines []string
	for _, reason := range []Reason{WithinQuota, Borrowed, OverQuota, UnknownTeam} {
		lines = append(lines, fmt.Sprintf("%d %s %t", int(reason), reason, reason.Admitted()))
	}
	golden(t, "reasons", lines)
}
