package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestRestartWithSameIDWarmsUpAgain(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	b.OnEndpoints(30, UpdateDelta, []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: 29}})
	expectEqual(t, "warm fraction", math.Round(b.warmFraction(b.servers.byID[1])*1e4), 2875.0)
}

func TestFullUpdateRemovesUnlistedServers(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	b.OnEndpoints(1, UpdateFull, []Endpoint{{ID: 2, State: Ready, Capacity: 1}})
	expectEqual(t, "ready", len(b.servers.ready), 1)
}

// A server that an operator disabled stays disabled regardless of the list: also when a list drops it and a later
// one contains it again, and when no list has contained it yet.
func TestDisabledServerStaysDisabledAcrossListUpdates(t *testing.T) {
	b, _ := newTestBalancer(3, nil)
	list := []Endpoint{
		{ID: 1, State: Ready, Capacity: 1},
		{ID: 2, State: Ready, Capacity: 1, StartedAt: 5},
		{ID: 9, State: Ready, Capacity: 1},
	}
	for _, id := range []uint64{2, 2, 9} {
		b.SetDisabled(1, id, true)
	}
	b.OnEndpoints(2, UpdateDelta, []Endpoint{{ID: 2, State: Removed}})
	b.OnEndpoints(3, UpdateFull, list[:1])
	b.OnEndpoints(6, UpdateFull, list)
	req := requestWithAttempt(b, "view", nil, false, true)
	for _, server := range b.servers.byID {
		expectEqual(t, fmt.Sprint("may be attempted on ", server.ID), b.mayAttempt(req, server), server.ID == 1)
	}
	expectEqual(t, "ready servers", len(b.servers.ready), 1)
	b.SetDisabled(7, 2, false)
	expectEqual(t, "ready servers after one was enabled", len(b.servers.ready), 2)
	b.SetDisabled(8, 7, false) // neither disabled nor in any list
	b.OnEndpoints(9, UpdateDelta, nil)
	expectEqual(t, "records", len(b.servers.byID), 3)
}

// The server may have restarted while it was disabled, before the list reports it. So it gets the key fraction and
// the slow-start budget of a server that is warming up.
func TestEnabledServerWarmsUp(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	b.SetDisabled(50, 2, true)
	server := b.servers.byID[2]
	server.health.consecutiveFailures = 7
	server.health.refusesConnections = true
	b.SetDisabled(60, 2, false)
	expectEqual(t, "warm fraction", b.warmFraction(server), 0.25)
	expectEqual(t, "avoided for failures before it was disabled", b.Avoids(2), false)
	if server.slowStart.budget >= 1 {
		t.Errorf("first slow-start budget: got %v, want less than 1", server.slowStart.budget)
	}
	b.SetDisabled(61, 2, false)
	expectEqual(t, "start time after it was enabled twice", server.slowStart.startedAt, 60.0)
}

// Servers that were replaced under new ids, and class names that clients made up, each left a record forever.
func TestRemovedServersAndUnknownClassesLeaveNoRecords(t *testing.T) {
	b, _ := newTestBalancer(2, nil)
	old := b.servers.byID[1]
	classes := len(b.classes.byName)
	req := requestWithAttempt(b, "view", old, true, false)
	b.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready, Capacity: 1}})
	expectEqual(t, "servers while one is draining", len(b.servers.byID), 3)
	b.OnEndpoints(2, UpdateDelta, []Endpoint{{ID: 1, State: Removed}})
	expectEqual(t, "servers", len(b.servers.byID), 2)
	expectEqual(t, "may be attempted on the removed server", b.mayAttempt(req, old), false)
	b.OnAttemptEnd(3, 7, 0, Succeeded, 0.1, true)
	b.OnRequest(4, 8, "made up", "", "k", 1)
	expectEqual(t, "classes", len(b.classes.byName), classes)
}
