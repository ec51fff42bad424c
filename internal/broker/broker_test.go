package broker

import (
	"strings"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

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
		return "nobody"
	}
	check := func(listener, tenant, key, want string) {
		t.Helper()
		if got := team(listener, tenant, key); got != want {
			t.Errorf("%q %q %q goes to %s, want %s", listener, tenant, key, got, want)
		}
	}
	check("127.0.0.1:1", "c", "lab:1", "a") // a listener of its own says it all
	check("", "c", "lab:1", "c")
	check("", "", "lab:1", "d")
	check("", "", "lab:x:1", "e") // the longest prefix
	check("", "who", "k", "platform")
	b.Configure(pools, []TeamTerms{c}, UnmatchedRejected)
	check("", "who", "k", "nobody")
	check("127.0.0.1:1", "", "k", "nobody") // its team is gone
	if len(b.tallies) != 1 {
		t.Errorf("%d tallies are kept", len(b.tallies))
	}
}

// A team's own traffic class goes to its pool under the team's name, and only what its terms name.
func TestTrafficClasses(t *testing.T) {
	b, upstream, _ := newTestBroker(t, ample, testTerms("a", "own", 10))
	b.submit("a", "k")
	if len(upstream.requests) != 1 || upstream.requests[0].Class != "a/view" || upstream.requests[0].Tenant != "a" {
		t.Fatalf("it was sent as %+v", upstream.requests)
	}
	if _, known := b.Route("", "a", "k").MaxDeadline("other"); known {
		t.Error("a traffic class that no terms name is known")
	}
}

// Beyond its quota a request is rejected at once, with a Retry-After; what was charged as an estimate is settled.
func TestQuota(t *testing.T) {
	b, upstream, _ := newTestBroker(t, ample, testTerms("a", "own", 1), testTerms("b", "own", 1))
	var last *client
	for range 10 { // at a quarter of the latency objective each, the burst of a second holds four
		last, _ = b.submit("a", "k")
	}
	s := b.teamState("a")
	toldToWait := last.rejected == 1 && last.retryAfter > 0
	if s.Reasons[requestcore.ReasonQuota] != 6 || s.OpenRequests != 4 || !toldToWait {
		t.Fatalf("the team stands at %+v, the last was told %+v", s, last)
	}
	if c, room := b.submit("b", "k"); !room || c.rejected > 0 {
		t.Error("another team was rejected")
	}
	upstream.finish(0.01)
	s = b.teamState("a")
	loadUsed := s.LoadUsed >= 0.039 && s.LoadUsed <= 0.041
	if s.OpenRequests != 0 || s.Succeeded != 4 || s.Balance < 0.9 || !loadUsed {
		t.Errorf("once all has ended the team stands at %+v", s)
	}
}

// A team whose service hangs takes its reserved slots and the unreserved ones, never another team's last one.
func TestBulkheads(t *testing.T) {
	hung, other := testTerms("hung", "own", 1000), testTerms("other", "own", 1000)
	b, upstream, _ := newTestBroker(t, Limits{Requests: 100, BufferedBytes: 1 << 20, Connections: 100}, hung, other)
	n := 0
	for {
		if _, room := b.submit("hung", "k"); !room {
			break
		}
		n++
	}
	if n < 5 || n > 8 { // of the ten connections to its pool's servers, two or three wait for the other team
		t.Errorf("it has %d slots", n)
	}
	if s := b.teamState("hung"); s.Reasons[requestcore.ReasonNoCapacity] != 1 || s.OpenRequests != n {
		t.Errorf("the team stands at %+v", s)
	}
	if c, room := b.submit("other", "k"); !room || c.rejected > 0 {
		t.Error("the other team has no slot")
	}
	if c, room := b.submit("", "k"); !room || c.rejected > 0 {
		t.Error("the platform's pool has no slot")
	}
	upstream.finish(0.01)
	if b.OpenRequests() != 0 {
		t.Errorf("%d slots are taken by nothing", b.OpenRequests())
	}
}

// Buffered bytes and connections are partitioned alike.
func TestBytesAndConnections(t *testing.T) {
	const listenA, listenC, unknown = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:9"
	a, c := testTerms("a", "", 1), testTerms("c", "", 1)
	a.Listen = listenA
	c.Listen = listenC
	b, _, _ := newTestBroker(t, Limits{Requests: 100, BufferedBytes: 1000, Connections: 8}, a, c)
	b.Route("", "a", "k").AddHeldBytes(800)
	if b.Route("", "a", "k").HasCapacity() || !b.Route("", "c", "k").HasCapacity() {
		t.Error("a team that buffers much is admitted, or another is not")
	}
	b.Route("", "a", "k").AddHeldBytes(-800)
	n := 0
	for b.AdmitConnection(listenA) {
		n++
	}
	forC := 0
	for b.AdmitConnection(listenC) {
		forC++
	}
	if n != 6 || forC != 2 || b.AdmitConnection(unknown) {
		t.Errorf("one team's clients have %d of 8 connections", n)
	}
	b.ReleaseConnection(listenA)
	if !b.AdmitConnection(listenC) {
		t.Error("a connection that ended left no slot")
	}
}

