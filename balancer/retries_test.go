package balancer

import (
	"fmt"
	"testing"
)

func TestNoRetryWithoutTime(t *testing.T) {
	b, host := newTestBalancer(2, nil)
	req := requestWithAttempt(b, "view", b.servers.byID[1], false, true)
	req.deadline = b.now + b.classes.byName["view"].meanLatency/2
	b.retry(req, req.attempts[0], ServerError)
	expectEqual(t, "action", host.lastAction(), "reject 7 after true")
}

func TestNoRetryStorm(t *testing.T) {
	for tokens, want := range map[float64]string{0: "reject 7 after true", 1: "attempt 7 on 2"} {
		b, host := newTestBalancer(2, nil)
		b.retryBudgets.shared = tokens
		req := requestWithAttempt(b, "view", b.servers.byID[1], false, false)
		b.retry(req, req.attempts[0], ServerError)
		expectEqual(t, fmt.Sprint("action with tokens: ", tokens), host.lastAction(), want)
	}
}

// A request with an idempotency key is repeated within its window alone, however short that is; without one it
// is not. What is proved never to have run may go on: the window is of what may have.
func TestWindowsShorterThanAnAttempt(t *testing.T) {
	const (
		failed  = "fail 7"
		retried = "attempt 7 on 2"
	)
	for _, c := range []struct {
		name          string
		window, after float64 // after: when its first attempt ends
		how           Outcome
		want          string
	}{
		{"no window, may have run", 0, 0, ConnectionLost, failed},
		{"no window, never run", 0, 0.01, ConnectFailed, retried},
		{"within the window", 0.02, 0.01, ConnectionLost, retried},
		{"at the window's end", 0.02, 0.02, ConnectionLost, failed},
		{"past the window", 0.02, 0.4, TimedOut, failed},
		{"past the window, never run", 0.02, 0.4, NotAttempted, retried},
	} {
		b, host := newTestBalancer(2, nil)
		b.retryBudgets.shared = 1
		req := requestWithAttempt(b, "amend", b.servers.byID[1], true, false)
		req.class.DeduplicationWindow = c.window
		b.OnAttemptEnd(c.after, 7, 0, c.how, c.after, false)
		expectEqual(t, "action: "+c.name, host.lastAction(), c.want)
		if host.lastAction() == retried && !req.attempts[0].notExecuted {
			// Its window ended before it was written.
			b.OnAttemptEnd(c.window+0.001, 7, 1, NotAttempted, 0.001, false)
			expectEqual(t, "answer: "+c.name, host.lastAction(), failed)
		}
	}
}

// Each request went on to four more servers, all full, and crowded them: 2.9 attempts each.
func TestNoRetryStormRoundFullServers(t *testing.T) {
	for _, c := range []struct {
		name           string
		acceptanceRate float64
		refused        bool // a refused connection crowds nothing
		most           int
	}{
		{"nearly all full", 0.05, false, 15},
		{"all accepted", 1, false, 50},
		{"connection refused", 0.05, true, 50},
	} {
		retried := 0
		for seed := range uint32(50) {
			b, host := newTestBalancer(2, func(s *Settings) { s.Seed = seed })
			b.recent.acceptanceRate = c.acceptanceRate
			b.servers.byID[1].health.refusesConnections = c.refused
			req := requestWithAttempt(b, "view", b.servers.byID[1], false, true)
			b.retry(req, req.attempts[0], ServerError)
			if host.lastAction() == "attempt 7 on 2" {
				retried++
			}
		}
		expectEqual(t, fmt.Sprint(retried, " of 50 retried: ", c.name), retried <= c.most && retried >= c.most-15, true)
	}
}

// Where tenants have their own budgets, one whose attempts fail takes no retry from another. What is sent again
// by what arrives, and not by what finishes, kept a failing origin down.
func TestRetryBudgetsPerTenant(t *testing.T) {
	b, _ := newTestBalancer(2, func(s *Settings) { s.RetryBudgetPerTenant = true })
	for i := range 30 {
		b.OnRequest(0, uint64(100+i), "view", "a", "k", 2)
	}
	budgetA := b.retryBudget("a")
	budgetB := b.retryBudget("b")
	expectEqual(t, "tokens of a before any finished", *budgetA, 0.0)
	for i := range 30 {
		b.OnAttemptEnd(0, uint64(100+i), 0, Succeeded, 0.01, true)
	}
	expectEqual(t, "tokens of a", *budgetA > 2.9 && *budgetA < 3.1, true)
	expectEqual(t, "tokens of b", *budgetB, 0.0)
	expectEqual(t, "shared tokens", b.retryBudgets.shared, 0.0)
}
