package balancer

import (
	"fmt"
	"testing"
)

// Errors that were due to requests for some keys ejected the servers nearest to these keys, and caused other
// requests to be shed.
func TestErrorsDueToRequestEjectNoServer(t *testing.T) {
	b, host := newTestBalancer(4, nil)
	b.retryBudgets.shared = 9
	for id := range uint64(9) {
		b.OnRequest(1, id, "view", "", "faulty", 1)
		for n := 0; b.requests[id] != nil && n < 3; n++ {
			b.OnAttemptEnd(1, id, n, ServerError, 0.01, false)
		}
		expectEqual(t, "final answer", host.lastAction(), fmt.Sprintf("reject %d after true", id))
	}
	for _, server := range b.servers.ready {
		expectEqual(t, fmt.Sprint("failures of ", server.ID), server.health.consecutiveFailures, 0)
	}
	b.errorsBySlot[0] = 5
	req := requestWithAttempt(b, "view", b.servers.byID[1], true, false)
	b.recordOutcome(req.attempts[0], Succeeded, 0.01)
	expectEqual(t, "errors of a slot after a request succeeded", b.errorsBySlot[0], 0.0)

	b.recent.failed = 30
	b.recent.succeeded = 8
	for id := range uint64(400) {
		b.OnRequest(2, 100+id, "view", "", "faulty", 1)
		b.OnAttemptEnd(2, 100+id, 0, ServerError, 0.01, false)
	}
	expectEqual(t, "failures outnumber successes", b.recent.failed > b.recent.succeeded, false)
}

// A faulty server answers every request with an error, while other servers answer the same requests.
func TestServerThatAlwaysFailsIsEjected(t *testing.T) {
	b, _ := newTestBalancer(4, nil)
	b.retryBudgets.shared = 9
	failing := uint64(0)
	for id := range uint64(60) {
		b.OnRequest(1, id, "view", "", "k", 1)
		if failing == 0 {
			failing = b.requests[id].attempts[0].server.ID
		}
		for n := 0; b.requests[id] != nil; n++ {
			outcome := Succeeded
			if b.requests[id].attempts[n].server.ID == failing {
				outcome = ServerError
			}
			b.OnAttemptEnd(1, id, n, outcome, 0.01, outcome == Succeeded)
		}
	}
	expectEqual(t, "failing server is avoided", b.Avoids(failing), true)
}

// A single refused or reset connection may be due to the network. When it counted as a restart, frequent resets
// moved the keys of most servers to a few.
func TestRefusedConnectionsEjectServerUntilItWarmsUp(t *testing.T) {
	for refusedConnections, want := range map[int]float64{1: 1, 2: 1, 3: 0.25, 4: 0.25} {
		b, _ := newTestBalancer(2, nil)
		server := b.servers.byID[1]
		req := requestWithAttempt(b, "view", server, true, false)
		for range refusedConnections {
			b.recordOutcome(req.attempts[0], ConnectFailed, 0.05)
			expectEqual(t, "ejected", b.ejected(server), true)
			b.now = server.health.ejectedUntil + 0.01
			expectEqual(t, "ejected after the ejection time", b.ejected(server), false)
		}
		b.recordOutcome(req.attempts[0], Succeeded, 0.05)
		expectEqual(t, fmt.Sprint("warm fraction after refusals: ", refusedConnections), b.warmFraction(server), want)
	}
}

// A rejection for lack of capacity says nothing about a server's health. When rejections counted as failures, most
// servers were ejected.
func TestServerRejectingForCapacityIsNotEjected(t *testing.T) {
	b, _ := newTestBalancer(1, nil)
	server := b.servers.byID[1]
	req := requestWithAttempt(b, "view", server, true, false)
	b.recordOutcome(req.attempts[0], Overloaded, 0.001)
	got := fmt.Sprint(server.health.consecutiveFailures, server.latency.slowness)
	expectEqual(t, "failures, slowness", got, "0 1")
}

func TestAvoidsDrainingDisabledAndFailingServers(t *testing.T) {
	b, _ := newTestBalancer(5, nil)
	b.OnEndpoints(1, UpdateDelta, []Endpoint{{ID: 3, State: Draining, Capacity: 1}})
	b.SetDisabled(1, 4, true)
	b.servers.byID[1].health.consecutiveFailures = 2
	b.servers.byID[2].health.consecutiveFailures = 3
	for id, want := range map[uint64]bool{1: false, 2: true, 3: true, 4: true, 5: false, 6: true} {
		expectEqual(t, fmt.Sprint("avoids ", id), b.Avoids(id), want)
	}
}
