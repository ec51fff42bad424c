package quota

// estimateWindow is the number of requests over which an estimate is averaged.
const estimateWindow = 16.0

// minCost is the smallest estimate, in seconds of load.
const minCost = 1e-6

// The baseline of a traffic class is the lower quartile of the durations of its attempts, an estimate of the time that
// an attempt takes at a server without waiting.
const (
	baselineQuantile = 0.25
	baselineStep     = 1.0 / 16 // relative step size; about 150 attempts raise the baseline to ten times its value

	// maxBaselineFactor is the largest multiple of the baseline that an attempt is charged. It leaves room for cache
	// misses; time beyond it counts as waiting for the work of others.
	maxBaselineFactor = 6.0
)

// ClassCost tracks the cost of a team's requests of one traffic class.
type ClassCost struct {
	mean     float64 // seconds of load
	baseline float64 // seconds; 0 if no attempt has ended
}

// cost returns the cost of a team's requests of a traffic class, which starts with the given estimate.
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

// record updates the mean with the load of a request that has ended.
func (c *ClassCost) record(load float64) {
	c.mean += (load - c.mean) / estimateWindow
	c.mean = max(c.mean, minCost)
}

// ChargeableTime returns the seconds of load that are charged for an attempt with the given duration: the duration, but
// at most maxBaselineFactor times the baseline of its traffic class. Otherwise a team would be charged for waiting in
// queues that the costly requests of another team cause at shared servers.
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
