package balancer

import (
	"fmt"
	"testing"
)

func TestAttemptRules(t *testing.T) {
	for _, c := range []struct {
		name                  string
		class                 string
		inFlight, notExecuted bool    // the earlier attempt, in zone a
		after                 float64 // seconds since it
		zone                  string  // of the other server
		want                  bool
	}{
		{"idempotent, may have been executed", "view", false, false, 0, "b", true},
		{"idempotent, in flight: hedged", "view", true, false, 0, "b", true},
		{"idempotent, past the deadline", "view", false, false, 2, "a", false},
		{"at most once, not executed", "pay", false, true, 0, "b", true},
		{"at most once, may have been executed", "pay", false, false, 0, "a", false},
		{"at most once, in flight", "pay", true, false, 0, "a", false},
		{"keyed, not executed, past the window", "amend", false, true, 1.5, "b", true},
		{"keyed, may have been executed, within the window", "amend", false, false, 0.5, "a", true},
		{"keyed, may have been executed, past the window", "amend", false, false, 1.5, "a", false},
		{"keyed, may have been executed, outside the scope", "amend", false, false, 0.5, "b", false},
	} {
		b, _ := newTestBalancer(2, nil)
		req := requestWithAttempt(b, c.class, b.servers.byID[1], c.inFlight, c.notExecuted)
		b.servers.byID[2].Zone = c.zone
		b.now = c.after
		expectEqual(t, c.name, b.mayAttempt(req, b.servers.byID[2]), c.want)
	}
}

func TestNoHedgingWhereForbiddenAndNoAttemptOnDrainingServer(t *testing.T) {
	b, _ := newTestBalancer(2, func(s *Settings) { s.HedgingAllowed = false })
	inFlight := requestWithAttempt(b, "view", b.servers.byID[1], true, false)
	expectEqual(t, "hedged request allowed", b.mayAttempt(inFlight, b.servers.byID[2]), false)
	b.servers.byID[2].State = Draining
	ended := requestWithAttempt(b, "view", b.servers.byID[1], false, true)
	expectEqual(t, "draining", b.mayAttempt(ended, b.servers.byID[2]), false)
}

func TestClientRetryIsHarmless(t *testing.T) {
	for _, c := range []struct {
		name        string
		class       string
		notExecuted bool
		scope       DeduplicationScope
		want        bool
	}{
		{"idempotent", "view", false, ScopeCell, true},
		{"at most once, not executed", "pay", true, ScopeCell, true},
		{"at most once, may have been executed", "pay", false, ScopeCell, false},
		{"keyed, may have been executed, narrow scope", "amend", false, ScopeZone, false},
		{"keyed, not executed", "amend", true, ScopeZone, true},
		{"keyed, may have been executed, deduplicated everywhere", "amend", false, ScopeAll, true},
	} {
		b, _ := newTestBalancer(1, nil)
		req := requestWithAttempt(b, c.class, b.servers.byID[1], false, c.notExecuted)
		req.class.DeduplicationScope = c.scope
		expectEqual(t, c.name, b.clientRetryIsHarmless(req), c.want)
	}
}

// A class that was restricted to some servers was sent to whichever server was nearest to its key.
func TestPlacementRulesApplyToEveryAttempt(t *testing.T) {
	restrict := func(s *Settings) {
		s.TrafficClasses[0].AllowedMachineTypes = []string{"frugal"}
		s.TrafficClasses[0].AllowedZones = []string{"a"}
	}
	for name, other := range map[string]Endpoint{
		"of another machine type":       {Zone: "a", MachineType: "usual"},
		"in another zone":               {Zone: "b", MachineType: "frugal"},
		"without zone and machine type": {},
	} {
		b, host := newTestBalancer(0, restrict)
		list := []Endpoint{{ID: 1, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"}}
		for id := uint64(2); id < 9; id++ {
			other.ID = id
			other.State = Ready
			other.Capacity = 1
			list = append(list, other)
		}
		b.OnEndpoints(0, UpdateFull, list)
		for key := range uint64(20) {
			b.OnRequest(1, key, "view", "", fmt.Sprint(key), 1)
			expectEqual(t, "restricted class beside servers "+name, host.lastAction(), fmt.Sprintf("attempt %d on 1", key))
		}
		b.OnAttemptEnd(1.01, 3, 0, ServerError, 0.01, false)
		expectEqual(t, "no retry on servers "+name, host.lastAction(), "reject 3 after true")
		for _, change := range []Endpoint{
			{ID: 1, State: Draining, Zone: "a", MachineType: "frugal"},
			{ID: 1, State: Removed},
		} {
			b.OnEndpoints(1.1, UpdateDelta, []Endpoint{change})
			b.OnRequest(1.2, 90, "view", "", "k", 1)
			expectEqual(t, "no allowed server left, beside servers "+name, host.lastAction(), "reject 90 after true")
		}
		b.OnRequest(1.3, 91, "pay", "", "k", 1)
		expectEqual(t, "unrestricted class is attempted", b.requests[91] != nil, true)
	}

	// The list corrects a server's zone while a request is in progress.
	b, host := newTestBalancer(1, restrict)
	list := []Endpoint{
		{ID: 1, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"},
		{ID: 2, State: Ready, Capacity: 1, Zone: "a", MachineType: "frugal"},
	}
	b.OnEndpoints(0, UpdateFull, list)
	b.OnRequest(1, 5, "view", "", "k", 1)
	first := b.requests[5].attempts[0].server.ID
	list[2-first].Zone = "b"
	b.OnEndpoints(1.1, UpdateDelta, list)
	b.OnAttemptEnd(1.2, 5, 0, ConnectFailed, 0.1, false)
	expectEqual(t, "action when the other server has left the allowed zone", host.lastAction(), "reject 5 after true")
}
