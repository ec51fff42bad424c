package quota

// estimateWindow is the number of requests over which an estimate is the mean.
const estimateWindow = 16.0

// minCost is the least estimate, in seconds of load.
const minCost = 1e-6

// The undisturbed time of a traffic class: the quartile of its attempts' times, which they take where they do not
// wait.
const (
	baselineQuantile = 0.25
	baselineStep     = 1.0 / 16 // of its value, by which it follows an attempt: some 150 attempts for ten times as much

	// maxBaselineFactor is how many times the undisturbed time an attempt counts at most. It leaves room for cache
	// misses; what is beyond is waiting for others' work.
	maxBaselineFactor = 6.0
)

// ClassCost is what requests of one traffic class cost a team.
type ClassCost struct {
	mean     float64 // seconds of load
	baseline float64 // seconds; 0: no attempt has ended
}

// cost gives what a request of a traffic class costs, at first the estimate.
func (b *Bucket) cost(class string, estimate float64) *ClassCost {
	cost := b.costs[class]
	if cost == nil {
		cost = &ClassCost{mean: max(estimate, minCost)}
		b.costs[class] = cost
	}
	if b.FlatCost > 0 {
		cost.mean = b.FlatCost
	}
	return cost
}

// record takes what a request has cost.
func (c *ClassCost) record(load float64) {
	c.mean += (load - c.mean) / estimateWindow
	c.mean = max(c.mean, minCost)
}

// ChargeableTime gives the seconds of load that an attempt counts that took so many seconds: all of it, but for
// waiting beyond what attempts of its traffic class usually need. Else a team would pay for the queues that another's
// costly requests make at shared servers.
func (l *Limiter) ChargeableTime(r *Reservation, seconds float64) float64 {
	cost := r.cost
	switch {
	case cost.baseline == 0:
		cost.baseline = seconds
	case seconds < cost.baseline:
		cost.baseline *= 1 - (1-baselineQuantile)*baselineStep
	default:
		cost.baseline *= 1 + baselineQuantile*baselineStep
	}
	cost.baseline = max(cost.baseline, minCost)
	return min(seconds, maxBaselineFactor*cost.baseline)
}