// While requests are in flight a quota is lowered, moved to another pool, and ended: each ends under what it began
// with.
func TestChangesUnderLoad(t *testing.T) {
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
	lines := strings.Join(b.Configure(pools, []TeamTerms{once}, UnmatchedToPlatform), "\n")
	for _, want := range []string{`team a changes from: pool "own", budget 2`, `to: pool "", budget 1`, "team b goes"} {
		if !strings.Contains(lines, want) {
			t.Errorf("%q is not told in\n%s", want, lines)
		}
	}
	if s := b.teamState("a"); s.Balance > 1.01 || s.Balance < 0.99 { // 1.25 of 2 were left, its burst is 1 now
		t.Errorf("moved, its balance is %v", s.Balance)
	}
	c, _ := b.submit("a", "k")
	open = append(open, c)
	if stop, _ := b.Route("", "a", "k").MaxDeadline("view"); stop != 2 {
		t.Errorf("its deadline is %v", stop)
	}
	b.Configure(pools, nil, UnmatchedToPlatform)
	upstream.finish(0.1)
	for i, c := range open {
		if c.succeeded != 1 || c.rejected+c.failed > 0 {
			t.Errorf("request %d ended as %+v", i, c)
		}
	}
	if b.OpenRequests() != 0 || len(b.TeamStates()) != 0 {
		t.Errorf("%d slots and %d teams are left", b.OpenRequests(), len(b.TeamStates()))
	}
}

// A client that disconnects while an attempt is in flight: its end still releases the slots and settles the
// reservation.
func TestDisconnectedClients(t *testing.T) {
	b, upstream, _ := newTestBroker(t, ample, testTerms("a", "own", 2))
	c := &client{}
	r := b.Route("", "a", "k")
	core, id := r.Submit(&requestcore.Request{Class: "view", Key: "k", TimeLeft: 3}, c)
	core.OnClientGone(id)
	if s := b.teamState("a"); s.Disconnected != 1 || s.OpenRequests != 1 {
		t.Errorf("while its attempt is in flight it stands at %+v", s)
	}
	upstream.finish(0.3)
	if s := b.teamState("a"); s.OpenRequests != 0 || s.LoadUsed < 0.29 || c.succeeded > 0 {
		t.Errorf("then at %+v", s)
	}
}

// Quota messages of other routers are told apart from the balancer's observations.
func TestQuotaMessages(t *testing.T) {
	b, _, _ := newTestBroker(t, ample, testTerms("a", "own", 2))
	if b.OnQuotaMessage([]byte{1, 2, 3, 4, 5}) || !b.OnQuotaMessage([]byte{0xc7, 1, 0, 0}) {
		t.Error("a balancer's message is taken for a quota message, or the other way round")
	}
	if b.QuotaMessages() != nil {
		t.Error("a router alone has a message to send")
	}
}

// A decision costs as much with a thousand teams as with three.
func BenchmarkSubmit(b *testing.B) {
	for _, n := range []int{3, 1000} {
		b.Run(string(rune('0'+n%10))+"-of", func(b *testing.B) {
			var all []TeamTerms
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

// Clients that make up tenants leave nothing behind in the balancer of the platform's pool.
func TestMadeUpTenants(t *testing.T) {
	b, upstream, _ := newTestBroker(t, ample, testTerms("a", "own", 1))
	b.submit("made-up", "k")
	if len(upstream.requests) != 1 || upstream.requests[0].Tenant != "" {
		t.Errorf("the balancer is told of tenant %q", upstream.requests[0].Tenant)
	}
}

// A router that ends waits as long as the longest deadline under which a request may be in flight, also of a team
// that is gone.
func TestLongestDeadlineOutlivesItsTeam(t *testing.T) {
	b, _, pools := newTestBroker(t, ample, testTerms("a", "own", 1))
	b.Configure(pools, nil, UnmatchedToPlatform)
	if b.LongestDeadline() != view.Deadline {
		t.Errorf("it waits %v", b.LongestDeadline())
	}
}
