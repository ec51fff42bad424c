package broker

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/policy/quota"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden from the current code")

// golden compares lines with testdata/NAME.golden, whose values the build of commit 15122f5 wrote.
func golden(t *testing.T, name string, lines []string) {
	t.Helper()
	path, got := "testdata/"+name+".golden", strings.Join(lines, "\n")+"\n"
	if *writeGolden {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

func goldenTerms() []TeamConfig {
	a := testTerms("a", "own", 1)
	a.Listen = "127.0.0.1:1"
	a.BorrowRate = 0.5
	a.Weight = 2
	c := testTerms("c", "", 0.5)
	d := testTerms("d", "own", 0)
	c.Prefix = "lab:"
	c.TrafficClasses = []balancer.TrafficClass{
		{Name: "put", Idempotency: balancer.IdempotencyKeyed, LatencyObjective: 0.25, Deadline: 2, PriorityWeight: 0.5},
		{Name: "add", Idempotency: balancer.AtMostOnce, LatencyObjective: 1, Deadline: 2},
	}
	return []TeamConfig{a, c, d}
}

// Configure returns the log lines for each change of teams and pools.
func TestGoldenChangeLines(t *testing.T) {
	b, _, pools := newTestBroker(t, ample)
	var lines []string
	change := func(heading string, pools []Pool, all []TeamConfig, unmatched UnmatchedTraffic) {
		lines = append(lines, "# "+heading)
		lines = append(lines, b.Configure(pools, all, unmatched)...)
	}
	all := goldenTerms()
	change("three teams added", pools, all, UnmatchedToPlatform)
	change("no change", pools, all, UnmatchedToPlatform)
	other := slices.Clone(all)
	other[0].GuaranteedRate = 2.5
	other[1].Tenant = "x"
	other[2].TrafficClasses = nil
	change("all teams changed", pools, other, UnmatchedRejected)
	pools[1].Capacity = 3.25
	pools[0].Capacity = 2
	change("capacities changed", pools, other, UnmatchedRejected)
	more := append(slices.Clone(pools), Pool{Name: "third", Core: pools[1].Core, Capacity: 1.5, Connections: 3})
	change("a pool added, teams removed", more, other[1:2], UnmatchedToPlatform)
	change("pools removed", pools[:1], []TeamConfig{testTerms("z", "", 0.1)}, UnmatchedToPlatform)
	golden(t, "change-lines", lines)
}

// The outcomes of requests and connections, and the state of the teams on the operators' page, are as in the golden
// file.
func TestGoldenDecisions(t *testing.T) {
	b, upstream, pools := newTestBroker(t, Limits{Requests: 40, BufferedBytes: 1000, Connections: 8}, goldenTerms()...)
	var lines []string
	submit := func(listener, tenant, key, class string) {
		route := b.Route(listener, tenant, key)
		if route == nil {
			lines = append(lines, fmt.Sprintf("%q %q %q: no route", listener, tenant, key))
			return
		}
		deadline, known := route.MaxDeadline(class)
		line := fmt.Sprintf("%q %q %q %s: deadline %v %t", listener, tenant, key, class, deadline, known)
		if !known {
			lines = append(lines, line)
			return
		}
		if !route.HasCapacity() {
			lines = append(lines, line+", no capacity")
			return
		}
		c := submitTo(route, class, tenant, key)
		lines = append(lines, fmt.Sprintf("%s, %d %d %d after %v", line, c.succeeded, c.rejected, c.failed, c.retryAfter))
	}
	show := func() {
		lines = append(lines, fmt.Sprintf("open %d, longest %v, revision %d",
			b.OpenRequests(), b.LongestDeadline(), b.Revision()))
		for _, s := range b.TeamStates() {
			lines = append(lines, fmt.Sprintf(
				"%s in %q: rate %v, share %v, balance %v, open %d; %d %d %d %d %d %v %v",
				s.Team, s.Pool, s.GuaranteedRate, s.Share, s.Balance, s.OpenRequests,
				s.Received, s.Succeeded, s.Rejected, s.Failed, s.Disconnected, s.Reasons, s.LoadUsed))
		}
		classes := b.TrafficClassNames()
		slices.Sort(classes)
		lines = append(lines, fmt.Sprint(classes, b.HasTeam("a"), b.HasTeam("who")))
		for _, message := range b.QuotaMessages() {
			lines = append(lines, hex.EncodeToString(message))
		}
	}
	for i := range 24 {
		submit("", "a", fmt.Sprint("k", i), "view")
		submit("127.0.0.1:1", "c", "k", "view")
		submit("", "", "lab:7", []string{"put", "add", "view"}[i%3])
		submit("", "d", "k", "view")
		submit("", "who", "k", "view")
		if i%6 == 5 {
			show()
			upstream.finish(0.3)
		}
	}
	listenA, unknown := "127.0.0.1:1", "127.0.0.1:9"
	for _, listener := range []string{
		listenA, listenA, "", unknown, listenA, listenA, listenA, listenA, listenA, listenA,
	} {
		lines = append(lines, fmt.Sprintf("connection at %q: %t", listener, b.AdmitConnection(listener)))
	}
	b.ReleaseConnection("127.0.0.1:1")
	b.ReleaseConnection("")
	lines = append(lines, fmt.Sprintf("after a release: %t", b.AdmitConnection("127.0.0.1:1")))
	moved := TeamConfig{
		Quota:          quota.Quota{Team: "c", GuaranteedRate: 3, Burst: 3, FlatCost: 0.1},
		Pool:           "own",
		Prefix:         "lab:",
		TrafficClasses: goldenTerms()[1].TrafficClasses,
	}
	b.Configure(pools, []TeamConfig{testTerms("a", "", 1), moved}, UnmatchedRejected)
	show()
	for i := range 24 {
		submit("", "a", fmt.Sprint("k", i), "view")
		submit("", "", "lab:7", "put")
		submit("", "who", "k", "view")
		if i%6 == 5 {
			show()
			upstream.finish(0.3)
		}
	}
	show()
	golden(t, "decisions", lines)
}
