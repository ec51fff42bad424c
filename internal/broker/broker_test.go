package broker

import (
	"strings"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

func TestRoutes(t *testing.T) {
	a, c, d := terms("a", "", 1), terms("c", "", 1), terms("d", "", 1)
	a.Listen, a.Tenant = "127.0.0.1:1", ""
	d.Tenant, d.Prefix = "", "lab:"
	e := d
	e.Team, e.Prefix = "e", "lab:x:"
	b, _, pools := serving(t, ample, a, c, d, e)
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
	check("127.0.0.1:1", "", "k", "nobody") // its team has gone
	if len(b.tallies) != 1 {
		t.Errorf("%d tallies are kept", len(b.tallies))
	}
}

// A team's own traffic type goes to its pool under the team's name, and only what its contract names.
func TestTrafficTypes(t *testing.T) {
	b, o, _ := serving(t, ample, terms("a", "own", 10))
	b.ask("a", "k")
	if len(o.ops) != 1 || o.ops[0].Class != "a/view" || o.ops[0].Tenant != "a" {
		t.Fatalf("it went out as %+v", o.ops)
	}
	if _, known := b.Route("", "a", "k").MaxDeadline("other"); known {
		t.Error("a traffic type that no contract names is known")
	}
}

// Beyond the budget it is declined at once, with a time to come back; what was held for estimates is settled.
func TestBudget(t *testing.T) {
	b, o, _ := serving(t, ample, terms("a", "own", 1), terms("b", "own", 1))
	var last *client
	for range 10 { // at a quarter of the promised time each, the burst of a second holds four
		last, _ = b.ask("a", "k")
	}
	if s := b.state("a"); s.Reasons[requestcore.ReasonQuota] != 6 || s.OpenRequests != 4 || last.declined != 1 || last.after <= 0 {
		t.Fatalf("the team stands at %+v, the last was told %+v", s, last)
	}
	if c, room := b.ask("b", "k"); !room || c.declined > 0 {
		t.Error("another team was declined")
	}
	o.finish(0.01)
	if s := b.state("a"); s.OpenRequests != 0 || s.Succeeded != 4 || s.Balance < 0.9 || s.LoadUsed < 0.039 || s.LoadUsed > 0.041 {
		t.Errorf("once all has ended the team stands at %+v", s)
	}
}

// A team whose service hangs holds its own places and what is nobody's, never another's last one.
func TestBulkheads(t *testing.T) {
	hung, other := terms("hung", "own", 1000), terms("other", "own", 1000)
	b, o, _ := serving(t, Limits{Requests: 100, BufferedBytes: 1 << 20, Connections: 100}, hung, other)
	n := 0
	for {
		if _, room := b.ask("hung", "k"); !room {
			break
		}
		n++
	}
	if n < 5 || n > 8 { // of the ten connections to its pool's servers, two or three wait for the other team
		t.Errorf("it holds %d places", n)
	}
	if s := b.state("hung"); s.Reasons[requestcore.ReasonNoCapacity] != 1 || s.OpenRequests != n {
		t.Errorf("the team stands at %+v", s)
	}
	if c, room := b.ask("other", "k"); !room || c.declined > 0 {
		t.Error("the other team has no place")
	}
	if c, room := b.ask("", "k"); !room || c.declined > 0 {
		t.Error("the platform's pool has no place")
	}
	o.finish(0.01)
	if b.OpenRequests() != 0 {
		t.Errorf("%d places are held by nothing", b.OpenRequests())
	}
}

// Bytes and connections are split alike.
func TestBytesAndDoors(t *testing.T) {
	a, c := terms("a", "", 1), terms("c", "", 1)
	a.Listen, c.Listen = "127.0.0.1:1", "127.0.0.1:2"
	b, _, _ := serving(t, Limits{Requests: 100, BufferedBytes: 1000, Connections: 8}, a, c)
	b.Route("", "a", "k").AddHeldBytes(800)
	if b.Route("", "a", "k").HasCapacity() || !b.Route("", "c", "k").HasCapacity() {
		t.Error("a team that holds much is let on, or another is not")
	}
	b.Route("", "a", "k").AddHeldBytes(-800)
	n := 0
	for b.AdmitConnection("127.0.0.1:1") {
		n++
	}
	if n != 6 || !b.AdmitConnection("127.0.0.1:2") || !b.AdmitConnection("127.0.0.1:2") || b.AdmitConnection("127.0.0.1:2") || b.AdmitConnection("127.0.0.1:9") {
		t.Errorf("one team's clients have %d of 8 connections", n)
	}
	b.ReleaseConnection("127.0.0.1:1")
	if !b.AdmitConnection("127.0.0.1:2") {
		t.Error("a connection that has gone left no place")
	}
}

// While operations are open a contract is lowered, moved to another pool, and ended: each ends under what it began
// with.
func TestChangesUnderLoad(t *testing.T) {
	b, o, pools := serving(t, ample, terms("a", "own", 2), terms("b", "own", 1))
	var open []*client
	for range 3 {
		c, _ := b.ask("a", "k")
		open = append(open, c)
	}
	once := terms("a", "", 1)
	once.TrafficClasses = []balancer.TrafficClass{{Name: "view", Idempotency: balancer.AtMostOnce, LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}}
	lines := strings.Join(b.Configure(pools, []TeamTerms{once}, UnmatchedToPlatform), "\n")
	for _, want := range []string{`team a changes from: pool "own", budget 2`, `to: pool "", budget 1`, "team b goes"} {
		if !strings.Contains(lines, want) {
			t.Errorf("%q is not told in\n%s", want, lines)
		}
	}
	if s := b.state("a"); s.Balance > 1.01 || s.Balance < 0.99 { // 1.25 of 2 were left, its burst is 1 now
		t.Errorf("moved, its balance is %v", s.Balance)
	}
	c, _ := b.ask("a", "k")
	open = append(open, c)
	if stop, _ := b.Route("", "a", "k").MaxDeadline("view"); stop != 2 {
		t.Errorf("its hard stop is %v", stop)
	}
	b.Configure(pools, nil, UnmatchedToPlatform)
	o.finish(0.1)
	for i, c := range open {
		if c.finished != 1 || c.declined+c.terminated > 0 {
			t.Errorf("operation %d ended as %+v", i, c)
		}
	}
	if b.OpenRequests() != 0 || len(b.TeamStates()) != 0 {
		t.Errorf("%d places and %d teams are left", b.OpenRequests(), len(b.TeamStates()))
	}
}

// A faulty end of the module still gives the place back and settles the ticket.
func TestClientsThatLeave(t *testing.T) {
	b, o, _ := serving(t, ample, terms("a", "own", 2))
	c := &client{}
	r := b.Route("", "a", "k")
	core, id := r.Submit(&requestcore.Request{Class: "view", Key: "k", TimeLeft: 3}, c)
	core.OnClientGone(id)
	if s := b.state("a"); s.Disconnected != 1 || s.OpenRequests != 1 {
		t.Errorf("while its execution is out it stands at %+v", s)
	}
	o.finish(0.3)
	if s := b.state("a"); s.OpenRequests != 0 || s.LoadUsed < 0.29 || c.finished > 0 {
		t.Errorf("then at %+v", s)
	}
}

// Words of other routers are told apart from the module's.
func TestWords(t *testing.T) {
	b, _, _ := serving(t, ample, terms("a", "own", 2))
	if b.OnQuotaMessage([]byte{1, 2, 3, 4, 5}) || !b.OnQuotaMessage([]byte{0xc7, 1, 0, 0}) {
		t.Error("a module's words are taken for others, or the other way round")
	}
	if b.QuotaMessages() != nil {
		t.Error("a router alone has something to tell")
	}
}

// An operator's many teams cost a decision nothing: one of a thousand is found as one of three.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{3, 1000} {
		b.Run(string(rune('0'+n%10))+"-of", func(b *testing.B) {
			var all []TeamTerms
			for i := range n {
				x := terms("t", "own", 1000)
				x.Team = strings.Repeat("t", 1+i%7) + string(rune('a'+i/7%26)) + string(rune('a'+i/182))
				x.Tenant = x.Team
				all = append(all, x)
			}
			br, o, _ := serving(&testing.T{}, Limits{Requests: 1 << 20, BufferedBytes: 1 << 30, Connections: 100}, all...)
			for _, p := range br.pools {
				p.requests.Repartition(1<<20, nil)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				br.ask(all[i%n].Team, "k")
				o.finish(0.0001)
			}
		})
	}
}

// Clients that make up tenants leave nothing behind in the module of the platform's pool.
func TestMadeUpTenants(t *testing.T) {
	b, o, _ := serving(t, ample, terms("a", "own", 1))
	b.ask("made-up", "k")
	if len(o.ops) != 1 || o.ops[0].Tenant != "" {
		t.Errorf("the module is told of tenant %q", o.ops[0].Tenant)
	}
}

// A router that ends waits as long as the longest contract under which something may be open, also one that has gone.
func TestLongestStopOutlivesItsContract(t *testing.T) {
	b, _, pools := serving(t, ample, terms("a", "own", 1))
	b.Configure(pools, nil, UnmatchedToPlatform)
	if b.LongestDeadline() != view.Deadline {
		t.Errorf("it waits %v", b.LongestDeadline())
	}
}
