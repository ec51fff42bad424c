package balancer

import (
	"fmt"
	"testing"
)

func TestNoRetryWithoutTimeLeft(t *testing.T) {
	b, host := newTestBalancer(2, nil)
	req := requestWithAttempt(b, "view", b.servers.byID[1], false, true)
	req.deadline = b.now + b.classes.byName["view"].meanLatency/2
	b.retry(req, req.attempts[0], ServerError)
	expectEqual(t, "action", host.lastAction(), "reject 7 after true")
}

func TestRetryNeedsBudgetToken(t *testing.T) {
	for tokens, want := range map[float64]string{0: "reject 7 after true", 1: "attempt 7 on 2"} {
		b, host := newTestBalancer(2, nil)
		b.retryBudgets.shared = tokens
		req := requestWithAttempt(b, "view", b.servers.byID[1], false, false)
		b.retry(req, req.attempts[0], ServerError)
		expectEqual(t, fmt.Sprint("action with tokens: ", tokens), host.lastAction(), want)
	}
}

// A request with an idempotency key is retried only within its deduplication window, however short that is; with no
// window it is not retried. An attempt that was proved not to have been executed may be followed by a retry at any
// time, since the window only concerns attempts that may have been executed.
func TestRetryWithinShortDeduplicationWindow(t *testing.T) {
	const (
		failed  = "fail 7"
		retried = "attempt 7 on 2"
	)
	for _, c := range []struct {
		name          string
		window, after float64 // after: seconds until its first attempt ends
		outcome       Outcome
		want          string
	}{
		{"no window, may have been executed", 0, 0, ConnectionLost, failed},
		{"no window, not executed", 0, 0.01, ConnectFailed, retried},
		{"within the window", 0.02, 0.01, ConnectionLost, retried},
		{"at the window's end", 0.02, 0.02, ConnectionLost, failed},
		{"past the window", 0.02, 0.4, TimedOut, failed},
		{"past the window, not executed", 0.02, 0.4, NotAttempted, retried},
	} {
		b, host := newTestBalancer(2, nil)
		b.retryBudgets.shared = 1
		req := requestWithAttempt(b, "amend", b.servers.byID[1], true, false)
		req.class.DeduplicationWindow = c.window
		b.OnAttemptEnd(c.after, 7, 0, c.outcome, c.after, false)
		expectEqual(t, "action: "+c.name, host.lastAction(), c.want)
		if host.lastAction() == retried && !req.attempts[0].notExecuted {
			// The window of the retry ended before it was written.
			b.OnAttemptEnd(c.window+0.001, 7, 1, NotAttempted, 0.001, false)
			expectEqual(t, "answer: "+c.name, host.lastAction(), failed)
		}
	}
}

// When servers were full, each request was retried at four more servers, all full, and added to their load: 2.9
// attempts per request.
func TestFewFreeRetriesWhenServersAreFull(t *testing.T) {
	for _, c := range []struct {
		name           string
		acceptanceRate float64
		refused        bool // a refused connection adds no load
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

// With retry budgets per tenant, a tenant whose attempts fail takes no retry from another. Tokens are earned by
// attempts that succeed: retries that requests earned on arrival kept a failing origin down.
func TestRetryBudgetsPerTenant(t *testing.T) {
	b, _ := newTestBalancer(2, func(s *Settings) { s.RetryBudgetPerTenant = true })
	for i := range 30 {
		b.OnRequest(0, uint64(100+i), "view", "a", "k", 2)
	}
	budgetA := b.retryBudget("a")
	budgetB := b.retryBudget("b")
	expectEqual(t, "tokens of tenant a before an attempt succeeded", *budgetA, 0.0)
	for i := range 30 {
		b.OnAttemptEnd(0, uint64(100+i), 0, Succeeded, 0.01, true)
	}
	expectEqual(t, "tokens of tenant a are about 3", *budgetA > 2.9 && *budgetA < 3.1, true)
	expectEqual(t, "tokens of tenant b", *budgetB, 0.0)
	expectEqual(t, "shared tokens", b.retryBudgets.shared, 0.0)
}
