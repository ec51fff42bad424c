package gossip

import "math"

// Parts of the budget. A rate is BytesPerSecond divided by its number, a burst as many bytes as BytesPerSecond divided
// by its number: how much may go out at once after a pause.
const (
	urgentRateDivisor     = 7 // for urgent summaries
	urgentBurstDivisor    = 4
	pullReplyRateDivisor  = 10 // for replies to pulls
	pullReplyBurstDivisor = 7
	groupSumRateDivisor   = 5 // for group sums
	groupSumBurstDivisor  = 2

	// maxDebtDivisor bounds what may be owed: with more a router that was flooded would be silent for long.
	maxDebtDivisor = 4
)

// summaryBurstBytes bounds the summaries that are sent at once.
const summaryBurstBytes = 6 * (maxDatagramBytes + datagramOverhead)

// tokenBucket is an allowance that fills with time.
type tokenBucket struct {
	tokens    float64
	updatedAt float64
}

// take takes tokens if there are enough. The bucket fills at a rate a second up to its capacity.
func (b *tokenBucket) take(now, rate, capacity, tokens float64) bool {
	b.tokens = min(capacity, b.tokens+rate*max(0, now-b.updatedAt))
	b.updatedAt = now
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// budgets bound what a router sends, in bytes.
type budgets struct {
	total       tokenBucket // all that is sent and received; summaries that are not urgent wait for it
	urgent      tokenBucket
	pullReplies tokenBucket
	groupSums   tokenBucket
}

// newBudgets starts with empty buckets: a router that starts has much to receive.
func newBudgets(now float64) budgets {
	empty := tokenBucket{updatedAt: now}
	return budgets{total: empty, urgent: empty, pullReplies: empty, groupSums: empty}
}

// takeTotal takes what a datagram of summaries costs from the budget, which everything else is charged to as well: an
// owner with much to do passes on less.
func (g *Gossiper) takeTotal(bytes float64) bool {
	return g.budgets.total.take(g.now, plannedBudgetPart*g.settings.BytesPerSecond, summaryBurstBytes, bytes)
}

// charge takes from the budget what is sent or received in any case.
func (g *Gossiper) charge(bytes int) {
	g.takeTotal(math.Inf(1)) // fills the bucket, and takes nothing
	total := &g.budgets.total
	total.tokens = max(total.tokens-float64(bytes), -g.settings.BytesPerSecond/maxDebtDivisor)
}

// takePart takes from a bucket for a part of the budget.
func (g *Gossiper) takePart(bucket *tokenBucket, rateDivisor, burstDivisor, bytes float64) bool {
	budget := g.settings.BytesPerSecond
	return bucket.take(g.now, budget/rateDivisor, budget/burstDivisor, bytes)
}
