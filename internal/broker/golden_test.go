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

var writeGolden = flag.Bool("write-golden", false, "write testdata/*.golden anew, from the code as it is")

// golden compares lines with a file that the build of 15122f5 wrote.
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

func goldenTerms() []TeamTerms {
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
	return []TeamTerms{a, c, d}
}

// The lines that operators find in the log for each change of teams and pools.
func TestGoldenChangeLines(t *testing.T) {
	b, _, pools := newTestBroker(t, ample)
	var lines []string
	change := func(what string, pools []Pool, all []TeamTerms, others UnmatchedTraffic) {
		lines = append(lines, "# "+what)
		lines = append(lines, b.Configure(pools, all, others)...)
	}
	all := goldenTerms()
	change("three teams", pools, all, UnmatchedToPlatform)
	change("nothing", pools, all, UnmatchedToPlatform)
	other := slices.Clone(all)
	other[0].GuaranteedRate = 2.5
	other[1].Tenant = "x"
	other[2].TrafficClasses = nil
	change("each is another", pools, other, UnmatchedRejected)
	pools[1].Capacity = 3.25
	pools[0].Capacity = 2
	change("capacities", pools, other, UnmatchedRejected)
	more := append(slices.Clone(pools), Pool{Name: "third", Core: pools[1].Core, Capacity: 1.5, Connections: 3})
	change("a pool comes, teams go", more, other[1:2], UnmatchedToPlatform)
	change("a pool goes", pools[:1], []TeamTerms{testTerms("z", "", 0.1)}, UnmatchedToPlatform)
	golden(t, "change-lines", lines)
}

// What becomes of each request, and what the operators' page shows of the teams.
func TestGoldenDecisions(t *testing.T) {
	b, upstream, pools := newTestBroker(t, Limits{Requests: 40, BufferedBytes: 1000, Connections: 8}, goldenTerms()...)
	var lines []string
	submit := func(listener, tenant, key, class string) {
		route := b.Route(listener, tenant, key)
		if route == nil {
			lines = append(lines, fmt.Sprintf("%q %q %q: nobody's", listener, tenant, key))
			return
		}
		deadline, known := route.MaxDeadline(class)
		line := fmt.Sprintf("%q %q %q %s: hard stop %v %t", listener, tenant, key, class, deadline, known)
		if !known {
			lines = append(lines, line)
			return
		}
		if !route.HasCapacity() {
			lines = append(lines, line+", no room")
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
				"%s in %q: budget %v, part %v, balance %v, open %d; %d %d %d %d %d %v %v",
				s.Team, s.Pool, s.GuaranteedRate, s.Share, s.Balance, s.OpenRequests,
				s.Received, s.Succeeded, s.Rejected, s.Failed, s.Disconnected, s.Reasons, s.LoadUsed))
		}
		kinds := b.TrafficClassNames()
		slices.Sort(kinds)
		lines = append(lines, fmt.Sprint(kinds, b.HasTeam("a"), b.HasTeam("who")))
		for _, words := range b.QuotaMessages() {
			lines = append(lines, hex.EncodeToString(words))
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
	lines = append(lines, fmt.Sprintf("one went: %t", b.AdmitConnection("127.0.0.1:1")))
	moved := TeamTerms{
		Quota:          quota.Quota{Team: "c", GuaranteedRate: 3, Burst: 3, FlatCost: 0.1},
		Pool:           "own",
		Prefix:         "lab:",
		TrafficClasses: goldenTerms()[1].TrafficClasses,
	}
	b.Configure(pools, []TeamTerms{testTerms("a", "", 1), moved}, UnmatchedRejected)
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
