package gossip

import "math"

// Divisors of the budget. A rate in bytes per second is BytesPerSecond divided by its rate divisor. A burst, the number
// of bytes that may be sent without a delay after a pause, is BytesPerSecond divided by its burst divisor.
const (
	urgentRateDivisor     = 7 // for urgent summaries
	urgentBurstDivisor    = 4
	pullReplyRateDivisor  = 10 // for replies to pulls
	pullReplyBurstDivisor = 7
	groupSumRateDivisor   = 5 // for group sums
	groupSumBurstDivisor  = 2

	// maxDebtDivisor bounds the debt of the total budget. With a larger debt, a flooded router would stop sending for
	// a long time.
	maxDebtDivisor = 4
)

// summaryBurstBytes is the largest burst of summaries, including headers.
const summaryBurstBytes = 6 * (maxDatagramBytes + datagramOverhead)

// tokenBucket is a token bucket whose rate and capacity are arguments of take.
type tokenBucket struct {
	tokens    float64
	updatedAt float64
}

// take refills the bucket at the given rate per second, up to its capacity, and removes tokens if there are enough. It
// reports whether it did.
func (b *tokenBucket) take(now, rate, capacity, tokens float64) bool {
	b.tokens = min(capacity, b.tokens+rate*max(0, now-b.updatedAt))
	b.updatedAt = now
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// budgets limit what a router sends, in bytes.
type budgets struct {
	total       tokenBucket // everything sent and received; only summaries that are not urgent wait for it
	urgent      tokenBucket
	pullReplies tokenBucket
	groupSums   tokenBucket
}

// newBudgets returns empty buckets, because a router that starts has much to receive.
func newBudgets(now float64) budgets {
	empty := tokenBucket{updatedAt: now}
	return budgets{total: empty, urgent: empty, pullReplies: empty, groupSums: empty}
}

// takeTotal takes the cost of a datagram of summaries from the total budget and reports whether it sufficed. All other
// traffic is charged to the same budget, so an owner with much other traffic forwards fewer summaries.
func (g *Gossiper) takeTotal(bytes float64) bool {
	return g.budgets.total.take(g.now, plannedBudgetFraction*g.settings.BytesPerSecond, summaryBurstBytes, bytes)
}

// charge deducts bytes that are sent or received regardless of the budget. The balance may become negative.
func (g *Gossiper) charge(bytes int) {
	g.takeTotal(math.Inf(1)) // refills the bucket without taking anything
	total := &g.budgets.total
	total.tokens = max(total.tokens-float64(bytes), -g.settings.BytesPerSecond/maxDebtDivisor)
}

// takeFromBucket takes bytes from a bucket whose rate and burst are fractions of the budget, and reports whether there
// were enough.
func (g *Gossiper) takeFromBucket(bucket *tokenBucket, rateDivisor, burstDivisor, bytes float64) bool {
	budget := g.settings.BytesPerSecond
	return bucket.take(g.now, budget/rateDivisor, budget/burstDivisor, bytes)
}
