package broker

import (
	"strings"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// A request is routed by its listener first, then by its tenant, then by the longest matching key prefix. Unmatched
// requests are routed to the platform or rejected.
func TestRoutes(t *testing.T) {
	a := testTerms("a", "", 1)
	a.Listen = "127.0.0.1:1"
	a.Tenant = ""
	c := testTerms("c", "", 1)
	d := testTerms("d", "", 1)
	d.Tenant = ""
	d.Prefix = "lab:"
	e := d
	e.Team = "e"
	e.Prefix = "lab:x:"
	b, _, pools := newTestBroker(t, ample, a, c, d, e)
	team := func(listener, tenant, key string) string {
		switch r := b.Route(listener, tenant, key).(type) {
		case *team:
			return r.Team
		case *platform:
			return "platform"
		}
		return "none"
	}
	check := func(listener, tenant, key, want string) {
		t.Helper()
		if got := team(listener, tenant, key); got != want {
			t.Errorf("Route(%q, %q, %q) is %s, want %s", listener, tenant, key, got, want)
		}
	}
	check("127.0.0.1:1", "c", "lab:1", "a") // the listener takes precedence
	check("", "c", "lab:1", "c")
	check("", "", "lab:1", "d")
	check("", "", "lab:x:1", "e") // the longest prefix
	check("", "who", "k", "platform")
	b.Configure(pools, []TeamConfig{c}, UnmatchedRejected)
	check("", "who", "k", "none")
	check("127.0.0.1:1", "", "k", "none") // the listener's team was removed
	if len(b.tallies) != 1 {
		t.Errorf("%d tallies are kept, want 1", len(b.tallies))
	}
}

// A request of a team is submitted to its pool with the team as tenant and the qualified name of its traffic class.
// Only traffic classes in the team's terms are known.
func TestTrafficClasses(t *testing.T) {
	b, upstream, _ := newTestBroker(t, ample, testTerms("a", "own", 10))
	b.submit("a", "k")
	if len(upstream.requests) != 1 || upstream.requests[0].Class != "a/view" || upstream.requests[0].Tenant != "a" {
		t.Fatalf("requests at the upstream are %+v, want one of class a/view and tenant a", upstream.requests)
	}
	if _, known := b.Route("", "a", "k").MaxDeadline("other"); known {
		t.Error("a traffic class that is not in the team's terms is known")
	}
}

// Requests beyond the quota are rejected immediately with a Retry-After. When the others end, their measured load
// replaces the charged estimates.
func TestQuota(t *testing.T) {
	b, upstream, _ := newTestBroker(t, ample, testTerms("a", "own", 1), testTerms("b", "own", 1))
	var last *client
	for range 10 { // a burst of 1 s admits four requests, each estimated at a quarter of the latency objective of 1 s
		last, _ = b.submit("a", "k")
	}
	s := b.teamState("a")
	hasRetryAfter := last.rejected == 1 && last.retryAfter > 0
	if s.Reasons[requestcore.ReasonQuota] != 6 || s.OpenRequests != 4 || !hasRetryAfter {
		t.Fatalf("state %+v, want 6 rejected by quota and 4 open; last client %+v, want rejected with a Retry-After", s, last)
	}
	if c, accepted := b.submit("b", "k"); !accepted || c.rejected > 0 {
		t.Error("a request of another team was rejected")
	}
	upstream.finish(0.01)
	s = b.teamState("a")
	loadUsed := s.LoadUsed >= 0.039 && s.LoadUsed <= 0.041
	if s.OpenRequests != 0 || s.Succeeded != 4 || s.Balance < 0.9 || !loadUsed {
		t.Errorf("state after all requests have ended: %+v, want 4 succeeded, none open, a load of 0.04 s", s)
	}
}

// A team whose service hangs uses its reserved slots and the unreserved ones, but not the reserved slots of another
// team. The platform's pool is not affected.
func TestBulkheads(t *testing.T) {
	hung, other := testTerms("hung", "own", 1000), testTerms("other", "own", 1000)
	b, upstream, _ := newTestBroker(t, Limits{Requests: 100, BufferedBytes: 1 << 20, Connections: 100}, hung, other)
	n := 0
	for {
		if _, accepted := b.submit("hung", "k"); !accepted {
			break
		}
		n++
	}
	if n < 5 || n > 8 { // of the ten connections to its pool's servers, two or three are reserved for the other team
		t.Errorf("the hung team has %d slots, want 5 to 8", n)
	}
	if s := b.teamState("hung"); s.Reasons[requestcore.ReasonNoCapacity] != 1 || s.OpenRequests != n {
		t.Errorf("state of the hung team: %+v, want one rejected for capacity, all others open", s)
	}
	if c, accepted := b.submit("other", "k"); !accepted || c.rejected > 0 {
		t.Error("the other team has no slot")
	}
	if c, accepted := b.submit("", "k"); !accepted || c.rejected > 0 {
		t.Error("the platform's pool has no slot")
	}
	upstream.finish(0.01)
	if b.OpenRequests() != 0 {
		t.Errorf("%d slots are in use after all requests have ended, want 0", b.OpenRequests())
	}
}

// Buffered bytes and connections are partitioned between teams like requests.
func TestBytesAndConnections(t *testing.T) {
	const listenA, listenC, unknown = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:9"
	a, c := testTerms("a", "", 1), testTerms("c", "", 1)
	a.Listen = listenA
	c.Listen = listenC
	b, _, _ := newTestBroker(t, Limits{Requests: 100, BufferedBytes: 1000, Connections: 8}, a, c)
	b.Route("", "a", "k").AddBufferedBytes(800)
	if b.Route("", "a", "k").HasCapacity() || !b.Route("", "c", "k").HasCapacity() {
		t.Error("a team that buffers too many bytes has capacity, or another team has none")
	}
	b.Route("", "a", "k").AddBufferedBytes(-800)
	n := 0
	for b.AdmitConnection(listenA) {
		n++
	}
	admittedC := 0
	for b.AdmitConnection(listenC) {
		admittedC++
	}
	if n != 6 || admittedC != 2 || b.AdmitConnection(unknown) {
		t.Errorf("a has %d of 8 connections, want 6; want 2 for c, and none for an unknown listener", n)
	}
	b.ReleaseConnection(listenA)
	if !b.AdmitConnection(listenC) {
		t.Error("no connection was admitted after another was released")
	}
}

// While requests are in flight, a team's quota is lowered and moved to another pool, and then all teams are removed.
// Each request ends under the terms under which it started, and balances carry over.
func TestConfigureWithRequestsInFlight(t *testing.T) {
	b, upstream, pools := newTestBroker(t, ample, testTerms("a", "own", 2), testTerms("b", "own", 1))
	var open []*client
	for range 3 {
		c, _ := b.submit("a", "k")
		open = append(open, c)
	}
	once := testTerms("a", "", 1)
	class := view
	class.Idempotency = balancer.AtMostOnce
	class.Deadline = 2
	once.TrafficClasses = []balancer.TrafficClass{class}
	lines := strings.Join(b.Configure(pools, []TeamConfig{once}, UnmatchedToPlatform), "\n")
	for _, want := range []string{`team a changed from: pool "own", budget 2`, `to: pool "", budget 1`, "team b removed"} {
		if !strings.Contains(lines, want) {
			t.Errorf("the change lines do not contain %q:\n%s", want, lines)
		}
	}
	if s := b.teamState("a"); s.Balance > 1.01 || s.Balance < 0.99 { // 1.25 of 2 were left, the burst is now 1
		t.Errorf("balance after the move is %v, want 1", s.Balance)
	}
	c, _ := b.submit("a", "k")
	open = append(open, c)
	if deadline, _ := b.Route("", "a", "k").MaxDeadline("view"); deadline != 2 {
		t.Errorf("deadline is %v, want 2", deadline)
	}
	b.Configure(pools, nil, UnmatchedToPlatform)
	upstream.finish(0.1)
	for i, c := range open {
		if c.succeeded != 1 || c.rejected+c.failed > 0 {
			t.Errorf("request %d ended as %+v, want succeeded", i, c)
		}
	}
	if b.OpenRequests() != 0 || len(b.TeamStates()) != 0 {
		t.Errorf("%d open requests and %d teams are left, want none", b.OpenRequests(), len(b.TeamStates()))
	}
}

// A client disconnects while an attempt is in flight. The end of the attempt still releases the slots and settles the
// reservation.
func TestDisconnectedClients(t *testing.T) {
	b, upstream, _ := newTestBroker(t, ample, testTerms("a", "own", 2))
	c := &client{}
	r := b.Route("", "a", "k")
	core, id := r.Submit(&requestcore.Request{Class: "view", Key: "k", TimeLeft: 3}, c)
	core.OnClientDisconnected(id)
	if s := b.teamState("a"); s.Disconnected != 1 || s.OpenRequests != 1 {
		t.Errorf("state while the attempt is in flight: %+v, want 1 disconnected and 1 open", s)
	}
	upstream.finish(0.3)
	if s := b.teamState("a"); s.OpenRequests != 0 || s.LoadUsed < 0.29 || c.succeeded > 0 {
		t.Errorf("state after the attempt has ended: %+v, want none open, a load of 0.3 s and no answer", s)
	}
}

// Quota messages of other routers are distinguished from the balancer's observations. A single router sends none.
func TestQuotaMessages(t *testing.T) {
	b, _, _ := newTestBroker(t, ample, testTerms("a", "own", 2))
	if b.OnQuotaMessage([]byte{1, 2, 3, 4, 5}) || !b.OnQuotaMessage([]byte{0xc7, 1, 0, 0}) {
		t.Error("OnQuotaMessage recognizes a balancer's message, or does not recognize a quota message")
	}
	if b.QuotaMessages() != nil {
		t.Error("a fleet of one router has a quota message to send, want none")
	}
}

// Measures the cost of a request with three and with a thousand teams, which should not differ.
func BenchmarkSubmit(b *testing.B) {
	for _, n := range []int{3, 1000} {
		b.Run(string(rune('0'+n%10))+"-of", func(b *testing.B) {
			var all []TeamConfig
			for i := range n {
				x := testTerms("t", "own", 1000)
				x.Team = strings.Repeat("t", 1+i%7) + string(rune('a'+i/7%26)) + string(rune('a'+i/182))
				x.Tenant = x.Team
				all = append(all, x)
			}
			limits := Limits{Requests: 1 << 20, BufferedBytes: 1 << 30, Connections: 100}
			br, upstream, _ := newTestBroker(&testing.T{}, limits, all...)
			for _, p := range br.pools {
				p.requests.Repartition(1<<20, nil)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				br.submit(all[i%n].Team, "k")
				upstream.finish(0.0001)
			}
		})
	}
}

// Tenants that are not in the settings are not passed to the balancer of the platform's pool. Otherwise clients that
// make up tenants could fill its state.
func TestUnknownTenantsAreNotPassedToBalancer(t *testing.T) {
	b, upstream, _ := newTestBroker(t, ample, testTerms("a", "own", 1))
	b.submit("made-up", "k")
	if len(upstream.requests) != 1 || upstream.requests[0].Tenant != "" {
		t.Errorf("tenant passed to the balancer is %q, want none", upstream.requests[0].Tenant)
	}
}

// LongestDeadline includes removed teams, because requests may still be in flight under the deadline of a removed team.
func TestLongestDeadlineIncludesRemovedTeams(t *testing.T) {
	b, _, pools := newTestBroker(t, ample, testTerms("a", "own", 1))
	b.Configure(pools, nil, UnmatchedToPlatform)
	if b.LongestDeadline() != view.Deadline {
		t.Errorf("LongestDeadline is %v, want that of the removed team", b.LongestDeadline())
	}
}
